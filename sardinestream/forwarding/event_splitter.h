// Splits a stream of server-sent events into whole events, so that a caller never sees a part of
// one, and remembers the last id, so that the stream can go on at another server.
//
//     splitter.add(bytes);
//     std::string whole = splitter.take_events();
//
// Not thread-safe.

#ifndef SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_
#define SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace sardinestream {

class event_splitter {
public:
    void add(absl::string_view bytes) { this->pending.append(bytes.data(), bytes.size()); }

    // Returns the whole events that have come, without those whose id was taken before.
    [[nodiscard]] std::string take_events();

    // The id of the last event taken, as sent; empty before the first.
    [[nodiscard]] const std::string& last_id() const { return this->last_event_id; }

    // The number of events taken.
    [[nodiscard]] int taken() const { return this->events_taken; }

    // A part of an event waits for its end.
    [[nodiscard]] bool has_partial_event() const { return !this->pending.empty(); }
    [[nodiscard]] std::size_t partial_bytes() const { return this->pending.size(); }

    // Forgets the part of an event that will not be finished, before another server goes on.
    void drop_partial_event() { this->pending.clear(); }

    // An event came out of order: one is missing, or the ids went back within one stream.
    [[nodiscard]] bool has_gap() const { return this->gap; }

private:
    void take_one(absl::string_view event, std::string& whole);

    std::string pending;
    std::string last_event_id;
    std::optional<std::int64_t> last_number;
    int events_taken = 0;
    bool gap = false;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_
