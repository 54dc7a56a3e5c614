// Lists and watches objects of one kind in the platform's object store.
//
// Each answer carries the store's position: its revision, and the era that a header names. An
// answer whose header is missing or malformed counts as one of the last era that was named.
//
// Not thread-safe. Errors: kUnavailable and kDeadlineExceeded (the store is unreachable, slow or
// overloaded), kOutOfRange (the history that a watch requires is gone: list again),
// kInvalidArgument (malformed response), kFailedPrecondition (the store refuses the call for good).

#ifndef SARDINESTREAM_PLATFORM_STORE_CLIENT_H_
#define SARDINESTREAM_PLATFORM_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/base/store_position.h"
#include "sardinestream/http/http_client.h"

#include "absl/status/statusor.h"

namespace sardinestream::platform {

// One object as JSON text, exactly as it was written, which only the decoder of its kind
// interprets.
struct stored_object {
    std::string name;
    std::int64_t revision = 0;
    // Empty if it is larger than the client reads.
    std::string specification;
};

inline constexpr std::size_t any_size = std::numeric_limits<std::size_t>::max();

struct object_list {
    std::vector<stored_object> objects;
    // The store's position at the time of the list; the start of the first watch.
    store_position position;
    // The store was restored since this client's last answer.
    bool restored = false;
    // What is reserved for `objects`.
    std::shared_ptr<message_memory_reservation> memory = nullptr;
};

struct object_change {
    stored_object object;
    bool removed = false;
};

struct change_list {
    std::vector<object_change> changes;
    // The start of the next watch.
    store_position position;
    // What is reserved for `changes`.
    std::shared_ptr<message_memory_reservation> memory = nullptr;
};

class store_client {
public:
    // Leaves out specifications of more than `max_specification_bytes`, so that large objects of
    // other writers do not take the memory for a list.
    explicit store_client(const address& store, std::size_t max_specification_bytes = any_size);

    // Reads all objects of a kind, page by page. Objects without a readable name or revision are
    // logged and left out, here and in watches. `timeout` applies to each page. Fails with
    // kOutOfRange if the store is restored meanwhile, with kResourceExhausted if the list is too
    // long, and with kDataLoss if a page names no object after which the next one begins.
    //
    // A list that fails for good before its end is still worth something: `on_partial`, if set, is
    // called with what was read. That something is missing from it says nothing.
    [[nodiscard]] absl::StatusOr<object_list>
    list(absl::string_view kind, std::chrono::milliseconds timeout,
         const std::function<void(const object_list&)>& on_partial = nullptr);

    // Waits up to `max_wait` for changes after `position`; returns an empty list if there are
    // none. Fails if the store does not answer within `max_wait` plus `timeout`, and with
    // kOutOfRange if its answer does not continue the history of `position`.
    [[nodiscard]] absl::StatusOr<change_list> watch(absl::string_view kind,
                                                    const store_position& position,
                                                    std::chrono::milliseconds max_wait,
                                                    std::chrono::milliseconds timeout);

private:
    absl::StatusOr<http_answer> get(const std::string& target, std::chrono::milliseconds timeout);
    // Adds the objects of all pages to `all`.
    absl::Status read_pages(absl::string_view kind, std::chrono::milliseconds timeout,
                            object_list& all);
    // Keeps the era that the answer names.
    void read_era(const http_answer& answer);

    http_client http;
    const std::size_t max_specification;
    // The last era that the store named.
    std::int64_t era = 0;
    // The position of the last list or watch that was answered.
    store_position last;
};

} // namespace sardinestream::platform

#endif // SARDINESTREAM_PLATFORM_STORE_CLIENT_H_
