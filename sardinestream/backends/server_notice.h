// A notice about its own state that a server sends along with an answer. A value type.

#ifndef SARDINESTREAM_BACKENDS_SERVER_NOTICE_H_
#define SARDINESTREAM_BACKENDS_SERVER_NOTICE_H_

#include <chrono>
#include <optional>

namespace sardinestream {

struct server_notice {
    // The server is shutting down and takes no more requests until it has restarted.
    bool is_leaving = false;
    // Time for which the server asks this process to send no requests; above zero.
    std::optional<std::chrono::milliseconds> hold_off;

    [[nodiscard]] bool is_empty() const { return !this->is_leaving && !this->hold_off.has_value(); }

    friend bool operator==(const server_notice&, const server_notice&) = default;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_NOTICE_H_
