// Forwards one request to a backend server and relays the response: selects a server, sends the
// request, retries where the rules allow it.
//
// Runs on the thread of the caller's connection. The caller always gets exactly one response, or
// its connection is closed, so that a response that has started is visibly incomplete.

#ifndef SARDINESTREAM_FORWARDING_EXCHANGE_H_
#define SARDINESTREAM_FORWARDING_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/backends/answer_estimator.h"
#include "sardinestream/backends/dispatcher.h"
#include "sardinestream/backends/request_cost.h"
#include "sardinestream/forwarding/answer_time.h"
#include "sardinestream/forwarding/caller_request.h"
#include "sardinestream/forwarding/connection_pool.h"
#include "sardinestream/forwarding/crash_guard.h"
#include "sardinestream/forwarding/event_splitter.h"
#include "sardinestream/forwarding/local_response.h"
#include "sardinestream/forwarding/open_requests.h"
#include "sardinestream/forwarding/retry_rules.h"
#include "sardinestream/http/message_body.h"
#include "sardinestream/http/message_reader.h"
#include "sardinestream/routes/desired_state.h"

namespace sardinestream {

// Services that all exchanges of a process share. All members are thread-safe and outlive the
// exchanges.
struct forwarding_services {
    const wire_protocol& protocol;
    dispatcher& servers;
    connection_pool& connections;
    // Takes one retry from the budget of the service; returns false if the budget is exhausted.
    std::function<bool(const std::string& service)> take_retry;
    // Returns whether the budget has a retry.
    std::function<bool(const std::string& service)> has_retry;
    // Returns whether the process is shutting down; connections are not kept alive then.
    std::function<bool()> is_stopping;
    // Returns the time at which a process that is shutting down ends the remaining requests;
    // steady_time::max() before a shutdown.
    std::function<steady_time()> shutdown_deadline;
    // Returns the time from which the platform's load balancer sends hardly any callers to a
    // process that is shutting down; steady_time::max() before a shutdown. Later requests come over
    // kept connections, or have been uploaded or queued for so long.
    std::function<steady_time()> deregistration_time;
    // The memory for bodies of requests, and for what is buffered of responses. Apart, so that
    // requests that wait for a server cannot hold the memory that their responses need.
    message_memory& request_memory;
    message_memory& response_memory;
    crash_guard& crashes;
    // The requests that are being served.
    open_requests& open;
    answer_times& answer_durations;
    // Called when a server begins, changes or ends a limit of its rate.
    std::function<void()> on_limit_change;
    // Called when another server has answered at the address of this one.
    std::function<void(const backend_server&)> on_replaced;
    answer_estimator& answer_sizes;
};

// A request that passed the admission checks of the frontend.
struct admitted_request {
    caller_request request;
    // The desired state by which the request was admitted; owns `matched_route`.
    std::shared_ptr<const desired_state> state;
    const route* matched_route = nullptr;
    std::string service;
    std::string team;
    int priority = 0;
    steady_time arrival;
};

class exchange {
public:
    exchange(forwarding_services& shared, tcp_socket& caller_socket, admitted_request admitted);

    // Serves the request. Returns whether the caller's connection can serve another request.
    [[nodiscard]] bool run();

private:
    // Responses that are relayed in one piece may have this size.
    static constexpr std::size_t max_response_bytes = 32U << 20U;
    // If a server sends nothing for this time, the request moves to another server once one is
    // free, provided that it may run again.
    static constexpr std::chrono::milliseconds silence_timeout{1200};
    // How often it is asked whether the server that a stream left has sent more.
    static constexpr std::chrono::milliseconds previous_server_check{50};
    // After this many refusals by servers, a request fails, or pauses before each further attempt
    // if its answer has begun.
    static constexpr int max_refusals = 4;

    // What follows an attempt: the caller has its response, the caller's connection is closed, the
    // request is sent to another server, a stream leaves its server for the reserved one, or it
    // returns to the server that it left.
    enum class next_action { answered, close_connection, retry, leave, go_back };

