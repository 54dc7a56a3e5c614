#include "sardinestream/experts/rebalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sardinestream::experts {
namespace {

constexpr double straggler_factor = 1.5;

using rank_members = std::vector<std::vector<std::uint32_t>>;

std::vector<double> loads_of(const expert_mapT& map, std::span<const float> tokens, int ranks)
{
    std::vector<double> loads(ranks, 0);
    for (std::size_t expert = 0; expert < map.ranks.size(); ++expert) {
        loads[map.ranks[expert]] += tokens[expert];
    }
    return loads;
}

double skew_of(const std::vector<double>& loads)
{
    const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double busiest = *std::max_element(loads.begin(), loads.end());
    return sum > 0 ? busiest * static_cast<double>(loads.size()) / sum : 1;
}

bool is_usable(const group_load& load)
{
    return load.ranks > 0 && load.tokens.size() == load.map.ranks.size() &&
           check_map(load.map, static_cast<std::uint32_t>(load.ranks)).ok();
}

// A move from the busiest to the least loaded rank: `expert` moves there, and `back`, if set, moves
// in the opposite direction.
struct expert_move {
    std::uint32_t expert = 0;
    std::optional<std::uint32_t> back;
    double load = 0; // by which the load of the busiest rank decreases
};

// Builds one plan by successive moves.
class planner {
public:
    planner(const group_load& observed, const rebalance_options& options)
        : settings(options), load(observed), map(observed.map),
          loads(loads_of(observed.map, observed.tokens, observed.ranks)), members(observed.ranks)
    {
        for (std::uint32_t expert = 0; expert < this->map.ranks.size(); ++expert) {
            this->members[this->map.ranks[expert]].push_back(expert);
        }
        const double even = static_cast<double>(this->map.ranks.size()) / observed.ranks;
        this->capacity = static_cast<std::size_t>(std::ceil(even * options.rank_capacity));
        this->may_receive.assign(observed.ranks, true);
        for (const int straggler : find_stragglers(observed)) {
            this->may_receive[straggler] = false;
        }
    }

    // Makes the next worthwhile move. Returns false if there is none.
    bool improve()
    {
        const auto busiest = static_cast<std::size_t>(
            std::max_element(this->loads.begin(), this->loads.end()) - this->loads.begin());
        const std::optional<std::size_t> idlest = this->find_least_loaded(busiest);
        if (!idlest.has_value()) {
            return false;
        }
        const std::optional<expert_move> move = this->best_move(busiest, *idlest);
        if (!move.has_value() || !this->is_worthwhile(*move, busiest, *idlest)) {
            return false;
        }
        this->carry_out(*move, busiest, *idlest);
        return true;
    }

    [[nodiscard]] double skew() const { return skew_of(this->loads); }
    [[nodiscard]] const expert_mapT& placement() const { return this->map; }

private:
    [[nodiscard]] std::optional<std::size_t> find_least_loaded(std::size_t busiest) const
    {
        std::optional<std::size_t> found;
        for (std::size_t rank = 0; rank < this->loads.size(); ++rank) {
            if (rank == busiest || !this->may_receive[rank]) {
                continue;
            }
            if (!found.has_value() || this->loads[rank] < this->loads[*found]) {
                found = rank;
            }
        }
        return found;
    }

    // Returns the move or swap that brings the loads of the two ranks closest to each other.
    [[nodiscard]] std::optional<expert_move> best_move(std::size_t from, std::size_t to) const
    {
        const double wanted = (this->loads[from] - this->loads[to]) / 2;
        std::optional<expert_move> best;
        const auto consider = [&best, wanted](const expert_move& move) {
            const bool better =
                !best.has_value() || std::abs(move.load - wanted) < std::abs(best->load - wanted);
            if (move.load > 0 && move.load < 2 * wanted && better) {
                best = move;
            }
        };
        const bool has_room = this->members[to].size() < this->capacity;
        for (const std::uint32_t expert : this->members[from]) {
            if (has_room) {
                consider({expert, std::nullopt, this->load.tokens[expert]});
            }
        }
        if (best.has_value() && std::abs(best->load - wanted) < wanted / 2) {
            return best; // a single move is close enough, so swaps need not be searched
        }
        for (const std::uint32_t expert : this->members[from]) {
            for (const std::uint32_t back : this->members[to]) {
                consider(
                    {expert, back,
                     static_cast<double>(this->load.tokens[expert]) - this->load.tokens[back]});
            }
        }
        return best;
    }

