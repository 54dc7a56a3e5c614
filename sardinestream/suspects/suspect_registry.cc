#include "sardinestream/suspects/suspect_registry.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::suspects {
namespace {

// Of more requests that were lost in one crash, those with the lowest traits are kept, so that all
// processes keep the same.
constexpr std::size_t max_lost_requests = 32;
constexpr std::size_t max_traits_per_request = 48;
constexpr std::size_t max_completed_traits = 8192;

digest128 to_digest(const trait& encoded)
{
    return {encoded.high(), encoded.low()};
}

trait to_trait(const digest128& digest)
{
    return {digest.high, digest.low};
}

// Returns whether the set has changed.
bool insert_bounded(std::set<request_traits>& lost, const request_traits& traits)
{
    const auto [added, is_new] = lost.insert(traits);
    if (!is_new || lost.size() <= max_lost_requests) {
        return is_new;
    }
    const bool is_last = std::next(added) == lost.end();
    lost.erase(std::prev(lost.end()));
    return !is_last;
}

// Returns whether one of the lost requests has the trait.
bool involves(const std::set<request_traits>& lost, const digest128& trait)
{
    return std::any_of(lost.begin(), lost.end(), [&](const request_traits& request) {
        return std::binary_search(request.begin(), request.end(), trait);
    });
}

// Returns about how many bytes a crash takes up in a report.
std::size_t encoded_size(const std::set<request_traits>& lost, const std::set<digest128>& cleared)
{
    constexpr std::size_t bytes_per_table = 48;
    std::size_t bytes = bytes_per_table + cleared.size() * sizeof(trait);
    for (const request_traits& request : lost) {
        bytes += bytes_per_table + request.size() * sizeof(trait);
    }
    return bytes;
}

request_traits normalized(const request_traits& request)
{
    request_traits sorted(request.begin(),
                          request.begin() + static_cast<std::ptrdiff_t>(
                                                std::min(request.size(), max_traits_per_request)));
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    return sorted;
}

} // namespace

digest128 fingerprint_of(absl::string_view team, absl::string_view work, absl::string_view body)
{
    return digest_of("fingerprint", {team, work, body});
}

digest128 prompt_part_trait(absl::string_view service, absl::string_view part)
{
    return digest_of("prompt_part", {service, part});
}

std::unique_ptr<suspect_registry> suspect_registry::create(suspect_registry_options options)
{
    return std::unique_ptr<suspect_registry>(new suspect_registry(std::move(options)));
}

suspect_registry::suspect_registry(suspect_registry_options chosen)
    : options(std::move(chosen)), completed(max_completed_traits),
      completed_at_peers(max_completed_traits)
{
}

bool suspect_registry::record_crash(const crash_id& crash, std::span<const request_traits> lost)
{
    const absl::MutexLock lock(&this->mutex);
    const bool changed = this->merge_crash({crash.server(), crash.incarnation(), crash.number()},
                                           this->options.now(), lost, {});
    if (changed) {
        count("sardine_suspects_total", {{"source", "crash"}}, lost.size());
    }
    return changed;
}

bool suspect_registry::record_completion(const request_traits& request)
{
    const absl::MutexLock lock(&this->mutex);
    const absl::Time now = this->options.now();
    for (const digest128& trait : request) {
        this->completed.note(trait, now);
    }
    this->trials.end_trials_of(request);
    this->update_verdicts();
    if (!this->is_suspected(request)) {
        return false;
    }
    for (auto& [key, crash] : this->crashes) {
        bool changed = false;
        for (const digest128& trait : request) {
            changed =
                (involves(crash.lost, trait) && crash.cleared.insert(trait).second) || changed;
        }
        if (changed) {
            this->note_change(key, crash);
        }
    }
    count("sardine_suspects_cleared_total");
    return true;
}

suspect_assessment suspect_registry::assess(const request_traits& request)
{
    const absl::MutexLock lock(&this->mutex);
    this->update_verdicts();
    const absl::Time now = this->options.now();
    suspect_assessment assessed;
    for (const blamed_traits& blamed : this->blame) {
        if (!has_all(request, blamed.traits)) {
            continue;
        }
        const absl::Duration remaining = this->trial_time(blamed) - now;
        if (remaining > absl::ZeroDuration()) {
            return {suspect_verdict::refuse, remaining};
        }
        const trial_decision trial = this->trials.decide(blamed.tried_as, request, now);
        if (trial.wait > absl::ZeroDuration()) {
            return {suspect_verdict::refuse, trial.wait};
        }
        assessed.begins_trial = assessed.begins_trial || trial.begins;
    }
    if (this->is_suspected(request)) {
        assessed.verdict = suspect_verdict::run_alone;
    }
    return assessed;
}

