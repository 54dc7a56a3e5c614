// Puts an engine's token events in order.
//
// An engine may send events late, twice, out of order, or (on a reused connection) for another
// request. What comes out of here is every token of the one request once, in order.
//
//     token_sequencer sequencer("req-1", 0);
//     for (const std::string& event : sequencer.feed(bytes)) { forward(event); }
//     if (!sequencer.complete()) { the stream was cut }

#ifndef SARDINESTREAM_AGENT_TOKEN_SEQUENCER_H_
#define SARDINESTREAM_AGENT_TOKEN_SEQUENCER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace sardinestream::agent {

// Used by one thread.
class token_sequencer {
public:
    // Events of other requests are dropped; tokens before `first_index` are dropped.
    token_sequencer(std::string request_id, std::uint32_t first_index);

    // Takes the next bytes of the server-sent event stream; returns the events that are now next in
    // order, as JSON.
    [[nodiscard]] std::vector<std::string> feed(absl::string_view bytes);

    // True once the engine said that it is done and no token is missing.
    [[nodiscard]] bool complete() const { return this->done && this->pending_events.empty(); }

    // True when the engine sent what cannot be used: events that are not JSON, or too many tokens
    // ahead of a missing one.
    [[nodiscard]] bool broken() const { return this->malformed; }

    // Index of the next token in order.
    [[nodiscard]] std::uint32_t next_index() const { return this->next; }

private:
    void process_line(absl::string_view line);

    const std::string expected_id;
    std::uint32_t next;
    bool done = false;
    bool malformed = false;
    std::string partial_line;
    // Events ahead of a missing one; every key is above `next` between calls.
    std::map<std::uint32_t, std::string> pending_events;
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_TOKEN_SEQUENCER_H_