    [[nodiscard]] bool is_worthwhile(const expert_move& move, std::size_t from,
                                     std::size_t to) const
    {
        std::vector<double> after = this->loads;
        after[from] -= move.load;
        after[to] += move.load;
        // If several ranks are equally busy, one move does not reduce the maximum over all ranks,
        // so the gain is computed from the two ranks of the move alone.
        const double mean =
            std::accumulate(after.begin(), after.end(), 0.0) / static_cast<double>(after.size());
        const double gain = (this->loads[from] - std::max(after[from], after[to])) / mean;
        const double moved = move.back.has_value() ? 2 : 1;
        const double cost =
            this->settings.full_move_cost * moved / static_cast<double>(this->map.ranks.size());
        return gain * this->settings.skew_weight > cost * this->settings.rebalance_cost_weight;
    }

    void carry_out(const expert_move& move, std::size_t from, std::size_t to)
    {
        this->loads[from] -= move.load;
        this->loads[to] += move.load;
        this->place(move.expert, from, to);
        if (move.back.has_value()) {
            this->place(*move.back, to, from);
        }
    }

    void place(std::uint32_t expert, std::size_t from, std::size_t to)
    {
        this->map.ranks[expert] = static_cast<std::uint16_t>(to);
        std::erase(this->members[from], expert);
        this->members[to].push_back(expert);
    }

    const rebalance_options& settings;
    const group_load& load;
    expert_mapT map;
    std::vector<double> loads;
    rank_members members;
    std::vector<bool> may_receive;
    std::size_t capacity = 0;
};

std::optional<rebalance_plan> plan_weighted(const group_load& load,
                                            const rebalance_options& options)
{
    if (!is_usable(load)) {
        return std::nullopt;
    }
    planner plan(load, options);
    rebalance_plan made;
    made.skew_before = plan.skew();
    if (made.skew_before < options.min_skew) {
        return std::nullopt;
    }
    while (count_moves(load.map, plan.placement()) + 2 <= options.max_moves && plan.improve()) {
        if (plan.skew() < options.min_skew) {
            break;
        }
    }
    made.map = plan.placement();
    made.moves = count_moves(load.map, made.map);
    made.skew_after = plan.skew();
    if (made.moves == 0 || made.skew_after >= made.skew_before) {
        return std::nullopt;
    }
    return made;
}

std::optional<rebalance_plan> plan_from_scratch(const group_load& load)
{
    if (!is_usable(load)) {
        return std::nullopt;
    }
    std::vector<std::uint32_t> heaviest_first(load.tokens.size());
    std::iota(heaviest_first.begin(), heaviest_first.end(), 0U);
    std::sort(heaviest_first.begin(), heaviest_first.end(),
              [&load](std::uint32_t left, std::uint32_t right) {
                  return load.tokens[left] > load.tokens[right];
              });
    rebalance_plan made;
    made.map = load.map;
    std::vector<double> loads(load.ranks, 0);
    for (const std::uint32_t expert : heaviest_first) {
        const auto idlest = std::min_element(loads.begin(), loads.end());
        made.map.ranks[expert] = static_cast<std::uint16_t>(idlest - loads.begin());
        *idlest += load.tokens[expert];
    }
    made.moves = count_moves(load.map, made.map);
    made.skew_before = load_skew(load.map, load.tokens, load.ranks);
    made.skew_after = skew_of(loads);
    if (made.skew_after >= made.skew_before) {
        return std::nullopt;
    }
    return made;
}

} // namespace

double load_skew(const expert_mapT& map, std::span<const float> tokens, int ranks)
{
    return skew_of(loads_of(map, tokens, ranks));
}

std::vector<int> find_stragglers(const group_load& load)
{
    std::vector<int> found;
    if (load.busy_us.size() != static_cast<std::size_t>(load.ranks) || !is_usable(load)) {
        return found;
    }
    // The time allowed to a rank grows in proportion to a load above the mean. It does not shrink
    // below the mean, since a step takes time on an idle rank too.
    const std::vector<double> loads = loads_of(load.map, load.tokens, load.ranks);
    const double mean_load =
        std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
    std::vector<float> sorted = load.busy_us;
    std::nth_element(sorted.begin(), sorted.begin() + sorted.size() / 2, sorted.end());
    const double median_us = sorted[sorted.size() / 2];
    for (int rank = 0; rank < load.ranks; ++rank) {
        const double share = mean_load > 0 ? std::max(1.0, loads[rank] / mean_load) : 1.0;
        if (load.busy_us[rank] > straggler_factor * share * median_us) {
            found.push_back(rank);
        }
    }
    return found;
}

rebalance_policy make_weighted_rebalance(const rebalance_options& options)
{
    return [options](const group_load& load) { return plan_weighted(load, options); };
}

rebalance_policy make_never_rebalance()
{
    return [](const group_load&) { return std::nullopt; };
}

rebalance_policy make_rebalance_on_every_drift()
{
    return [](const group_load& load) { return plan_from_scratch(load); };
}

} // namespace sardinestream::experts