absl::Time suspect_registry::trial_time(const blamed_traits& blamed) const
{
    // Two undecided requests that are tried at once may be lost in the same crash again.
    const absl::Duration stagger =
        blamed.undecided ? std::max(this->options.trial_stagger, request_trials::trial_timeout)
                         : this->options.trial_stagger;
    return refused_until(blamed, this->options.refusal) +
           this->options.trial_position(blamed.tried_as.front()) * stagger;
}

bool suspect_registry::is_suspected(const request_traits& request) const
{
    return std::any_of(request.begin(), request.end(),
                       [&](const digest128& trait) ABSL_NO_THREAD_SAFETY_ANALYSIS {
                           return this->suspected.contains(trait);
                       });
}

bool suspect_registry::is_proven(const digest128& trait) const
{
    const absl::Time oldest = this->options.now() - this->options.proof_period;
    return this->completed.last_seen(trait) > oldest ||
           this->completed_at_peers.last_seen(trait) > oldest;
}

void suspect_registry::update_verdicts() const
{
    if (this->options.now() < this->verdicts_expire_at) {
        return;
    }
    this->verdicts_expire_at = absl::InfiniteFuture();
    this->suspected.clear();
    std::vector<crash_evidence> evidence;
    for (const auto& [key, crash] : this->crashes) {
        if (crash.at <= this->oldest_kept()) {
            continue;
        }
        this->verdicts_expire_at =
            std::min(this->verdicts_expire_at, crash.at + this->options.suspicion_period);
        crash_evidence& one = evidence.emplace_back();
        one.at = crash.at;
        for (request_traits lost : crash.lost) {
            std::erase_if(lost, [&cleared = crash.cleared](const digest128& trait) {
                return cleared.count(trait) != 0;
            });
            this->suspected.insert(lost.begin(), lost.end());
            if (!lost.empty()) {
                one.lost.push_back(std::move(lost));
            }
        }
    }
    std::stable_sort(evidence.begin(), evidence.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    this->blame = find_blame(
        evidence,
        [this](const digest128& trait)
            ABSL_NO_THREAD_SAFETY_ANALYSIS { return this->is_proven(trait); },
        this->options.blame);
}

std::uint64_t suspect_registry::sequence() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->last_sequence;
}

std::unique_ptr<crash_caseT> suspect_registry::describe(const crash_key& key,
                                                        const recorded_crash& crash) const
{
    auto listed = std::make_unique<crash_caseT>();
    listed->id = std::make_unique<crash_id>(key[0], key[1], key[2]);
    listed->age_ms = absl::ToInt64Milliseconds(this->options.now() - crash.at);
    for (const request_traits& lost : crash.lost) {
        auto request = std::make_unique<lost_requestT>();
        std::transform(lost.begin(), lost.end(), std::back_inserter(request->traits), to_trait);
        listed->requests.push_back(std::move(request));
    }
    std::transform(crash.cleared.begin(), crash.cleared.end(), std::back_inserter(listed->cleared),
                   to_trait);
    return listed;
}

suspect_registry::crash_list suspect_registry::changed_after(std::uint64_t sequence) const
{
    crash_list changed;
    for (const auto& entry : this->crashes) {
        if (entry.second.changed_at > sequence) {
            changed.push_back(&entry);
        }
    }
    return changed;
}

std::string suspect_registry::encode(const crash_list& listed) const
{
    suspect_reportT message;
    const absl::Time oldest_proof = this->options.now() - this->options.proof_period;
    std::set<digest128> proven;
    for (const auto* const entry : listed) {
        const auto& [key, crash] = *entry;
        message.cases.push_back(this->describe(key, crash));
        for (const request_traits& lost : crash.lost) {
            std::copy_if(lost.begin(), lost.end(), std::inserter(proven, proven.end()),
                         [&](const digest128& trait) ABSL_NO_THREAD_SAFETY_ANALYSIS {
                             return this->completed.last_seen(trait) > oldest_proof;
                         });
        }
    }
    std::transform(proven.begin(), proven.end(), std::back_inserter(message.proven), to_trait);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(suspect_report::Pack(builder, &message));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::string suspect_registry::report(std::uint64_t sequence) const
{
    const absl::MutexLock lock(&this->mutex);
    return this->encode(this->changed_after(sequence));
}

std::vector<std::string> suspect_registry::split_report(std::uint64_t sequence,
                                                        std::size_t max_bytes) const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> reports;
    crash_list listed;
    std::size_t bytes = 0;
    for (const auto* const entry : this->changed_after(sequence)) {
        const std::size_t more = encoded_size(entry->second.lost, entry->second.cleared);
        if (!listed.empty() && bytes + more > max_bytes) {
            reports.push_back(this->encode(listed));
            listed.clear();
            bytes = 0;
        }
        listed.push_back(entry);
        bytes += more;
    }
    if (!listed.empty()) {
        reports.push_back(this->encode(listed));
    }
    return reports;
}

