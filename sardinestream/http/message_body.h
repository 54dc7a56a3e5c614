// The body of a message that is buffered before it is passed on, with the memory reserved for it.
//
// It is kept in blocks: a string that grows takes up to three times its length while it is copied.
// Not thread-safe.

#ifndef SARDINESTREAM_HTTP_MESSAGE_BODY_H_
#define SARDINESTREAM_HTTP_MESSAGE_BODY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "sardinestream/http/message_memory.h"
#include "sardinestream/http/message_reader.h"

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

class message_body {
public:
    // The body of a message of `sender`.
    message_body(message_memory& memory, std::string sender)
        : reservation(memory, std::move(sender))
    {
    }

    // Reads a body to its end. Returns kOutOfRange if it is longer than `max_bytes`, kAborted if
    // there is no memory for it, otherwise the errors of message_reader::read_body_part. What has
    // been read of a body that fails is discarded.
    [[nodiscard]] absl::Status read(message_reader& from, std::size_t max_bytes,
                                    steady_time deadline, const hangup_watch& caller);

    [[nodiscard]] std::size_t size() const { return this->length; }

    // Writes `head` and the body to `peer`, and releases each block once it is written. Can be
    // called once.
    [[nodiscard]] absl::Status write(std::string head, tcp_socket& peer, steady_time deadline);

    void discard();

private:
    [[nodiscard]] absl::Status read_blocks(message_reader& from, std::size_t max_bytes,
                                           steady_time deadline, const hangup_watch& caller);
    [[nodiscard]] absl::Status append(absl::string_view bytes, steady_time deadline);

    message_memory_reservation reservation;
    // All but the last one are full.
    std::vector<std::string> blocks;
    // Sum of the capacities of `blocks`; what is reserved.
    std::size_t capacity = 0;
    std::size_t length = 0;
};

// Reads the rest of an unneeded body, without keeping it. Returns kOutOfRange if it is
// longer than `max_bytes`, otherwise the errors of message_reader::read_body_part.
[[nodiscard]] absl::Status skip_body(message_reader& from, std::size_t max_bytes,
                                     steady_time deadline, const hangup_watch& caller);

// Appends the rest of a body to `body`, and reserves memory before the text grows. Errors as for
// message_body::read.
[[nodiscard]] absl::Status read_body_within(message_reader& from, std::size_t max_bytes,
                                            message_memory_reservation& reservation,
                                            std::string& body, steady_time deadline,
                                            const hangup_watch& caller);

} // namespace sardinestream

#endif // SARDINESTREAM_HTTP_MESSAGE_BODY_H_
