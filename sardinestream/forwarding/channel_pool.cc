#include "sardinestream/forwarding/channel_pool.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinestream {
namespace {

constexpr std::chrono::milliseconds longest_connect{600};
// A kept connection is dropped this long before its server would close it.
constexpr std::chrono::milliseconds idle_margin{500};
constexpr std::chrono::milliseconds longest_idle{4000};
constexpr std::size_t most_kept_per_server = 16;

} // namespace

std::unique_ptr<server_channel> channel_pool::take_kept(const backend_server& server)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->idle.find({server.id, server.born_ms});
    if (found == this->idle.end()) {
        return nullptr;
    }
    while (!found->second.empty()) {
        std::unique_ptr<server_channel> channel = std::move(found->second.back());
        found->second.pop_back();
        if (steady_clock::now() < channel->kept_until && !channel->socket.has_input_or_end()) {
            channel->reused = true;
            return channel;
        }
    }
    return nullptr;
}

absl::StatusOr<std::unique_ptr<server_channel>> channel_pool::open(const backend_server& server,
                                                                   bool fresh, steady_time deadline,
                                                                   const hangup_watch& caller)
{
    if (!fresh) {
        std::unique_ptr<server_channel> kept = this->take_kept(server);
        if (kept != nullptr) {
            return kept;
        }
    }
    absl::StatusOr<tcp_socket> socket = tcp_socket::connect(
        server.endpoint, std::min(deadline, steady_clock::now() + longest_connect), caller);
    if (!socket.ok()) {
        return socket.status();
    }
    return std::make_unique<server_channel>(*std::move(socket));
}

void channel_pool::keep(const backend_server& server, std::unique_ptr<server_channel> channel,
                        std::chrono::milliseconds idle_timeout)
{
    if (idle_timeout <= idle_margin) {
        return;
    }
    channel->kept_until = steady_clock::now() + std::min(longest_idle, idle_timeout - idle_margin);
    const absl::MutexLock lock(&this->mutex);
    auto& kept = this->idle[{server.id, server.born_ms}];
    if (kept.size() < most_kept_per_server) {
        kept.push_back(std::move(channel));
    }
}

void channel_pool::sweep(const std::vector<backend_server>& servers)
{
    std::set<pool_key> known;
    for (const backend_server& server : servers) {
        if (!server.draining) {
            known.insert({server.id, server.born_ms});
        }
    }
    const steady_time now = steady_clock::now();
    const absl::MutexLock lock(&this->mutex);
    for (auto it = this->idle.begin(); it != this->idle.end();) {
        if (known.count(it->first) == 0) {
            it = this->idle.erase(it);
            continue;
        }
        std::erase_if(it->second, [&](const auto& channel) { return channel->kept_until <= now; });
        ++it;
    }
}

} // namespace sardinestream
