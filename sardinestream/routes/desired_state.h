// What the operator has declared: routes, services, teams and limits, as one versioned value.
//
// Immutable once built; shared between threads as `std::shared_ptr<const desired_state>`.

#ifndef SARDINESTREAM_ROUTES_DESIRED_STATE_H_
#define SARDINESTREAM_ROUTES_DESIRED_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

// What a request of a route allows after a failure.
enum class request_kind {
    // May run more than once.
    idempotent,
    // Runs at most once for each attempt of its caller.
    non_idempotent,
    // Answers with a series of events.
    streaming,
};

struct weighted_service {
    std::string service;
    // Share among the route's services; never negative.
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    // At least one.
    std::vector<weighted_service> services;
    // The longest time that a request may wait for the end of its answer.
    std::chrono::milliseconds timeout{30000};
    // The time within which a first event, or a whole answer, is on time.
    std::chrono::milliseconds latency_target{1000};
    // The longest pause between events that is on time; zero where there is none.
    std::chrono::milliseconds pause_target{0};
    // The most servers to which one request may be sent; at least one.
    int max_attempts = 1;
    // 0 is the most urgent.
    int priority = 0;
    // Needs no key.
    bool is_public = false;
    // A stream may go on at another server after its last event.
    bool resumable = false;

    // A second server may be given the request after the first may have begun it.
    [[nodiscard]] bool may_run_again() const
    {
        return this->kind == request_kind::idempotent ||
               (this->kind == request_kind::streaming && this->resumable);
    }
};

// How an expert-parallel engine places its experts.
struct engine_model {
    // Zero layer sets where the engine has no experts.
    int layer_sets = 0;
    int experts = 0;
    int places_per_rank = 0;
    int max_new_experts = 0;
    double expert_megabytes = 0;
    // Share of a pass that goes to the experts, 0 to 1.
    double expert_share = 0;
    // Rate at which a rank copies experts.
    double link_megabits_per_s = 0;

    [[nodiscard]] bool has_experts() const { return this->layer_sets > 0; }
    // Time to copy one expert to a rank.
    [[nodiscard]] double copy_ms() const;
};

struct service_declaration {
    std::string name;
    bool has_engine = false;
    engine_model engine;
};

struct team {
    std::string name;
    // Takes precedence over the route's priority; -1 where none is set.
    int priority = -1;
};

struct request_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

class desired_state {
public:
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_declaration> services;
    request_limits limits;
    // By key. Empty where no keys are needed at all.
    absl::flat_hash_map<std::string, team> teams_by_key;
    bool has_teams = false;

    // Orders the routes for `find_route`. Call once, after filling `routes`.
    void index_routes();

    // Returns the route of the host with the longest prefix of `path`, or null.
    [[nodiscard]] const route* find_route(absl::string_view host, absl::string_view path) const;

    // Returns the team that holds `key`, or null.
    [[nodiscard]] const team* find_team(absl::string_view key) const;

private:
    // Positions in `routes` by host, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host;
};

// Returns the service for a request; `draw` is uniform in [0, 1).
[[nodiscard]] const std::string& choose_service(const route& chosen, double draw);

} // namespace sardinestream

#endif // SARDINESTREAM_ROUTES_DESIRED_STATE_H_