    // Result and timing of an attempt, for the dispatcher and the log.
    struct attempt_record {
        placement placed;
        steady_time started;
        attempt_result result = attempt_result::unreachable;
        std::chrono::milliseconds first_byte{0};
        // The request has been answered for long enough to show that it crashes no server.
        bool sound = false;
        // For a stream: the time of the last complete event, or later if the silence is accepted;
        // bytes that complete no event do not change it.
        steady_time silent_since{};
        // For a stream: the memory of an unfinished event.
        std::unique_ptr<message_memory_reservation> partial_event;
        // Events that the caller got from earlier servers.
        int events_before = 0;
    };

    // A stream that has left its server. Its connection stays open and unread until the next server
    // has sent an event: the stream returns if that one fails.
    struct previous_stream {
        attempt_record record;
        std::unique_ptr<server_connection> connection;
        http_response_head head;
        event_splitter events;
        // From when on the stream returns as soon as the server that it left has sent more, even if
        // the next one has not failed.
        steady_time returns_at;
    };

    // Returns the server for the next attempt, or the reason for which the request gets none.
    [[nodiscard]] absl::StatusOr<placement> place();
    // Waits for a server with free capacity, for as long as the request is worth serving.
    [[nodiscard]] absl::StatusOr<placement> wait_for_server();
    // Makes attempts until the request has an outcome. Returns the same as `run`.
    [[nodiscard]] bool attempt_until_done();
    // Makes one attempt.
    [[nodiscard]] next_action attempt_once();
    // Records the end of an attempt, unless its stream has only left the server.
    void end_attempt(const attempt_record& record, next_action next);
    // Pools, closes or keeps the connection of an attempt that is over.
    void end_connection(std::unique_ptr<server_connection> connection, const attempt_record& record,
                        bool reusable, next_action next);
    [[nodiscard]] placement_request make_placement_request() const;
    // Reserves the server for the next attempt and takes a retry from the budget for it. Returns
    // false if there is none left or the request is suspected of crashing servers; the server is
    // free again then.
    [[nodiscard]] bool reserve(placement other);
    // Frees the server that was reserved for an attempt that is not made.
    void release_reserved();
    // Returns whether a request whose server is silent may go on at another one, and whether that
    // would help.
    [[nodiscard]] bool may_leave_silent_server(const backend_server& server) const;
    // Waits until another server is reserved for a request whose server is silent, and returns
    // true; `handle_failure` then ends the attempt. Returns false, so that the caller reads on, if
    // the server goes on, the caller hangs up or the request ends, and now and then if no server
    // may be taken at present.
    [[nodiscard]] bool find_other_server(server_connection& connection,
                                         const attempt_record& record);
    // The part of `find_other_server` in which the request is queued.
    [[nodiscard]] bool wait_for_other_server(server_connection& connection,
                                             const attempt_record& record);
    // Reserves another server for the rest of a stream whose server delays its group, if one is
    // free. Returns whether it did.
    [[nodiscard]] bool try_move_stream(const backend_server& server);
    // Lets a stream leave its server for the reserved one.
    [[nodiscard]] next_action leave_stream(const http_response_head& head, attempt_record& record,
                                           attempt_result result, absl::string_view reason);
    // Goes on with the stream at the server that it left.
    [[nodiscard]] next_action return_to_previous_server();
    // Ends the attempt at the server that a stream left, if there is one.
    void close_previous_stream();
    // Returns whether the server that the stream left has sent more, and it is time to return.
    [[nodiscard]] bool previous_server_goes_on() const;
    // Ends the attempt at the next server because the one that the stream left goes on.
    [[nodiscard]] next_action give_up_move(attempt_record& record);
    // Returns the engine by whose speed the request is placed, or null if requests of this kind are
    // counted.
    [[nodiscard]] const engine_model* timed_engine() const;
    [[nodiscard]] answer_origin origin() const;
    [[nodiscard]] stated_size stated() const;
    // Returns the tokens of the answer that the caller has; zero if requests are counted.
    [[nodiscard]] double delivered_tokens() const;
    // Returns what the request is likely to cost a server that goes on behind `delivered` tokens.
    [[nodiscard]] request_cost cost_from(double delivered) const;
    // Return the time of the engine that the request is likely to take, and that what the caller
    // has of its answer took; zero if requests are counted.
    [[nodiscard]] double expected_cost_ms() const;
    [[nodiscard]] double seen_cost_ms() const;
    // Returns a refusal if no server has the memory for the request.
    [[nodiscard]] absl::Status check_size() const;
    // Takes what was delivered off the work of the server.
    void note_progress(attempt_record& record);
    // Records the size of an answer that has ended.
    void note_whole_answer();
    // Returns what is known of the request's answer before it begins.
    [[nodiscard]] answer_shape shape() const;
    // Returns how long an answer to the request is expected to take from `now` on.
    [[nodiscard]] answer_estimate estimate_answer(steady_time now) const;
    // Returns how much longer the answer may take because the service pauses.
    [[nodiscard]] std::chrono::milliseconds pause_allowance() const;
    // Returns whether the service is not known to serve requests at the moment.
    [[nodiscard]] bool service_is_unavailable() const;
    // Returns whether a planned shutdown leaves too little time for a request that starts now.
    [[nodiscard]] bool shutdown_would_cut() const;
    // Returns a refusal, and logs it, if a planned shutdown would cut the request or its service
    // does not serve while the shutdown lasts.
    [[nodiscard]] absl::Status check_shutdown() const;
    // Returns the end of the request: its deadline, or the end of a planned shutdown.
    [[nodiscard]] steady_time answer_deadline() const;
    [[nodiscard]] next_action run_attempt(attempt_record& record);
    [[nodiscard]] next_action read_response(server_connection& connection, bool all_written,
                                            attempt_record& record, bool& reusable);
    [[nodiscard]] absl::StatusOr<http_response_head>
    read_matching_head(server_connection& connection, bool& reusable);
    // Passes the server's statements about itself (leaving, hold-off) to the dispatcher. Ignores
    // responses that may belong to another request or another server.
    void apply_notice(const backend_server& server, const http_response_head& head,
                      const response_marks& marks);
    // Passes the rate that the server names, or that it names none, to the dispatcher.
    void note_limit(const backend_server& server, const response_marks& marks);
    // Reads the next head of a final (not 1xx) response, whichever request it belongs to.
    [[nodiscard]] absl::StatusOr<http_response_head> read_final_head(server_connection& connection);
    // Returns the deadline for the complete head of a response that has started to arrive.
    [[nodiscard]] steady_time head_deadline() const;
    // Reads the rest of a refusal, so that its connection can be used again. Returns whether it
    // can.
    [[nodiscard]] bool skip_refusal(server_connection& connection);
    [[nodiscard]] next_action relay(server_connection& connection, const http_response_head& head,
                                    attempt_record& record, bool& reusable);
    // Returns how an attempt ended whose server did not run the request.
    [[nodiscard]] attempt_result result_of_refusal(const backend_server& server,
                                                   const response_marks& marks) const;
    // Returns whether another server responded than the one that the attempt was meant for.
    [[nodiscard]] bool is_from_other_server(const backend_server& server,
                                            const response_marks& marks) const;
    [[nodiscard]] next_action relay_buffered(server_connection& connection,
                                             const http_response_head& head, attempt_record& record,
                                             bool& reusable);
    [[nodiscard]] next_action relay_stream(server_connection& connection,
                                           const http_response_head& head, attempt_record& record,
                                           bool& reusable);
    // Waits for the next bytes of a stream; returns whether the stream has ended.
    [[nodiscard]] absl::StatusOr<bool> read_stream_part(server_connection& connection,
                                                        const attempt_record& record,
                                                        std::string& bytes);
    // Returns when the caller of a stream abandons it if no event follows.
    [[nodiscard]] steady_time caller_leaves_at() const;
    // Returns whether a stream whose body ends now can be complete.
    [[nodiscard]] bool may_end_here(const http_response_head& head) const;
    // Returns why the stream cannot go on or end (`ended`) with the part that was read last. The
    // whole events of that part have been delivered.
    [[nodiscard]] absl::Status check_stream(const http_response_head& head,
                                            const attempt_record& record, bool ended) const;
    // Returns the head for the caller, without the headers that give the length of the body.
    [[nodiscard]] answer_head make_relayed_head(const http_response_head& head);
    // Begins the caller's response, if it has not begun. Returns its head, or nothing.
    [[nodiscard]] std::string begin_stream(const http_response_head& head);
    // Writes a part of a stream, also past the request's deadline.
    [[nodiscard]] absl::Status write_to_caller(absl::string_view text);
    // Writes the events that `events` returned to the caller and marks them delivered.
    [[nodiscard]] absl::Status send_events(const http_response_head& head,
                                           const std::string& complete);
    // Ends the caller's response, which may be without any event. Called once.
    [[nodiscard]] absl::Status finish_stream(const http_response_head& head);

