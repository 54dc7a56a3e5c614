// The state that one entry hands to another: the operator's document and the list of servers.

#ifndef SARDINESTREAM_PROGRAMS_PEER_STATE_H_
#define SARDINESTREAM_PROGRAMS_PEER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/routes/current_state.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct server_list {
    std::vector<backend_server> servers;
    // The store's revision of the list.
    std::int64_t revision = 0;
};

[[nodiscard]] std::string encode_document(const stored_document& document);
[[nodiscard]] absl::StatusOr<stored_document> decode_document(absl::string_view text);

[[nodiscard]] std::string encode_servers(const server_list& list);
[[nodiscard]] absl::StatusOr<server_list> decode_servers(absl::string_view text);

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_PEER_STATE_H_
