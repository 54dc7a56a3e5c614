// Decodes the operator's configuration document and the servers' store entries from JSON.

#ifndef SARDINESTREAM_PLATFORM_DESIRED_STATE_DECODER_H_
#define SARDINESTREAM_PLATFORM_DESIRED_STATE_DECODER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/routes/desired_state.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::platform {

// Decodes the operator's configuration document. Returns kInvalidArgument, with the parser's
// message, if it is malformed.
[[nodiscard]] absl::StatusOr<std::shared_ptr<const desired_state>>
decode_desired_state(absl::string_view json_text);

// The entry that a server keeps in the store.
struct server_entry {
    backend_server server;
    // Counts the server's own writes since its start; zero if the entry does not say.
    std::int64_t sequence = 0;
    // How much longer the server is cold; at most ten minutes.
    std::chrono::milliseconds cold_remaining{0};
    // The entry's own statement of that is no number of that range; the rest can be used.
    bool has_odd_cold_time = false;
};

// Decodes a server's entry. Returns kInvalidArgument if it is malformed; such an entry was made by
// another writer and describes no usable server.
[[nodiscard]] absl::StatusOr<server_entry> decode_server_entry(absl::string_view id,
                                                               absl::string_view json_text);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_DESIRED_STATE_DECODER_H_
