// Lists and watches objects of one kind in the platform's object store.
//
// Not thread-safe. Errors: kUnavailable and kDeadlineExceeded (the store is unreachable, slow or
// overloaded), kOutOfRange (the history that a watch requires is gone: list again),
// kInvalidArgument (malformed response).

#ifndef SARDINESTREAM_PLATFORM_STORE_CLIENT_H_
#define SARDINESTREAM_PLATFORM_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "sardinestream/http/http_client.h"

#include "absl/status/statusor.h"

namespace sardinestream::platform {

// One object as JSON text, which only the decoder of its kind interprets.
struct stored_object {
    std::string name;
    std::int64_t revision = 0;
    std::string specification;
};

struct object_list {
    std::vector<stored_object> objects;
    // The store's revision at the time of the list; the start of the first watch.
    std::int64_t revision = 0;
};

struct object_change {
    stored_object object;
    bool removed = false;
};

struct change_list {
    std::vector<object_change> changes;
    // The start of the next watch.
    std::int64_t revision = 0;
};

class store_client {
public:
    explicit store_client(const address& store);

    // Reads all objects of a kind, page by page. `timeout` applies to each page.
    [[nodiscard]] absl::StatusOr<object_list> list(absl::string_view kind,
                                                   std::chrono::milliseconds timeout);

    // Waits up to `max_wait` for changes after `revision`; returns an empty list if there are
    // none. Fails if the store does not answer within `max_wait` plus `timeout`.
    [[nodiscard]] absl::StatusOr<change_list> watch(absl::string_view kind, std::int64_t revision,
                                                    std::chrono::milliseconds max_wait,
                                                    std::chrono::milliseconds timeout);

private:
    absl::StatusOr<std::string> get(const std::string& target, std::chrono::milliseconds timeout);

    http_client http;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_STORE_CLIENT_H_
