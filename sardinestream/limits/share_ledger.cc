#include "sardinestream/limits/share_ledger.h"

#include <algorithm>

namespace sardinestream::limits {
namespace {

constexpr absl::Duration fixed_margin = absl::Seconds(1);
constexpr double margin_fraction = 0.01;

std::uint32_t not_negative(std::int64_t units)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, units));
}

} // namespace

absl::Duration loan_margin(absl::Duration loan_time)
{
    return fixed_margin + loan_time * margin_fraction;
}

std::uint32_t root_share(std::uint32_t limit, std::uint32_t index, std::uint32_t count,
                         std::uint64_t offset)
{
    const std::uint32_t turned = static_cast<std::uint32_t>((index + offset % count) % count);
    return limit / count + (turned < limit % count ? 1 : 0);
}

std::uint32_t share_ledger::usable(absl::Time now) const
{
    return not_negative(this->balance_at(now));
}

std::uint32_t share_ledger::free_until(absl::Time until, absl::Time now) const
{
    return not_negative(this->min_free(now, until));
}

std::uint32_t share_ledger::borrowed(absl::Time now) const
{
    std::uint32_t units = 0;
    for (const auto& [id, held] : this->borrowed_by_id) {
        units += held.ends > now ? held.units : 0;
    }
    return units;
}

std::uint32_t share_ledger::lent(absl::Time now) const
{
    std::uint32_t units = 0;
    for (const auto& [id, out] : this->lent_by_id) {
        units += out.ends > now ? out.units : 0;
    }
    return units;
}

std::vector<share_ledger::borrowed_loan> share_ledger::loans(absl::Time now) const
{
    std::vector<borrowed_loan> held;
    for (const auto& [id, one] : this->borrowed_by_id) {
        if (one.ends > now) {
            held.push_back({id, one.units, one.ends});
        }
    }
    return held;
}

absl::Time share_ledger::last_return(absl::Time now) const
{
    absl::Time last = now;
    for (const auto& [id, out] : this->lent_by_id) {
        last = std::max(last, out.ends);
    }
    return last;
}

bool share_ledger::try_use(absl::Time until, absl::Time now)
{
    if (this->min_free(now, until) < 1) {
        return false;
    }
    ++this->used;
    return true;
}

std::uint64_t share_ledger::ask(std::uint64_t id, absl::Duration loan_time, absl::Time now)
{
    this->pending_by_id[id] = {now, loan_time, false};
    return id;
}

bool share_ledger::ask_extension(std::uint64_t id, absl::Duration loan_time, absl::Time now)
{
    auto held = this->borrowed_by_id.find(id);
    if (held == this->borrowed_by_id.end() || held->second.ends <= now) {
        return false;
    }
    this->pending_by_id[id] = {now, loan_time, true};
    return true;
}

void share_ledger::on_granted(std::uint64_t id, std::uint32_t units, absl::Time now)
{
    auto pending = this->pending_by_id.find(id);
    if (pending == this->pending_by_id.end()) {
        return;
    }
    const absl::Time ends = pending->second.sent + pending->second.loan_time;
    const bool extension = pending->second.extension;
    this->pending_by_id.erase(pending);
    if (units == 0 || ends <= now) {
        return;
    }
    if (!extension) {
        this->borrowed_by_id.try_emplace(id, loan{units, ends});
        return;
    }
    // The lender may have answered before it learned that the loan was returned or reduced. A
    // returned loan must not be revived, and a reduced loan must not grow again.
    auto held = this->borrowed_by_id.find(id);
    if (held == this->borrowed_by_id.end()) {
        return;
    }
    held->second.units = std::min(held->second.units, units);
    held->second.ends = std::max(held->second.ends, ends);
}

std::uint32_t share_ledger::reduce(std::uint64_t id, std::uint32_t units, absl::Time now)
{
    auto held = this->borrowed_by_id.find(id);
    if (held == this->borrowed_by_id.end() || held->second.ends <= now) {
        return 0;
    }
    // The last moment before the loan itself ends.
    const absl::Time last = held->second.ends - absl::Nanoseconds(1);
    const std::uint32_t spare = not_negative(
        std::min(this->min_free(now, last), this->min_balance(now, last) - this->reserve));
    const std::uint32_t forgone =
        std::min(spare, held->second.units - std::min(units, held->second.units));
    held->second.units -= forgone;
    const std::uint32_t kept = held->second.units;
    if (kept == 0) {
        this->borrowed_by_id.erase(held);
        this->pending_by_id.erase(id);
    }
    return kept;
}

std::uint32_t share_ledger::lend(std::uint64_t id, std::uint32_t wanted, std::uint32_t keep,
                                 absl::Duration loan_time, absl::Time now)
{
    if (auto known = this->lent_by_id.find(id); known != this->lent_by_id.end()) {
        return known->second.units;
    }
    const absl::Time ends = now + loan_time + loan_margin(loan_time);
    const std::int64_t spare =
        std::min(this->min_free(now, ends) - keep, this->min_balance(now, ends) - this->reserve);
    const std::uint32_t units = std::min(wanted, not_negative(spare));
    if (units > 0) {
        this->lent_by_id[id] = {units, ends};
    }
    return units;
}

std::uint32_t share_ledger::extend(std::uint64_t id, absl::Duration loan_time, absl::Time now)
{
    auto known = this->lent_by_id.find(id);
    if (known == this->lent_by_id.end() || known->second.ends <= now) {
        return 0;
    }
    loan& out = known->second;
    const absl::Time ends = now + loan_time + loan_margin(loan_time);
    if (ends <= out.ends) {
        return out.units;
    }
    const std::int64_t spare =
        std::min(this->min_free(out.ends, ends), this->min_balance(out.ends, ends) - this->reserve);
    if (spare < out.units) {
        return 0;
    }
    out.ends = ends;
    return out.units;
}

void share_ledger::on_reduced(std::uint64_t id, std::uint32_t units)
{
    auto known = this->lent_by_id.find(id);
    if (known == this->lent_by_id.end()) {
        return;
    }
    known->second.units = std::min(known->second.units, units);
    if (known->second.units == 0) {
        this->lent_by_id.erase(known);
    }
}

void share_ledger::remove_expired(absl::Time now)
{
    std::erase_if(this->borrowed_by_id,
                  [now](const auto& entry) { return entry.second.ends <= now; });
    std::erase_if(this->lent_by_id, [now](const auto& entry) { return entry.second.ends <= now; });
    std::erase_if(this->pending_by_id, [now](const auto& entry) {
        return entry.second.sent + entry.second.loan_time <= now;
    });
}

std::int64_t share_ledger::balance_at(absl::Time when) const
{
    return std::int64_t{this->root} + this->borrowed(when) - this->lent(when);
}

std::int64_t share_ledger::min_balance(absl::Time from, absl::Time until) const
{
    // The balance falls only when a borrowed loan ends.
    std::int64_t least = this->balance_at(from);
    for (const auto& [id, held] : this->borrowed_by_id) {
        if (held.ends > from && held.ends <= until) {
            least = std::min(least, this->balance_at(held.ends));
        }
    }
    return least;
}

std::int64_t share_ledger::min_free(absl::Time from, absl::Time until) const
{
    return this->min_balance(from, until) - this->used;
}

} // namespace sardinestream::limits
