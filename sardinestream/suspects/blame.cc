#include "sardinestream/suspects/blame.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinestream::suspects {
namespace {

// The crashes in which a trait was involved, by their position; ascending.
using crash_positions = std::vector<std::size_t>;

struct suspected_trait {
    digest128 trait;
    // Those that nothing else explains.
    crash_positions crashes;
    bool proven = false;
};

// In order of the traits.
using suspected_traits = std::vector<suspected_trait>;

suspected_traits collect_traits(std::span<const crash_evidence> crashes,
                                const std::function<bool(const digest128&)>& was_proven)
{
    std::vector<std::pair<digest128, std::size_t>> occurrences;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        for (const request_traits& request : crashes[i].lost) {
            for (const digest128& trait : request) {
                occurrences.emplace_back(trait, i);
            }
        }
    }
    std::sort(occurrences.begin(), occurrences.end());
    occurrences.erase(std::unique(occurrences.begin(), occurrences.end()), occurrences.end());
    suspected_traits found;
    for (const auto& [trait, position] : occurrences) {
        if (found.empty() || found.back().trait != trait) {
            found.push_back({trait, {}, was_proven(trait)});
        }
        found.back().crashes.push_back(position);
    }
    return found;
}

std::size_t count_moments(std::span<const crash_evidence> crashes, const crash_positions& positions,
                          absl::Duration moment)
{
    std::size_t moments = 0;
    absl::Time begun = absl::InfinitePast();
    for (const std::size_t position : positions) {
        if (crashes[position].at - begun < moment) {
            continue;
        }
        begun = crashes[position].at;
        ++moments;
    }
    return moments;
}

bool meets_threshold(const suspected_trait& suspected, std::span<const crash_evidence> crashes,
                     const blame_options& options)
{
    const blame_threshold& needed = suspected.proven ? options.proven : options.unproven;
    if (suspected.crashes.size() < needed.crashes) {
        return false;
    }
    return suspected.crashes.size() >= needed.crashes_at_once ||
           count_moments(crashes, suspected.crashes, options.moment) >= needed.moments;
}

// Returns whether `left` more likely caused crashes: a trait that is not proven before one that is,
// then the one with more crashes.
bool is_more_suspect(const suspected_trait& left, const suspected_trait& right)
{
    if (left.proven != right.proven) {
        return !left.proven;
    }
    return left.crashes.size() > right.crashes.size();
}

// Returns the traits of the request that have the same crashes as `most`, in order.
request_traits indistinguishable_traits(const request_traits& request,
                                        const suspected_traits& traits, const suspected_trait& most)
{
    request_traits alike;
    for (const digest128& trait : request) {
        const auto found = std::lower_bound(
            traits.begin(), traits.end(), trait,
            [](const suspected_trait& one, const digest128& wanted) { return one.trait < wanted; });
        if (found != traits.end() && found->trait == trait && found->proven == most.proven &&
            found->crashes == most.crashes) {
            alike.push_back(trait);
        }
    }
    std::sort(alike.begin(), alike.end());
    return alike;
}

// The combinations of indistinguishable traits in the lost requests of one crash.
using crash_combinations = std::vector<request_traits>;

crash_combinations combinations_in(const crash_evidence& crash, const suspected_traits& traits,
                                   const suspected_trait& most)
{
    crash_combinations found;
    for (const request_traits& request : crash.lost) {
        request_traits alike = indistinguishable_traits(request, traits, most);
        if (!alike.empty()) {
            found.push_back(std::move(alike));
        }
    }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

// Both are sorted.
bool contains_all(const request_traits& combination, const request_traits& smaller)
{
    return std::includes(combination.begin(), combination.end(), smaller.begin(), smaller.end());
}

bool contains_combination(const crash_combinations& in_crash, const request_traits& candidate)
{
    return std::any_of(in_crash.begin(), in_crash.end(), [&](const request_traits& combination) {
        return contains_all(combination, candidate);
    });
}

// Returns the combinations that can have caused all crashes of `most`: the largest ones that a lost
// request of each crash contains, since what has fewer of the traits may merely have been beside
// them. If there is none, returns the combinations of the last crash.
std::vector<request_traits> blamed_combinations(std::span<const crash_evidence> crashes,
                                                const suspected_traits& traits,
                                                const suspected_trait& most)
{
    std::vector<crash_combinations> by_crash;
    for (const std::size_t position : most.crashes) {
        by_crash.push_back(combinations_in(crashes[position], traits, most));
    }
    std::set<request_traits> candidates;
    for (const crash_combinations& in_crash : by_crash) {
        candidates.insert(in_crash.begin(), in_crash.end());
    }
    std::vector<request_traits> common;
    for (const request_traits& candidate : candidates) {
        if (std::all_of(by_crash.begin(), by_crash.end(), [&](const crash_combinations& in_crash) {
                return contains_combination(in_crash, candidate);
            })) {
            common.push_back(candidate);
        }
    }
    if (common.empty()) {
        return by_crash.back();
    }
    std::vector<request_traits> largest;
    for (const request_traits& candidate : common) {
        const bool is_part_of_another =
            std::any_of(common.begin(), common.end(), [&](const request_traits& other) {
                return other.size() > candidate.size() && contains_all(other, candidate);
            });
        if (!is_part_of_another) {
            largest.push_back(candidate);
        }
    }
    return largest;
}

void remove_explained(suspected_traits& traits, const crash_positions& explained)
{
    for (suspected_trait& one : traits) {
        std::erase_if(one.crashes, [&](std::size_t position) {
            return std::binary_search(explained.begin(), explained.end(), position);
        });
    }
}

} // namespace

bool has_all(const request_traits& request, const request_traits& combination)
{
    return std::all_of(combination.begin(), combination.end(), [&](const digest128& trait) {
        return std::find(request.begin(), request.end(), trait) != request.end();
    });
}

std::vector<blamed_traits> find_blame(std::span<const crash_evidence> crashes,
                                      const std::function<bool(const digest128& trait)>& was_proven,
                                      const blame_options& options)
{
    std::vector<blamed_traits> blamed;
    suspected_traits traits = collect_traits(crashes, was_proven);
    while (true) {
        std::erase_if(traits, [&](const suspected_trait& one) {
            return !meets_threshold(one, crashes, options);
        });
        if (traits.empty()) {
            return blamed;
        }
        // A copy, since its crashes are removed below.
        const suspected_trait most =
            *std::min_element(traits.begin(), traits.end(), is_more_suspect);
        std::vector<absl::Time> times;
        for (const std::size_t position : most.crashes) {
            times.push_back(crashes[position].at);
        }
        const std::vector<request_traits> combinations = blamed_combinations(crashes, traits, most);
        for (const request_traits& combination : combinations) {
            blamed.push_back(
                {combination, times, most.proven, combinations.size() > 1, combinations.front()});
        }
        remove_explained(traits, most.crashes);
    }
}

absl::Time refused_until(const blamed_traits& blamed, const refusal_options& options)
{
    absl::Duration refusal = blamed.proven ? options.proven : options.unproven;
    absl::Time end = absl::InfiniteFuture();
    for (const absl::Time crash : blamed.crashes) {
        if (crash >= end) {
            refusal = std::min(2 * refusal, options.longest);
        }
        end = crash + refusal;
    }
    return blamed.undecided ? std::min(end, blamed.crashes.back() + options.undecided) : end;
}

} // namespace sardinestream::suspects
