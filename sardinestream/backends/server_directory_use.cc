// Implements the part of server_directory that decides which of the listed servers are used.

#include <algorithm>
#include <utility>

#include "sardinestream/backends/server_directory.h"
#include "sardinestream/base/log.h"

namespace sardinestream {

absl::string_view server_directory::name_of(entry_use use)
{
    switch (use) {
    case entry_use::undeclared_service:
        return "no: service not declared";
    case entry_use::address_taken:
        return "no: a later start has its address";
    default:
        return "yes";
    }
}

bool server_directory::is_declared(const backend_server& server) const
{
    return !this->services.has_value() || this->services->count(server.service) > 0;
}

bool server_directory::evict_undeclared()
{
    const auto found =
        std::find_if(this->entries.begin(), this->entries.end(), [this](const auto& named) {
            this->mutex.AssertHeld();
            return !this->is_declared(named.second.listed.server);
        });
    if (found == this->entries.end()) {
        return false;
    }
    this->entries.erase(found);
    return true;
}

bool server_directory::update_uses(steady_time now)
{
    // The latest start that an entry claims for each address.
    std::map<std::pair<std::string, int>, std::int64_t> latest;
    for (const auto& [id, known] : this->entries) {
        const backend_server& server = known.listed.server;
        if (known.was_ready && !known.is_replaced && this->is_declared(server)) {
            std::int64_t& born_ms = latest[{server.endpoint.ip, server.endpoint.port}];
            born_ms = std::max(born_ms, server.born_ms);
        }
    }
    bool changed = false;
    for (auto& [id, known] : this->entries) {
        const backend_server& server = known.listed.server;
        const auto claimed = latest.find({server.endpoint.ip, server.endpoint.port});
        if (claimed == latest.end() || claimed->second <= server.born_ms) {
            known.contested_since = {};
        }
        else if (known.contested_since == steady_time{}) {
            known.contested_since = now;
        }
        // One that is listed for longer is renewed, so that its server is alive.
        const bool may_expire =
            known.contested_since != steady_time{} &&
            now - std::max(known.contested_since, this->relisted_by) <= this->entry_lifetime;
        const entry_use use = !this->is_declared(server) ? entry_use::undeclared_service
                              : may_expire               ? entry_use::address_taken
                                                         : entry_use::used;
        if (use != known.use) {
            known.use = use;
            changed = true;
            log_event("server_use", {{"server", id},
                                     {"service", server.service},
                                     {"address", server.endpoint.to_string()},
                                     {"use", name_of(use)}});
        }
    }
    return changed;
}

bool server_directory::add_services(const std::set<std::string>& declared, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->services.has_value()) {
        this->services.emplace();
    }
    this->services->insert(declared.begin(), declared.end());
    return this->update_uses(now);
}

bool server_directory::note_replaced(const backend_server& server, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->entries.find(server.id);
    if (found == this->entries.end() || found->second.listed.server.born_ms != server.born_ms) {
        return false;
    }
    found->second.is_replaced = true;
    return this->update_uses(now);
}

std::vector<backend_server> server_directory::usable() const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<backend_server> all;
    all.reserve(this->entries.size());
    for (const auto& [id, known] : this->entries) {
        if (known.use == entry_use::used) {
            all.push_back(known.listed.server);
        }
    }
    return all;
}

} // namespace sardinestream
