// Serves one completion by model groups, from admission to its last token.
//
// Resumes the completion when the backend server or the link to its agent is lost: another agent
// continues it at the next token index, and the caller gets every token once and in order. A
// completion ends with an explicit end or an explicit refusal. This class does not depend on the
// HTTP interface to callers.
//
//     completion work(request, services);
//     if (auto refused = work.open()) { ... }
//     while (true) { completion_part part = work.next(absl::Now() + absl::Milliseconds(20)); ... }

#ifndef SARDINESTREAM_REQUESTS_COMPLETION_H_
#define SARDINESTREAM_REQUESTS_COMPLETION_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sardinestream/requests/attempt.h"
#include "sardinestream/requests/services.h"

namespace sardinestream::requests {

// One token event, in the JSON form of the engine.
struct token_event {
    std::string event_json;
};

using completion_part = std::variant<token_event, answer_end, nothing_yet, refusal>;

// Used by one thread at a time.
class completion {
public:
    // `services` must outlive the completion.
    completion(caller_request asked, const request_services& services);

    // Finds an agent that admits the request. Returns a refusal if there is none.
    [[nodiscard]] std::optional<refusal> open();

    // Returns the next part, or `nothing_yet` if none arrives before `until`. What arrived before
    // the request's deadline is still returned after it. Must not be called again after an end or a
    // refusal.
    [[nodiscard]] completion_part next(absl::Time until);

    [[nodiscard]] const caller_request& request() const { return this->asked; }
    // Returns the events received so far, in the order of their token index, which starts at 0.
    [[nodiscard]] const std::vector<std::string>& events() const { return this->received; }
    // Returns how many times the completion was resumed by another agent.
    [[nodiscard]] int resumptions() const { return this->resumption_count; }

private:
    [[nodiscard]] std::optional<refusal> start_attempt(std::optional<refusal> last);
    [[nodiscard]] std::optional<refusal> resume(const refusal& why);
    // Ends the completion because its deadline has passed.
    [[nodiscard]] refusal end_late();
    [[nodiscard]] request_openT next_message() const;
    [[nodiscard]] bool may_try_again(const refusal& why) const;
    [[nodiscard]] std::optional<completion_part> handle_chunk(response_chunkT chunk);
    [[nodiscard]] std::string received_text() const;

    const caller_request asked;
    const request_services& services;
    team_permit permit;
    attempt_history history;
    std::unique_ptr<attempt> current;
    // received[i] is the event of token index i, so the next expected index is received.size().
    std::vector<std::string> received;
    int resumption_count = 0;
    int attempts = 0;
    absl::Time started;
    absl::Time first_token;
};

// Returns the text in a token event of an engine; empty if the event has none.
[[nodiscard]] std::string event_text(absl::string_view event_json);

// Returns the complete answer in the OpenAI format, assembled from its events.
[[nodiscard]] std::string assemble_completion(const caller_request& request,
                                              const std::vector<std::string>& events);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_COMPLETION_H_
