// Stand-in of the model engines of one rank group: N ranks that run steps in lock-step.
//
// Owns the ranks' state, the collective (a step runs once every rank of one group incarnation has
// started it), the rate-limited weight store, the experts' drifting popularity and the ledger of
// which map each rank used in each step. Never decides anything about maps.
//
//     rank_group_engines engines({.ranks = 4});
//     engines.join(0, order);
//     EXPECT_EQ(find_split_step(engines.ledger()), std::nullopt);
//
// Thread-safe. `rank_group_http.h` puts it behind HTTP.

#ifndef SARDINESTREAM_TESTING_RANK_GROUP_ENGINES_H_
#define SARDINESTREAM_TESTING_RANK_GROUP_ENGINES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sardinestream/testing/rank_group_load.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

struct rank_group_options {
    int ranks = 4;
    // Whether orders with an old fencing number are refused.
    bool honours_fencing = true;
    absl::Duration base_step_time = absl::Milliseconds(1);
    absl::Duration time_per_token = absl::Microseconds(1);
    // Experts per second that the weight store delivers, to all ranks together.
    double weight_store_rate = 1000;
    expert_load_options load;
};

// The placement as the engines see it.
struct engine_placement {
    std::uint64_t epoch = 0;
    std::uint64_t proposal_id = 0;
    std::uint64_t from_step = 0;
    std::string digest;
    std::string json; // as ordered
    std::vector<std::uint16_t> ranks;
};

struct engine_order {
    std::uint64_t fencing_number = 0;
    std::uint64_t group_incarnation = 0;
    engine_placement map;
};

struct standing_hold {
    std::uint64_t step = 0;
    std::string token;
};

struct engine_snapshot {
    std::uint64_t engine_incarnation = 0;
    std::uint64_t group_incarnation = 0;
    std::uint64_t step = 0;
    bool step_started = false;
    engine_placement current;
    std::optional<engine_placement> due;
    std::optional<standing_hold> hold;
    std::string staged_digest;
    std::vector<float> tokens;
    double busy_us = 0;
    double step_us = 0;
};

// Steps `first` to `last` that a rank ran on one map.
struct ledger_segment {
    std::uint64_t group_incarnation = 0;
    std::uint64_t first_step = 0;
    std::uint64_t last_step = 0;
    std::uint64_t epoch = 0;
    std::string digest;
};

// One list for each rank, in order of time.
using rank_ledger = std::vector<std::vector<ledger_segment>>;

struct rank_group_stats {
    std::uint64_t steps = 0;
    double step_us = 0;      // sum over steps of the slowest rank's time
    double mean_busy_us = 0; // sum over steps of the ranks' mean time
    std::uint64_t experts_fetched = 0;
    double held_us = 0; // time in which a hold alone kept a step from starting
    std::uint64_t refused_orders = 0;
};

// Returns the first step that ran with two maps, as (group incarnation, step).
[[nodiscard]] std::optional<std::pair<std::uint64_t, std::uint64_t>>
find_split_step(const rank_ledger& ledger);

class rank_group_engines {
public:
    explicit rank_group_engines(const rank_group_options& options);
    ~rank_group_engines();
    rank_group_engines(const rank_group_engines&) = delete;
    rank_group_engines& operator=(const rank_group_engines&) = delete;

    [[nodiscard]] int ranks() const { return this->settings.ranks; }

    // Orders of the rank's agent. `kFailedPrecondition` is a refusal, `kUnavailable` a dead rank.
    [[nodiscard]] absl::StatusOr<engine_snapshot> read(int rank);
    [[nodiscard]] absl::Status stage(int rank, const engine_order& order);
    [[nodiscard]] absl::Status set_hold(int rank, const engine_order& order,
                                        const standing_hold& hold);
    [[nodiscard]] absl::Status apply_map(int rank, const engine_order& order);
    [[nodiscard]] absl::Status release(int rank, absl::string_view token);
    [[nodiscard]] absl::Status join(int rank, const engine_order& order);

    // Faults. A stalled rank starts no step until it is woken; a killed one answers nothing until
    // it is started again, as a new incarnation without group, map or hold.
    void stall(int rank, bool stalled);
    void slow_down(int rank, double factor);
    void kill(int rank);
    void start_again(int rank);

    [[nodiscard]] rank_ledger ledger() const;
    [[nodiscard]] rank_group_stats stats() const;

private:
    struct rank_state {
        bool alive = true;
        bool stalled = false;
        double slow_factor = 1;
        std::uint64_t highest_fencing_number = 0;
        absl::Time staged_at = absl::InfiniteFuture();
        std::string staging_digest;
        engine_snapshot seen;
        std::vector<ledger_segment> segments;
    };

    void run_steps();
    void run_step() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_ready_ranks() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_step(rank_state& rank) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void note_in_ledger(rank_state& rank) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void finish_step(std::uint64_t group_incarnation, std::uint64_t step)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool all_started() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool held_back() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Duration measure_step() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Status check_order(rank_state& rank, const engine_order& order)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] absl::Status refuse(absl::string_view reason)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void reset(rank_state& rank) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const rank_group_options settings;
    mutable absl::Mutex mutex;
    std::vector<rank_state> states ABSL_GUARDED_BY(mutex);
    rank_group_stats totals ABSL_GUARDED_BY(mutex);
    drifting_load popularity ABSL_GUARDED_BY(mutex);
    absl::Time weight_store_free_at ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    std::uint64_t next_engine_incarnation ABSL_GUARDED_BY(mutex) = 1;
    bool changed ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread stepping;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_RANK_GROUP_ENGINES_H_
