#include "sardinestream/platform/server_entries.h"

#include <atomic>
#include <optional>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/platform/desired_state_decoder.h"

namespace sardinestream::platform {
namespace {

// Names of an entry's service and data centre, together.
constexpr std::size_t max_text_bytes = 1024;

std::optional<server_entry> decode_or_log(const stored_object& object)
{
    absl::StatusOr<server_entry> decoded = decode_server_entry(object.name, object.specification);
    if (!decoded.ok()) {
        count("sardine_unreadable_server_entries_total");
        log_failure("server_entry_unreadable", decoded.status(), {{"server", object.name}});
        return std::nullopt;
    }
    const backend_server& server = decoded->server;
    if (server.data_centre.size() + server.service.size() > max_text_bytes) {
        count("sardine_unreadable_server_entries_total");
        log_event("server_entry_unreadable", {{"server", object.name}, {"reason", "overlong"}});
        return std::nullopt;
    }
    if (decoded->has_odd_cold_time) {
        count("sardine_odd_cold_times_total");
        // Once, since each heartbeat of the server repeats it.
        if (static std::atomic<bool> logged = false; !logged.exchange(true)) {
            log_event("server_cold_time_odd",
                      {{"server", object.name}, {"used_ms", decoded->cold_remaining.count()}});
        }
    }
    return *std::move(decoded);
}

server_change to_server_change(const object_change& change, std::int64_t era)
{
    const stored_object& object = change.object;
    server_change decoded = {object.name, std::nullopt, {object.revision, era}};
    const std::optional<server_entry> entry = decode_or_log(object);
    if (!entry.has_value()) {
        return decoded;
    }
    decoded.born_ms = entry->server.born_ms;
    decoded.sequence = entry->sequence;
    decoded.cold_remaining = entry->cold_remaining;
    if (!change.removed) {
        decoded.server = entry->server;
    }
    return decoded;
}

} // namespace

server_list to_server_list(const object_list& list)
{
    server_list decoded;
    decoded.position = list.position;
    decoded.restored = list.restored;
    for (const stored_object& object : list.objects) {
        std::optional<server_entry> entry = decode_or_log(object);
        if (entry.has_value()) {
            decoded.servers.push_back({std::move(entry->server),
                                       {object.revision, list.position.era},
                                       entry->sequence,
                                       entry->cold_remaining});
        }
    }
    return decoded;
}

server_changes to_server_changes(const change_list& changes)
{
    server_changes decoded;
    decoded.position = changes.position;
    for (const object_change& change : changes.changes) {
        decoded.changes.push_back(to_server_change(change, changes.position.era));
    }
    return decoded;
}

} // namespace sardinestream::platform
