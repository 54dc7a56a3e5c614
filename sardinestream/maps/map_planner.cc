#include "sardinestream/maps/map_planner.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace sardinestream {
namespace {

// Makes the search prefer, among moves with the same largest load, the one with even loads.
constexpr double evenness_weight = 0.05;
// Moves below this gain are noise.
constexpr double least_move_gain = 1e-4;
constexpr double ms_per_s = 1000.0;

// Ranks to which a move may copy: the least loaded ones. Bounds the search in large groups.
constexpr std::size_t most_targets = 32;

// What `amount` of work takes on the rank.
double time_of(absl::Span<const double> rank_slowness, int rank, double amount)
{
    return rank_slowness.empty() ? amount : amount * rank_slowness[static_cast<std::size_t>(rank)];
}

// Adds the time that each rank needs for its experts of one set.
void add_set_loads(const expert_map& map, int set, absl::Span<const double> shares,
                   absl::Span<const double> slowness, std::vector<double>& loads)
{
    std::vector<int> copies(shares.size(), 0);
    for (int rank = 0; rank < map.shape().ranks; ++rank) {
        for (const std::uint16_t expert : map.experts_of(set, rank)) {
            ++copies[expert];
        }
    }
    for (int rank = 0; rank < map.shape().ranks; ++rank) {
        for (const std::uint16_t expert : map.experts_of(set, rank)) {
            loads[static_cast<std::size_t>(rank)] +=
                time_of(slowness, rank, shares[expert] / copies[expert]);
        }
    }
}

// The loads of one set under a map that is being changed.
class set_search {
public:
    set_search(const expert_map& current, int searched_set, absl::Span<const double> shares,
               absl::Span<const double> slowness)
        : set(searched_set), shape(current.shape()), demand(shares), rank_slowness(slowness),
          copies(static_cast<std::size_t>(shape.experts), 0),
          holds(static_cast<std::size_t>(shape.experts) * static_cast<std::size_t>(shape.ranks)),
          was_held(holds.size()), holders(static_cast<std::size_t>(shape.experts)),
          held_by(static_cast<std::size_t>(shape.ranks)),
          loads(static_cast<std::size_t>(shape.ranks), 0), shifts(loads.size(), 0)
    {
        for (int rank = 0; rank < this->shape.ranks; ++rank) {
            for (const std::uint16_t expert : current.experts_of(set, rank)) {
                this->was_held[this->at(rank, expert)] = true;
                this->take(rank, expert);
            }
        }
        this->compute_loads();
    }

    struct move {
        int rank = -1;
        int added = -1;
        // -1 where the rank has a free place.
        int removed = -1;
        // Fall of the objective; above zero for a real move.
        double gain = 0;
    };

    // The best move that copies to a rank for which `may_copy` holds.
    template <typename MayCopy>
    move best_move(const MayCopy& may_copy)
    {
        this->sort_ranks();
        move best;
        const int busiest = this->by_load.front();
        for (const int expert : this->held_by[static_cast<std::size_t>(busiest)]) {
            if (this->share(expert) <= 0) {
                continue;
            }
            std::size_t tried = 0;
            for (auto at = this->by_load.rbegin();
                 at != this->by_load.rend() && tried < most_targets; ++at) {
                if (this->holds[this->at(*at, expert)] ||
                    (!this->was_held[this->at(*at, expert)] && !may_copy(*at))) {
                    continue;
                }
                ++tried;
                this->try_move(expert, *at, best);
            }
        }
        // Dropping a copy on the busiest rank costs no copying at all.
        for (const int expert : this->held_by[static_cast<std::size_t>(busiest)]) {
            if (this->count(expert) >= 2) {
                this->keep_better({busiest, -1, expert, 0}, best);
            }
        }
        return best;
    }

    void apply(const move& chosen)
    {
        if (chosen.removed >= 0) {
            this->drop(chosen.rank, chosen.removed);
        }
        if (chosen.added >= 0) {
            this->take(chosen.rank, chosen.added);
        }
        this->compute_loads();
    }

