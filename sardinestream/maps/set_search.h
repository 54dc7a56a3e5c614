// The search for better places of the experts of one set of layers: how long each rank needs under
// a map that is being changed, and which single move shortens the longest one the most.
//
//     set_search search(map, set, shares, slowness);
//     const set_search::move best = search.best_move(may_copy);
//     search.apply(best);
//
// The spans that it is made from must outlive it. Not thread-safe.

#ifndef SARDINESTREAM_MAPS_SET_SEARCH_H_
#define SARDINESTREAM_MAPS_SET_SEARCH_H_

#include <functional>
#include <vector>

#include "sardinestream/maps/expert_map.h"

#include "absl/types/span.h"

namespace sardinestream {

// What `amount` of work takes on the rank. `rank_slowness` is empty where all ranks are sound.
[[nodiscard]] double time_of(absl::Span<const double> rank_slowness, int rank, double amount);

class set_search {
public:
    // `shares` are those of the experts of `searched_set`.
    set_search(const expert_map& current, int searched_set, absl::Span<const double> shares,
               absl::Span<const double> slowness);

    struct move {
        int rank = -1;
        int added = -1;
        // -1 where the rank has a free place.
        int removed = -1;
        // Fall of the objective; above zero for a real move.
        double gain = 0;
    };

    // The best move that copies to a rank for which `may_copy` holds.
    [[nodiscard]] move best_move(const std::function<bool(int rank)>& may_copy);

    void apply(const move& chosen);

    // Whether the move copies an expert that the rank did not hold at the beginning.
    [[nodiscard]] bool is_copy(const move& chosen) const;

    [[nodiscard]] double largest_load() const;

private:
    [[nodiscard]] std::size_t at(int rank, int expert) const;
    [[nodiscard]] double share(int expert) const;
    // The ranks that hold the expert.
    [[nodiscard]] int count(int expert) const;
    [[nodiscard]] double load(int rank) const
    {
        return this->loads[static_cast<std::size_t>(rank)];
    }
    void compute_loads();
    void sort_ranks();
    void take(int rank, int expert);
    void drop(int rank, int expert);
    // Notes that a move changes the load of a rank.
    void shift(int rank, double work);
    // Notes how the loads of the expert's holders change with its number of copies.
    void shift_holders(int expert, int copies_after, int except = -1);
    // How far the objective falls by a move: the largest load, and a little for unevenness below.
    // Only the few ranks are looked at whose loads the move changes.
    [[nodiscard]] double gain_of(const move& tried);
    void try_move(int expert, int rank, move& best);
    void keep_better(move tried, move& best);

    int set;
    map_shape shape;
    absl::Span<const double> demand;
    absl::Span<const double> rank_slowness;
    std::vector<int> copies;
    std::vector<bool> holds;
    std::vector<bool> was_held;
    // Ranks by expert and experts by rank: the same facts as `holds`.
    std::vector<std::vector<int>> holders;
    std::vector<std::vector<int>> held_by;
    std::vector<double> loads;
    // Ranks by falling load, as of the last search.
    std::vector<int> by_load;
    // Changes of loads by the move that is being tried, and the ranks where they are not zero.
    std::vector<double> shifts;
    std::vector<int> shifted;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_SET_SEARCH_H_
