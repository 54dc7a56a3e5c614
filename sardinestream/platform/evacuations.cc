#include "sardinestream/platform/evacuations.h"

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::platform {
namespace {

constexpr std::size_t max_name_bytes = 256;

bool is_data_centre_or_log(const stored_object& object)
{
    if (!object.name.empty() && object.name.size() <= max_name_bytes) {
        return true;
    }
    count("sardine_unreadable_evacuations_total");
    log_event("evacuation_unreadable",
              {{"data_centre", absl::string_view(object.name).substr(0, max_name_bytes)},
               {"revision", object.revision},
               {"reason", object.name.empty() ? "no name" : "overlong name"}});
    return false;
}

} // namespace

evacuation_snapshot to_evacuations(const object_list& list)
{
    evacuation_snapshot decoded;
    decoded.position = list.position;
    decoded.restored = list.restored;
    for (const stored_object& object : list.objects) {
        if (is_data_centre_or_log(object)) {
            decoded.data_centres.push_back(object.name);
        }
    }
    return decoded;
}

evacuation_changes to_evacuation_changes(const change_list& changes)
{
    evacuation_changes decoded;
    decoded.position = changes.position;
    for (const object_change& change : changes.changes) {
        if (is_data_centre_or_log(change.object)) {
            decoded.changes.push_back({change.object.name, change.object.revision, change.removed});
        }
    }
    return decoded;
}

} // namespace sardinestream::platform
