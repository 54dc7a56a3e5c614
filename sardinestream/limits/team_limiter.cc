#include "sardinestream/limits/team_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/limits/team_limiter_times.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::limits {
namespace {

constexpr absl::Duration rate_loan_time = absl::Seconds(5);
constexpr int refusals_before_giving_up = 4;
constexpr double release_interval_weight = 0.2;
constexpr absl::Duration unknown_release_interval = absl::Milliseconds(200);

absl::Duration in_flight_loan_time(const catalogue::entry_limits& limits)
{
    return absl::Milliseconds(limits.max_deadline_ms) + in_flight_loan_extra;
}

// Returns the units of a root share that are never lent: half of it, rounded up. A single unit has
// no reserve, because it would otherwise be unavailable to all entries but one.
std::uint32_t reserve_of(std::uint32_t root)
{
    return root <= 1 ? 0 : root - root / 2;
}

} // namespace

std::string broker_of(absl::string_view resource, const std::vector<std::string>& entries)
{
    std::string best;
    std::uint64_t best_weight = 0;
    for (const std::string& entry : entries) {
        const std::uint64_t weight = stable_hash(absl::StrCat(entry, "/", resource));
        if (best.empty() || weight > best_weight) {
            best = entry;
            best_weight = weight;
        }
    }
    return best;
}

class team_limiter::permit {
public:
    permit(team_limiter& limiter, std::string resource_key)
        : owner(limiter), key(std::move(resource_key))
    {
    }
    ~permit() { this->owner.release(this->key); }
    permit(const permit&) = delete;
    permit& operator=(const permit&) = delete;

private:
    team_limiter& owner;
    const std::string key;
};

team_limiter::team_limiter(team_limiter_options chosen)
    : options(std::move(chosen)), random(random_u64())
{
}

std::variant<team_permit, refusal> team_limiter::acquire(const catalogue::catalogue_entry& entry,
                                                         absl::Duration remaining_time)
{
    absl::MutexLock lock(&this->mutex);
    auto rate = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) -> resource& {
        return this->rate_of(entry);
    };
    auto in_flight = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) -> resource& {
        return this->in_flight_of(entry);
    };
    if (!this->acquire_or_wait(in_flight, remaining_time)) {
        return this->refuse(in_flight(), "limit_in_flight");
    }
    if (!this->acquire_or_wait(rate, remaining_time)) {
        in_flight().ledger.release();
        ++this->change_count;
        return this->refuse(rate(), "limit_rate");
    }
    return team_permit(std::make_shared<permit>(*this, absl::StrCat("in_flight/", entry.name)));
}

std::optional<refusal> team_limiter::charge_attempt(const catalogue::catalogue_entry& entry)
{
    absl::MutexLock lock(&this->mutex);
    resource& rate = this->rate_of(entry);
    if (this->try_acquire(rate, this->options.now())) {
        return std::nullopt;
    }
    return this->refuse(rate, "limit_rate");
}

void team_limiter::set_catalogue(const catalogue::catalogue_snapshot& snapshot)
{
    absl::MutexLock lock(&this->mutex);
    std::map<std::string, bool> present;
    for (const catalogue::catalogue_entry& entry : snapshot.entries()) {
        this->in_flight_of(entry);
        this->rate_of(entry);
        present[entry.name] = true;
    }
    for (auto& [key, held] : this->resources) {
        if (!present.contains(key.substr(key.find('/') + 1))) {
            held.limit = 0;
            this->update_root(held);
        }
    }
}

void team_limiter::set_slot(std::optional<entry_slot> claimed)
{
    absl::MutexLock lock(&this->mutex);
    this->slot = claimed;
    for (auto& [key, held] : this->resources) {
        this->update_root(held);
    }
    ++this->change_count;
}

void team_limiter::set_share_needed_callback(std::function<void()> callback)
{
    absl::MutexLock lock(&this->mutex);
    this->on_share_needed = std::move(callback);
}

team_limiter::resource& team_limiter::find_or_create(const std::string& name, limit_kind kind,
                                                     std::uint32_t limit, absl::Duration loan_time)
{
    const std::string key = absl::StrCat(kind == limit_kind::rate ? "rate/" : "in_flight/", name);
    auto [found, is_new] = this->resources.try_emplace(key);
    resource& held = found->second;
    const absl::Time now = this->options.now();
    if (is_new) {
        held.kind = kind;
        held.last_refilled = now;
        held.last_planned = now;
        held.root_offset = stable_hash(key);
    }
    held.limit = limit;
    held.loan_time = loan_time;
    this->update_root(held);
    return held;
}

team_limiter::resource& team_limiter::in_flight_of(const catalogue::catalogue_entry& entry)
{
    return this->find_or_create(entry.name, limit_kind::in_flight, entry.limits.max_in_flight,
                                in_flight_loan_time(entry.limits));
}

team_limiter::resource& team_limiter::rate_of(const catalogue::catalogue_entry& entry)
{
    return this->find_or_create(entry.name, limit_kind::rate, entry.limits.requests_per_s,
                                rate_loan_time);
}

team_limiter::resource* team_limiter::find_existing(const std::string& key)
{
    auto found = this->resources.find(key);
    return found == this->resources.end() ? nullptr : &found->second;
}

bool team_limiter::may_have_old_loans(const resource& held) const
{
    const absl::Duration longest_loan = held.loan_time * broker_loan_factor;
    return this->slot.has_value() && this->options.now() < this->slot->taken_over_at +
                                                               longest_loan +
                                                               loan_margin(longest_loan);
}

