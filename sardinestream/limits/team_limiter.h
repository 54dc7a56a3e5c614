// Enforces the limits of each team across all entries.
//
//     auto permitted = limiter.acquire(*entry, remaining_time);
//     if (auto* refused = std::get_if<refusal>(&permitted)) { ... }
//     ... destroy the permit when the request has ended ...
//     if (auto refused = limiter.charge_attempt(*entry)) { ... }   // each retry and resumption
//
// Each catalogue entry has two limits: requests in flight and requests per second. Entries lend
// each other units of both in the same way. The rate is a token bucket whose burst is the usable
// rate of this entry times `burst_time`, so the bursts of all entries together stay within the
// limit times `burst_time`.
//
// Owns the ledgers and decides which units to borrow, lend and return. `share_exchange` sends the
// messages.

#ifndef SARDINESTREAM_LIMITS_TEAM_LIMITER_H_
#define SARDINESTREAM_LIMITS_TEAM_LIMITER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sardinestream/base/outcome.h"
#include "sardinestream/catalogue/snapshot.h"
#include "sardinestream/limits/limits_clock.h"
#include "sardinestream/limits/limits_generated.h"
#include "sardinestream/limits/share_ledger.h"
#include "sardinestream/routing/backoff.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::limits {

// Counts one request in flight against its team's limit until the last copy is destroyed.
using team_permit = std::shared_ptr<void>;

// The slot of this entry, which makes it root owner `index` of `count`.
struct entry_slot {
    std::uint32_t index = 0; // below `count`
    std::uint32_t count = 1;
    // Time at which the slot was taken over; InfinitePast if no earlier holder can have loans
    // outstanding. Such loans may still be in use for the longest loan time of a limit after this
    // time; until then only the part of the root share that is never lent is used.
    absl::Time taken_over_at = absl::InfinitePast();
};

struct team_limiter_options {
    std::string entry_id;
    absl::Duration burst_time = absl::Seconds(1);
    // Longest time that a request waits for units from another entry.
    absl::Duration max_share_wait = absl::Milliseconds(50);
    std::function<absl::Time()> now = boot_time;
};

// A request to be sent to one peer.
struct planned_trade {
    std::string peer;
    share_requestT request;
};

// Admits requests within the limits of their teams. Thread-safe. Must outlive its permits.
class team_limiter {
public:
    explicit team_limiter(team_limiter_options chosen);
    ~team_limiter() = default;
    team_limiter(const team_limiter&) = delete;
    team_limiter& operator=(const team_limiter&) = delete;

    // Takes one unit of the requests in flight and one of the rate. The request must be guaranteed
    // to end within `remaining_time`. May block up to `max_share_wait` for each of the two units.
    // Refuses with code `team_limit`, outcome `not_run` and a retry-after time.
    [[nodiscard]] std::variant<team_permit, refusal>
    acquire(const catalogue::catalogue_entry& entry, absl::Duration remaining_time);

    // Charges one further attempt of a request in flight to the rate. Does not block.
    [[nodiscard]] std::optional<refusal> charge_attempt(const catalogue::catalogue_entry& entry);

    // Applies the limits of the catalogue, so that this entry can lend units of a team even before
    // it has received a request of that team.
    void set_catalogue(const catalogue::catalogue_snapshot& snapshot);

    // Sets the slot of this entry; without a slot it has no root units.
    void set_slot(std::optional<entry_slot> slot);

    // Sets the function that is called when units are needed at once; it must not block.
    void set_share_needed_callback(std::function<void()> callback);

    // Returns the requests to send to peers now. `peers` are the ids of the other live entries.
    [[nodiscard]] std::vector<planned_trade> plan_trades(const std::vector<std::string>& peers);

    // Lender. Handles a peer's request and returns the response to it.
    [[nodiscard]] share_loanT answer_request(const share_requestT& request);

    // Borrower. Applies a lender's response.
    void apply_answer(const share_loanT& answer);

    // Returns the time until the last loan to another entry has expired.
    [[nodiscard]] absl::Duration time_until_returned() const;