    [[nodiscard]] bool is_copy(const move& chosen) const
    {
        return chosen.added >= 0 && !this->was_held[this->at(chosen.rank, chosen.added)];
    }

    [[nodiscard]] double largest_load() const
    {
        return *std::max_element(this->loads.begin(), this->loads.end());
    }

private:
    [[nodiscard]] std::size_t at(int rank, int expert) const
    {
        return static_cast<std::size_t>(rank) * static_cast<std::size_t>(this->shape.experts) +
               static_cast<std::size_t>(expert);
    }
    [[nodiscard]] double share(int expert) const
    {
        return this->demand[static_cast<std::size_t>(expert)];
    }
    [[nodiscard]] int count(int expert) const
    {
        return this->copies[static_cast<std::size_t>(expert)];
    }

    void compute_loads()
    {
        std::fill(this->loads.begin(), this->loads.end(), 0.0);
        for (int rank = 0; rank < this->shape.ranks; ++rank) {
            for (const int expert : this->held_by[static_cast<std::size_t>(rank)]) {
                this->loads[static_cast<std::size_t>(rank)] +=
                    time_of(this->rank_slowness, rank, this->share(expert) / this->count(expert));
            }
        }
    }

    // Ranks by falling load, and what the gain of every move is measured against.
    void sort_ranks()
    {
        this->by_load.resize(this->loads.size());
        std::iota(this->by_load.begin(), this->by_load.end(), 0);
        std::stable_sort(this->by_load.begin(), this->by_load.end(), [this](int one, int other) {
            return this->load(one) > this->load(other);
        });
    }
    [[nodiscard]] double load(int rank) const
    {
        return this->loads[static_cast<std::size_t>(rank)];
    }

    void take(int rank, int expert)
    {
        ++this->copies[static_cast<std::size_t>(expert)];
        this->holds[this->at(rank, expert)] = true;
        this->holders[static_cast<std::size_t>(expert)].push_back(rank);
        this->held_by[static_cast<std::size_t>(rank)].push_back(expert);
    }

    void drop(int rank, int expert)
    {
        --this->copies[static_cast<std::size_t>(expert)];
        this->holds[this->at(rank, expert)] = false;
        std::erase(this->holders[static_cast<std::size_t>(expert)], rank);
        std::erase(this->held_by[static_cast<std::size_t>(rank)], expert);
    }

    // Notes that a move changes the load of a rank.
    void shift(int rank, double work)
    {
        double& noted = this->shifts[static_cast<std::size_t>(rank)];
        if (noted == 0) {
            this->shifted.push_back(rank);
        }
        noted += time_of(this->rank_slowness, rank, work);
    }

    // Notes how the loads of the expert's holders change with its number of copies.
    void shift_holders(int expert, int copies_after, int except = -1)
    {
        const double change =
            this->share(expert) / copies_after - this->share(expert) / this->count(expert);
        for (const int rank : this->holders[static_cast<std::size_t>(expert)]) {
            if (rank != except) {
                this->shift(rank, change);
            }
        }
    }

    // How far the objective falls by a move: the largest load, and a little for unevenness below.
    // Only the few ranks are looked at whose loads the move changes.
    [[nodiscard]] double gain_of(const move& tried)
    {
        if (tried.added >= 0) {
            const int copies_after = this->count(tried.added) + 1;
            this->shift_holders(tried.added, copies_after);
            this->shift(tried.rank, this->share(tried.added) / copies_after);
        }
        if (tried.removed >= 0) {
            this->shift_holders(tried.removed, this->count(tried.removed) - 1, tried.rank);
            this->shift(tried.rank, -this->share(tried.removed) / this->count(tried.removed));
        }
        double largest = 0;
        for (const int rank : this->by_load) {
            if (this->shifts[static_cast<std::size_t>(rank)] == 0) {
                largest = this->load(rank);
                break;
            }
        }
        double squares = 0;
        for (const int rank : this->shifted) {
            double& change = this->shifts[static_cast<std::size_t>(rank)];
            const double after = this->load(rank) + change;
            largest = std::max(largest, after);
            squares += after * after - this->load(rank) * this->load(rank);
            change = 0;
        }
        this->shifted.clear();
        return this->load(this->by_load.front()) - largest -
               evenness_weight * squares * this->shape.ranks;
    }

