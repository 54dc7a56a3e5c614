#include "sardinestream/testing/emulator/endless_answer.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

constexpr int http_ok = 200;
constexpr std::size_t part_bytes = 64 << 10;

// What is sent once, and what is repeated.
struct endless_text {
    std::string begin;
    std::string repeated;
};

endless_text make_text(const http_headers& headers, std::size_t kind)
{
    answer_head head;
    head.status = http_ok;
    head.headers = headers;
    head.chunked = true;
    const std::string whole_head = encode_answer_head(head);
    // Without the empty line.
    const std::string open_head = whole_head.substr(0, whole_head.size() - 2);
    const std::string filler(part_bytes, 'x');
    switch (kind) {
    case 0:
        return {whole_head, encode_chunk(filler)};
    case 1:
        return {whole_head + "5;x=", filler};
    case 2:
        return {whole_head + "0\r\nX-Filler: ", filler};
    case 3:
        return {whole_head + "0\r\n", "X-Filler: x\r\n"};
    case 4:
        return {open_head + "X-Filler: ", filler};
    default:
        return {open_head, "X-Filler: x\r\n"};
    }
}

} // namespace

void send_endless_answer(served_connection& connection, const http_headers& headers,
                         std::size_t kind)
{
    const endless_text text = make_text(headers, kind);
    bool written = connection.write(text.begin);
    while (written && !connection.has_hung_up()) {
        written = connection.write(text.repeated);
    }
    connection.finish();
}

} // namespace sardinestream::testing
