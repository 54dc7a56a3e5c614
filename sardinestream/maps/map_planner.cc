#include "sardinestream/maps/map_planner.h"

#include <algorithm>

#include "sardinestream/maps/placement_search.h"

namespace sardinestream {
namespace {

// Smaller gains are ignored as noise.
constexpr double min_move_gain = 1e-4;
constexpr double ms_per_s = 1000.0;

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
                processing_time(slowness, rank, shares[expert] / copies[expert]);
        }
    }
}

absl::Span<const double> demand_of(absl::Span<const double> demand, int set, int experts)
{
    const auto width = static_cast<std::size_t>(experts);
    return demand.subspan(static_cast<std::size_t>(set) * width, width);
}

// Relative step duration. Ranks wait for the slowest rank outside the experts too.
double factor_of(double mean_largest_load, int ranks, const planner_options& options)
{
    const double slowest =
        options.rank_slowness.empty()
            ? 1
            : *std::max_element(options.rank_slowness.begin(), options.rank_slowness.end());
    return (1 - options.expert_share) * slowest + options.expert_share * mean_largest_load * ranks;
}

// Greedy search that applies the best move first, under a limit of copies per rank that can be
// raised between calls.
class plan_search {
public:
    plan_search(const expert_map& from, absl::Span<const double> demand,
                const planner_options& chosen)
        : current(from), options(chosen),
          copies_per_rank(static_cast<std::size_t>(from.shape().ranks), 0)
    {
        const map_shape& shape = from.shape();
        for (int set = 0; set < shape.sets; ++set) {
            this->searches.emplace_back(from, set, demand_of(demand, set, shape.experts),
                                        chosen.rank_slowness);
        }
        this->copies_per_set_and_rank.assign(this->searches.size(),
                                             std::vector<int>(this->copies_per_rank.size(), 0));
        this->best.resize(this->searches.size());
    }

    // Applies moves until none is left that keeps every rank at no more than `budget` copies.
    void extend_to(int budget)
    {
        for (std::optional<placement_search::move>& known : this->best) {
            known.reset();
        }
        while (this->apply_best_move(budget)) {
            if (this->options.on_progress) {
                this->options.on_progress();
            }
        }
    }

    [[nodiscard]] std::size_t moves() const { return this->applied_moves.size(); }

    // Summarizes the moves so far, without the map itself.
    [[nodiscard]] map_plan summary() const
    {
        map_plan plan;
        double largest = 0;
        for (const placement_search& search : this->searches) {
            largest += search.largest_load();
        }
        const map_shape& shape = this->current.shape();
        plan.factor_after = factor_of(largest / shape.sets, shape.ranks, this->options);
        plan.copies = this->copies;
        plan.copies_at_busiest_rank =
            *std::max_element(this->copies_per_rank.begin(), this->copies_per_rank.end());
        return plan;
    }

    // The map after the first moves.
    [[nodiscard]] expert_map map_after(std::size_t first_moves) const
    {
        expert_map map = this->current;
        for (const applied_move& one :
             absl::MakeConstSpan(this->applied_moves).first(first_moves)) {
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
    bool apply_best_move(int budget)
    {
        std::size_t chosen_set = this->searches.size();
        for (std::size_t set = 0; set < this->searches.size(); ++set) {
            if (!this->best[set].has_value()) {
                this->best[set] = this->searches[set].best_move([&](int rank) {
                    const auto index = static_cast<std::size_t>(rank);
                    return this->copies_per_rank[index] < budget &&
                           this->copies_per_set_and_rank[set][index] <
                               this->options.max_new_experts;
                });
            }
            if (this->best[set]->gain > min_move_gain &&
                (chosen_set == this->searches.size() ||
                 this->best[set]->gain > this->best[chosen_set]->gain)) {
                chosen_set = set;
            }
        }
        if (chosen_set == this->searches.size()) {
            return false;
        }
        this->apply_move(chosen_set, *this->best[chosen_set], budget);
        return true;
    }

    void apply_move(std::size_t set, const placement_search::move& chosen, int budget)
    {
        const bool copied = this->searches[set].is_copy(chosen);
        this->applied_moves.push_back({static_cast<int>(set), chosen});
        this->searches[set].apply(chosen);
        this->best[set].reset();
        if (!copied) {
            return;
        }
        ++this->copies;
        const auto index = static_cast<std::size_t>(chosen.rank);
        ++this->copies_per_set_and_rank[set][index];
        if (++this->copies_per_rank[index] < budget) {
            return;
        }
        // The rank has reached its limit: moves of other sets to this rank must be searched again.
        for (std::optional<placement_search::move>& other : this->best) {
            if (other.has_value() && other->rank == chosen.rank) {
                other.reset();
            }
        }
    }

    struct applied_move {
        int set = 0;
        placement_search::move change;
    };

    const expert_map& current;
    const planner_options& options;
    std::vector<placement_search> searches;
    // In order of application.
    std::vector<applied_move> applied_moves;
    int copies = 0;
    std::vector<int> copies_per_rank;
    std::vector<std::vector<int>> copies_per_set_and_rank;
    // The best move of each set; nullopt if it has to be searched again.
    std::vector<std::optional<placement_search::move>> best;
};

// Value of a plan: step time saved until demand changes, minus the cost of the copies.
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

double relative_step_time(const expert_map& map, absl::Span<const double> demand,
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
    const double before = relative_step_time(current, demand, options);
    std::optional<map_plan> best;
    double best_value = 0;
    std::size_t moves_of_best = 0;
    plan_search search(current, demand, options);
    const int largest_budget = options.max_new_experts * current.shape().sets;
    for (int budget = 1; budget <= largest_budget; ++budget) {
        search.extend_to(budget);
        map_plan plan = search.summary();
        plan.factor_before = before;
        const double value = value_of(plan, options);
        const bool exhausted = plan.copies_at_busiest_rank < budget;
        if (before - plan.factor_after >= options.min_gain && value > best_value) {
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