    void try_move(int expert, int rank, move& best)
    {
        const std::vector<int>& held = this->held_by[static_cast<std::size_t>(rank)];
        if (static_cast<int>(held.size()) < this->shape.places) {
            this->keep_better({rank, expert, -1, 0}, best);
            return;
        }
        for (const int removed : held) {
            if (this->count(removed) >= 2) {
                this->keep_better({rank, expert, removed, 0}, best);
            }
        }
    }

    void keep_better(move tried, move& best)
    {
        tried.gain = this->gain_of(tried);
        if (tried.gain > best.gain) {
            best = tried;
        }
    }

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
    std::vector<int> by_load;
    // Changes of loads by the move that is being tried, and the ranks where they are not zero.
    std::vector<double> shifts;
    std::vector<int> shifted;
};

absl::Span<const double> demand_of(absl::Span<const double> demand, int set, int experts)
{
    const auto width = static_cast<std::size_t>(experts);
    return demand.subspan(static_cast<std::size_t>(set) * width, width);
}

// Ranks wait for the slowest one's own part too.
double factor_of(double mean_largest_load, int ranks, const planner_options& options)
{
    const double slowest =
        options.rank_slowness.empty()
            ? 1
            : *std::max_element(options.rank_slowness.begin(), options.rank_slowness.end());
    return (1 - options.expert_share) * slowest + options.expert_share * mean_largest_load * ranks;
}

// Makes moves, the best one first, under a bound of copies for each rank that can be raised.
class plan_search {
public:
    plan_search(const expert_map& from, absl::Span<const double> demand,
                const planner_options& chosen)
        : current(from), options(chosen), copies_at(static_cast<std::size_t>(from.shape().ranks), 0)
    {
        const map_shape& shape = from.shape();
        for (int set = 0; set < shape.sets; ++set) {
            this->searches.emplace_back(from, set, demand_of(demand, set, shape.experts),
                                        chosen.rank_slowness);
        }
        this->copies_of_set.assign(this->searches.size(),
                                   std::vector<int>(this->copies_at.size(), 0));
        this->best.resize(this->searches.size());
    }

    // Makes moves until none is left with at most `budget` copies on each rank.
    void extend_to(int budget)
    {
        for (std::optional<set_search::move>& known : this->best) {
            known.reset();
        }
        while (this->make_best_move(budget)) {
            if (this->options.on_progress) {
                this->options.on_progress();
            }
        }
    }

    [[nodiscard]] std::size_t moves() const { return this->made.size(); }

    // What the moves so far come to, without the map itself.
    [[nodiscard]] map_plan figures() const
    {
        map_plan plan;
        double largest = 0;
        for (const set_search& search : this->searches) {
            largest += search.largest_load();
        }
        const map_shape& shape = this->current.shape();
        plan.factor_after = factor_of(largest / shape.sets, shape.ranks, this->options);
        plan.copies = this->copies;
        plan.copies_at_busiest_rank =
            *std::max_element(this->copies_at.begin(), this->copies_at.end());
        return plan;
    }

    // The map after the first moves.
    [[nodiscard]] expert_map map_after(std::size_t first_moves) const
    {
        expert_map map = this->current;
        for (const made_move& one : absl::MakeConstSpan(this->made).first(first_moves)) {
            if (one.change.removed >= 0) {
                map.remove(one.set, one.change.rank, one.change.removed);
            }
            if (one.change.added >= 0) {
                map.add(one.set, one.change.rank, one.change.added);
            }
        }
        return map;
    }

private:
    bool make_best_move(int budget)
    {
        std::size_t chosen_set = this->searches.size();
        for (std::size_t set = 0; set < this->searches.size(); ++set) {
            if (!this->best[set].has_value()) {
                this->best[set] = this->searches[set].best_move([&](int rank) {
                    const auto at = static_cast<std::size_t>(rank);
                    return this->copies_at[at] < budget &&
                           this->copies_of_set[set][at] < this->options.most_new_experts;
                });
            }
            if (this->best[set]->gain > least_move_gain &&
                (chosen_set == this->searches.size() ||
                 this->best[set]->gain > this->best[chosen_set]->gain)) {
                chosen_set = set;
            }
        }
        if (chosen_set == this->searches.size()) {
            return false;
        }
        this->make(chosen_set, *this->best[chosen_set], budget);
        return true;
    }

