// Holds each team to its limits over all entries together.
//
//     auto permitted = limiter.acquire(*entry, remaining_time);
//     if (auto* refused = std::get_if<refusal>(&permitted)) { ... }
//     ... the permit is dropped when the request has ended ...
//     if (auto refused = limiter.charge_attempt(*entry)) { ... }   // each retry and resumption
//
// Each catalogue entry has two limits, which are traded alike: requests in flight and requests a
// second. The rate is a token bucket whose burst is the entry's usable rate times `burst_time`, so
// that bursts of all entries together stay within limit times `burst_time`.
//
// Owns the ledgers and the decision what to trade. `share_exchange` does the talking.

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

// Held while a request counts against its team; dropping it ends that.
using team_permit = std::shared_ptr<void>;

// Which root owner this entry is.
struct entry_slot {
    std::uint32_t index = 0; // below `count`
    std::uint32_t count = 1;
    // An earlier holder's loans may still be in use for the longest loan time of a limit after
    // `claimed`: until then only the part of the root share is used that is never lent.
    // InfinitePast where there was no holder.
    absl::Time taken_over_at = absl::InfinitePast();
};

struct team_limiter_options {
    std::string entry_id;
    absl::Duration burst_time = absl::Seconds(1);
    // How long a request may wait for a share that another entry can spare.
    absl::Duration share_wait = absl::Milliseconds(50);
    std::function<absl::Time()> now = boot_time;
};

// What is to be sent to one peer.
struct planned_trade {
    std::string peer;
    share_requestT request;
};

// Thread-safe. Must outlive its permits.
class team_limiter {
public:
    explicit team_limiter(team_limiter_options chosen);
    ~team_limiter() = default;
    team_limiter(const team_limiter&) = delete;
    team_limiter& operator=(const team_limiter&) = delete;

    // Takes one request in flight and one from the rate. `remaining_time` must bound the request
    // for certain. Refuses with `team_limit`, outcome `not_run` and a time to come back.
    [[nodiscard]] std::variant<team_permit, refusal>
    acquire(const catalogue::catalogue_entry& entry, absl::Duration remaining_time);

    // Takes one further attempt of a request in flight from the rate.
    [[nodiscard]] std::optional<refusal> charge_attempt(const catalogue::catalogue_entry& entry);

    // The limits in force. A share can be lent even where no request of the team has come here.
    void set_catalogue(const catalogue::catalogue_snapshot& snapshot);

    // This entry's slot, or none.
    void set_slot(std::optional<entry_slot> slot);

    // Called when a share is needed at once; must not block.
    void set_share_needed_callback(std::function<void()> wake);

    // What to ask of which peer now. `peers` are the ids of the other live entries.
    [[nodiscard]] std::vector<planned_trade> plan_trades(const std::vector<std::string>& peers);

    // Lender's side: answers a peer's request.
    [[nodiscard]] share_loanT answer_request(const share_requestT& request);

    // Borrower's side: takes the answer in.
    void apply_answer(const share_loanT& answer);

    // The longest time until a loan that was given out has come back.
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
        std::map<std::uint64_t, std::string> lenders; // by loan
        // Token bucket; rate only. Between zero and usable rate times burst time.
        double tokens = 0;
        absl::Time last_refilled;
        std::uint64_t root_offset = 0; // see root_share
        // Demand in units, all of which decays: of this entry, and of those that asked here in
        // vain.
        double demand = 0;
        double demand_elsewhere = 0;
        std::uint32_t refused_since_plan = 0;  // since the last plan
        std::uint32_t waiting_requests = 0;    // requests that wait for a share now
        std::uint32_t attempts_since_plan = 0; // since the last plan
        absl::Time last_planned;
        // When asks were last answered with nothing, and how often in a row.
        absl::Time last_refused_ask = absl::InfinitePast();
        int consecutive_refusals = 0;
        absl::Time last_asked = absl::InfinitePast();
        // Completions, for the time to come back.
        absl::Time last_release = absl::InfinitePast();
        absl::Duration release_interval = absl::ZeroDuration();
        std::unique_ptr<routing::retry_pacer> pacer = std::make_unique<routing::retry_pacer>();
    };
    class permit;

    [[nodiscard]] resource& find(const std::string& name, limit_kind kind, std::uint32_t limit,
                                 absl::Duration loan_time) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    resource& in_flight_of(const catalogue::catalogue_entry& entry)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    resource& rate_of(const catalogue::catalogue_entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] resource* find_existing(const std::string& key)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // True while loans of an earlier holder of the slot may still be in use.
    [[nodiscard]] bool may_have_old_loans(const resource& held) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::uint32_t root_of(const resource& held) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void update_root(resource& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void refill(resource& rate, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool try_acquire(resource& held, absl::Time until)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Takes one unit, waiting up to `share_wait` where a peer may have some to spare.
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
    void extend_loans(const std::string& key, resource& held, bool is_home,
                      std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void return_surplus(const std::string& key, resource& held, std::uint32_t surplus,
                        std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void ask_lenders(const std::string& key, resource& held, std::uint32_t deficit,
                     const std::vector<std::string>& lenders, absl::Duration loan_time,
                     std::map<std::string, share_requestT>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Units that this entry wants for itself and `elsewhere`.
    [[nodiscard]] static std::uint32_t units_needed(const resource& held, double elsewhere);
    void update_demand(resource& held) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] std::uint32_t answer_item(const share_itemT& item)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const team_limiter_options options;
    mutable absl::Mutex mutex;
    std::optional<entry_slot> slot ABSL_GUARDED_BY(mutex);
    std::map<std::string, resource> resources ABSL_GUARDED_BY(mutex);
    std::function<void()> on_share_needed ABSL_GUARDED_BY(mutex);
    // Grows whenever a share arrives or comes free, for those who wait.
    std::uint64_t change_count ABSL_GUARDED_BY(mutex) = 0;
    routing::random_source random ABSL_GUARDED_BY(mutex);
};

// Returns the entry that trades a limit's spare shares: the highest random weight among `entries`.
// All who see the same entries agree; those who do not lose accuracy, never safety.
[[nodiscard]] std::string broker_of(absl::string_view resource,
                                    const std::vector<std::string>& entries);

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_TEAM_LIMITER_H_
