// Converts lists and changes of the store's evacuations to those of evacuation_list. An evacuation
// is in force as long as its object exists, whatever the object contains.

#ifndef SARDINESTREAM_PLATFORM_EVACUATIONS_H_
#define SARDINESTREAM_PLATFORM_EVACUATIONS_H_

#include "sardinestream/backends/evacuation_list.h"
#include "sardinestream/platform/store_client.h"

namespace sardinestream::platform {

// An object with an empty or overlong name is logged, counted and skipped.
[[nodiscard]] evacuation_snapshot to_evacuations(const object_list& list);
[[nodiscard]] evacuation_changes to_evacuation_changes(const change_list& changes);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_EVACUATIONS_H_
