#include "sardinestream/routes/desired_state.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace sardinestream {

double engine_model::copy_ms() const
{
    constexpr double bits_per_byte = 8;
    constexpr double ms_per_s = 1000;
    return this->link_megabits_per_s > 0
               ? this->expert_megabytes * bits_per_byte / this->link_megabits_per_s * ms_per_s
               : 0;
}

void desired_state::index_routes()
{
    this->by_host.clear();
    for (std::size_t i = 0; i < this->routes.size(); ++i) {
        this->by_host[absl::AsciiStrToLower(this->routes[i].host)].push_back(i);
    }
    for (auto& [host, positions] : this->by_host) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
            return this->routes[a].path_prefix.size() > this->routes[b].path_prefix.size();
        });
    }
}

const route* desired_state::find_route(absl::string_view host, absl::string_view path) const
{
    const auto positions = this->by_host.find(absl::AsciiStrToLower(host));
    if (positions == this->by_host.end()) {
        return nullptr;
    }
    for (const std::size_t position : positions->second) {
        if (absl::StartsWith(path, this->routes[position].path_prefix)) {
            return &this->routes[position];
        }
    }
    return nullptr;
}

const team* desired_state::find_team(absl::string_view key) const
{
    const auto found = this->teams_by_key.find(key);
    return found == this->teams_by_key.end() ? nullptr : &found->second;
}

const std::string& choose_service(const route& chosen, double draw)
{
    double total = 0;
    for (const weighted_service& part : chosen.services) {
        total += part.weight;
    }
    double left = draw * total;
    for (const weighted_service& part : chosen.services) {
        left -= part.weight;
        if (left < 0) {
            return part.service;
        }
    }
    return chosen.services.back().service;
}

} // namespace sardinestream
