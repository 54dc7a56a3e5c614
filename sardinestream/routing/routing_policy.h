// Chooses the backend server for a request. The policy is replaceable: the default policy and
// simple baselines are selected by name (`--policy`).
//
//     const routing_policy choose = *make_policy("expected_first_token");
//     std::optional<std::size_t> chosen = choose(views, profile, random);
//
// A policy is a pure function of its arguments, except that `round_robin` keeps a counter. Policies
// do no I/O and never choose a server that is leaving or excluded.

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

// Returns an index into the views, or `nullopt` if no server is eligible. Thread-safe as long as
// each thread passes its own random source.
using routing_policy = std::function<std::optional<std::size_t>(
    std::span<const server_view>, const request_profile&, random_source&)>;

// Inputs of the `expected_first_token` policy; each can be switched off to measure its benefit.
struct policy_options {
    // Number of servers drawn at random from the nearest distance class that has any, and from the
    // farther ones.
    std::size_t near_samples = 2;
    std::size_t far_samples = 2;
    bool use_prefix = true;
    // Uses the server speeds that agents measure from completion times.
    bool use_speed = false;
};

// Returns the expected time to the first token, or to the response of a plain service.
[[nodiscard]] absl::Duration expected_first_token(const server_view& view,
                                                  const request_profile& profile,
                                                  const policy_options& options);

// Returns the default policy. It chooses the lowest expected time among a few random servers and
// the server with the longest cached prefix. Servers farther away than the nearest eligible ones
// are candidates only if they have a free slot.
[[nodiscard]] routing_policy make_expected_first_token(policy_options options);

[[nodiscard]] routing_policy make_round_robin();
[[nodiscard]] routing_policy make_random();
// Chooses the server with the fewest requests in flight from this entry.
[[nodiscard]] routing_policy make_least_in_flight();

// Returns the policy with this name: expected_first_token, expected_with_speed,
// expected_without_prefix, round_robin, random or least_in_flight. Fails with `kInvalidArgument`
// for any other name.
[[nodiscard]] absl::StatusOr<routing_policy> make_policy(absl::string_view name);
[[nodiscard]] std::vector<absl::string_view> policy_names();

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_ROUTING_POLICY_H_
