#include "sardinestream/entry/agent_router.h"

#include <utility>

#include "sardinestream/base/digest.h"

#include "absl/strings/match.h"

namespace sardinestream::entry {
namespace {

using membership::peer;
using membership::peer_directory;
using requests::caller_request;

constexpr std::uint32_t bytes_per_token = 4;

routing::random_source& thread_random()
{
    thread_local routing::random_source source(random_u64());
    return source;
}

absl::string_view region_of(absl::string_view data_centre)
{
    return data_centre.substr(0, data_centre.find('/'));
}

routing::request_profile profile_of(const caller_request& request,
                                    const requests::attempt_history& history)
{
    routing::request_profile profile;
    profile.service = request.entry->service;
    profile.priority = request.priority;
    profile.remaining_time = time_left(request.deadline);
    profile.excluded_agents.assign(history.tried.begin(), history.tried.end());
    if (request.entry->work == catalogue::work_class::model) {
        profile.prompt_tokens = static_cast<std::uint32_t>(
            (request.prompt.size() + history.resumed_bytes) / bytes_per_token);
        profile.expected_tokens = request.max_tokens;
        profile.prefix_blocks = routing::prefix_blocks(request.prompt);
        profile.tokens_per_block = routing::prefix_block_tokens;
    }
    return profile;
}

} // namespace

agent_router::agent_router(std::string own_data_centre, routing::routing_policy chosen)
    : data_centre(std::move(own_data_centre)), policy(std::move(chosen))
{
}

peer_directory::observer agent_router::observer()
{
    peer_directory::observer callbacks;
    callbacks.on_peer_up = [this](const std::shared_ptr<peer>& up) {
        if (up->identity().role != wire::peer_role::agent) {
            return;
        }
        auto tracker = std::make_shared<routing::load_tracker>(
            up->identity().id, up->identity().incarnation, up->identity().data_centre,
            this->distance_to(up->identity().data_centre));
        up->on_request_sent = [tracker] { tracker->on_request_sent(); };
        up->on_request_ended = [tracker] { tracker->on_request_ended(); };
        const absl::MutexLock lock(&this->mutex);
        this->trackers[up.get()] = std::move(tracker);
    };
    callbacks.on_peer_down = [this](const std::shared_ptr<peer>& down) {
        const absl::MutexLock lock(&this->mutex);
        this->trackers.erase(down.get());
    };
    callbacks.on_heartbeat = [this](const std::shared_ptr<peer>& from, absl::string_view payload) {
        std::shared_ptr<routing::load_tracker> tracker = this->tracker_of(*from);
        absl::StatusOr<routing::server_load> load = routing::decode_load(payload);
        if (tracker != nullptr && load.ok()) {
            tracker->on_report(*load, absl::Now());
        }
    };
    callbacks.on_leaving = [this](const std::shared_ptr<peer>& from) {
        if (std::shared_ptr<routing::load_tracker> tracker = this->tracker_of(*from)) {
            tracker->on_leaving();
        }
    };
    return callbacks;
}

std::shared_ptr<peer> agent_router::choose(const peer_directory& directory,
                                           const caller_request& request,
                                           const requests::attempt_history& history)
{
    const absl::Time now = absl::Now();
    const routing::request_profile profile = profile_of(request, history);
    const routing::prefix_index::match_list cached =
        this->prefixes.match(profile.prefix_blocks, now);
    std::vector<std::shared_ptr<peer>> agents;
    std::vector<routing::server_view> views;
    for (std::shared_ptr<peer>& agent : directory.serving(request.entry->service)) {
        std::shared_ptr<routing::load_tracker> tracker = this->tracker_of(*agent);
        if (!agent->usable() || tracker == nullptr) {
            continue;
        }
        routing::server_view view = tracker->view(now);
        for (const auto& [server, blocks] : cached) {
            if (server == view.incarnation) {
                view.cached_blocks = blocks;
            }
        }
        views.push_back(std::move(view));
        agents.push_back(std::move(agent));
    }
    const std::optional<std::size_t> chosen = this->policy(views, profile, thread_random());
    return chosen.has_value() ? agents[*chosen] : nullptr;
}

void agent_router::record_completion(const caller_request& request, const peer& agent)
{
    this->prefixes.record(agent.identity().incarnation, routing::prefix_blocks(request.prompt),
                          absl::Now());
}

std::shared_ptr<routing::load_tracker> agent_router::tracker_of(const peer& agent) const
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->trackers.find(&agent);
    return found == this->trackers.end() ? nullptr : found->second;
}

routing::distance_class agent_router::distance_to(absl::string_view other) const
{
    if (other == this->data_centre) {
        return routing::distance_class::same_data_centre;
    }
    return region_of(other) == region_of(this->data_centre) ? routing::distance_class::same_region
                                                            : routing::distance_class::other_region;
}

} // namespace sardinestream::entry
