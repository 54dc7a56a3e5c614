// Splits a stream of server-sent events into complete events, so that a caller never receives a
// partial one, and records the last event id, so that another server can resume the stream.
//
//     splitter.add(bytes);
//     std::string complete = splitter.take_events();
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

    // Removes and returns the complete events, without those whose id was returned before.
    [[nodiscard]] std::string take_events();

    // Returns the id of the last event returned, as sent; empty before the first.
    [[nodiscard]] const std::string& last_id() const { return this->last_event_id; }

    // Returns the number of events returned so far.
    [[nodiscard]] int taken() const { return this->events_taken; }

    // Returns whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !this->pending.empty(); }
    [[nodiscard]] std::size_t partial_bytes() const { return this->pending.size(); }

    // Discards an incomplete event before another server resumes the stream.
    void drop_partial_event() { this->pending.clear(); }

    // Returns whether the numeric ids skipped an event, so that at least one is missing.
    [[nodiscard]] bool has_gap() const { return this->gap; }

private:
    void append_event(absl::string_view event, std::string& complete);

    std::string pending;
    std::string last_event_id;
    std::optional<std::int64_t> last_number;
    int events_taken = 0;
    bool gap = false;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_
