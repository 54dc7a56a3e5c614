// Limits the bodies that cpp-httplib clients receive: the library itself reads them without a
// limit.
//
//     bounded_body body(max_bytes);
//     request.content_receiver = body.receiver();
//     client.send(request);   // fails with Error::Canceled if the body is longer
//
// Not thread-safe; must outlive the call.

#ifndef SARDINESTREAM_BASE_BOUNDED_BODY_H_
#define SARDINESTREAM_BASE_BOUNDED_BODY_H_

#include <atomic>
#include <cstddef>
#include <string>
#include <utility>

#include <httplib.h>

#include "absl/strings/string_view.h"

namespace sardinestream {

class bounded_body {
public:
    explicit bounded_body(std::size_t most) : max_bytes(most) {}
    ~bounded_body() { held_bytes -= this->counted; }
    bounded_body(const bounded_body&) = delete;
    bounded_body& operator=(const bounded_body&) = delete;

    // Returns a receiver that appends to the text and ends the call when the text, or all texts of
    // the process together, become too long.
    [[nodiscard]] httplib::ContentReceiverWithProgress receiver()
    {
        return [this](const char* bytes, std::size_t size, std::uint64_t, std::uint64_t) {
            return this->append(absl::string_view(bytes, size));
        };
    }

    // Appends bytes; returns false if they do not fit.
    [[nodiscard]] bool append(absl::string_view bytes);

    // Returns the text; its memory is no longer counted.
    [[nodiscard]] std::string take() { return std::move(this->text); }

private:
    // The texts of all calls that are in progress. A text that grows is twice as large meanwhile.
    static constexpr std::size_t max_held_bytes = 32 << 20;
    inline static std::atomic<std::size_t> held_bytes = 0;

    const std::size_t max_bytes;
    std::string text;
    // Share of this body in `held_bytes`.
    std::size_t counted = 0;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_BOUNDED_BODY_H_
