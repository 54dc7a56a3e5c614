// The agent's side of engine orders: brings the engine beside it to what the catalogue says.
//
// Owns the knowledge of what the engine has been told. The target is always read from the newest
// catalogue that this agent has, so a late order repeats a newer fact and does no harm; the
// catalogue number, which never falls, is the fencing number towards engines that look at one. For
// engines that do not, the agent itself sends nothing with a number below an earlier one. It never
// decides when: an entry gives each agent its turn.
//
//     order_executor executor({.service = "assistant", .target = read_target, .send = post});
//     order_result result = executor.execute(number, deadline);

#ifndef SARDINESTREAM_ORDERS_ORDER_EXECUTOR_H_
#define SARDINESTREAM_ORDERS_ORDER_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/catalogue/snapshot.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::orders {

enum class order_code : std::uint8_t {
    applied = 0,      // the engine follows the catalogue at `applied_number`
    behind = 1,       // this agent's catalogue did not reach the order's number in time
    engine_error = 2, // the engine refused or did not answer; the order may be repeated
};

struct order_result {
    order_code code = order_code::engine_error;
    std::uint64_t applied_number = 0;
};

// One call to the engine's order interface.
struct engine_call {
    std::string name; // load_model, load_adapter, set_version or set_role
    std::uint64_t fencing = 0;
    std::string value;
};

struct order_executor_parts {
    // Waits until the catalogue has the number; returns the snapshot, or null at the deadline.
    std::function<std::shared_ptr<const catalogue::catalogue_snapshot>(std::uint64_t number,
                                                                       absl::Time deadline)>
        wait_for_catalogue;
    // Sends one call to the engine.
    std::function<absl::Status(const engine_call&, absl::Time deadline)> send;
    // Runs `change` while no request runs on the engine; fails where that cannot be had in time.
    std::function<absl::Status(const std::function<absl::Status()>& change, absl::Time deadline)>
        while_idle;
};

// Returns what the catalogue says about the engines of `service`; none where it says nothing.
[[nodiscard]] std::optional<catalogue::engine_target>
target_of(const catalogue::catalogue_snapshot& snapshot, absl::string_view service);

// Thread-safe; executes one order at a time.
class order_executor {
public:
    explicit order_executor(order_executor_parts parts);

    // Blocks until the engine follows the catalogue at `number` or later, or has failed to.
    [[nodiscard]] order_result execute(absl::string_view service, std::uint64_t number,
                                       absl::Time deadline);

    // The number up to which the engine follows the catalogue.
    [[nodiscard]] std::uint64_t applied_number() const;

private:
    [[nodiscard]] absl::Status apply(const catalogue::engine_target& target, std::uint64_t number,
                                     absl::Time deadline) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const order_executor_parts parts;
    mutable absl::Mutex mutex;
    // What the engine has confirmed; none at the start, so that a restart tells it everything.
    std::optional<catalogue::engine_target> confirmed ABSL_GUARDED_BY(mutex);
    // Never falls.
    std::uint64_t confirmed_number ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream::orders

#endif // SARDINESTREAM_ORDERS_ORDER_EXECUTOR_H_
