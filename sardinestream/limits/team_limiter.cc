#include "sardinestream/limits/team_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::limits {
namespace {

// Time by which a loan of requests in flight outlasts the longest request.
constexpr absl::Duration in_flight_loan_extra = absl::Seconds(20);
constexpr absl::Duration rate_loan_time = absl::Seconds(5);
// A loan is extended once less than this share of its slack is left.
constexpr double extend_share = 0.5;
// The home borrows for longer than it lends.
constexpr double home_loan_factor = 2.0;
constexpr absl::Duration demand_half_life = absl::Milliseconds(500);
// Borrowed beyond the need, so that a growing demand finds room.
constexpr double headroom_share = 0.25;
// After a refused ask the same need is not put to peers again at once; the pause doubles.
constexpr absl::Duration first_ask_pause = absl::Milliseconds(10);
constexpr absl::Duration longest_ask_pause = absl::Milliseconds(200);
constexpr int hopeless_refusals = 4;
constexpr double negligible_demand = 0.05;
constexpr double release_weight = 0.2;
constexpr absl::Duration unknown_release_interval = absl::Milliseconds(200);

absl::Duration in_flight_loan_time(const catalogue::entry_limits& limits)
{
    return absl::Milliseconds(limits.max_deadline_ms) + in_flight_loan_extra;
}

absl::Duration ask_pause(int refusals)
{
    return std::min(longest_ask_pause, first_ask_pause * (1 << std::min(refusals, 6)));
}

std::unique_ptr<share_itemT> make_item(const std::string& key, std::uint64_t loan,
                                       share_action action, std::uint32_t units,
                                       absl::Duration loan_time)
{
    auto item = std::make_unique<share_itemT>();
    item->resource = key;
    item->loan_id = loan;
    item->action = action;
    item->units = units;
    item->loan_ms = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(loan_time));
    return item;
}

} // namespace

std::string home_of(absl::string_view resource, const std::vector<std::string>& entries)
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
    if (!this->take_or_wait(in_flight, remaining_time)) {
        return this->refuse(in_flight(), "limit_in_flight");
    }
    if (!this->take_or_wait(rate, remaining_time)) {
        in_flight().ledger.release();
        ++this->changes;
        return this->refuse(rate(), "limit_rate");
    }
    return team_permit(std::make_shared<permit>(*this, absl::StrCat("in_flight/", entry.name)));
}

