// What a server says of itself in an answer, beside the answer. A value.

#ifndef SARDINESTREAM_BACKENDS_SERVER_NOTICE_H_
#define SARDINESTREAM_BACKENDS_SERVER_NOTICE_H_

#include <chrono>
#include <optional>

namespace sardinestream {

struct server_notice {
    // It leaves: this start of the server takes no more requests once it has ended.
    bool is_leaving = false;
    // For so long it wants no requests from this process; above zero.
    std::optional<std::chrono::milliseconds> hold_off;

    [[nodiscard]] bool is_empty() const { return !this->is_leaving && !this->hold_off.has_value(); }

    friend bool operator==(const server_notice&, const server_notice&) = default;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_SERVER_NOTICE_H_
