// A point in the history of the platform's store, which may come back from an older copy.
//
// A restored store gives out its revisions again, for other changes; its era tells the histories
// apart. Facts of one era are ordered by revision. Across eras a revision says nothing about which
// fact is newer: that is decided by what the operator or a server itself counts.

#ifndef SARDINESTREAM_BASE_STORE_POSITION_H_
#define SARDINESTREAM_BASE_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace sardinestream {

struct store_position {
    // Zero before the first answer.
    std::int64_t revision = 0;
    // Zero if the store names none.
    std::int64_t era = 0;

    friend bool operator==(const store_position&, const store_position&) = default;
    // Orders by era, then by revision.
    friend std::strong_ordering operator<=>(const store_position& a, const store_position& b)
    {
        return a.era != b.era ? a.era <=> b.era : a.revision <=> b.revision;
    }
};

// Returns true if `next`, answered after `last`, belongs to the same history. If not, the store has
// been restored in between: what is known has to be compared with all that it lists.
[[nodiscard]] constexpr bool continues(const store_position& last, const store_position& next)
{
    return next.era == last.era && next.revision >= last.revision;
}

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_STORE_POSITION_H_
