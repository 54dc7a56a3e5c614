// Holds the configuration declared by the operator: routes, services, teams and limits, as one
// versioned value.
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

// Whether and how requests of a route may be retried after a failure.
enum class request_kind {
    // May be executed more than once.
    idempotent,
    // Executed at most once for each attempt of its caller.
    non_idempotent,
    // Answered with a stream of events.
    streaming,
};

struct weighted_service {
    std::string service;
    // Relative weight among the route's services; never negative.
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    // At least one.
    std::vector<weighted_service> services;
    // Longest time from a request to the end of its answer.
    std::chrono::milliseconds timeout{30000};
    // A first event, or a whole answer, within this time is on time.
    std::chrono::milliseconds latency_target{1000};
    // A pause between events up to this length is on time; zero if no target is set.
    std::chrono::milliseconds pause_target{0};
    // Limit on the number of servers to which one request may be sent; at least one.
    int max_attempts = 1;
    // 0 is the most urgent.
    int priority = 0;
    // Requests need no key.
    bool is_public = false;
    // A stream may be resumed at another server after its last event.
    bool resumable = false;

    // Returns true if a request may be sent to a second server after the first may have started it.
    [[nodiscard]] bool may_run_again() const
    {
        return this->kind == request_kind::idempotent ||
               (this->kind == request_kind::streaming && this->resumable);
    }
};

// How fast an engine works, and how it places its experts if it is an expert-parallel one.
struct engine_model {
    // Requests that it runs at once; zero if unknown.
    int slots = 0;
    // Steps that the engine makes in one pass while requests write. Each writes a token in a step,
    // and an event of a stream holds those of one pass.
    int steps_per_pass = 1;
    // Time of a step, in milliseconds, and what each request that is writing adds; zero if unknown.
    double step_ms = 0;
    double step_ms_per_request = 0;
    // What each request that is writing adds for 1,000 tokens of its context, in milliseconds.
    double step_ms_per_1000_tokens = 0;
    // Tokens of prompts read per second; zero if unknown.
    double read_tokens_per_s = 0;
    // Tokens of prompts that one step reads at most; zero if unknown.
    int max_tokens_per_step = 0;
    // Memory for tokens of prompts and answers; zero if unknown.
    std::int64_t memory_tokens = 0;
    // Mean tokens of a prompt and of an answer; zero if unknown.
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    // Zero if the engine has no experts.
    int layer_sets = 0;
    int experts = 0;
    int places_per_rank = 0;
    int max_new_experts = 0;
    double expert_megabytes = 0;
    // Share of the time of a step that is spent in the experts, 0 to 1.
    double expert_share = 0;
    // Rate at which a rank copies experts, in megabits per second.
    double link_megabits_per_s = 0;

    [[nodiscard]] bool has_experts() const { return this->layer_sets > 0; }
    // Returns whether the time that a request takes can be computed.
    [[nodiscard]] bool has_speed() const
    {
        return this->step_ms > 0 && this->read_tokens_per_s > 0;
    }
    // Returns the time to copy one expert to a rank, in milliseconds; zero if no rate is set.
    [[nodiscard]] double copy_ms() const;

    friend bool operator==(const engine_model&, const engine_model&) = default;
};

struct service_declaration {
    std::string name;
    bool has_engine = false;
    engine_model engine;
    // Time for which a server is cold after its start, and the requests per second that a cold one
    // bears from all processes together; zero if none.
    std::chrono::milliseconds cold_period{0};
    double cold_rate = 0;
    // Connections that a server accepts from all callers together; zero if unknown.
    int connection_limit = 0;
};

struct team {
    std::string name;
    // Overrides the route's priority; -1 if not set.
    int priority = -1;
};

// A team as declared, without its keys.
struct team_declaration {
    std::string name;
    // As in `team`.
    int priority = -1;
    int keys = 0;
    // Number of its keys that a team before it also lists; such a key belongs to the last one.
    int keys_of_earlier_teams = 0;
    // Identifies the set of its keys; does not depend on their order.
    std::uint64_t keys_digest = 0;
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
    // All teams, also those without keys.
    std::vector<team_declaration> teams;
    // Teams by key. Empty if no keys are required at all.
    absl::flat_hash_map<std::string, team> teams_by_key;
    bool has_teams = false;

    // Builds the index for `find_route`. Must be called once, after `routes` is filled.
    void index_routes();

    // Returns the route of `host` whose prefix is the longest that matches `path`, or null.
    [[nodiscard]] const route* find_route(absl::string_view host, absl::string_view path) const;

    // Returns the team that holds `key`, or null.
    [[nodiscard]] const team* find_team(absl::string_view key) const;

private:
    // Positions in `routes` by host, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host;
};

// Selects a service of the route by weight; `draw` is a uniform random number in [0, 1).
[[nodiscard]] const std::string& choose_service(const route& chosen, double draw);

} // namespace sardinestream

#endif // SARDINESTREAM_ROUTES_DESIRED_STATE_H_
