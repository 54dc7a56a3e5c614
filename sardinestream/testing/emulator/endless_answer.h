// Answers that begin properly and go on without end, as servers in trouble send them.

#ifndef SARDINESTREAM_TESTING_EMULATOR_ENDLESS_ANSWER_H_
#define SARDINESTREAM_TESTING_EMULATOR_ENDLESS_ANSWER_H_

#include <cstddef>

#include "sardinestream/http/message.h"
#include "sardinestream/testing/emulator/connection_server.h"

namespace sardinestream::testing {

// Where the bytes without end stand: in the body, a chunk's extension, a line of the trailer, the
// number of trailers, a line of the head, or the number of headers.
inline constexpr std::size_t endless_kinds = 6;

// Sends an answer with these headers until the peer closes the connection. `kind` is below
// endless_kinds.
void send_endless_answer(served_connection& connection, const http_headers& headers,
                         std::size_t kind);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_ENDLESS_ANSWER_H_
