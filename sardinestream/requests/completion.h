// A completion by a model group, from admission to its last token.
//
// Owns the resumption: when the server or the link is lost, the completion goes on elsewhere at the
// next token index, and the caller sees every token once and in order. It ends in an explicit end
// or an explicit refusal. It knows nothing of HTTP towards the caller.
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

// One token event in the engine's JSON.
struct token_event {
    std::string event_json;
};

using completion_part = std::variant<token_event, answer_end, nothing_yet, refusal>;

// Used by one thread at a time.
class completion {
public:
    // `services` must outlive the completion.
    completion(caller_request asked, const request_services& services);

    // Finds a server that admits the request. Returns why there is none.
    [[nodiscard]] std::optional<refusal> open();

    // Returns the next part; after an end or a refusal there is nothing more.
    [[nodiscard]] completion_part next(absl::Time until);

    [[nodiscard]] const caller_request& request() const { return this->asked; }
    // The events so far, in order, token index 0 first.
    [[nodiscard]] const std::vector<std::string>& events() const { return this->received; }
    // How many times the completion went on at another server.
    [[nodiscard]] int resumptions() const { return this->resumption_count; }

private:
    [[nodiscard]] std::optional<refusal> start_attempt(std::optional<refusal> last);
    [[nodiscard]] std::optional<refusal> resume(const refusal& why);
    [[nodiscard]] request_openT next_message() const;
    [[nodiscard]] bool may_try_again(const refusal& why) const;
    [[nodiscard]] std::optional<completion_part> handle_chunk(response_chunkT chunk);
    [[nodiscard]] std::string received_text() const;

    const caller_request asked;
    const request_services& services;
    team_permit permit;
    attempt_history history;
    std::unique_ptr<attempt> current;
    // received[i] is the event of token index i: the next token is received.size().
    std::vector<std::string> received;
    int resumption_count = 0;
    int attempts = 0;
    absl::Time started;
    absl::Time first_token;
};

// Returns the text that an engine's token event carries.
[[nodiscard]] std::string event_text(absl::string_view event_json);

// Returns the whole answer in the OpenAI form, put together from its events.
[[nodiscard]] std::string assemble_completion(const caller_request& request,
                                              const std::vector<std::string>& events);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_COMPLETION_H_
