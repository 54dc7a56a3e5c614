// Client for the expert-map interface of one rank's model engine.
//
// The interface is JSON over HTTP. It reports the engine's state and load, stages weights, sets a
// hold (the rank does not start a given step until the hold is released), switches to another map
// from a given step on, and joins a group. Every order except a release carries a fencing number.
// Some engines ignore it, so callers check the engine's state themselves before they send an order.
// Orders are idempotent and name the step or the token to which they apply.
//
//     auto engine = engine_client::create({"127.0.0.1", 9000}).value();
//     absl::StatusOr<engine_state> state = engine->read_state();
//     absl::Status held = engine->set_hold(proposal);
//
// An order that fails with `kUnknown` may have been executed, or may still be executed later: read
// the state again. Thread-safe; one request runs at a time.

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

// A hold at the engine: the rank does not start `step` until the hold is released.
struct engine_hold {
    std::uint64_t step = 0;
    std::string token; // the encoded proposal, see `proposal_from_token`
};

// A map that the engine uses, or will use from `from_step` on.
struct engine_map {
    std::uint64_t epoch = 0;
    std::uint64_t proposal_id = 0; // zero for the map that the group was formed with
    std::uint64_t from_step = 0;
};

struct engine_state {
    std::uint64_t engine_incarnation = 0; // changes at every start of the engine
    std::uint64_t group_incarnation = 0;  // zero before the engine has joined a group
    std::uint64_t step = 0;               // the step that is running or starts next
    bool step_started = false;            // this rank has started `step`
    engine_map current;
    std::optional<engine_map> due; // takes effect at its `from_step`
    std::optional<engine_hold> hold;
    std::string staged_digest; // of the map whose weights are all loaded; empty if there is none
};

// Load of this rank over its recent steps.
struct engine_load {
    std::uint64_t step = 0;
    std::vector<float> tokens; // per step and expert; zero for experts on other ranks
    float busy_us = 0;         // microseconds per step, excluding the wait for other ranks
    float step_us = 0;         // microseconds per step, including that wait
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
    // Returns the map in use.
    [[nodiscard]] absl::StatusOr<expert_mapT> read_map();

    // Starts fetching the weights of `map`. Staging is complete once `staged_digest` of the state
    // is the digest of `map`.
    [[nodiscard]] absl::Status stage(const expert_mapT& map, std::uint64_t group_incarnation);

    // Sets a hold before the proposal's step. Fails with `kFailedPrecondition` if the rank has
    // already started that step or holds for another proposal.
    [[nodiscard]] absl::Status set_hold(const map_proposalT& proposal);

    // Makes the rank use the proposal's map from the proposal's step on. Fails with
    // `kFailedPrecondition` if the rank has already started that step with another map.
    [[nodiscard]] absl::Status apply_map(const map_proposalT& proposal);

    // Releases the hold that carries `token`; a hold with another token is unaffected.
    [[nodiscard]] absl::Status release_hold(absl::string_view token);

    // Makes the rank join the group incarnation at step 0 with `map`. Discards any hold.
    [[nodiscard]] absl::Status join_group(std::uint64_t group_incarnation, const expert_mapT& map);

    // Lock this while checking the engine's state and sending an order that depends on it, so that
    // no other order of this agent comes between the two.
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

// Returns the fencing number of an order. It increases with the group incarnation and, within one
// incarnation, with the epoch of the map.
[[nodiscard]] std::uint64_t fencing_number(std::uint64_t group_incarnation, std::uint64_t epoch);

} // namespace sardinestream::experts

#endif // SARDINESTREAM_EXPERTS_ENGINE_CLIENT_H_
