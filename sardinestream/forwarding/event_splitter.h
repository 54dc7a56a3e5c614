// Splits a stream of server-sent events into complete events, so that a caller never receives a
// partial one, and records how far the caller has got, so that another server can resume the stream
// there.
//
//     splitter.add(bytes);
//     std::string complete = splitter.take_events();
//     ... write `complete` to the caller ...
//     splitter.mark_delivered();
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
    event_splitter() = default;
    // For a caller that has received the events up to the one with the id `resume_after`.
    explicit event_splitter(absl::string_view resume_after);

    void add(absl::string_view bytes) { this->pending.append(bytes.data(), bytes.size()); }

    // Removes and returns the complete events, without those whose id was returned before, up to
    // the first that is missing.
    [[nodiscard]] std::string take_events();

    // Records that the caller has received all events returned so far.
    void mark_delivered() { this->delivered = this->returned; }

    // Returns the id of the last event delivered, as sent; empty before the first.
    [[nodiscard]] const std::string& last_id() const { return this->delivered.id; }

    // Returns the number of events delivered.
    [[nodiscard]] int delivered_events() const { return this->delivered.events; }

    // Returns whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial_event() const { return !this->pending.empty(); }
    [[nodiscard]] std::size_t partial_bytes() const { return this->pending.size(); }

    // Returns whether the numeric ids skipped an event, so that at least one is missing. No event
    // is returned behind it.
    [[nodiscard]] bool has_gap() const { return this->gap; }

    // Goes back to the last event delivered, before another server resumes the stream there.
    void drop_undelivered();

private:
    // A place in the stream, behind one of its events.
    struct position {
        // Id of that event, as sent; empty if it was none of this stream.
        std::string id;
        // The same as a number; unset if there is none yet.
        std::optional<std::int64_t> number;
        int events = 0;
    };

    void append_event(absl::string_view event, std::string& complete);

    std::string pending;
    // Behind the last event that take_events returned. Never before `delivered`.
    position returned;
    // Behind the last event that the caller has.
    position delivered;
    bool gap = false;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_