    // Records a failed attempt, then requests a retry if the retry rules, the deadline and the
    // budget allow one; otherwise ends the request.
    [[nodiscard]] next_action handle_failure(attempt_state state, const absl::Status& cause,
                                             attempt_record& record);
    [[nodiscard]] bool can_retry(attempt_state state) const;
    // Records, once for each attempt, that the server has not crashed under this request.
    void note_sound(attempt_record& record);
    [[nodiscard]] bool exceeds_silence_timeout(server_connection& connection);
    // Waits until the server begins to answer, the caller hangs up or the request ends, up to
    // `end`.
    void wait_for_first_byte(server_connection& connection, steady_time end) const;
    [[nodiscard]] bool fail_request(const absl::Status& cause);
    [[nodiscard]] bool send_local_response(int status, absl::string_view code,
                                           std::chrono::milliseconds retry_after);

    [[nodiscard]] static std::chrono::milliseconds elapsed_since(steady_time started);
    [[nodiscard]] std::string encode_request_head(const backend_server& server) const;
    // Decides whether the connection takes another request after the response that begins now.
    // The caller relies on what its head says, whatever begins before the end of the response.
    [[nodiscard]] bool promise_connection();
    void log_outcome(absl::string_view outcome, int status, absl::string_view reason) const;
    void log_attempt(const attempt_record& record, absl::string_view outcome) const;

