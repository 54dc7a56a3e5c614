// Executes engine orders on an agent: makes the agent's engine match the target state in the
// catalogue.
//
// Tracks what the engine has confirmed. The target is always read from the newest catalogue that
// the agent has, so a late order only repeats a newer state and is harmless. The catalogue number,
// which never decreases, is the fencing number for engines that check one. For engines that do not,
// the agent itself never sends a number below an earlier one. The executor does not decide when to
// act: an entry sends the order when it is the agent's turn.
//
//     order_executor executor({.wait_for_catalogue = wait, .send = post, .run_while_idle = drain});
//     order_result result = executor.execute("assistant", number, deadline);

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
    // The engine matches the catalogue at `applied_number`.
    applied = 0,
    // This agent's catalogue did not reach the order's number in time, or is older than the one
    // last applied.
    behind = 1,
    // The engine refused or did not answer; the order may be repeated.
    engine_error = 2,
};

struct order_result {
    order_code code = order_code::engine_error;
    std::uint64_t applied_number = 0;
};

// A call to the engine's order interface.
struct engine_call {
    std::string name; // load_model, load_adapter, set_version or set_role
    std::uint64_t fencing_number = 0;
    std::string value;
};

struct order_executor_dependencies {
    // Waits until the catalogue reaches the number. Returns the snapshot, or null at the deadline.
    std::function<std::shared_ptr<const catalogue::catalogue_snapshot>(std::uint64_t number,
                                                                       absl::Time deadline)>
        wait_for_catalogue;
    // Sends one call to the engine.
    std::function<absl::Status(const engine_call&, absl::Time deadline)> send;
    // Calls `change` while no request runs on the engine. Returns an error if the engine does not
    // become idle by the deadline.
    std::function<absl::Status(const std::function<absl::Status()>& change, absl::Time deadline)>
        run_while_idle;
};

// Returns the target state of the engines of `service`, or nullopt if the catalogue has none.
[[nodiscard]] std::optional<catalogue::engine_target>
target_of(const catalogue::catalogue_snapshot& snapshot, absl::string_view service);

// Thread-safe; executes one order at a time.
class order_executor {
public:
    explicit order_executor(order_executor_dependencies parts);

    // Blocks until the engine matches the catalogue at `number` or later, or the attempt has
    // failed.
    [[nodiscard]] order_result execute(absl::string_view service, std::uint64_t number,
                                       absl::Time deadline);

    // The newest catalogue number that the engine matches.
    [[nodiscard]] std::uint64_t applied_number() const;

private:
    [[nodiscard]] absl::Status apply(const catalogue::engine_target& target, std::uint64_t number,
                                     absl::Time deadline) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const order_executor_dependencies dependencies;
    mutable absl::Mutex mutex;
    // State that the engine has confirmed. Initially unset, so that everything is sent after a
    // restart.
    std::optional<catalogue::engine_target> confirmed ABSL_GUARDED_BY(mutex);
    // Never decreases.
    std::uint64_t confirmed_number ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream::orders

#endif // SARDINESTREAM_ORDERS_ORDER_EXECUTOR_H_