    void make(std::size_t set, const set_search::move& chosen, int budget)
    {
        const bool copied = this->searches[set].is_copy(chosen);
        this->made.push_back({static_cast<int>(set), chosen});
        this->searches[set].apply(chosen);
        this->best[set].reset();
        if (!copied) {
            return;
        }
        ++this->copies;
        const auto at = static_cast<std::size_t>(chosen.rank);
        ++this->copies_of_set[set][at];
        if (++this->copies_at[at] < budget) {
            return;
        }
        // The rank takes no more: other sets' moves to it have to be searched again.
        for (std::optional<set_search::move>& other : this->best) {
            if (other.has_value() && other->rank == chosen.rank) {
                other.reset();
            }
        }
    }

    struct made_move {
        int set = 0;
        set_search::move change;
    };

    const expert_map& current;
    const planner_options& options;
    std::vector<set_search> searches;
    // In the order in which they were made.
    std::vector<made_move> made;
    int copies = 0;
    std::vector<int> copies_at;
    std::vector<std::vector<int>> copies_of_set;
    // The best move of each set; none where it has to be searched.
    std::vector<std::optional<set_search::move>> best;
};

// What a plan is worth: pass time saved until demand changes, less the cost of the copies.
double value_of(const map_plan& plan, const planner_options& options)
{
    const double copying_ms = plan.copies_at_busiest_rank * options.copy_ms;
    const double in_force_ms = options.horizon_ms - copying_ms - options.switch_ms;
    const double gain = plan.factor_before - plan.factor_after;
    const double saved = gain * in_force_ms / options.horizon_ms;
    const double copying =
        options.copy_slowdown * plan.factor_before * copying_ms / options.horizon_ms +
        options.copy_cost_per_s * plan.copies * options.copy_ms / ms_per_s;
    return options.skew_weight * saved - options.rebalance_weight * copying;
}

} // namespace

double pass_factor(const expert_map& map, absl::Span<const double> demand,
                   const planner_options& options)
{
    const map_shape& shape = map.shape();
    double largest = 0;
    std::vector<double> loads(static_cast<std::size_t>(shape.ranks));
    for (int set = 0; set < shape.sets; ++set) {
        std::fill(loads.begin(), loads.end(), 0.0);
        add_set_loads(map, set, demand_of(demand, set, shape.experts), options.rank_slowness,
                      loads);
        largest += *std::max_element(loads.begin(), loads.end());
    }
    return factor_of(largest / shape.sets, shape.ranks, options);
}

std::optional<map_plan> plan_map(const expert_map& current, absl::Span<const double> demand,
                                 const planner_options& options)
{
    const double before = pass_factor(current, demand, options);
    std::optional<map_plan> best;
    double best_value = 0;
    std::size_t moves_of_best = 0;
    plan_search search(current, demand, options);
    const int largest_budget = options.most_new_experts * current.shape().sets;
    for (int budget = 1; budget <= largest_budget; ++budget) {
        search.extend_to(budget);
        map_plan plan = search.figures();
        plan.factor_before = before;
        const double value = value_of(plan, options);
        const bool exhausted = plan.copies_at_busiest_rank < budget;
        if (before - plan.factor_after >= options.least_gain && value > best_value) {
            best_value = value;
            best = std::move(plan);
            moves_of_best = search.moves();
        }
        else if (best.has_value()) {
            break;
        }
        if (exhausted) {
            break;
        }
    }
    if (best.has_value()) {
        best->map = search.map_after(moves_of_best);
    }
    return best;
}

} // namespace sardinestream
