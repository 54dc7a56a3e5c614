#include "sardinestream/routing/routing_policy.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>

#include "sardinestream/base/error.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::routing {
namespace {

// Assumed speed of a server that its agent has not measured recently. The times are short so that
// such a server is tried again.
constexpr absl::Duration unknown_service_time = absl::Milliseconds(20);
constexpr absl::Duration unknown_prefill_token_time = absl::Microseconds(20);

// A server whose last report is older than this is assumed to be stalled since that report.
constexpr absl::Duration fresh_report_age = absl::Milliseconds(600);
// A model server is assumed to be stalled if its requests made no progress for longer than this and
// for longer than `stall_first_tokens` times its usual time to the first token.
constexpr absl::Duration stall_threshold = absl::Milliseconds(250);
constexpr double stall_first_tokens = 2.0;
// Added to the expected time of a failing server, so that it is chosen only as a last resort.
constexpr absl::Duration failing_penalty = absl::Seconds(30);

bool is_eligible(const server_view& view, const request_profile& profile)
{
    if (view.leaving) {
        return false;
    }
    return std::find(profile.excluded_agents.begin(), profile.excluded_agents.end(), view.id) ==
           profile.excluded_agents.end();
}

std::vector<std::size_t> eligible_servers(std::span<const server_view> views,
                                          const request_profile& profile)
{
    std::vector<std::size_t> found;
    found.reserve(views.size());
    for (std::size_t i = 0; i < views.size(); ++i) {
        if (is_eligible(views[i], profile)) {
            found.push_back(i);
        }
    }
    return found;
}

std::size_t random_below(std::size_t bound, random_source& random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

// Appends up to `count` distinct random members of `pool` to `out`. Reorders `pool`.
void draw_samples(std::vector<std::size_t>& pool, std::size_t count, random_source& random,
                  std::vector<std::size_t>& out)
{
    for (std::size_t i = 0; i < std::min(count, pool.size()); ++i) {
        std::swap(pool[i], pool[i + random_below(pool.size() - i, random)]);
        out.push_back(pool[i]);
    }
}

std::int64_t occupancy(const server_view& view)
{
    const std::int64_t known =
        std::int64_t{view.load.running} + view.load.queued + view.change_since_report;
    return std::max<std::int64_t>(0, known);
}

bool has_free_slot(const server_view& view)
{
    return occupancy(view) < view.load.slots && view.load.suspects == 0 && !view.load.failing;
}

absl::Duration measured_or(absl::Duration measured, absl::Duration otherwise)
{
    return measured > absl::ZeroDuration() ? measured : otherwise;
}

absl::Duration waiting_time(const server_view& view, absl::Duration service_time)
{
    const std::int64_t slots = view.load.slots;
    const std::int64_t ahead = occupancy(view) - slots + 1;
    if (ahead <= 0) {
        return absl::ZeroDuration();
    }
    return service_time * (static_cast<double>(ahead) / static_cast<double>(slots));
}

absl::Duration stall_time(const server_view& view, const request_profile& profile)
{
    absl::Duration stalled = absl::ZeroDuration();
    const absl::Duration usual =
        std::max(stall_threshold, view.load.first_token_time * stall_first_tokens);
    if (profile.prompt_tokens > 0 && view.load.no_progress_for > usual) {
        stalled += view.load.no_progress_for;
    }
    if (view.report_age > fresh_report_age) {
        // A server that has never reported is not taken to be stalled; it gets a fixed penalty.
        stalled += view.report_age == absl::InfiniteDuration() ? fresh_report_age : view.report_age;
    }
    return stalled;
}

std::uint32_t uncached_tokens(const server_view& view, const request_profile& profile)
{
    const std::uint64_t cached = std::uint64_t{view.cached_blocks} * profile.tokens_per_block;
    return cached >= profile.prompt_tokens
               ? 0
               : profile.prompt_tokens - static_cast<std::uint32_t>(cached);
}

// Returns the time that the server needs until the first token once the request has a slot.
// Requests that run concurrently share the server's compute capacity, so a busy server takes
// longer.
absl::Duration processing_time(const server_view& view, const request_profile& profile,
                               const policy_options& options)
{
    const bool speed = options.use_speed;
    if (profile.prompt_tokens == 0) {
        return speed ? measured_or(view.load.service_time, unknown_service_time)
                     : unknown_service_time;
    }
    const absl::Duration per_token =
        speed ? measured_or(view.load.prefill_token_time, unknown_prefill_token_time)
              : unknown_prefill_token_time;
    const absl::Duration step = speed ? view.load.token_time : absl::ZeroDuration();
    const double busy = std::min(1.0, static_cast<double>(occupancy(view)) / view.load.slots);
    return per_token * uncached_tokens(view, profile) * (1.0 + busy) + step;
}

std::vector<std::size_t> take_nearest(std::span<const server_view> views,
                                      std::vector<std::size_t>& candidates)
{
    distance_class best = distance_class::other_region;
    for (std::size_t i : candidates) {
        best = std::min(best, views[i].distance);
    }
    auto is_near = [&](std::size_t i) { return views[i].distance == best; };
    auto middle = std::stable_partition(candidates.begin(), candidates.end(), is_near);
    std::vector<std::size_t> near(candidates.begin(), middle);
    candidates.erase(candidates.begin(), middle);
    return near;
}

std::optional<std::size_t> longest_cached_prefix(std::span<const server_view> views,
                                                 std::span<const std::size_t> candidates)
{
    std::optional<std::size_t> best;
    for (std::size_t i : candidates) {
        if (views[i].cached_blocks == 0) {
            continue;
        }
        if (!best || views[i].cached_blocks > views[*best].cached_blocks ||
            (views[i].cached_blocks == views[*best].cached_blocks &&
             occupancy(views[i]) < occupancy(views[*best]))) {
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> choose_least_expected(std::span<const server_view> views,
                                                 const request_profile& profile,
                                                 random_source& random,
                                                 const policy_options& options)
{
    std::vector<std::size_t> far = eligible_servers(views, profile);
    if (far.empty()) {
        return std::nullopt;
    }
    std::vector<std::size_t> near = take_nearest(views, far);
    const auto is_failing = [&](std::size_t i) { return views[i].load.failing; };
    if (!std::all_of(near.begin(), near.end(), is_failing)) {
        std::erase_if(near, is_failing);
    }
    std::erase_if(far, [&](std::size_t i) { return !has_free_slot(views[i]); });

    std::vector<std::size_t> drawn;
    draw_samples(near, options.near_samples, random, drawn);
    draw_samples(far, options.far_samples, random, drawn);
    if (options.use_prefix) {
        for (const auto& pool : {near, far}) {
            if (std::optional<std::size_t> cached = longest_cached_prefix(views, pool)) {
                drawn.push_back(*cached);
            }
        }
    }
    auto sooner = [&](std::size_t left, std::size_t right) {
        return expected_first_token(views[left], profile, options) <
               expected_first_token(views[right], profile, options);
    };
    return *std::min_element(drawn.begin(), drawn.end(), sooner);
}

} // namespace

absl::Duration expected_first_token(const server_view& view, const request_profile& profile,
                                    const policy_options& options)
{
    const absl::Duration service_time =
        options.use_speed ? measured_or(view.load.service_time, unknown_service_time)
                          : unknown_service_time;
    absl::Duration expected = 2 * one_way_delay(view.distance);
    expected += waiting_time(view, service_time);
    expected += processing_time(view, profile, options);
    expected += stall_time(view, profile);
    expected += service_time * static_cast<double>(view.load.suspects);
    expected += view.load.failing ? failing_penalty : absl::ZeroDuration();
    return expected;
}

routing_policy make_expected_first_token(policy_options options)
{
    return [options](std::span<const server_view> views, const request_profile& profile,
                     random_source& random) {
        return choose_least_expected(views, profile, random, options);
    };
}

routing_policy make_round_robin()
{
    auto next = std::make_shared<std::atomic<std::size_t>>(0);
    return [next](std::span<const server_view> views, const request_profile& profile,
                  random_source&) -> std::optional<std::size_t> {
        const std::vector<std::size_t> candidates = eligible_servers(views, profile);
        if (candidates.empty()) {
            return std::nullopt;
        }
        return candidates[next->fetch_add(1) % candidates.size()];
    };
}

routing_policy make_random()
{
    return [](std::span<const server_view> views, const request_profile& profile,
              random_source& random) -> std::optional<std::size_t> {
        const std::vector<std::size_t> candidates = eligible_servers(views, profile);
        if (candidates.empty()) {
            return std::nullopt;
        }
        return candidates[random_below(candidates.size(), random)];
    };
}

routing_policy make_least_in_flight()
{
    return [](std::span<const server_view> views, const request_profile& profile,
              random_source& random) -> std::optional<std::size_t> {
        std::vector<std::size_t> candidates = eligible_servers(views, profile);
        if (candidates.empty()) {
            return std::nullopt;
        }
        // Breaks ties at random.
        std::shuffle(candidates.begin(), candidates.end(), random);
        return *std::min_element(
            candidates.begin(), candidates.end(), [&](std::size_t left, std::size_t right) {
                return views[left].own_outstanding < views[right].own_outstanding;
            });
    };
}

absl::StatusOr<routing_policy> make_policy(absl::string_view name)
{
    if (name == "expected_first_token") {
        return make_expected_first_token({});
    }
    if (name == "expected_with_speed") {
        return make_expected_first_token({.use_speed = true});
    }
    if (name == "expected_without_prefix") {
        return make_expected_first_token({.use_prefix = false});
    }
    if (name == "round_robin") {
        return make_round_robin();
    }
    if (name == "random") {
        return make_random();
    }
    if (name == "least_in_flight") {
        return make_least_in_flight();
    }
    return make_error(absl::StatusCode::kInvalidArgument, "make_policy", "",
                      absl::StrCat("unknown policy ", name, "; must be one of ",
                                   absl::StrJoin(policy_names(), ", ")));
}

std::vector<absl::string_view> policy_names()
{
    return {"expected_first_token",
            "expected_with_speed",
            "expected_without_prefix",
            "round_robin",
            "random",
            "least_in_flight"};
}

} // namespace sardinestream::routing
