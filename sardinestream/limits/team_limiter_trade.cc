// Borrowing and lending of `team_limiter`: decides what to ask of which entry, and what to lend.
// Admission of requests is in team_limiter.cc.

#include <algorithm>
#include <cmath>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/limits/team_limiter.h"
#include "sardinestream/limits/team_limiter_times.h"

namespace sardinestream::limits {
namespace {

// A loan is extended once less than this fraction of its slack is left.
constexpr double extension_slack_fraction = 0.5;
constexpr absl::Duration demand_half_life = absl::Milliseconds(500);
// Borrowed in addition to the current demand, so that a growing demand does not have to wait.
constexpr double headroom_fraction = 0.25;
constexpr double negligible_demand = 0.05;

absl::Duration ask_pause(int refusals)
{
    return std::min(max_ask_pause, min_ask_pause * (1 << std::min(refusals, 6)));
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

std::vector<planned_trade> team_limiter::plan_trades(const std::vector<std::string>& peers)
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

std::uint32_t team_limiter::units_needed(const resource& held, double elsewhere)
{
    const double need = held.demand * (1.0 + headroom_fraction) + held.refused_since_plan +
                        held.waiting_requests + elsewhere;
    return static_cast<std::uint32_t>(
        std::clamp<double>(std::ceil(need - negligible_demand), 0.0, held.limit));
}

void team_limiter::update_demand(resource& held)
{
    const absl::Time now = this->options.now();
    const double elapsed = absl::ToDoubleSeconds(now - held.last_planned);
    const double kept = std::exp2(-elapsed / absl::ToDoubleSeconds(demand_half_life));
    held.demand *= kept;
    held.demand_elsewhere *= kept;
    if (held.kind == limit_kind::in_flight) {
        held.demand = std::max(held.demand, static_cast<double>(held.ledger.in_use()));
    }
    else if (elapsed > 0) {
        held.demand += held.attempts_since_plan / elapsed * (1.0 - kept);
    }
    held.attempts_since_plan = 0;
    held.last_planned = now;
}

void team_limiter::plan_resource(const std::string& key, resource& held,
                                 const std::vector<std::string>& peers,
                                 std::map<std::string, share_requestT>& out)
{
    const absl::Time now = this->options.now();
    if (held.demand < negligible_demand && held.demand_elsewhere < negligible_demand &&
        held.attempts_since_plan + held.refused_since_plan + held.waiting_requests == 0 &&
        held.ledger.is_idle()) {
        held.last_planned = now;
        return;
    }
    held.ledger.remove_expired(now);
    this->update_root(held);
    this->update_demand(held);
    const std::uint32_t usable = held.ledger.usable(now);

    std::vector<std::string> all = peers;
    all.push_back(this->options.entry_id);
    const std::string broker = broker_of(key, all);
    const bool is_broker = broker == this->options.entry_id;
    // Only the broker holds units for others.
    const std::uint32_t need = units_needed(held, is_broker ? held.demand_elsewhere : 0.0);
    held.refused_since_plan = 0;
    this->extend_loans(key, held, is_broker, out);
    if (usable > need) {
        this->return_surplus(key, held, usable - need, out);
        return;
    }
    const bool asked_lately = now - held.last_asked < min_ask_pause ||
                              now - held.last_refused_ask < ask_pause(held.consecutive_refusals);
    if (need == usable || asked_lately || peers.empty()) {
        return;
    }
    held.last_asked = now;
    const absl::Duration time = is_broker ? held.loan_time * broker_loan_factor : held.loan_time;
    this->ask_lenders(key, held, need - usable,
                      is_broker ? peers : std::vector<std::string>{broker}, time, out);
}

void team_limiter::extend_loans(const std::string& key, resource& held, bool is_broker,
                                std::map<std::string, share_requestT>& out)
{
    const absl::Time now = this->options.now();
    const absl::Duration time = is_broker ? held.loan_time * broker_loan_factor : held.loan_time;
    const absl::Duration slack =
        held.kind == limit_kind::rate || is_broker ? held.loan_time : in_flight_loan_extra;
    for (const share_ledger::borrowed_loan& loan : held.ledger.loans(now)) {
        if (loan.expires - now > time - slack * extension_slack_fraction) {
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

void team_limiter::return_surplus(const std::string& key, resource& held, std::uint32_t surplus,
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

void team_limiter::ask_lenders(const std::string& key, resource& held, std::uint32_t deficit,
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

share_loanT team_limiter::answer_request(const share_requestT& request)
{
    absl::MutexLock lock(&this->mutex);
    share_loanT answer;
    bool is_short = false;
    for (const auto& item : request.items) {
        const std::uint32_t units = this->answer_item(*item);
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
    if (is_short && this->on_share_needed) {
        this->on_share_needed();
    }
    return answer;
}

std::uint32_t team_limiter::answer_item(const share_itemT& item)
{
    resource* held = this->find_existing(item.resource);
    if (held == nullptr) {
        return 0;
    }
    const absl::Time now = this->options.now();
    const absl::Duration time = absl::Milliseconds(static_cast<std::int64_t>(item.loan_ms));
    const std::uint32_t need = units_needed(*held, 0);
    this->update_root(*held);
    if (item.action == share_action::reduce) {
        held->ledger.on_reduced(item.loan_id, item.units);
        ++this->change_count;
        return 0;
    }
    if (item.action == share_action::extend) {
        // An entry that is itself short of units lets its loans to others expire.
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

void team_limiter::apply_answer(const share_loanT& answer)
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
            held->consecutive_refusals = 0;
            continue;
        }
        held->last_refused_ask = now;
        ++held->consecutive_refusals;
        held->lenders.erase(item->loan_id);
    }
    ++this->change_count;
}

} // namespace sardinestream::limits