    // For the status page and tests.
    struct share_state {
        std::string resource;
        std::uint32_t limit = 0;
        std::uint32_t usable = 0;
        std::uint32_t in_use = 0;
        std::uint32_t borrowed = 0;
        std::uint32_t lent = 0;
    };
    [[nodiscard]] std::vector<share_state> states() const;

private:
    enum class limit_kind : std::uint8_t { in_flight, rate };

    struct resource {
        limit_kind kind = limit_kind::in_flight;
        std::uint32_t limit = 0;
        absl::Duration loan_time;
        share_ledger ledger;
        std::map<std::uint64_t, std::string> lenders; // entry id, by loan id
        // Token bucket, used only for the rate. From 0 to the usable rate times `burst_time`.
        double tokens = 0;
        absl::Time last_refilled;
        std::uint64_t root_offset = 0; // see the `offset` of root_share
        // Demand of this entry, and unmet demand of entries that asked this one; in units. Both
        // decay over time.
        double demand = 0;
        double demand_elsewhere = 0;
        std::uint32_t refused_since_plan = 0;
        std::uint32_t waiting_requests = 0; // requests that wait for units now
        std::uint32_t attempts_since_plan = 0;
        absl::Time last_planned;
        // Time of the last ask that was answered with zero units, and the number of such answers in
        // a row.
        absl::Time last_refused_ask = absl::InfinitePast();
        int consecutive_refusals = 0;
        absl::Time last_asked = absl::InfinitePast();
        // Times of completions, from which the retry-after time is computed.
        absl::Time last_release = absl::InfinitePast();
        absl::Duration release_interval = absl::ZeroDuration();
        std::unique_ptr<routing::retry_pacer> pacer = std::make_unique<routing::retry_pacer>();
    };
    class permit;

    [[nodiscard]] resource& find_or_create(const std::string& name, limit_kind kind,
                                           std::uint32_t limit, absl::Duration loan_time)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    resource& in_flight_of(const catalogue::catalogue_entry& entry)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    resource& rate_of(const catalogue::catalogue_entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] resource* find_existing(const std::string& key)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns true while loans of an earlier holder of the slot may still be in use.
    [[nodiscard]] bool may_have_old_loans(const resource& held) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::uint32_t root_of(const resource& held) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void update_root(resource& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void refill(resource& rate, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool try_acquire(resource& held, absl::Time until)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Takes one unit. Waits up to `max_share_wait` if a peer may be able to lend one.
    [[nodiscard]] bool acquire_or_wait(const std::function<resource&()>& look_up,
                                       absl::Duration remaining)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool wait_for_share(const std::function<resource&()>& look_up, absl::Time until,
                                      absl::Duration remaining)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] refusal refuse(resource& held, absl::string_view step)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void release(const std::string& key);
    void plan_resource(const std::string& key, resource& held,
                       const std::vector<std::string>& peers,
                       std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void extend_loans(const std::string& key, resource& held, bool is_broker,
                      std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void return_surplus(const std::string& key, resource& held, std::uint32_t surplus,
                        std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void ask_lenders(const std::string& key, resource& held, std::uint32_t deficit,
                     const std::vector<std::string>& lenders, absl::Duration loan_time,
                     std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the units that this entry needs for itself plus `elsewhere`, the demand of others.
    [[nodiscard]] static std::uint32_t units_needed(const resource& held, double elsewhere);
    void update_demand(resource& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::uint32_t answer_item(const share_itemT& item)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const team_limiter_options options;
    mutable absl::Mutex mutex;
    std::optional<entry_slot> slot ABSL_GUARDED_BY(mutex);
    std::map<std::string, resource> resources ABSL_GUARDED_BY(mutex);
    std::function<void()> on_share_needed ABSL_GUARDED_BY(mutex);
    // Incremented whenever units may have arrived or been freed; wakes the requests that wait.
    std::uint64_t change_count ABSL_GUARDED_BY(mutex) = 0;
    routing::random_source random ABSL_GUARDED_BY(mutex);
};

// Returns the broker of a limit, the entry that redistributes the spare units of the others. It is
// chosen by rendezvous hashing (highest random weight) among `entries`, so all that see the same
// entries agree. Entries that see different ones may refuse requests needlessly, but never exceed
// the limit.
[[nodiscard]] std::string broker_of(absl::string_view resource,
                                    const std::vector<std::string>& entries);

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_TEAM_LIMITER_H_
