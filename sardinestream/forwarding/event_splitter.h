// Splits a stream of server-sent events into complete events, so that a caller never receives a
// partial one, and records how far the caller has got, so that another server can resume the stream
// there.
//
// The ids of a stream increase, by one or by more: that they skip numbers says nothing. An event
// that comes again, from the same server or from one that resumes the stream too early, is left
// out. An event that has been overtaken by a later one shows that the stream lacks it.
//
//     splitter.add(bytes);
//     std::string complete = splitter.take_events();
//     ... write `complete` to the caller ...
//     splitter.mark_delivered();
//
// Not thread-safe.

#ifndef SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_
#define SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/numeric/int128.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

class event_splitter {
public:
    event_splitter() = default;
    // For a caller that has received the events up to the one with the id `resume_after`.
    explicit event_splitter(absl::string_view resume_after);

    void add(absl::string_view bytes) { this->pending.append(bytes.data(), bytes.size()); }

    // Removes and returns the complete events, without those that were returned before, up to the
    // first malformed one.
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

    // Returns whether an event had two ids, or a numeric id that another event had, or that is
    // lower than one before it. No event is returned behind it.
    [[nodiscard]] bool is_malformed() const { return this->malformed; }

    // Returns whether the caller was given an event and not one before it, which came too late. To
    // resume the stream would make it look whole.
    [[nodiscard]] bool lacks_event() const { return this->event_lacking; }

    // Goes back to the last event delivered, before another server resumes the stream there.
    void drop_undelivered();

private:
    // A place in the stream, behind one of its events.
    struct position {
        // Id of that event, as sent; empty if it was none of this stream.
        std::string id;
        // The last numeric id; unset if there is none yet.
        std::optional<absl::int128> number;
        int events = 0;
    };
    struct numbered_event {
        absl::int128 number;
        std::uint64_t digest = 0;
    };
    // The events that one call returns.
    struct batch {
        // An event with a numeric id, and what comes before it.
        struct numbered_place {
            absl::int128 number;
            position before;
            std::size_t length_before = 0;
        };

        std::string complete;
        std::vector<numbered_place> numbered;
    };
    // What an event with a numeric id is to those before it.
    enum class relation : std::uint8_t { next, repeated, contradictory, overtaken };

    void append_event(absl::string_view event, batch& taken);
    // Returns false if the event does not belong to the stream, or not at this place.
    [[nodiscard]] bool append_number(const numbered_event& event, batch& taken);
    [[nodiscard]] relation relation_of(const numbered_event& event) const;
    void remember(const numbered_event& event);
    // Removes the events that came before the one with this id and belong behind it.
    void take_back(absl::int128 overtaken, batch& taken);

    std::string pending;
    // Behind the last event that take_events returned. Never before `delivered`.
    position returned;
    // Behind the last event that the caller has.
    position delivered;
    // The latest events returned that have a numeric id, in the order of their ids.
    std::deque<numbered_event> recent;
    // Up to this id, it is not known which events the stream has.
    std::optional<absl::int128> unknown_until;
    // The highest id that the server in use has sent.
    std::optional<absl::int128> last_sent;
    bool malformed = false;
    bool event_lacking = false;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_EVENT_SPLITTER_H_
