// Client of one rank's model engine, for expert maps.
//
// The engine offers, as JSON over HTTP, its state, the staging of weights, a hold (the rank does
// not start a given step until the hold is released), a change of map from a given step on, and
// joining a group. Every order carries a fencing number; some engines ignore it, so the callers
// here check it themselves, and every order is idempotent and names the step or the token that it
// is for.
//
//     auto engine = engine_client::create({"127.0.0.1", 9000}).value();
//     absl::StatusOr<engine_state> state = engine->read_state();
//     absl::Status held = engine->set_hold(proposal);
//
// An order that fails with `kUnknown` may have been carried out, even later: read the state again.
// Thread-safe; one order runs at a time.

#ifndef SARDINESTREAM_EXPERTS_ENGINE_CLIENT_H_
#define SARDINESTREAM_EXPERTS_ENGINE_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/base/settings.h"
#include "sardinestream/experts/expert_map.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace httplib {
class Client;
} // namespace httplib

namespace sardinestream::experts {

// The rank does not start `step` while the hold stands.
struct engine_hold {
    std::uint64_t step = 0;
    std::string token; // the whole proposal, see `proposal_from_token`
};

// A map at the engine, in use or due.
struct engine_map {
    std::uint64_t epoch = 0;
    std::uint64_t proposal_id = 0; // zero for the map that the group was formed with
    std::uint64_t from_step = 0;
};

struct engine_state {
    std::uint64_t engine_incarnation = 0; // changes at every start of the engine
    std::uint64_t group_incarnation = 0;  // zero before the engine has joined a group
    std::uint64_t step = 0;               // the step that runs or is about to start
    bool step_started = false;            // this rank has started `step`
    engine_map current;
    std::optional<engine_map> due; // takes effect at its `from_step`
    std::optional<engine_hold> hold;
    std::string staged_digest; // of the map whose weights are all here; empty where there is none
};

// Load over the recent steps.
struct engine_load {
    std::uint64_t step = 0;
    std::vector<float> tokens; // per step and expert; zero for experts that are elsewhere
    float busy_us = 0;         // per step, without waiting for other ranks
    float step_us = 0;         // per step, with the wait
};

class engine_client {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<engine_client>>
    create(const address& engine, absl::Duration timeout = absl::Seconds(2));

    ~engine_client();
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;

    [[nodiscard]] absl::StatusOr<engine_state> read_state();
    [[nodiscard]] absl::StatusOr<engine_load> read_load();
    // The map in use.
    [[nodiscard]] absl::StatusOr<expert_mapT> read_map();

    // Starts fetching the weights of `map`; done once the state shows its digest as staged.
    [[nodiscard]] absl::Status stage(const expert_mapT& map, std::uint64_t group_incarnation);

    // Fails with `kFailedPrecondition` where the rank has started the step, or holds for another
    // proposal.
    [[nodiscard]] absl::Status set_hold(const map_proposalT& proposal);

    // Has the rank use the proposal's map from its step on. Fails with `kFailedPrecondition` where
    // the rank has started that step with another map.
    [[nodiscard]] absl::Status apply_map(const map_proposalT& proposal);

    // Releases the hold that carries `token`; a hold with another token stays.
    [[nodiscard]] absl::Status release_hold(absl::string_view token);

    // Has the rank join the group with this incarnation, at step 0 with `map`. Drops the hold.
    [[nodiscard]] absl::Status join_group(std::uint64_t group_incarnation, const expert_mapT& map);

    // Held by whoever checks the state and then gives an order that depends on it, so that no other
    // order of this agent comes between the two.
    [[nodiscard]] absl::Mutex& order_mutex() { return this->check_and_order_mutex; }

    [[nodiscard]] const std::string& peer() const { return this->peer_name; }

private:
    engine_client(const address& engine, absl::Duration timeout);

    [[nodiscard]] absl::StatusOr<std::string> get(absl::string_view step, const char* path);
    [[nodiscard]] absl::Status post(absl::string_view step, const char* path,
                                    const std::string& body);

    const std::string peer_name;
    absl::Mutex check_and_order_mutex;
    absl::Mutex mutex;
    const std::unique_ptr<httplib::Client> client ABSL_PT_GUARDED_BY(mutex);
};

// The number that orders carry: a later group incarnation, or a later map of it, is higher.
[[nodiscard]] std::uint64_t fencing_number(std::uint64_t group_incarnation, std::uint64_t epoch);

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_ENGINE_CLIENT_H_