absl::StatusOr<bool> suspect_registry::merge(absl::string_view payload)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()),
                                   payload.size());
    if (!verifier.VerifyBuffer<suspect_report>(nullptr)) {
        return make_error(absl::StatusCode::kInvalidArgument, "decode", "peer",
                          "not a report of crash suspects");
    }
    suspect_reportT message;
    flatbuffers::GetRoot<suspect_report>(payload.data())->UnPackTo(&message);
    bool changed = false;
    const absl::MutexLock lock(&this->mutex);
    const absl::Time now = this->options.now();
    for (const trait& listed : message.proven) {
        this->completed_at_peers.note(to_digest(listed), now);
    }
    for (const std::unique_ptr<crash_caseT>& listed : message.cases) {
        if (listed->id == nullptr) {
            continue;
        }
        std::vector<request_traits> lost;
        for (const std::unique_ptr<lost_requestT>& request : listed->requests) {
            request_traits& traits = lost.emplace_back();
            std::transform(request->traits.begin(), request->traits.end(),
                           std::back_inserter(traits), to_digest);
        }
        std::vector<digest128> cleared;
        std::transform(listed->cleared.begin(), listed->cleared.end(), std::back_inserter(cleared),
                       to_digest);
        const absl::Time at = now - absl::Milliseconds(std::max<std::int64_t>(0, listed->age_ms));
        changed = this->merge_crash(
                      {listed->id->server(), listed->id->incarnation(), listed->id->number()}, at,
                      lost, cleared) ||
                  changed;
    }
    if (changed) {
        count("sardine_suspects_total", {{"source", "peer"}}, message.cases.size());
    }
    return changed;
}

bool suspect_registry::merge_crash(const crash_key& key, absl::Time at,
                                   std::span<const request_traits> lost,
                                   std::span<const digest128> cleared)
{
    if (at <= this->oldest_kept()) {
        return false;
    }
    const auto [found, is_new] = this->crashes.try_emplace(key);
    recorded_crash& crash = found->second;
    // Reports arrive late rather than early.
    crash.at = is_new ? at : std::min(crash.at, at);
    bool changed = is_new;
    std::vector<digest128> sound(cleared.begin(), cleared.end());
    for (const request_traits& request : lost) {
        const request_traits traits = normalized(request);
        if (traits.empty()) {
            continue;
        }
        changed = insert_bounded(crash.lost, traits) || changed;
        std::copy_if(traits.begin(), traits.end(), std::back_inserter(sound),
                     [&](const digest128& trait) ABSL_NO_THREAD_SAFETY_ANALYSIS {
                         return this->completed.last_seen(trait) > crash.at;
                     });
    }
    for (const digest128& trait : sound) {
        changed = (involves(crash.lost, trait) && crash.cleared.insert(trait).second) || changed;
    }
    if (changed) {
        this->note_change(key, crash);
        this->forget_oldest();
    }
    return changed;
}

void suspect_registry::note_change(const crash_key& key, recorded_crash& changed)
{
    // Traits of requests that are no longer kept, so that all processes know the same.
    std::erase_if(changed.cleared,
                  [&changed](const digest128& trait) { return !involves(changed.lost, trait); });
    std::string text = absl::StrJoin(key, ",");
    for (const request_traits& lost : changed.lost) {
        absl::StrAppend(&text, "|");
        for (const digest128& trait : lost) {
            absl::StrAppend(&text, ";", trait.high, ",", trait.low);
        }
    }
    for (const digest128& trait : changed.cleared) {
        absl::StrAppend(&text, "-", trait.high, ",", trait.low);
    }
    changed.digest = stable_hash(text);
    changed.changed_at = ++this->last_sequence;
    this->verdicts_expire_at = absl::InfinitePast();
}

absl::Time suspect_registry::oldest_kept() const
{
    return this->options.now() - this->options.suspicion_period;
}

void suspect_registry::forget_oldest()
{
    std::erase_if(this->crashes, [oldest = this->oldest_kept()](const auto& entry) {
        return entry.second.at <= oldest;
    });
    while (this->crashes.size() > this->options.max_crashes) {
        this->crashes.erase(std::min_element(
            this->crashes.begin(), this->crashes.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    }
}

std::uint64_t suspect_registry::digest() const
{
    const absl::MutexLock lock(&this->mutex);
    std::uint64_t sum = 0;
    for (const auto& [key, crash] : this->crashes) {
        sum += crash.at > this->oldest_kept() ? crash.digest : 0;
    }
    return sum;
}

std::size_t suspect_registry::size() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->crashes.size();
}

refused_combinations suspect_registry::blamed() const
{
    const absl::MutexLock lock(&this->mutex);
    this->update_verdicts();
    refused_combinations refused;
    for (const blamed_traits& blamed : this->blame) {
        if (refused_until(blamed, this->options.refusal) <= this->options.now()) {
            continue;
        }
        ++refused.all;
        refused.undecided += blamed.undecided ? 1 : 0;
    }
    return refused;
}

} // namespace sardinestream::suspects
