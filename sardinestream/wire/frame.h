// Defines the frame, the unit that links carry: a header of fixed size and a FlatBuffers payload.
//
// The header has 24 bytes in little-endian order:
//
//     offset 0   u32  payload length in bytes
//     offset 4   u8   protocol version
//     offset 5   u8   frame type
//     offset 6   u16  reserved, zero
//     offset 8   u64  stream id; zero for frames that belong to the link itself
//     offset 16  u64  catalogue number in force at the sender
//
// Each component owns a range of frame types and the FlatBuffers tables of their payloads.

#ifndef SARDINESTREAM_WIRE_FRAME_H_
#define SARDINESTREAM_WIRE_FRAME_H_

#include <array>
#include <cstdint>
#include <string>

#include <flatbuffers/flatbuffers.h>

#include "sardinestream/base/error.h"

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace sardinestream::wire {

constexpr std::uint8_t protocol_version = 1;
constexpr std::size_t header_bytes = 24;
constexpr std::uint32_t max_payload_bytes = 16U << 20;

enum class frame_type : std::uint8_t {
    // wire
    hello = 1,
    reject = 2,
    heartbeat = 3,
    credit = 5,
    cancel = 6,
    // membership; an entry acknowledges an agent's notice with the same frame
    leaving = 10,
    // requests
    request_open = 20,
    request_refused = 21,
    response_head = 22,
    response_chunk = 23,
    response_end = 24,
    // catalogue
    catalogue_pull = 30,
    catalogue_shards = 31,
    // limits
    share_request = 40,
    share_loan = 41,
    // suspects
    suspect_report = 50,
    // experts
    map_propose = 60,
    map_vote = 61,
    map_query = 62,
    map_outcome = 63,
    expert_load = 64,
    map_stage = 65,
    map_staged = 66,
    group_query = 67,
    group_state = 68,
    // engine orders
    engine_order = 70,
    engine_order_result = 71,
};

// Returns true for types whose payload consumes the stream's send credit.
[[nodiscard]] constexpr bool is_data_frame(frame_type type)
{
    return type == frame_type::response_chunk;
}

// Returns true for the types that may be the first frame of a stream.
[[nodiscard]] constexpr bool opens_stream(frame_type type)
{
    switch (type) {
    case frame_type::request_open:
    case frame_type::catalogue_pull:
    case frame_type::share_request:
    case frame_type::map_propose:
    case frame_type::map_query:
    case frame_type::map_stage:
    case frame_type::group_query:
    case frame_type::engine_order:
        return true;
    default:
        return false;
    }
}

struct frame_header {
    std::uint32_t payload_bytes = 0;
    std::uint8_t version = protocol_version;
    frame_type type = frame_type::hello;
    std::uint64_t stream_id = 0;
    std::uint64_t catalogue_number = 0;
};

struct frame {
    frame_header header;
    std::string payload;
};

// Serializes a header.
[[nodiscard]] std::array<char, header_bytes> encode_header(const frame_header& header);

// Parses a header. Fails with `kFailedPrecondition` on another protocol version and with
// `kInvalidArgument` on a payload length above `max_payload_bytes`.
// Precondition: `bytes` has `header_bytes` bytes.
[[nodiscard]] absl::StatusOr<frame_header> decode_header(absl::string_view bytes);

// Serializes `message`, an object of the FlatBuffers object API, as a frame payload.
template <typename Table>
[[nodiscard]] std::string encode(const typename Table::NativeTableType& message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &message));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// Verifies and unpacks a payload. Fails with `kInvalidArgument` if it is not a valid `Table`.
template <typename Table>
[[nodiscard]] absl::StatusOr<typename Table::NativeTableType> decode(absl::string_view payload)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()),
                                   payload.size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return make_error(absl::StatusCode::kInvalidArgument, "decode_frame", "",
                          "payload failed FlatBuffers verification");
    }
    typename Table::NativeTableType message;
    flatbuffers::GetRoot<Table>(payload.data())->UnPackTo(&message);
    return message;
}

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_FRAME_H_
