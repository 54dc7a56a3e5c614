// One request from its caller to a server and the answer back: placement, attempts, relay.
//
// Runs on the thread of the caller's connection. Whatever happens, the caller gets one answer, or
// its connection is closed so that an answer that has begun is visibly incomplete.

#ifndef SARDINESTREAM_FORWARDING_EXCHANGE_H_
#define SARDINESTREAM_FORWARDING_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/backends/dispatcher.h"
#include "sardinestream/forwarding/answer_memory.h"
#include "sardinestream/forwarding/answer_text.h"
#include "sardinestream/forwarding/caller_request.h"
#include "sardinestream/forwarding/channel_pool.h"
#include "sardinestream/forwarding/event_splitter.h"
#include "sardinestream/forwarding/retry_rules.h"
#include "sardinestream/http/message_reader.h"
#include "sardinestream/routes/desired_state.h"

namespace sardinestream {

// What every exchange of a process shares. All members are thread-safe and outlive the exchanges.
struct forwarding_services {
    const wire_protocol& protocol;
    dispatcher& servers;
    channel_pool& channels;
    // Takes the right to send a request to one more server; false where the budget is spent.
    std::function<bool(const std::string& service)> take_retry;
    // Whether the process is about to stop, so that connections are not kept.
    std::function<bool()> is_stopping;
    // When a process that is about to stop ends what is still open; far away before a stop.
    std::function<steady_time()> ends_at;
    answer_memory& memory;
};

// A request that was allowed in.
struct admitted_request {
    caller_request request;
    // Shares the desired state that allowed it.
    std::shared_ptr<const desired_state> state;
    const route* chosen = nullptr;
    std::string service;
    std::string team;
    int priority = 0;
    steady_time arrival;
};

class exchange {
public:
    exchange(forwarding_services& shared, tcp_socket& caller_socket, admitted_request admitted);

    // Carries the request out. Returns whether the caller's connection can take another request.
    [[nodiscard]] bool run();

private:
    // A server that is silent for so long is left for another one, where the request may run again.
    static constexpr std::chrono::milliseconds longest_silence{1200};

    // What the thread does after an attempt.
    enum class next_step { answered, broken_off, try_again };

    // What an attempt has come to, for the dispatcher and the log.
    struct attempt_record {
        placement given;
        steady_time begun;
        attempt_result result = attempt_result::unreachable;
        std::chrono::milliseconds first_byte{0};
    };

    [[nodiscard]] absl::StatusOr<placement> place();
    // Whether a planned stop leaves too little time for a stream that begins now.
    [[nodiscard]] bool would_be_cut_by_stop() const;
    [[nodiscard]] next_step attempt(attempt_record& record);
    [[nodiscard]] next_step read_answer(server_channel& channel, bool all_written,
                                        attempt_record& record, bool& reusable);
    [[nodiscard]] absl::StatusOr<http_response_head> read_own_head(server_channel& channel,
                                                                   bool& reusable);
    // Takes what the server says of itself in an answer to this request.
    void take_notice(const backend_server& server, const http_response_head& head,
                     const answer_marks& marks);
    // The next head that is a final answer, to whichever request.
    [[nodiscard]] absl::StatusOr<http_response_head> read_final_head(server_channel& channel);
    // Until when the head of an answer that has begun may come.
    [[nodiscard]] steady_time head_deadline() const;
    // Reads the rest of an answer that is passed on in one piece, or dropped.
    [[nodiscard]] absl::Status read_whole_body(server_channel& channel, std::string& body);
    [[nodiscard]] next_step relay(server_channel& channel, const http_response_head& head,
                                  attempt_record& record, bool& reusable);
    [[nodiscard]] next_step relay_whole(server_channel& channel, const http_response_head& head,
                                        attempt_record& record, bool& reusable);
    [[nodiscard]] next_step relay_stream(server_channel& channel, const http_response_head& head,
                                         attempt_record& record, bool& reusable);
    // Waits for bytes of a stream. `last_event` is when the caller was served last; bytes that make
    // no whole event do not count.
    [[nodiscard]] absl::StatusOr<bool> read_stream_part(server_channel& channel, std::string& bytes,
                                                        steady_time& last_event);
    // The server's head as the caller gets it, but for what tells the body's length.
    [[nodiscard]] answer_head relayed_head(const http_response_head& head) const;
    [[nodiscard]] absl::Status send_events(const http_response_head& head,
                                           const std::string& events);
    [[nodiscard]] absl::Status finish_stream(const http_response_head& head);

    // After a failure: another attempt where the rules and the budget allow one.
    [[nodiscard]] next_step after_failure(attempt_state state, const absl::Status& cause,
                                          attempt_record& record);
    [[nodiscard]] bool may_try_again(attempt_state state) const;
    [[nodiscard]] bool is_silent_too_long(server_channel& channel);
    [[nodiscard]] bool give_up(const absl::Status& cause);
    [[nodiscard]] bool answer_ourselves(int status, absl::string_view code,
                                        std::chrono::milliseconds retry_after);

    [[nodiscard]] static std::chrono::milliseconds elapsed_since(steady_time begun);
    [[nodiscard]] std::string encode_request(const backend_server& server) const;
    [[nodiscard]] bool keeps_connection() const;
    void log_outcome(absl::string_view outcome, int status, absl::string_view reason) const;
    void log_attempt(const attempt_record& record, absl::string_view outcome) const;

    forwarding_services& services;
    tcp_socket& caller;
    const hangup_watch caller_watch;
    const admitted_request admitted;
    const route& chosen;
    steady_time deadline;
    // Servers that may have run the request.
    int servers_sent = 0;
    // Servers that stated that they did not.
    int servers_refused = 0;
    bool possibly_run = false;
    // The budget has granted the attempt that comes next.
    bool retry_granted = false;
    std::vector<std::string> tried_ids;
    event_splitter events;
    bool answer_begun = false;
    std::chrono::milliseconds total_wait{0};
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_EXCHANGE_H_
