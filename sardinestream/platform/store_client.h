// The platform's object store: lists and watches of one kind of object.
//
// One client belongs to one thread. Errors: kUnavailable and kDeadlineExceeded (out of reach, slow
// or overloaded), kOutOfRange (the history that a watch asks for is gone: list again),
// kInvalidArgument (an answer that cannot be read).

#ifndef SARDINESTREAM_PLATFORM_STORE_CLIENT_H_
#define SARDINESTREAM_PLATFORM_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "sardinestream/http/http_client.h"

#include "absl/status/statusor.h"

namespace sardinestream::platform {

// One object as JSON text; nobody but the decoder of its kind looks into it.
struct stored_object {
    std::string name;
    std::int64_t revision = 0;
    std::string specification;
};

struct object_list {
    std::vector<stored_object> objects;
    // The store's revision at the time of the list: where to watch from.
    std::int64_t revision = 0;
};

struct object_change {
    stored_object object;
    bool removed = false;
};

struct change_list {
    std::vector<object_change> changes;
    // Where to watch from next.
    std::int64_t revision = 0;
};

class store_client {
public:
    explicit store_client(const address& store);

    // Reads all objects of a kind, page by page. `timeout` holds for each page.
    [[nodiscard]] absl::StatusOr<object_list> list(absl::string_view kind,
                                                   std::chrono::milliseconds timeout);

    // Waits up to `longest_wait` for changes after `revision`; no change is an empty list. The
    // store counts as lost where it takes `timeout` longer than that.
    [[nodiscard]] absl::StatusOr<change_list> watch(absl::string_view kind, std::int64_t revision,
                                                    std::chrono::milliseconds longest_wait,
                                                    std::chrono::milliseconds timeout);

private:
    absl::StatusOr<std::string> get(const std::string& target, std::chrono::milliseconds timeout);

    http_client http;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_STORE_CLIENT_H_
