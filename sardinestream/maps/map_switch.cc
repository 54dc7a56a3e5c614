#include "sardinestream/maps/map_switch.h"

#include <algorithm>

namespace sardinestream {
namespace {

std::int64_t newest_step(absl::Span<const rank_report> ranks)
{
    std::int64_t newest = 0;
    for (const rank_report& report : ranks) {
        newest = std::max(newest, report.step);
    }
    return newest;
}

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
        if (report.armed.has_value()) {
            this->reset();
            return this->finish_armed(ranks, *report.armed);
        }
    }
    for (const rank_report& report : ranks) {
        if (report.held_step.has_value()) {
            this->reset();
            return this->finish_held(ranks, *report.held_step);
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

std::vector<rank_order> map_switch::finish_held(absl::Span<const rank_report> ranks,
                                                std::int64_t held_step) const
{
    std::vector<rank_order> orders;
    const std::int64_t version = version_prepared_on_all_ranks(ranks);
    if (version == 0 || newest_step(ranks) >= held_step) {
        // No arm order can be outstanding: the hold was executed late.
        release_all(ranks, orders);
        return orders;
    }
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        orders.push_back({static_cast<int>(rank), order_kind::arm, version, held_step});
    }
    return orders;
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
        this->chosen_step = newest + this->options.step_margin;
    }
    orders.push_back({this->options.holding_rank, order_kind::hold, version, *this->chosen_step});
    return orders;
}

} // namespace sardinestream
