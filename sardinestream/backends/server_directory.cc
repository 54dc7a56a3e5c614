#include "sardinestream/backends/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinestream {

bool server_directory::upsert(const listed_server& newer)
{
    entry& known = this->entries[newer.server.id];
    if (known.listed.revision > newer.revision) {
        return false;
    }
    const bool changed =
        !(known.listed.server == newer.server) || known.expires_at != steady_time{};
    known = {newer, {}};
    return changed;
}

bool server_directory::mark_vanished(entry& vanished, steady_time relist_until, steady_time now)
{
    if (relist_until <= now || vanished.listed.server.draining) {
        return true;
    }
    if (vanished.expires_at == steady_time{}) {
        vanished.expires_at = relist_until;
    }
    return false;
}

bool server_directory::apply(const server_list& list, steady_time relist_until, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    if (list.revision < this->known_revision) {
        return false;
    }
    this->known_revision = list.revision;
    std::set<std::string> present;
    bool changed = false;
    for (const listed_server& listed : list.servers) {
        present.insert(listed.server.id);
        changed = this->upsert(listed) || changed;
    }
    for (auto it = this->entries.begin(); it != this->entries.end();) {
        const bool is_newer = it->second.listed.revision > list.revision;
        if (present.count(it->first) == 0 && !is_newer &&
            mark_vanished(it->second, relist_until, now)) {
            it = this->entries.erase(it);
            changed = true;
            continue;
        }
        ++it;
    }
    return changed;
}

bool server_directory::apply(const server_changes& news, steady_time relist_until, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    bool changed = false;
    for (const server_change& change : news.changes) {
        const auto found = this->entries.find(change.id);
        const bool is_known = found != this->entries.end();
        if (change.server.has_value()) {
            // An entry of this age that is missing from the known list was removed in the meantime.
            const bool is_past = !is_known && change.revision <= this->known_revision;
            changed = (!is_past && this->upsert({*change.server, change.revision})) || changed;
            continue;
        }
        const bool is_past = is_known && found->second.listed.revision > change.revision;
        if (is_known && !is_past && mark_vanished(found->second, relist_until, now)) {
            this->entries.erase(found);
            changed = true;
        }
    }
    this->known_revision = std::max(this->known_revision, news.revision);
    return changed;
}

bool server_directory::drop_vanished(steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    const std::size_t dropped = std::erase_if(this->entries, [&](const auto& named) {
        return named.second.expires_at != steady_time{} && named.second.expires_at <= now;
    });
    return dropped > 0;
}

std::size_t server_directory::drop_all_vanished()
{
    const absl::MutexLock lock(&this->mutex);
    return std::erase_if(
        this->entries, [](const auto& named) { return named.second.expires_at != steady_time{}; });
}

std::vector<backend_server> server_directory::usable() const
{
    const absl::MutexLock lock(&this->mutex);
    // Start time of the newest server at each address.
    std::map<std::pair<std::string, int>, std::int64_t> newest;
    for (const auto& [id, known] : this->entries) {
        const backend_server& server = known.listed.server;
        std::int64_t& born_ms = newest[{server.endpoint.ip, server.endpoint.port}];
        born_ms = std::max(born_ms, server.born_ms);
    }
    std::vector<backend_server> all;
    all.reserve(this->entries.size());
    for (const auto& [id, known] : this->entries) {
        const backend_server& server = known.listed.server;
        if (server.born_ms == newest[{server.endpoint.ip, server.endpoint.port}]) {
            all.push_back(server);
        }
    }
    return all;
}

server_list server_directory::listed() const
{
    const absl::MutexLock lock(&this->mutex);
    server_list all;
    all.revision = this->known_revision;
    for (const auto& [id, known] : this->entries) {
        if (known.expires_at == steady_time{}) {
            all.servers.push_back(known.listed);
        }
    }
    return all;
}

std::size_t server_directory::vanished() const
{
    const absl::MutexLock lock(&this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& named) { return named.second.expires_at != steady_time{}; }));
}

std::int64_t server_directory::revision() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->known_revision;
}

} // namespace sardinestream
