#include "sardinestream/platform/server_entries.h"

#include <optional>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/platform/desired_state_decoder.h"

namespace sardinestream::platform {
namespace {

std::optional<backend_server> decode_or_log(const stored_object& object)
{
    absl::StatusOr<backend_server> decoded = decode_server_entry(object.name, object.specification);
    if (!decoded.ok()) {
        count("sardine_unreadable_server_entries_total");
        log_failure("server_entry_unreadable", decoded.status(), {{"server", object.name}});
        return std::nullopt;
    }
    return *std::move(decoded);
}

} // namespace

server_list to_server_list(const object_list& list)
{
    server_list decoded;
    decoded.revision = list.position.revision;
    for (const stored_object& object : list.objects) {
        std::optional<backend_server> server = decode_or_log(object);
        if (server.has_value()) {
            decoded.servers.push_back({*std::move(server), object.revision});
        }
    }
    return decoded;
}

server_changes to_server_changes(const change_list& changes)
{
    server_changes decoded;
    decoded.revision = changes.position.revision;
    for (const object_change& change : changes.changes) {
        const stored_object& object = change.object;
        decoded.changes.push_back(
            {object.name, change.removed ? std::nullopt : decode_or_log(object), object.revision});
    }
    return decoded;
}

} // namespace sardinestream::platform
