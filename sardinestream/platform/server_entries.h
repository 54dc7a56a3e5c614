// Turns lists and changes of the servers' entries in the store into the product's own types.

#ifndef SARDINESTREAM_PLATFORM_SERVER_ENTRIES_H_
#define SARDINESTREAM_PLATFORM_SERVER_ENTRIES_H_

#include "sardinestream/backends/server_directory.h"
#include "sardinestream/platform/store_client.h"

namespace sardinestream::platform {

// Without the entries that cannot be read, which are logged and counted: another writer made them,
// and they name no server to use.
[[nodiscard]] server_list to_server_list(const object_list& list);

// An entry that has become unreadable counts as removed.
[[nodiscard]] server_changes to_server_changes(const change_list& changes);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_SERVER_ENTRIES_H_