    forwarding_services& services;
    tcp_socket& caller;
    const hangup_watch caller_watch;
    const admitted_request admitted;
    const route& matched_route;
    open_requests::registration registered;
    steady_time deadline;
    // Number of servers that may have run the request.
    int servers_sent = 0;
    // Number of servers that stated that they did not run it.
    int servers_refused = 0;
    bool possibly_executed = false;
    // The budget has already granted the next attempt.
    bool retry_granted = false;
    std::vector<std::string> tried_ids;
    event_splitter events;
    // Expected size of the whole answer; zero if requests are counted.
    double expected_tokens = 0;
    bool response_started = false;
    // The head of the response said that the connection takes another request.
    bool connection_promised = false;
    // A response that ends with the connection has begun and is not complete.
    bool ends_with_connection = false;
    // When the caller of a stream got the last event; the arrival of the request before the first.
    steady_time last_delivery;
    // The server that is reserved for the next attempt.
    std::optional<placement> reserved;
    std::optional<previous_stream> previous;
    // Until when the request, as a suspect, is refused a server other than the one that has it.
    steady_time stays_until{};
    // The stream has returned to a server that it left; it leaves no slow rank any more.
    bool has_returned = false;
    std::chrono::milliseconds total_queue_time{0};
    // Runs from the first attempt that may have run the request; unset before.
    std::optional<answer_times::measurement> measured;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_EXCHANGE_H_
