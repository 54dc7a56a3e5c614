#include "sardinestream/backends/choose_server.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <random>

#include "absl/container/inlined_vector.h"

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
// Among more servers than this, a sample is drawn by trial, without a look at all of them.
constexpr std::size_t max_servers_to_weigh = 256;
// Trials for one server of the sample.
constexpr int max_trials = 16;

// Returns how many times longer a request takes on this server than on a healthy one with the same
// number of requests.
double slowdown_of(const server_load& server)
{
    return server.slowness * (1 + failure_weight * server.failure_share);
}

double score_of(const server_load& server)
{
    const double fullness = (server.work.value_or(server.occupancy) + 1) / server.capacity;
    return fullness * slowdown_of(server) + (server.same_data_centre ? 0 : remote_penalty);
}

bool has_capacity(const server_load& server)
{
    return server.available && server.occupancy + 1 <= server.capacity;
}

// Returns the server at `position` among those that `is_candidate` returns true for. There must be
// more than `position`.
template <typename Predicate>
std::size_t nth_of(absl::Span<const server_load> servers, std::size_t position,
                   const Predicate& is_candidate)
{
    std::size_t last = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!is_candidate(servers[i])) {
            continue;
        }
        last = i;
        if (position == 0) {
            break;
        }
        --position;
    }
    return last;
}

// Sampling weight of a server with free capacity.
double weight_of(const server_load& server)
{
    const double handicap = slowdown_of(server);
    return 1 / (handicap * handicap);
}

// Returns the first server with free capacity at which the cumulative weight exceeds `target`, or
// the last one with free capacity.
std::size_t find_weight(absl::Span<const server_load> servers, double target)
{
    std::size_t last = 0;
    double total = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!has_capacity(servers[i])) {
            continue;
        }
        last = i;
        total += weight_of(servers[i]);
        if (total > target) {
            break;
        }
    }
    return last;
}

// Returns a server with free capacity, drawn by weight, or nothing after `max_trials`. No weight is
// above 1, so that a trial succeeds with the weight's probability.
std::optional<std::size_t> draw_by_trial(absl::Span<const server_load> servers,
                                         std::minstd_rand& random)
{
    std::uniform_int_distribution<std::size_t> position(0, servers.size() - 1);
    std::uniform_real_distribution<double> chance(0, 1);
    for (int trial = 0; trial < max_trials; ++trial) {
        const std::size_t drawn = position(random);
        if (has_capacity(servers[drawn]) && chance(random) < weight_of(servers[drawn])) {
            return drawn;
        }
    }
    return std::nullopt;
}

// The servers of a sample, and their positions among all.
struct sample {
    absl::InlinedVector<std::size_t, server_sample_size> positions;
    absl::InlinedVector<server_load, server_sample_size> loads;

    void add(absl::Span<const server_load> servers, std::size_t position)
    {
        this->positions.push_back(position);
        this->loads.push_back(servers[position]);
    }
};

// Returns as many servers as there are draws, or fewer if hardly any has free capacity.
sample draw_sample_by_trial(absl::Span<const server_load> servers, absl::Span<const double> draws)
{
    std::minstd_rand random(
        static_cast<std::uint32_t>(draws.back() * std::numeric_limits<std::uint32_t>::max()));
    sample drawn;
    for (std::size_t i = 0; i < draws.size(); ++i) {
        const std::optional<std::size_t> position = draw_by_trial(servers, random);
        if (!position.has_value()) {
            break;
        }
        drawn.add(servers, *position);
    }
    return drawn;
}

} // namespace

std::optional<std::size_t> choose_server(absl::Span<const server_load> servers, double tie_break)
{
    double best = std::numeric_limits<double>::infinity();
    for (const server_load& server : servers) {
        best = has_capacity(server) ? std::min(best, score_of(server)) : best;
    }
    const auto is_best = [&](const server_load& server) {
        return has_capacity(server) && score_of(server) <= best + tie_tolerance;
    };
    const auto equals =
        static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), is_best));
    if (equals == 0) {
        return std::nullopt;
    }
    const auto position = static_cast<std::size_t>(tie_break * static_cast<double>(equals));
    return nth_of(servers, std::min(position, equals - 1), is_best);
}

std::optional<std::size_t> choose_from_sample(absl::Span<const server_load> servers,
                                              absl::Span<const double> draws)
{
    sample drawn;
    if (servers.size() > max_servers_to_weigh) {
        drawn = draw_sample_by_trial(servers, draws);
    }
    if (drawn.loads.size() == draws.size()) {
        return drawn.positions[*choose_server(drawn.loads, draws.front())];
    }
    drawn = {};
    std::size_t with_room = 0;
    double total = 0;
    for (const server_load& server : servers) {
        if (has_capacity(server)) {
            ++with_room;
            total += weight_of(server);
        }
    }
    if (with_room < min_servers_to_sample) {
        return choose_server(servers, draws.front());
    }
    for (const double draw : draws) {
        drawn.add(servers, find_weight(servers, draw * total));
    }
    return drawn.positions[*choose_server(drawn.loads, draws.front())];
}

} // namespace sardinestream
