#include "sardinestream/suspects/suspect_registry.h"

#include <algorithm>

#include "sardinestream/base/metrics.h"
#include "sardinestream/wire/frame.h"

namespace sardinestream::suspects {
namespace {

constexpr std::size_t min_crashes_for_refusal = 2;
// More than the verdict needs, so that a late report of a cleared crash adds nothing.
constexpr std::size_t max_crashes_kept = 4;

bool same_crash(const crash& left, const crash& right)
{
    return left.agent() == right.agent() && left.incarnation() == right.incarnation() &&
           left.number() == right.number();
}

std::int64_t last_event_ms(std::span<const crash> crashes, std::int64_t completed_ms)
{
    std::int64_t last = completed_ms;
    for (const crash& each : crashes) {
        last = std::max(last, each.at_ms());
    }
    return last;
}

} // namespace

digest128 fingerprint_of(absl::string_view team, absl::string_view work, absl::string_view body)
{
    return digest_of("fingerprint", {team, work, body});
}

std::unique_ptr<suspect_registry> suspect_registry::create(suspect_registry_options options)
{
    return std::unique_ptr<suspect_registry>(new suspect_registry(std::move(options)));
}

void suspect_registry::record_crash(std::span<const digest128> in_flight, const crash& crashed)
{
    const absl::MutexLock lock(&this->mutex);
    for (const digest128& fingerprint : in_flight) {
        if (this->merge_suspect(fingerprint, {&crashed, 1}, 0)) {
            count("sardine_suspects_total", {{"source", "crash"}});
        }
    }
}

bool suspect_registry::record_completion(digest128 fingerprint)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.crashes.empty()) {
        return false;
    }
    count("sardine_suspects_cleared_total");
    // The completion happened after every crash known here, even if clocks are skewed.
    const std::int64_t completed_ms =
        last_event_ms(found->second.crashes, absl::ToUnixMillis(this->options.now()));
    return this->merge_suspect(fingerprint, {}, completed_ms);
}

suspect_assessment suspect_registry::assess(digest128 fingerprint) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.crashes.empty()) {
        return {};
    }
    const std::vector<crash>& crashes = found->second.crashes;
    const absl::Time expiry =
        absl::FromUnixMillis(last_event_ms(crashes, 0)) + this->options.suspicion_period;
    const absl::Duration remaining = expiry - this->options.now();
    if (remaining <= absl::ZeroDuration()) {
        return {};
    }
    if (crashes.size() < min_crashes_for_refusal) {
        return {suspect_verdict::run_alone, absl::ZeroDuration()};
    }
    return {suspect_verdict::refuse, remaining};
}

std::uint64_t suspect_registry::sequence() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->last_sequence;
}

std::string suspect_registry::report(std::uint64_t sequence) const
{
    suspect_reportT message;
    const absl::MutexLock lock(&this->mutex);
    for (const auto& [fingerprint, row] : this->suspects) {
        if (row.changed_at <= sequence) {
            continue;
        }
        auto listed = std::make_unique<suspectT>();
        listed->fingerprint_high = fingerprint.high;
        listed->fingerprint_low = fingerprint.low;
        listed->crashes = row.crashes;
        listed->completed_ms = row.completed_ms;
        message.suspects.push_back(std::move(listed));
    }
    return wire::encode<suspect_report>(message);
}

absl::StatusOr<bool> suspect_registry::merge(absl::string_view payload)
{
    absl::StatusOr<suspect_reportT> message = wire::decode<suspect_report>(payload);
    if (!message.ok()) {
        return message.status();
    }
    bool changed = false;
    const absl::MutexLock lock(&this->mutex);
    for (const std::unique_ptr<suspectT>& listed : message->suspects) {
        const digest128 fingerprint{listed->fingerprint_high, listed->fingerprint_low};
        if (this->merge_suspect(fingerprint, listed->crashes, listed->completed_ms)) {
            changed = true;
            count("sardine_suspects_total", {{"source", "peer"}});
        }
    }
    return changed;
}

// Returns true if the record changed.
bool suspect_registry::merge_suspect(digest128 fingerprint, std::span<const crash> crashes,
                                     std::int64_t completed_ms)
{
    this->evict_expired();
    if (last_event_ms(crashes, completed_ms) < this->oldest_kept_ms()) {
        return false;
    }
    suspect_record& row = this->suspects[fingerprint];
    bool changed = completed_ms > row.completed_ms;
    row.completed_ms = std::max(row.completed_ms, completed_ms);
    for (const crash& each : crashes) {
        const auto is_same = [&each](const crash& known) { return same_crash(known, each); };
        if (row.crashes.size() >= max_crashes_kept || each.at_ms() <= row.completed_ms ||
            std::any_of(row.crashes.begin(), row.crashes.end(), is_same)) {
            continue;
        }
        row.crashes.push_back(each);
        changed = true;
    }
    const std::int64_t cleared_ms = row.completed_ms;
    std::erase_if(row.crashes,
                  [cleared_ms](const crash& known) { return known.at_ms() <= cleared_ms; });
    if (changed) {
        row.changed_at = ++this->last_sequence;
    }
    this->evict_oldest();
    return changed;
}

std::int64_t suspect_registry::oldest_kept_ms() const
{
    return absl::ToUnixMillis(this->options.now() - this->options.suspicion_period);
}

void suspect_registry::evict_expired()
{
    const std::int64_t oldest_ms = this->oldest_kept_ms();
    absl::erase_if(this->suspects, [oldest_ms](const auto& row) {
        return last_event_ms(row.second.crashes, row.second.completed_ms) < oldest_ms;
    });
}

void suspect_registry::evict_oldest()
{
    if (this->suspects.size() <= this->options.max_suspects) {
        return;
    }
    const auto oldest = std::min_element(
        this->suspects.begin(), this->suspects.end(), [](const auto& left, const auto& right) {
            return last_event_ms(left.second.crashes, left.second.completed_ms) <
                   last_event_ms(right.second.crashes, right.second.completed_ms);
        });
    this->suspects.erase(oldest);
}

std::size_t suspect_registry::size() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->suspects.size();
}

} // namespace sardinestream::suspects
