#include "sardinestream/maps/placement_search.h"

#include <algorithm>
#include <numeric>

namespace sardinestream {
namespace {

// Among moves with the same largest load, prefers the one with more even loads.
constexpr double evenness_weight = 0.05;
// Only this many least loaded ranks are tried as targets, to bound the search in large groups.
constexpr std::size_t max_target_ranks = 32;

} // namespace

double processing_time(absl::Span<const double> rank_slowness, int rank, double amount)
{
    return rank_slowness.empty() ? amount : amount * rank_slowness[static_cast<std::size_t>(rank)];
}

placement_search::placement_search(const expert_map& current, int searched_set,
                                   absl::Span<const double> shares,
                                   absl::Span<const double> slowness)
    : set(searched_set), shape(current.shape()), demand(shares), rank_slowness(slowness),
      copies(static_cast<std::size_t>(shape.experts), 0),
      holds(static_cast<std::size_t>(shape.experts) * static_cast<std::size_t>(shape.ranks)),
      held_initially(holds.size()), holders(static_cast<std::size_t>(shape.experts)),
      experts_by_rank(static_cast<std::size_t>(shape.ranks)),
      loads(static_cast<std::size_t>(shape.ranks), 0), load_changes(loads.size(), 0)
{
    for (int rank = 0; rank < this->shape.ranks; ++rank) {
        for (const std::uint16_t expert : current.experts_of(set, rank)) {
            this->held_initially[this->holding_index(rank, expert)] = true;
            this->add_copy(rank, expert);
        }
    }
    this->compute_loads();
}

placement_search::move placement_search::best_move(const std::function<bool(int rank)>& may_copy)
{
    this->sort_ranks();
    move best;
    const int busiest = this->ranks_by_load.front();
    for (const int expert : this->experts_by_rank[static_cast<std::size_t>(busiest)]) {
        if (this->share(expert) <= 0) {
            continue;
        }
        std::size_t tried = 0;
        for (auto target = this->ranks_by_load.rbegin();
             target != this->ranks_by_load.rend() && tried < max_target_ranks; ++target) {
            if (this->holds[this->holding_index(*target, expert)] ||
                (!this->held_initially[this->holding_index(*target, expert)] &&
                 !may_copy(*target))) {
                continue;
            }
            ++tried;
            this->try_move(expert, *target, best);
        }
    }
    // Removing a copy from the busiest rank requires no copying.
    for (const int expert : this->experts_by_rank[static_cast<std::size_t>(busiest)]) {
        if (this->copy_count(expert) >= 2) {
            this->keep_if_better({busiest, -1, expert, 0}, best);
        }
    }
    return best;
}

void placement_search::apply(const move& chosen)
{
    if (chosen.removed >= 0) {
        this->remove_copy(chosen.rank, chosen.removed);
    }
    if (chosen.added >= 0) {
        this->add_copy(chosen.rank, chosen.added);
    }
    this->compute_loads();
}

bool placement_search::is_copy(const move& chosen) const
{
    return chosen.added >= 0 &&
           !this->held_initially[this->holding_index(chosen.rank, chosen.added)];
}

double placement_search::largest_load() const
{
    return *std::max_element(this->loads.begin(), this->loads.end());
}

std::size_t placement_search::holding_index(int rank, int expert) const
{
    return static_cast<std::size_t>(rank) * static_cast<std::size_t>(this->shape.experts) +
           static_cast<std::size_t>(expert);
}
double placement_search::share(int expert) const
{
    return this->demand[static_cast<std::size_t>(expert)];
}
int placement_search::copy_count(int expert) const
{
    return this->copies[static_cast<std::size_t>(expert)];
}

void placement_search::compute_loads()
{
    std::fill(this->loads.begin(), this->loads.end(), 0.0);
    for (int rank = 0; rank < this->shape.ranks; ++rank) {
        for (const int expert : this->experts_by_rank[static_cast<std::size_t>(rank)]) {
            this->loads[static_cast<std::size_t>(rank)] += processing_time(
                this->rank_slowness, rank, this->share(expert) / this->copy_count(expert));
        }
    }
}

void placement_search::sort_ranks()
{
    this->ranks_by_load.resize(this->loads.size());
    std::iota(this->ranks_by_load.begin(), this->ranks_by_load.end(), 0);
    std::stable_sort(this->ranks_by_load.begin(), this->ranks_by_load.end(),
                     [this](int one, int other) { return this->load(one) > this->load(other); });
}
void placement_search::add_copy(int rank, int expert)
{
    ++this->copies[static_cast<std::size_t>(expert)];
    this->holds[this->holding_index(rank, expert)] = true;
    this->holders[static_cast<std::size_t>(expert)].push_back(rank);
    this->experts_by_rank[static_cast<std::size_t>(rank)].push_back(expert);
}

void placement_search::remove_copy(int rank, int expert)
{
    --this->copies[static_cast<std::size_t>(expert)];
    this->holds[this->holding_index(rank, expert)] = false;
    std::erase(this->holders[static_cast<std::size_t>(expert)], rank);
    std::erase(this->experts_by_rank[static_cast<std::size_t>(rank)], expert);
}

void placement_search::add_load_change(int rank, double work)
{
    double& noted = this->load_changes[static_cast<std::size_t>(rank)];
    if (noted == 0) {
        this->changed_ranks.push_back(rank);
    }
    noted += processing_time(this->rank_slowness, rank, work);
}

void placement_search::add_holder_load_changes(int expert, int copies_after, int except)
{
    const double change =
        this->share(expert) / copies_after - this->share(expert) / this->copy_count(expert);
    for (const int rank : this->holders[static_cast<std::size_t>(expert)]) {
        if (rank != except) {
            this->add_load_change(rank, change);
        }
    }
}

double placement_search::gain_of(const move& tried)
{
    if (tried.added >= 0) {
        const int copies_after = this->copy_count(tried.added) + 1;
        this->add_holder_load_changes(tried.added, copies_after);
        this->add_load_change(tried.rank, this->share(tried.added) / copies_after);
    }
    if (tried.removed >= 0) {
        this->add_holder_load_changes(tried.removed, this->copy_count(tried.removed) - 1,
                                      tried.rank);
        this->add_load_change(tried.rank,
                              -this->share(tried.removed) / this->copy_count(tried.removed));
    }
    double largest = 0;
    for (const int rank : this->ranks_by_load) {
        if (this->load_changes[static_cast<std::size_t>(rank)] == 0) {
            largest = this->load(rank);
            break;
        }
    }
    double squares = 0;
    for (const int rank : this->changed_ranks) {
        double& change = this->load_changes[static_cast<std::size_t>(rank)];
        const double after = this->load(rank) + change;
        largest = std::max(largest, after);
        squares += after * after - this->load(rank) * this->load(rank);
        change = 0;
    }
    this->changed_ranks.clear();
    return this->load(this->ranks_by_load.front()) - largest -
           evenness_weight * squares * this->shape.ranks;
}

void placement_search::try_move(int expert, int rank, move& best)
{
    const std::vector<int>& held = this->experts_by_rank[static_cast<std::size_t>(rank)];
    if (static_cast<int>(held.size()) < this->shape.max_experts_per_rank) {
        this->keep_if_better({rank, expert, -1, 0}, best);
        return;
    }
    for (const int removed : held) {
        if (this->copy_count(removed) >= 2) {
            this->keep_if_better({rank, expert, removed, 0}, best);
        }
    }
}

void placement_search::keep_if_better(move tried, move& best)
{
    tried.gain = this->gain_of(tried);
    if (tried.gain > best.gain) {
        best = tried;
    }
}

} // namespace sardinestream