std::optional<refusal> team_limiter::charge_attempt(const catalogue::catalogue_entry& entry)
{
    absl::MutexLock lock(&this->mutex);
    resource& rate = this->rate_of(entry);
    if (this->try_take(rate, this->options.now())) {
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
    ++this->changes;
}

void team_limiter::set_wake(std::function<void()> hook)
{
    absl::MutexLock lock(&this->mutex);
    this->wake = std::move(hook);
}

team_limiter::resource& team_limiter::find(const std::string& name, limit_kind kind,
                                           std::uint32_t limit, absl::Duration loan_time)
{
    const std::string key = absl::StrCat(kind == limit_kind::rate ? "rate/" : "in_flight/", name);
    auto [found, is_new] = this->resources.try_emplace(key);
    resource& held = found->second;
    const absl::Time now = this->options.now();
    if (is_new) {
        held.kind = kind;
        held.refilled = now;
        held.planned = now;
        held.turn = stable_hash(key);
    }
    held.limit = limit;
    held.loan_time = loan_time;
    this->update_root(held);
    return held;
}

team_limiter::resource& team_limiter::in_flight_of(const catalogue::catalogue_entry& entry)
{
    return this->find(entry.name, limit_kind::in_flight, entry.limits.max_in_flight,
                      in_flight_loan_time(entry.limits));
}

team_limiter::resource& team_limiter::rate_of(const catalogue::catalogue_entry& entry)
{
    return this->find(entry.name, limit_kind::rate, entry.limits.requests_per_s, rate_loan_time);
}

team_limiter::resource* team_limiter::find_existing(const std::string& key)
{
    auto found = this->resources.find(key);
    return found == this->resources.end() ? nullptr : &found->second;
}

std::uint32_t team_limiter::root_of(const resource& held) const
{
    if (!this->slot) {
        return 0;
    }
    const absl::Duration longest_loan = held.loan_time * home_loan_factor;
    const absl::Time usable_from = this->slot->claimed + longest_loan + loan_margin(longest_loan);
    if (this->options.now() < usable_from) {
        return 0;
    }
    return root_share(held.limit, this->slot->index, this->slot->count, held.turn);
}

void team_limiter::update_root(resource& held)
{
    const std::uint32_t root = this->root_of(held);
    const std::uint32_t before = held.ledger.root_units();
    if (held.kind == limit_kind::rate) {
        // Time that has passed counts at the old share; new root units bring their burst along.
        this->refill(held, this->options.now());
        held.tokens +=
            root > before ? (root - before) * absl::ToDoubleSeconds(this->options.burst_time) : 0;
    }
    held.ledger.set_root(root);
}

void team_limiter::refill(resource& rate, absl::Time now)
{
    const double units = rate.ledger.usable(now);
    const double elapsed = absl::ToDoubleSeconds(now - rate.refilled);
    const double most = units * absl::ToDoubleSeconds(this->options.burst_time);
    rate.tokens = std::min(most, rate.tokens + units * elapsed);
    rate.refilled = now;
}

bool team_limiter::try_take(resource& held, absl::Time until)
{
    const absl::Time now = this->options.now();
    if (held.kind == limit_kind::in_flight) {
        if (!held.ledger.use(until, now)) {
            return false;
        }
        held.demand = std::max(held.demand, static_cast<double>(held.ledger.in_use()));
        return true;
    }
    ++held.attempts;
    this->refill(held, now);
    if (held.tokens < 1.0) {
        return false;
    }
    held.tokens -= 1.0;
    return true;
}

bool team_limiter::take_or_wait(const std::function<resource&()>& look_up, absl::Duration remaining)
{
    const absl::Time until = this->options.now() + remaining;
    if (this->try_take(look_up(), until)) {
        return true;
    }
    if (!this->wake) {
        ++look_up().refused;
        return false;
    }
    ++look_up().waiting;
    const bool taken = this->wait_for_share(look_up, until, remaining);
    --look_up().waiting;
    look_up().refused += taken ? 0 : 1;
    return taken;
}

bool team_limiter::wait_for_share(const std::function<resource&()>& look_up, absl::Time until,
                                  absl::Duration remaining)
{
    const absl::Time give_up = absl::Now() + std::min(this->options.share_wait, remaining);
    while (absl::Now() < give_up) {
        const resource& held = look_up();
        const absl::Time now = this->options.now();
        const bool has_all = held.ledger.usable(now) >= held.limit;
        const bool all_refused = held.refusals_in_a_row >= hopeless_refusals &&
                                 now - held.refused_share < longest_ask_pause;
        if (has_all || all_refused) {
            return false;
        }
        this->wake();
        const std::uint64_t seen = this->changes;
        auto changed = [this, seen]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
            return this->changes != seen;
        };
        this->mutex.AwaitWithDeadline(absl::Condition(&changed),
                                      std::min(give_up, absl::Now() + first_ask_pause));
        if (this->try_take(look_up(), until)) {
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
    reason.retry_after = held.pacer->next(interval, absl::ZeroDuration(), now, this->random);
    reason.message = "the team is at its limit";
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
    ++this->changes;
    const absl::Time now = this->options.now();
    if (held->last_release != absl::InfinitePast()) {
        const absl::Duration interval = now - held->last_release;
        held->release_interval += (interval - held->release_interval) * release_weight;
    }
    held->last_release = now;
}

std::vector<planned_trade> team_limiter::plan(const std::vector<std::string>& peers)
{
    absl::MutexLock lock(&this->mutex);
    std::map<std::string, share_requestT> out;
    for (auto& [key, held] : this->resources) {
        this->plan_resource(key, held, peers, out);
    }
    std::vector<planned_trade> trades;
    trades.reserve(out.size());
    for (auto& [peer, request] : out) {
        request.borrower = this->options.entry_id;
        trades.push_back({peer, std::move(request)});
    }
    return trades;
}

std::uint32_t team_limiter::need_of(const resource& held, double elsewhere)
{
    const double need =
        held.demand * (1.0 + headroom_share) + held.refused + held.waiting + elsewhere;
    return static_cast<std::uint32_t>(
        std::clamp<double>(std::ceil(need - negligible_demand), 0.0, held.limit));
}

void team_limiter::decay_demand(resource& held)
{
    const absl::Time now = this->options.now();
    const double elapsed = absl::ToDoubleSeconds(now - held.planned);
    const double kept = std::exp2(-elapsed / absl::ToDoubleSeconds(demand_half_life));
    held.demand *= kept;
    held.demand_elsewhere *= kept;
    if (held.kind == limit_kind::in_flight) {
        held.demand = std::max(held.demand, static_cast<double>(held.ledger.in_use()));
    }
    else if (elapsed > 0) {
        held.demand += held.attempts / elapsed * (1.0 - kept);
    }
    held.attempts = 0;
    held.planned = now;
}

void team_limiter::plan_resource(const std::string& key, resource& held,
                                 const std::vector<std::string>& peers,
                                 std::map<std::string, share_requestT>& out)
{
    const absl::Time now = this->options.now();
    if (held.demand < negligible_demand && held.demand_elsewhere < negligible_demand &&
        held.attempts + held.refused + held.waiting == 0 && held.ledger.is_plain()) {
        held.planned = now;
        return;
    }
    held.ledger.tidy(now);
    this->update_root(held);
    this->decay_demand(held);
    const std::uint32_t usable = held.ledger.usable(now);

    std::vector<std::string> all = peers;
    all.push_back(this->options.entry_id);
    const std::string home = home_of(key, all);
    const bool is_home = home == this->options.entry_id;
    // Only the home holds shares for others.
    const std::uint32_t need = need_of(held, is_home ? held.demand_elsewhere : 0.0);
    held.refused = 0;
    this->extend_loans(key, held, is_home, out);
    if (usable > need) {
        this->give_back(key, held, usable - need, out);
        return;
    }
    const bool asked_lately = now - held.asked < first_ask_pause ||
                              now - held.refused_share < ask_pause(held.refusals_in_a_row);
    if (need == usable || asked_lately || peers.empty()) {
        return;
    }
    held.asked = now;
    const absl::Duration time = is_home ? held.loan_time * home_loan_factor : held.loan_time;
    this->ask_for(key, held, need - usable, is_home ? peers : std::vector<std::string>{home}, time,
                  out);
}

void team_limiter::extend_loans(const std::string& key, resource& held, bool is_home,
                                std::map<std::string, share_requestT>& out)
{
    const absl::Time now = this->options.now();
    const absl::Duration time = is_home ? held.loan_time * home_loan_factor : held.loan_time;
    const absl::Duration slack =
        held.kind == limit_kind::rate || is_home ? held.loan_time : in_flight_loan_extra;
    for (const share_ledger::borrowed_loan& loan : held.ledger.loans(now)) {
        if (loan.expires - now > time - slack * extend_share) {
            continue;
        }
        auto lender = held.lenders.find(loan.id);
        if (lender == held.lenders.end() || !held.ledger.ask_extension(loan.id, time, now)) {
            continue;
        }
        out[lender->second].items.push_back(
            make_item(key, loan.id, share_action::extend, loan.units, time));
    }
}

void team_limiter::give_back(const std::string& key, resource& held, std::uint32_t surplus,
                             std::map<std::string, share_requestT>& out)
{
    const absl::Time now = this->options.now();
    for (const share_ledger::borrowed_loan& loan : held.ledger.loans(now)) {
        if (surplus == 0) {
            return;
        }
        const std::uint32_t wanted = loan.units - std::min(surplus, loan.units);
        const std::uint32_t kept = held.ledger.reduce(loan.id, wanted, now);
        if (kept == loan.units) {
            continue;
        }
        surplus -= loan.units - kept;
        out[held.lenders[loan.id]].items.push_back(
            make_item(key, loan.id, share_action::reduce, kept, absl::ZeroDuration()));
        if (kept == 0) {
            held.lenders.erase(loan.id);
        }
    }
}

void team_limiter::ask_for(const std::string& key, resource& held, std::uint32_t deficit,
                           const std::vector<std::string>& lenders, absl::Duration loan_time,
                           std::map<std::string, share_requestT>& out)
{
    const std::uint32_t count = static_cast<std::uint32_t>(lenders.size());
    const std::uint32_t each = (deficit + count - 1) / count;
    for (const std::string& lender : lenders) {
        const std::uint64_t id = held.ledger.ask(random_u64(), loan_time, this->options.now());
        held.lenders[id] = lender;
        out[lender].items.push_back(make_item(key, id, share_action::ask, each, loan_time));
    }
}

share_loanT team_limiter::serve(const share_requestT& request)
{
    absl::MutexLock lock(&this->mutex);
    share_loanT answer;
    bool is_short = false;
    for (const auto& item : request.items) {
        const std::uint32_t units = this->serve_item(*item);
        if (item->action == share_action::reduce) {
            continue;
        }
        auto loan = std::make_unique<loan_itemT>();
        loan->resource = item->resource;
        loan->loan_id = item->loan_id;
        loan->units = units;
        answer.items.push_back(std::move(loan));
        is_short = is_short || units < item->units;
    }
    if (is_short && this->wake) {
        this->wake();
    }
    return answer;
}

std::uint32_t team_limiter::serve_item(const share_itemT& item)
{
    resource* held = this->find_existing(item.resource);
    if (held == nullptr) {
        return 0;
    }
    const absl::Time now = this->options.now();
    const absl::Duration time = absl::Milliseconds(static_cast<std::int64_t>(item.loan_ms));
    const std::uint32_t need = need_of(*held, 0);
    this->update_root(*held);
    if (item.action == share_action::reduce) {
        held->ledger.on_reduced(item.loan_id, item.units);
        ++this->changes;
        return 0;
    }
    if (item.action == share_action::extend) {
        // Whoever is short itself lets its loans run out.
        return need > held->ledger.usable(now) ? 0 : held->ledger.extend(item.loan_id, time, now);
    }
    const std::uint32_t in_use = held->ledger.in_use();
    const std::uint32_t wanted = std::min(need, held->ledger.root_units());
    const std::uint32_t keep = wanted > in_use ? wanted - in_use : 0;
    const std::uint32_t units = held->ledger.lend(item.loan_id, item.units, keep, time, now);
    held->demand_elsewhere =
        std::max<double>(item.units - std::min(item.units, units), held->demand_elsewhere - units);
    if (held->kind == limit_kind::rate) {
        this->refill(*held, now);
    }
    return units;
}

void team_limiter::take(const share_loanT& answer)
{
    absl::MutexLock lock(&this->mutex);
    const absl::Time now = this->options.now();
    for (const auto& item : answer.items) {
        resource* held = this->find_existing(item->resource);
        if (held == nullptr) {
            continue;
        }
        if (held->kind == limit_kind::rate) {
            this->refill(*held, now);
        }
        held->ledger.on_granted(item->loan_id, item->units, now);
        if (item->units > 0) {
            held->refusals_in_a_row = 0;
            continue;
        }
        held->refused_share = now;
        ++held->refusals_in_a_row;
        held->lenders.erase(item->loan_id);
    }
    ++this->changes;
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
