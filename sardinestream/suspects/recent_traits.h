// Remembers when traits of requests were last seen, for a bounded number of traits: the oldest are
// forgotten first.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_SUSPECTS_RECENT_TRAITS_H_
#define SARDINESTREAM_SUSPECTS_RECENT_TRAITS_H_

#include <cstddef>
#include <utility>

#include "sardinestream/base/digest128.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace sardinestream::suspects {

class recent_traits {
public:
    // Keeps the `max_traits` last traits, and up to as many older ones.
    explicit recent_traits(std::size_t max_traits) : max_per_generation(max_traits) {}

    void note(const digest128& trait, absl::Time now)
    {
        this->newer[trait] = now;
        if (this->newer.size() >= this->max_per_generation) {
            this->older = std::exchange(this->newer, {});
        }
    }

    // Returns when the trait was last noted; `absl::InfinitePast()` if that is unknown.
    [[nodiscard]] absl::Time last_seen(const digest128& trait) const
    {
        for (const trait_times* const times : {&this->newer, &this->older}) {
            if (const auto found = times->find(trait); found != times->end()) {
                return found->second;
            }
        }
        return absl::InfinitePast();
    }

private:
    using trait_times = absl::flat_hash_map<digest128, absl::Time>;

    std::size_t max_per_generation;
    trait_times newer;
    trait_times older;
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_RECENT_TRAITS_H_
