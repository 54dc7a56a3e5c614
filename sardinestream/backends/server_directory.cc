#include "sardinestream/backends/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinestream {
namespace {

// Live servers are listed again within two seconds after an outage of the store.
constexpr std::chrono::milliseconds relist_time{1900};

} // namespace

bool server_directory::vanish(entry& vanished, bool after_outage, steady_time now)
{
    // Returns whether the entry has to go at once.
    if (!after_outage || vanished.server.draining) {
        return true;
    }
    if (vanished.drop_at == steady_time{}) {
        vanished.drop_at = now + relist_time;
    }
    return false;
}

bool server_directory::replace_all(const std::vector<backend_server>& listed, std::int64_t revision,
                                   bool after_outage, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    if (revision < this->known_revision) {
        return false;
    }
    this->known_revision = revision;
    std::set<std::string> present;
    bool changed = false;
    for (const backend_server& server : listed) {
        present.insert(server.id);
        entry& known = this->entries[server.id];
        changed = changed || !(known.server == server) || known.drop_at != steady_time{};
        known = {server, {}};
    }
    for (auto it = this->entries.begin(); it != this->entries.end();) {
        if (present.count(it->first) == 0 && this->vanish(it->second, after_outage, now)) {
            it = this->entries.erase(it);
            changed = true;
            continue;
        }
        ++it;
    }
    return changed;
}

bool server_directory::put(const backend_server& server, std::int64_t revision)
{
    const absl::MutexLock lock(&this->mutex);
    this->known_revision = std::max(this->known_revision, revision);
    entry& known = this->entries[server.id];
    const bool changed = !(known.server == server) || known.drop_at != steady_time{};
    known = {server, {}};
    return changed;
}

bool server_directory::remove(const std::string& id, std::int64_t revision, bool after_outage,
                              steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    this->known_revision = std::max(this->known_revision, revision);
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || !this->vanish(found->second, after_outage, now)) {
        return false;
    }
    this->entries.erase(found);
    return true;
}

bool server_directory::drop_vanished(steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    const std::size_t dropped = std::erase_if(this->entries, [&](const auto& named) {
        return named.second.drop_at != steady_time{} && named.second.drop_at <= now;
    });
    return dropped > 0;
}

std::vector<backend_server> server_directory::usable() const
{
    const absl::MutexLock lock(&this->mutex);
    // The newest start at each address.
    std::map<std::pair<std::string, int>, std::int64_t> newest;
    for (const auto& [id, known] : this->entries) {
        std::int64_t& born_ms = newest[{known.server.endpoint.ip, known.server.endpoint.port}];
        born_ms = std::max(born_ms, known.server.born_ms);
    }
    std::vector<backend_server> all;
    all.reserve(this->entries.size());
    for (const auto& [id, known] : this->entries) {
        if (known.server.born_ms ==
            newest[{known.server.endpoint.ip, known.server.endpoint.port}]) {
            all.push_back(known.server);
        }
    }
    return all;
}

std::vector<backend_server> server_directory::listed() const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<backend_server> all;
    for (const auto& [id, known] : this->entries) {
        if (known.drop_at == steady_time{}) {
            all.push_back(known.server);
        }
    }
    return all;
}

std::int64_t server_directory::revision() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->known_revision;
}

} // namespace sardinestream
