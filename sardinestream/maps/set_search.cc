#include "sardinestream/maps/set_search.h"

#include <algorithm>
#include <numeric>

namespace sardinestream {
namespace {

// Makes the search prefer, among moves with the same largest load, the one with even loads.
constexpr double evenness_weight = 0.05;
// Ranks to which a move may copy: the least loaded ones. Bounds the search in large groups.
constexpr std::size_t most_targets = 32;

} // namespace

double time_of(absl::Span<const double> rank_slowness, int rank, double amount)
{
    return rank_slowness.empty() ? amount : amount * rank_slowness[static_cast<std::size_t>(rank)];
}

set_search::set_search(const expert_map& current, int searched_set, absl::Span<const double> shares,
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

set_search::move set_search::best_move(const std::function<bool(int rank)>& may_copy)
{
    this->sort_ranks();
    move best;
    const int busiest = this->by_load.front();
    for (const int expert : this->held_by[static_cast<std::size_t>(busiest)]) {
        if (this->share(expert) <= 0) {
            continue;
        }
        std::size_t tried = 0;
        for (auto at = this->by_load.rbegin(); at != this->by_load.rend() && tried < most_targets;
             ++at) {
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

void set_search::apply(const move& chosen)
{
    if (chosen.removed >= 0) {
        this->drop(chosen.rank, chosen.removed);
    }
    if (chosen.added >= 0) {
        this->take(chosen.rank, chosen.added);
    }
    this->compute_loads();
}

bool set_search::is_copy(const move& chosen) const
{
    return chosen.added >= 0 && !this->was_held[this->at(chosen.rank, chosen.added)];
}

double set_search::largest_load() const
{
    return *std::max_element(this->loads.begin(), this->loads.end());
}

std::size_t set_search::at(int rank, int expert) const
{
    return static_cast<std::size_t>(rank) * static_cast<std::size_t>(this->shape.experts) +
           static_cast<std::size_t>(expert);
}
double set_search::share(int expert) const
{
    return this->demand[static_cast<std::size_t>(expert)];
}
int set_search::count(int expert) const
{
    return this->copies[static_cast<std::size_t>(expert)];
}

void set_search::compute_loads()
{
    std::fill(this->loads.begin(), this->loads.end(), 0.0);
    for (int rank = 0; rank < this->shape.ranks; ++rank) {
        for (const int expert : this->held_by[static_cast<std::size_t>(rank)]) {
            this->loads[static_cast<std::size_t>(rank)] +=
                time_of(this->rank_slowness, rank, this->share(expert) / this->count(expert));
        }
    }
}

void set_search::sort_ranks()
{
    this->by_load.resize(this->loads.size());
    std::iota(this->by_load.begin(), this->by_load.end(), 0);
    std::stable_sort(this->by_load.begin(), this->by_load.end(),
                     [this](int one, int other) { return this->load(one) > this->load(other); });
}
void set_search::take(int rank, int expert)
{
    ++this->copies[static_cast<std::size_t>(expert)];
    this->holds[this->at(rank, expert)] = true;
    this->holders[static_cast<std::size_t>(expert)].push_back(rank);
    this->held_by[static_cast<std::size_t>(rank)].push_back(expert);
}

void set_search::drop(int rank, int expert)
{
    --this->copies[static_cast<std::size_t>(expert)];
    this->holds[this->at(rank, expert)] = false;
    std::erase(this->holders[static_cast<std::size_t>(expert)], rank);
    std::erase(this->held_by[static_cast<std::size_t>(rank)], expert);
}

void set_search::shift(int rank, double work)
{
    double& noted = this->shifts[static_cast<std::size_t>(rank)];
    if (noted == 0) {
        this->shifted.push_back(rank);
    }
    noted += time_of(this->rank_slowness, rank, work);
}

void set_search::shift_holders(int expert, int copies_after, int except)
{
    const double change =
        this->share(expert) / copies_after - this->share(expert) / this->count(expert);
    for (const int rank : this->holders[static_cast<std::size_t>(expert)]) {
        if (rank != except) {
            this->shift(rank, change);
        }
    }
}

double set_search::gain_of(const move& tried)
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

void set_search::try_move(int expert, int rank, move& best)
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

void set_search::keep_better(move tried, move& best)
{
    tried.gain = this->gain_of(tried);
    if (tried.gain > best.gain) {
        best = tried;
    }
}

} // namespace sardinestream
