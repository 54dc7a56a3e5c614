#include "sardinestream/wire/frame.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::wire {
namespace {

template <typename Number>
void store_little_endian(char* to, Number number)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        to[i] = static_cast<char>((static_cast<std::uint64_t>(number) >> (8 * i)) & 0xFF);
    }
}

template <typename Number>
Number load_little_endian(const char* from)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[i])) << (8 * i);
    }
    return static_cast<Number>(number);
}

} // namespace

std::array<char, header_bytes> encode_header(const frame_header& header)
{
    std::array<char, header_bytes> bytes{};
    store_little_endian(bytes.data(), header.payload_bytes);
    store_little_endian(bytes.data() + 4, header.version);
    store_little_endian(bytes.data() + 5, static_cast<std::uint8_t>(header.type));
    store_little_endian(bytes.data() + 8, header.stream_id);
    store_little_endian(bytes.data() + 16, header.catalogue_number);
    return bytes;
}

absl::StatusOr<frame_header> decode_header(absl::string_view bytes)
{
    frame_header header;
    header.payload_bytes = load_little_endian<std::uint32_t>(bytes.data());
    header.version = load_little_endian<std::uint8_t>(bytes.data() + 4);
    header.type = static_cast<frame_type>(load_little_endian<std::uint8_t>(bytes.data() + 5));
    header.stream_id = load_little_endian<std::uint64_t>(bytes.data() + 8);
    header.catalogue_number = load_little_endian<std::uint64_t>(bytes.data() + 16);
    if (header.version != protocol_version) {
        return make_error(
            absl::StatusCode::kFailedPrecondition, "decode_frame", "",
            absl::StrCat("protocol version ", header.version, ", expected ", protocol_version));
    }
    if (header.payload_bytes > max_payload_bytes) {
        return make_error(absl::StatusCode::kInvalidArgument, "decode_frame", "",
                          absl::StrCat("payload has ", header.payload_bytes, " bytes, limit is ",
                                       max_payload_bytes));
    }
    return header;
}

} // namespace sardinestream::wire
