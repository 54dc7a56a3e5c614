// Chooses the backend server for a request. The choice is a hook; the plain baselines stand beside
// our policy and are selected by name (`--policy`).
//
//     const routing_policy choose = *make_policy("expected_first_token");
//     std::optional<std::size_t> chosen = choose(views, profile, random);
//
// A policy is a pure function of its arguments apart from the state of `round_robin`. It never does
// I/O, and it never chooses a server that is leaving or excluded.

#ifndef SARDINESTREAM_ROUTING_ROUTING_POLICY_H_
#define SARDINESTREAM_ROUTING_ROUTING_POLICY_H_

#include <functional>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "sardinestream/routing/server_view.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::routing {

using random_source = std::mt19937_64;

// Returns an index into the views, or nothing where no server may be chosen. Thread-safe as long as
// each thread brings its own random source.
using routing_policy = std::function<std::optional<std::size_t>(
    std::span<const server_view>, const request_profile&, random_source&)>;

// What our policy looks at; each part can be switched off to measure what it is worth.
struct policy_options {
    // Servers drawn at random from the nearest data centre that has any, and from the others.
    std::size_t near_samples = 2;
    std::size_t far_samples = 2;
    bool use_prefix = true;
    // Server speeds that agents measured from completion times.
    bool use_speed = false;
};

// Returns the expected time to the first token, or to the answer of a plain service.
[[nodiscard]] absl::Duration expected_first_token(const server_view& view,
                                                  const request_profile& profile,
                                                  const policy_options& options);

// Our policy: the least expected time among a few random servers and the one with the longest
// cached prefix. Another data centre is chosen only where a slot is free there or none is near.
[[nodiscard]] routing_policy make_expected_first_token(policy_options options);

[[nodiscard]] routing_policy make_round_robin();
[[nodiscard]] routing_policy make_random();
// Least requests in flight from this entry.
[[nodiscard]] routing_policy make_least_in_flight();

// Names: expected_first_token, expected_with_speed, expected_without_prefix, round_robin,
// random, least_in_flight. Fails with `kInvalidArgument` on any other.
[[nodiscard]] absl::StatusOr<routing_policy> make_policy(absl::string_view name);
[[nodiscard]] std::vector<absl::string_view> policy_names();

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_ROUTING_POLICY_H_
