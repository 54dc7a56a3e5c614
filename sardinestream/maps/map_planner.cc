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
          loads(static_cast<std::size_t>(shape.ranks), 0)
    {
        for (int rank = 0; rank < this->shape.ranks; ++rank) {
            for (const std::uint16_t expert : current.experts_of(set, rank)) {
                this->holds[this->at(rank, expert)] = true;
                this->was_held[this->at(rank, expert)] = true;
                ++this->copies[expert];
                this->holders[expert].push_back(rank);
                this->held_by[static_cast<std::size_t>(rank)].push_back(expert);
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
        move best;
        const double before = this->objective();
        const auto busiest = static_cast<int>(std::distance(
            this->loads.begin(), std::max_element(this->loads.begin(), this->loads.end())));
        // The moves below take experts from the list and put them back.
        const std::vector<int> on_busiest = this->held_by[static_cast<std::size_t>(busiest)];
        for (const int expert : on_busiest) {
            if (this->share(expert) <= 0) {
                continue;
            }
            for (int rank = 0; rank < this->shape.ranks; ++rank) {
                if (this->holds[this->at(rank, expert)] ||
                    (!this->was_held[this->at(rank, expert)] && !may_copy(rank))) {
                    continue;
                }
                this->try_move(expert, rank, before, best);
            }
        }
        // Dropping a copy on the busiest rank costs no copying at all.
        for (const int expert : on_busiest) {
            if (this->count(expert) < 2) {
                continue;
            }
            this->drop(busiest, expert);
            const double gain = before - this->objective();
            this->take(busiest, expert);
            if (gain > best.gain) {
                best = {busiest, -1, expert, gain};
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
        // Rounding must not pile up over the moves.
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

    void write_to(expert_map& map) const
    {
        for (int rank = 0; rank < this->shape.ranks; ++rank) {
            for (int expert = 0; expert < this->shape.experts; ++expert) {
                const std::size_t position = this->at(rank, expert);
                if (this->holds[position] && !this->was_held[position]) {
                    map.add(this->set, rank, expert);
                }
                if (!this->holds[position] && this->was_held[position]) {
                    map.remove(this->set, rank, expert);
                }
            }
        }
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
    int& count(int expert) { return this->copies[static_cast<std::size_t>(expert)]; }

    // What `amount` of work takes on the rank.
    [[nodiscard]] double time_of(int rank, double amount) const
    {
        return this->rank_slowness.empty()
                   ? amount
                   : amount * this->rank_slowness[static_cast<std::size_t>(rank)];
    }

    void compute_loads()
    {
        std::fill(this->loads.begin(), this->loads.end(), 0.0);
        for (int rank = 0; rank < this->shape.ranks; ++rank) {
            for (const int expert : this->held_by[static_cast<std::size_t>(rank)]) {
                this->loads[static_cast<std::size_t>(rank)] +=
                    this->time_of(rank, this->share(expert) / this->count(expert));
            }
        }
    }

    // The largest load, and a little for unevenness below it.
    [[nodiscard]] double objective() const
    {
        const double largest = this->largest_load();
        double squares = 0;
        for (const double load : this->loads) {
            squares += load * load;
        }
        return largest + evenness_weight * squares * this->shape.ranks;
    }

    // Shifts the loads of an expert's holders when its number of copies changes.
    void spread(int expert, int copies_before, int copies_after)
    {
        const double change =
            this->share(expert) / copies_after - this->share(expert) / copies_before;
        for (const int rank : this->holders[static_cast<std::size_t>(expert)]) {
            this->loads[static_cast<std::size_t>(rank)] += this->time_of(rank, change);
        }
    }

    void take(int rank, int expert)
    {
        this->spread(expert, this->count(expert), this->count(expert) + 1);
        ++this->count(expert);
        this->holds[this->at(rank, expert)] = true;
        this->holders[static_cast<std::size_t>(expert)].push_back(rank);
        this->held_by[static_cast<std::size_t>(rank)].push_back(expert);
        this->loads[static_cast<std::size_t>(rank)] +=
            this->time_of(rank, this->share(expert) / this->count(expert));
    }

    void drop(int rank, int expert)
    {
        this->holds[this->at(rank, expert)] = false;
        std::erase(this->holders[static_cast<std::size_t>(expert)], rank);
        std::erase(this->held_by[static_cast<std::size_t>(rank)], expert);
        this->loads[static_cast<std::size_t>(rank)] -=
            this->time_of(rank, this->share(expert) / this->count(expert));
        this->spread(expert, this->count(expert), this->count(expert) - 1);
        --this->count(expert);
    }

    void try_move(int expert, int rank, double before, move& best)
    {
        const std::vector<int>& held = this->held_by[static_cast<std::size_t>(rank)];
        if (static_cast<int>(held.size()) < this->shape.places) {
            this->take(rank, expert);
            this->keep_better(expert, rank, -1, before, best);
            this->drop(rank, expert);
            return;
        }
        const std::vector<int> candidates = held;
        for (const int removed : candidates) {
            if (this->count(removed) < 2) {
                continue;
            }
            this->drop(rank, removed);
            this->take(rank, expert);
            this->keep_better(expert, rank, removed, before, best);
            this->drop(rank, expert);
            this->take(rank, removed);
        }
    }

    void keep_better(int expert, int rank, int removed, double before, move& best) const
    {
        const double gain = before - this->objective();
        if (gain > best.gain) {
            best = {rank, expert, removed, gain};
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

    [[nodiscard]] map_plan result() const
    {
        map_plan plan;
        plan.map = this->current;
        double largest = 0;
        for (const set_search& search : this->searches) {
            search.write_to(plan.map);
            largest += search.largest_load();
        }
        const map_shape& shape = this->current.shape();
        plan.factor_after = factor_of(largest / shape.sets, shape.ranks, this->options);
        plan.copies = this->copies;
        plan.copies_at_busiest_rank =
            *std::max_element(this->copies_at.begin(), this->copies_at.end());
        return plan;
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

    const expert_map& current;
    const planner_options& options;
    std::vector<set_search> searches;
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
    for (int set = 0; set < shape.sets; ++set) {
        largest +=
            set_search(map, set, demand_of(demand, set, shape.experts), options.rank_slowness)
                .largest_load();
    }
    return factor_of(largest / shape.sets, shape.ranks, options);
}

std::optional<map_plan> plan_map(const expert_map& current, absl::Span<const double> demand,
                                 const planner_options& options)
{
    const double before = pass_factor(current, demand, options);
    std::optional<map_plan> best;
    double best_value = 0;
    plan_search search(current, demand, options);
    const int largest_budget = options.most_new_experts * current.shape().sets;
    for (int budget = 1; budget <= largest_budget; ++budget) {
        search.extend_to(budget);
        map_plan plan = search.result();
        plan.factor_before = before;
        const double value = value_of(plan, options);
        const bool exhausted = plan.copies_at_busiest_rank < budget;
        if (before - plan.factor_after >= options.least_gain && value > best_value) {
            best_value = value;
            best = std::move(plan);
        }
        else if (best.has_value()) {
            break;
        }
        if (exhausted) {
            break;
        }
    }
    return best;
}

} // namespace sardinestream
