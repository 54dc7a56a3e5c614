// Turns the operator's document and the servers' entries into the product's own types.

#ifndef SARDINESTREAM_PLATFORM_DESIRED_STATE_DECODER_H_
#define SARDINESTREAM_PLATFORM_DESIRED_STATE_DECODER_H_

#include <memory>
#include <string>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/routes/desired_state.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::platform {

// kInvalidArgument, with the field, for a document that cannot be read.
[[nodiscard]] absl::StatusOr<std::shared_ptr<const desired_state>>
decode_desired_state(absl::string_view json_text);

// Decodes the entry that a server keeps in the store. kInvalidArgument for one of another writer:
// it names no server to use.
[[nodiscard]] absl::StatusOr<backend_server> decode_server_entry(absl::string_view id,
                                                                 absl::string_view json_text);

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_DESIRED_STATE_DECODER_H_