std::uint32_t team_limiter::root_of(const resource& held) const
{
    if (!this->slot) {
        return 0;
    }
    const std::uint32_t root =
        root_share(held.limit, this->slot->index, this->slot->count, held.root_offset);
    return this->may_have_old_loans(held) ? reserve_of(root) : root;
}

void team_limiter::update_root(resource& held)
{
    const std::uint32_t root = this->root_of(held);
    const std::uint32_t before = held.ledger.root_units();
    if (held.kind == limit_kind::rate) {
        // The elapsed time is credited at the old share. New root units add their burst at once.
        this->refill(held, this->options.now());
        held.tokens +=
            root > before ? (root - before) * absl::ToDoubleSeconds(this->options.burst_time) : 0;
    }
    held.ledger.set_root(root);
    // While loans of an earlier holder may last, the root consists only of units that it never
    // lent. They must not be lent now either: a further holder of the slot relies on that to use
    // them at once.
    held.ledger.set_reserve(this->may_have_old_loans(held) ? root : reserve_of(root));
}

void team_limiter::refill(resource& rate, absl::Time now)
{
    const double units = rate.ledger.usable(now);
    const double elapsed = absl::ToDoubleSeconds(now - rate.last_refilled);
    const double most = units * absl::ToDoubleSeconds(this->options.burst_time);
    rate.tokens = std::min(most, rate.tokens + units * elapsed);
    rate.last_refilled = now;
}

bool team_limiter::try_acquire(resource& held, absl::Time until)
{
    const absl::Time now = this->options.now();
    if (held.kind == limit_kind::in_flight) {
        if (!held.ledger.try_use(until, now)) {
            return false;
        }
        held.demand = std::max(held.demand, static_cast<double>(held.ledger.in_use()));
        return true;
    }
    ++held.attempts_since_plan;
    this->refill(held, now);
    if (held.tokens < 1.0) {
        return false;
    }
    held.tokens -= 1.0;
    return true;
}

bool team_limiter::acquire_or_wait(const std::function<resource&()>& look_up,
                                   absl::Duration remaining)
{
    const absl::Time until = this->options.now() + remaining;
    if (this->try_acquire(look_up(), until)) {
        return true;
    }
    if (!this->on_share_needed) {
        ++look_up().refused_since_plan;
        return false;
    }
    ++look_up().waiting_requests;
    const bool taken = this->wait_for_share(look_up, until, remaining);
    --look_up().waiting_requests;
    look_up().refused_since_plan += taken ? 0 : 1;
    return taken;
}

bool team_limiter::wait_for_share(const std::function<resource&()>& look_up, absl::Time until,
                                  absl::Duration remaining)
{
    const absl::Time give_up = absl::Now() + std::min(this->options.max_share_wait, remaining);
    while (absl::Now() < give_up) {
        const resource& held = look_up();
        const absl::Time now = this->options.now();
        const bool has_all = held.ledger.usable(now) >= held.limit;
        const bool all_refused = held.consecutive_refusals >= refusals_before_giving_up &&
                                 now - held.last_refused_ask < max_ask_pause;
        if (has_all || all_refused) {
            return false;
        }
        this->on_share_needed();
        const std::uint64_t seen = this->change_count;
        auto changed = [this, seen]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
            return this->change_count != seen;
        };
        this->mutex.AwaitWithDeadline(absl::Condition(&changed),
                                      std::min(give_up, absl::Now() + min_ask_pause));
        if (this->try_acquire(look_up(), until)) {
            return true;
        }
    }
    return false;
}

refusal team_limiter::refuse(resource& held, absl::string_view step)
{
    const absl::Time now = this->options.now();
    const double units = std::max(1.0, static_cast<double>(held.ledger.usable(now)));
    const absl::Duration interval = held.kind == limit_kind::rate ? absl::Seconds(1.0 / units)
                                    : held.release_interval > absl::ZeroDuration()
                                        ? held.release_interval
                                        : unknown_release_interval;
    refusal reason;
    reason.code = refusal_code::team_limit;
    reason.outcome = run_outcome::not_run;
    reason.retry_after =
        held.pacer->next_retry_after(interval, absl::ZeroDuration(), now, this->random);
    reason.message = "the team has reached its limit";
    reason.step = std::string(step);
    count("sardine_team_limit_refusals_total", {{"limit", std::string(step)}});
    return reason;
}

void team_limiter::release(const std::string& key)
{
    absl::MutexLock lock(&this->mutex);
    resource* held = this->find_existing(key);
    if (held == nullptr) {
        return;
    }
    held->ledger.release();
    ++this->change_count;
    const absl::Time now = this->options.now();
    if (held->last_release != absl::InfinitePast()) {
        const absl::Duration interval = now - held->last_release;
        held->release_interval += (interval - held->release_interval) * release_interval_weight;
    }
    held->last_release = now;
}

absl::Duration team_limiter::time_until_returned() const
{
    absl::MutexLock lock(&this->mutex);
    const absl::Time now = this->options.now();
    absl::Time last = now;
    for (const auto& [key, held] : this->resources) {
        last = std::max(last, held.ledger.last_return(now));
    }
    return last - now;
}

std::vector<team_limiter::share_state> team_limiter::states() const
{
    absl::MutexLock lock(&this->mutex);
    const absl::Time now = this->options.now();
    std::vector<share_state> all;
    all.reserve(this->resources.size());
    for (const auto& [key, held] : this->resources) {
        all.push_back({key, held.limit, held.ledger.usable(now), held.ledger.in_use(),
                       held.ledger.borrowed(now), held.ledger.lent(now)});
    }
    return all;
}

} // namespace sardinestream::limits
