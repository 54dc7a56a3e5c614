// A group of ranks that run each pass together, with the orders by which their expert map changes.
//
//     rank_group group({"g1", shape}, [](const std::string& what) { ADD_FAILURE() << what; });
//     rank_group::stream stream(group, 0);
//     stream.wait_for_pass(deadline);
//     group.order(0, {{"operation", "hold"}, {"epoch", 1}, {"step", 40}});
//
// At the beginning of every pass it checks that all ranks use one map, by version and by content;
// where they do not, it says so through the hook that it was given. Passes run on a thread of the
// group's own. Thread-safe.

#ifndef SARDINESTREAM_TESTING_EMULATOR_RANK_GROUP_H_
#define SARDINESTREAM_TESTING_EMULATOR_RANK_GROUP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "sardinestream/http/socket.h"
#include "sardinestream/maps/expert_map.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

struct rank_group_options {
    std::string name;
    map_shape shape{2, 4, 16, 6};
    // The most experts of a set that a rank may copy for one map.
    int most_new_experts = 3;
    std::chrono::milliseconds pass_time{10};
    std::chrono::milliseconds copy_time_per_expert{10};
    // From the return of a rank until the group runs again.
    std::chrono::milliseconds form_time{200};
};

class rank_group {
public:
    // `on_mixed_maps` is called for a pass that began with different maps.
    rank_group(rank_group_options chosen, std::function<void(const std::string&)> on_mixed_maps);
    ~rank_group();
    rank_group(const rank_group&) = delete;
    rank_group& operator=(const rank_group&) = delete;

    // One request that runs on a rank. Passes are made while there is one in the group.
    class stream {
    public:
        stream(rank_group& owner, int rank);
        ~stream();
        stream(const stream&) = delete;
        stream& operator=(const stream&) = delete;

        // Waits for a pass beyond the last one waited for; false where none came by `deadline`.
        [[nodiscard]] bool wait_for_pass(steady_time deadline);

    private:
        rank_group& group;
        const int rank;
        std::int64_t last_pass;
    };

    // A rank that ends breaks the group; one that returns knows nothing of before.
    void end_rank(int rank);
    void return_rank(int rank);
    [[nodiscard]] bool is_open() const;
    // Whether any rank is armed for a map that is not in force yet.
    [[nodiscard]] bool is_switching() const;

    // All ranks wait for the slowest: a pass takes so many times as long while the rank is slow.
    void set_slowness(int rank, double slowness);
    // No pass begins before `until`.
    void delay_passes(steady_time until);

    // Which experts the requests choose; any number stands for another taste.
    void set_demand(int taste);

    // What the rank's engine says of itself, but for its requests.
    [[nodiscard]] nlohmann::json report(int rank) const;
    [[nodiscard]] nlohmann::json counts(int rank) const;
    [[nodiscard]] nlohmann::json experts(int rank) const;

    // Carries out an order. Returns the status of the answer.
    [[nodiscard]] int order(int rank, const nlohmann::json& order);

    [[nodiscard]] const map_shape& shape() const { return this->options.shape; }

    // The version that all ranks use, and the passes so far.
    [[nodiscard]] std::int64_t map_version() const;
    [[nodiscard]] std::int64_t passes() const;

private:
    struct armed_map {
        std::int64_t version = 0;
        std::int64_t step = 0;
    };
    struct rank_state {
        bool alive = true;
        int streams = 0;
        double slowness = 1;
        std::int64_t version = 0;
        expert_map map;
        // The highest version that was ever prepared here.
        std::int64_t highest = 0;
        std::int64_t prepared_version = 0;
        expert_map prepared;
        steady_time prepared_at{};
        std::optional<armed_map> armed;
        std::optional<std::int64_t> held_step;
        std::vector<std::int64_t> counts;
    };

    void run();
    [[nodiscard]] bool may_begin_pass(steady_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::chrono::milliseconds pass_time() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void begin_pass() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void check_maps() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void form_anew() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool all_alive() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int prepare(rank_state& state, int rank, const nlohmann::json& order)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int arm(rank_state& state, const nlohmann::json& order)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] int hold(rank_state& state, const nlohmann::json& order)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] static int release(rank_state& state, const nlohmann::json& order);
    [[nodiscard]] std::optional<expert_map> decode_map(const nlohmann::json& sets) const;

    const rank_group_options options;
    const std::function<void(const std::string&)> on_mixed_maps;
    mutable absl::Mutex mutex;
    std::vector<rank_state> ranks ABSL_GUARDED_BY(mutex);
    std::int64_t epoch ABSL_GUARDED_BY(mutex) = 1;
    // The last pass that was begun.
    std::int64_t step ABSL_GUARDED_BY(mutex) = 0;
    steady_time next_pass ABSL_GUARDED_BY(mutex){};
    steady_time opens_at ABSL_GUARDED_BY(mutex){};
    int taste ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread passing;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_RANK_GROUP_H_
