#include "sardinestream/maps/map_switch.h"

#include <algorithm>

namespace sardinestream {
namespace {

void release_all(absl::Span<const rank_report> ranks, std::vector<rank_order>& orders)
{
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        if (ranks[rank].held_step.has_value()) {
            orders.push_back(
                {static_cast<int>(rank), order_kind::release, 0, *ranks[rank].held_step});
        }
    }
}

} // namespace

std::int64_t newest_step(absl::Span<const rank_report> ranks)
{
    std::int64_t newest = 0;
    for (const rank_report& report : ranks) {
        newest = std::max(newest, report.step);
    }
    return newest;
}

int holding_rank(std::int64_t version, int ranks)
{
    return static_cast<int>(version % ranks);
}

std::int64_t version_after(std::int64_t newest, std::uint64_t draw)
{
    constexpr int random_bits = 20;
    constexpr std::uint64_t random_mask = (1ULL << random_bits) - 1;
    return ((newest >> random_bits) + 1) << random_bits |
           static_cast<std::int64_t>(draw & random_mask);
}

std::int64_t plan_version_after(std::int64_t newest, std::uint64_t draw)
{
    return version_after(version_after(newest, 0), draw);
}

std::int64_t version_prepared_on_all_ranks(absl::Span<const rank_report> ranks)
{
    const std::int64_t version = ranks.front().prepared_version;
    for (const rank_report& report : ranks) {
        if (report.prepared_version != version || report.map_version >= version) {
            return 0;
        }
    }
    return version;
}

bool same_epoch(absl::Span<const rank_report> ranks)
{
    for (const rank_report& report : ranks) {
        if (report.epoch != ranks.front().epoch) {
            return false;
        }
    }
    return true;
}

bool is_switching(absl::Span<const rank_report> ranks)
{
    for (const rank_report& report : ranks) {
        if (report.armed.has_value() || report.held_step.has_value()) {
            return true;
        }
    }
    return false;
}

std::vector<rank_order> map_switch::next_orders(absl::Span<const rank_report> ranks,
                                                std::int64_t wanted_version)
{
    if (ranks.empty() || !same_epoch(ranks)) {
        return {};
    }
    for (const rank_report& report : ranks) {
        this->highest_held_step = std::max(this->highest_held_step, report.held_step.value_or(0));
    }
    for (const rank_report& report : ranks) {
        if (report.armed.has_value()) {
            this->reset();
            return this->finish_armed(ranks, *report.armed);
        }
    }
    for (const rank_report& report : ranks) {
        if (report.held_step.has_value()) {
            this->reset();
            return this->finish_held(ranks);
        }
    }
    return wanted_version > 0 ? this->begin(ranks, wanted_version) : std::vector<rank_order>();
}

std::vector<rank_order> map_switch::finish_armed(absl::Span<const rank_report> ranks,
                                                 const armed_switch& target) const
{
    std::vector<rank_order> orders;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        const rank_report& report = ranks[rank];
        if (report.armed != target && report.map_version != target.version) {
            orders.push_back(
                {static_cast<int>(rank), order_kind::arm, target.version, target.step});
        }
    }
    if (orders.empty()) {
        release_all(ranks, orders);
    }
    return orders;
}

std::vector<rank_order> map_switch::finish_held(absl::Span<const rank_report> ranks) const
{
    std::vector<rank_order> orders;
    const std::int64_t version = version_prepared_on_all_ranks(ranks);
    const int holder = holding_rank(version, static_cast<int>(ranks.size()));
    for (int rank = 0; rank < static_cast<int>(ranks.size()); ++rank) {
        const std::optional<std::int64_t> held = ranks[static_cast<std::size_t>(rank)].held_step;
        if (!held.has_value()) {
            continue;
        }
        if (version > 0 && rank == holder && newest_step(ranks) < *held) {
            orders.push_back({rank, order_kind::arm, version, *held});
            continue;
        }
        // No rank is armed for this step, nor will be: the hold was executed late.
        orders.push_back({rank, order_kind::release, 0, *held});
    }
    return orders;
}

bool map_switch::awaits_hold(absl::Span<const rank_report> ranks) const
{
    return this->chosen_step.has_value() && *this->chosen_step > newest_step(ranks);
}

void map_switch::begin_epoch()
{
    this->chosen_step.reset();
    this->highest_held_step = 0;
}

std::vector<rank_order> map_switch::begin(absl::Span<const rank_report> ranks, std::int64_t version)
{
    std::vector<rank_order> orders;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        if (ranks[rank].prepared_version != version && ranks[rank].map_version != version) {
            orders.push_back({static_cast<int>(rank), order_kind::prepare, version, 0});
        }
    }
    if (!orders.empty() || version_prepared_on_all_ranks(ranks) != version) {
        return orders;
    }
    const std::int64_t newest = newest_step(ranks);
    if (!this->chosen_step.has_value() || *this->chosen_step <= newest) {
        // Above all former holds, whose repeated release orders may still be executed.
        this->chosen_step =
            std::max(newest + this->options.step_margin, this->highest_held_step + 1);
    }
    orders.push_back({holding_rank(version, static_cast<int>(ranks.size())), order_kind::hold,
                      version, *this->chosen_step});
    return orders;
}

} // namespace sardinestream
