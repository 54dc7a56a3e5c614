#include "sardinestream/backends/choose_server.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace sardinestream {
namespace {

// Weight of the failure share: a server that always fails scores like one that is 1 + 8 times
// slower.
constexpr double failure_weight = 8.0;
// Added to the score of a server in another data centre. For most servers it is less than the
// effect of one request.
constexpr double remote_penalty = 0.02;
// Scores that differ by no more than this are treated as equal.
constexpr double tie_tolerance = 0.001;
// With fewer free servers than this, all are considered instead of a sample.
constexpr std::size_t min_servers_to_sample = 8;

// Returns how many times longer a request takes on this server than on a healthy one with the same
// number of requests.
double slowdown_of(const server_load& server)
{
    return server.slowness * (1 + failure_weight * server.failure_share);
}

double score_of(const server_load& server)
{
    const double fullness = (server.occupancy + 1) / server.capacity;
    return fullness * slowdown_of(server) + (server.same_data_centre ? 0 : remote_penalty);
}

bool has_capacity(const server_load& server)
{
    return server.available && server.occupancy + 1 <= server.capacity;
}

} // namespace

std::optional<std::size_t> choose_server(absl::Span<const server_load> servers, double tie_break)
{
    double best = std::numeric_limits<double>::infinity();
    std::vector<std::size_t> equals;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!has_capacity(servers[i])) {
            continue;
        }
        const double score = score_of(servers[i]);
        if (score > best + tie_tolerance) {
            continue;
        }
        if (score < best - tie_tolerance) {
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

std::optional<std::size_t> choose_from_sample(absl::Span<const server_load> servers,
                                              absl::Span<const double> draws)
{
    std::vector<std::size_t> with_room;
    // Cumulative sampling weights of the servers with free capacity.
    std::vector<double> weights;
    double total = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!has_capacity(servers[i])) {
            continue;
        }
        const double handicap = slowdown_of(servers[i]);
        total += 1 / (handicap * handicap);
        with_room.push_back(i);
        weights.push_back(total);
    }
    if (with_room.size() < min_servers_to_sample) {
        return choose_server(servers, draws.front());
    }
    std::vector<std::size_t> positions;
    std::vector<server_load> drawn;
    for (const double draw : draws) {
        const auto found = std::upper_bound(weights.begin(), weights.end(), draw * total);
        const auto at = std::min<std::size_t>(static_cast<std::size_t>(found - weights.begin()),
                                              weights.size() - 1);
        positions.push_back(with_room[at]);
        drawn.push_back(servers[with_room[at]]);
    }
    return positions[*choose_server(drawn, draws.front())];
}

} // namespace sardinestream
