// Searches for a better placement of the experts of one set of layers: tracks how long each rank
// takes under a map that is being changed, and finds the single move that shortens the longest time
// the most.
//
//     placement_search search(map, set, shares, slowness);
//     const placement_search::move best = search.best_move(may_copy);
//     search.apply(best);
//
// The spans passed to the constructor must outlive the search. Not thread-safe.

#ifndef SARDINESTREAM_MAPS_PLACEMENT_SEARCH_H_
#define SARDINESTREAM_MAPS_PLACEMENT_SEARCH_H_

#include <functional>
#include <vector>

#include "sardinestream/maps/expert_map.h"

#include "absl/types/span.h"

namespace sardinestream {

// Returns the time that `amount` of work takes on the rank. `rank_slowness` is empty if all ranks
// are healthy.
[[nodiscard]] double processing_time(absl::Span<const double> rank_slowness, int rank,
                                     double amount);

class placement_search {
public:
    // `shares` holds the demand of the experts of `searched_set`.
    placement_search(const expert_map& current, int searched_set, absl::Span<const double> shares,
                     absl::Span<const double> slowness);

    struct move {
        int rank = -1;
        int added = -1;
        // -1 if the rank has room for the added expert.
        int removed = -1;
        // Decrease of the objective; positive for a real move.
        double gain = 0;
    };

    // Returns the best move that copies only to ranks for which `may_copy` returns true.
    [[nodiscard]] move best_move(const std::function<bool(int rank)>& may_copy);

    void apply(const move& chosen);

    // Returns whether the move adds an expert that the rank did not hold initially.
    [[nodiscard]] bool is_copy(const move& chosen) const;

    [[nodiscard]] double largest_load() const;

private:
    [[nodiscard]] std::size_t holding_index(int rank, int expert) const;
    [[nodiscard]] double share(int expert) const;
    // Number of ranks that hold the expert.
    [[nodiscard]] int copy_count(int expert) const;
    [[nodiscard]] double load(int rank) const
    {
        return this->loads[static_cast<std::size_t>(rank)];
    }
    void compute_loads();
    void sort_ranks();
    void add_copy(int rank, int expert);
    void remove_copy(int rank, int expert);
    // Records that the tried move changes the work of a rank.
    void add_load_change(int rank, double work);
    // Records how the loads of the expert's holders change with its number of copies.
    void add_holder_load_changes(int expert, int copies_after, int except = -1);
    // Returns the decrease of the objective by a move: the largest load, plus a small term for
    // uneven loads. Examines only the few ranks whose loads the move changes.
    [[nodiscard]] double gain_of(const move& tried);
    void try_move(int expert, int rank, move& best);
    void keep_if_better(move tried, move& best);

    int set;
    map_shape shape;
    absl::Span<const double> demand;
    absl::Span<const double> rank_slowness;
    std::vector<int> copies;
    std::vector<bool> holds;
    std::vector<bool> held_initially;
    // Ranks by expert and experts by rank; consistent with `holds`.
    std::vector<std::vector<int>> holders;
    std::vector<std::vector<int>> experts_by_rank;
    std::vector<double> loads;
    // Ranks in descending order of load, as of the last search.
    std::vector<int> ranks_by_load;
    // Load changes of the move that is being tried, and the ranks with non-zero changes.
    std::vector<double> load_changes;
    std::vector<int> changed_ranks;
};

} // namespace sardinestream

#endif // SARDINESTREAM_MAPS_PLACEMENT_SEARCH_H_
