// Reorders and deduplicates the token events of one engine response.
//
// An engine may send events late, twice, out of order, or (on a reused connection) for another
// request. The output holds every token of this request exactly once, in order.
//
//     token_sequencer sequencer("req-1", 0);
//     for (const std::string& event : sequencer.feed(bytes)) { forward(event); }
//     if (!sequencer.complete()) { the stream was truncated }

#ifndef SARDINESTREAM_AGENT_TOKEN_SEQUENCER_H_
#define SARDINESTREAM_AGENT_TOKEN_SEQUENCER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace sardinestream::agent {

// Not thread-safe.
class token_sequencer {
public:
    // Drops events of other requests and tokens before `first_index`.
    token_sequencer(std::string request_id, std::uint32_t first_index);

    // Consumes the next bytes of the server-sent event stream. Returns the events that have become
    // deliverable in order, as JSON.
    [[nodiscard]] std::vector<std::string> feed(absl::string_view bytes);

    // Returns true once the engine has sent its end marker and no token is missing.
    [[nodiscard]] bool complete() const { return this->done && this->pending_events.empty(); }

    // Returns true if the stream is unusable: an event is not valid JSON or has no token index, a
    // line is too long, or too many tokens arrived ahead of a missing one.
    [[nodiscard]] bool broken() const { return this->malformed; }

    // Returns the index of the next token to deliver.
    [[nodiscard]] std::uint32_t next_index() const { return this->next; }

private:
    void process_line(absl::string_view line);

    const std::string expected_id;
    std::uint32_t next;
    bool done = false;
    bool malformed = false;
    std::string partial_line;
    // Events that arrived ahead of a missing one, by token index. Between calls every key is above
    // `next`.
    std::map<std::uint32_t, std::string> pending_events;
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_TOKEN_SEQUENCER_H_
