// Converts lists and changes of the servers' store entries to server_list and server_changes.

#ifndef SARDINESTREAM_PLATFORM_SERVER_ENTRIES_H_
#define SARDINESTREAM_PLATFORM_SERVER_ENTRIES_H_

#include "sardinestream/backends/server_directory.h"
#include "sardinestream/platform/store_client.h"

namespace sardinestream::platform {

// Skips malformed entries after logging and counting them: they were made by another writer and
// describe no usable server.
[[nodiscard]] server_list to_server_list(const object_list& list);

// An entry that has become malformed is logged, counted and treated as removed.
[[nodiscard]] server_changes to_server_changes(const change_list& changes);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_SERVER_ENTRIES_H_
