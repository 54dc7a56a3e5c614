#include "sardinestream/backends/choose_server.h"

#include <cmath>
#include <limits>

namespace sardinestream {
namespace {

// How much a server that always fails looks longer than one that never does.
constexpr double failure_weight = 8.0;
// What another data centre adds to a server's score: less than one request at most servers.
constexpr double remote_penalty = 0.02;
// Scores closer than this count as equal.
constexpr double tie_width = 0.001;

double score_of(const server_load& server)
{
    const double fullness = (server.occupancy + 1) / server.room;
    return fullness * server.slowness * (1 + failure_weight * server.failure_share) +
           (server.same_data_centre ? 0 : remote_penalty);
}

} // namespace

std::optional<std::size_t> choose_server(absl::Span<const server_load> servers, double tie_break)
{
    double best = std::numeric_limits<double>::infinity();
    std::vector<std::size_t> equals;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].available || servers[i].occupancy + 1 > servers[i].room) {
            continue;
        }
        const double score = score_of(servers[i]);
        if (score > best + tie_width) {
            continue;
        }
        if (score < best - tie_width) {
            equals.clear();
        }
        best = std::min(best, score);
        equals.push_back(i);
    }
    if (equals.empty()) {
        return std::nullopt;
    }
    const auto position = static_cast<std::size_t>(tie_break * static_cast<double>(equals.size()));
    return equals[std::min(position, equals.size() - 1)];
}

} // namespace sardinestream
