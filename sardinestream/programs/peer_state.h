// Encodes and decodes, as JSON, the state that one entry fetches from another: the operator's
// document, the list of servers and the evacuations. The decoders fail with kInvalidArgument on
// malformed text.

#ifndef SARDINESTREAM_PROGRAMS_PEER_STATE_H_
#define SARDINESTREAM_PROGRAMS_PEER_STATE_H_

#include <string>

#include "sardinestream/backends/evacuation_list.h"
#include "sardinestream/backends/server_directory.h"
#include "sardinestream/routes/current_state.h"

#include "absl/status/statusor.h"

namespace sardinestream {

[[nodiscard]] std::string encode_document(const stored_document& document);
[[nodiscard]] absl::StatusOr<stored_document> decode_document(absl::string_view text);

[[nodiscard]] std::string encode_servers(const shared_servers& servers);
[[nodiscard]] absl::StatusOr<shared_servers> decode_servers(absl::string_view text);

[[nodiscard]] std::string encode_evacuations(const shared_evacuations& evacuations);
[[nodiscard]] absl::StatusOr<shared_evacuations> decode_evacuations(absl::string_view text);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_PEER_STATE_H_
