#include "sardinestream/forwarding/connection_pool.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinestream {
namespace {

constexpr std::chrono::milliseconds connect_timeout{600};
// An idle connection is dropped this long before its server would close it.
constexpr std::chrono::milliseconds idle_margin{500};
constexpr std::chrono::milliseconds max_idle_time{4000};
constexpr std::size_t max_idle_per_server = 16;
// A connection on which more requests were refused is not reused.
constexpr std::size_t max_refused_ids = 32;

} // namespace

std::unique_ptr<server_connection> connection_pool::take_idle(const backend_server& server,
                                                              const std::string& request_id)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->idle.find({server.id, server.born_ms});
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto& pooled = found->second;
    for (std::size_t i = pooled.size(); i-- > 0;) {
        const std::vector<std::string>& refused = pooled[i]->refused_ids;
        if (std::find(refused.begin(), refused.end(), request_id) != refused.end()) {
            continue;
        }
        std::unique_ptr<server_connection> connection = std::move(pooled[i]);
        pooled.erase(pooled.begin() + static_cast<std::ptrdiff_t>(i));
        if (steady_clock::now() < connection->expires_at &&
            !connection->socket.has_input_or_end()) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

absl::StatusOr<std::unique_ptr<server_connection>>
connection_pool::open(const backend_server& server, const std::string& request_id, bool require_new,
                      steady_time deadline, const hangup_watch& caller)
{
    if (!require_new) {
        std::unique_ptr<server_connection> pooled = this->take_idle(server, request_id);
        if (pooled != nullptr) {
            return pooled;
        }
    }
    absl::StatusOr<tcp_socket> socket = tcp_socket::connect(
        server.endpoint, std::min(deadline, steady_clock::now() + connect_timeout), caller);
    if (!socket.ok()) {
        return socket.status();
    }
    return std::make_unique<server_connection>(*std::move(socket), this->reading_end);
}

void connection_pool::release(const backend_server& server,
                              std::unique_ptr<server_connection> connection,
                              std::chrono::milliseconds idle_timeout)
{
    if (idle_timeout <= idle_margin || connection->refused_ids.size() > max_refused_ids) {
        return;
    }
    connection->expires_at =
        steady_clock::now() + std::min(max_idle_time, idle_timeout - idle_margin);
    const absl::MutexLock lock(&this->mutex);
    auto& pooled = this->idle[{server.id, server.born_ms}];
    if (pooled.size() < max_idle_per_server) {
        pooled.push_back(std::move(connection));
    }
}

void connection_pool::discard(const backend_server& server)
{
    const absl::MutexLock lock(&this->mutex);
    this->idle.erase({server.id, server.born_ms});
}

void connection_pool::close_stale(const std::vector<backend_server>& servers)
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
        std::erase_if(it->second,
                      [&](const auto& connection) { return connection->expires_at <= now; });
        ++it;
    }
}

} // namespace sardinestream
