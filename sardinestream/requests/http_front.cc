#include "sardinestream/requests/http_front.h"

#include <cmath>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/http_connection.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/requests/completion.h"
#include "sardinestream/requests/service_call.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::requests {
namespace {

using json = nlohmann::json;

constexpr absl::Duration not_ready_retry_after = absl::Seconds(1);
constexpr char json_type[] = "application/json";
constexpr char event_stream_type[] = "text/event-stream";

// Counts a request as in progress during the lifetime of the guard.
class in_flight_guard {
public:
    explicit in_flight_guard(std::atomic<int>& counter) : active(counter) { ++this->active; }
    ~in_flight_guard() { --this->active; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::atomic<int>& active;
};

json refusal_object(const refusal& refused, absl::string_view request_id)
{
    return {{"code", std::string(to_string(refused.code))},
            {"outcome", std::string(to_string(refused.outcome))},
            {"request", std::string(request_id)},
            {"retry_after_ms", absl::ToInt64Milliseconds(refused.retry_after)},
            {"step", refused.step},
            {"peer", refused.peer},
            {"message", refused.message}};
}

void record_refusal(const refusal& refused, absl::string_view request_id)
{
    count("sardine_refusals_total", {{"code", std::string(to_string(refused.code))},
                                     {"outcome", std::string(to_string(refused.outcome))}});
    log_event("request_refused", {{"request", request_id},
                                  {"code", to_string(refused.code)},
                                  {"outcome", to_string(refused.outcome)},
                                  {"step", refused.step},
                                  {"peer", refused.peer},
                                  {"message", refused.message}});
}

// Returns the error that ends a stream which outlasts the drain of this process.
refusal refusal_of_ended_stream()
{
    refusal reason;
    reason.code = refusal_code::stream_cut;
    reason.outcome = run_outcome::unknown;
    reason.step = "drain";
    reason.message = "the entry stops";
    return reason;
}

// Streams a completion to one caller as server-sent events.
class event_stream {
public:
    // Ends with an error event once `end` is true.
    event_stream(std::unique_ptr<completion> started, std::atomic<int>& counter,
                 const std::atomic<bool>& end)
        : work(std::move(started)), counted(counter), ending(end)
    {
    }

    // Writes the next event, if there is one. Returns false once the caller has disconnected.
    bool write_next(httplib::DataSink& sink)
    {
        completion_part part = this->work->next(absl::Now() + caller_check_interval);
        if (std::holds_alternative<nothing_yet>(part) ||
            std::holds_alternative<token_event>(part)) {
            if (this->ending) {
                part = refusal_of_ended_stream();
            }
        }
        if (std::holds_alternative<nothing_yet>(part)) {
            return this->caller_is_there(sink);
        }
        if (auto* event = std::get_if<token_event>(&part)) {
            return this->caller_is_there(sink) &&
                   this->write(sink, absl::StrCat("data: ", event->event_json, "\n\n"));
        }
        if (auto* refused = std::get_if<refusal>(&part)) {
            const std::string& id = this->work->request().request_id;
            record_refusal(*refused, id);
            this->write(sink,
                        absl::StrCat("event: error\ndata: ", refusal_json(*refused, id), "\n\n"));
        }
        else {
            this->write(sink, "data: [DONE]\n\n");
            log_event("completion_done", {{"request", this->work->request().request_id},
                                          {"tokens", this->work->events().size()},
                                          {"resumptions", this->work->resumptions()}});
        }
        sink.done();
        return true;
    }

private:
    bool caller_is_there(httplib::DataSink& sink)
    {
        if (sink.is_writable()) {
            return true;
        }
        count("sardine_callers_gone_total");
        log_event("caller_gone", {{"request", this->work->request().request_id}});
        return false;
    }

    static bool write(httplib::DataSink& sink, const std::string& bytes)
    {
        return sink.write(bytes.data(), bytes.size());
    }

    const std::unique_ptr<completion> work;
    const in_flight_guard counted;
    const std::atomic<bool>& ending;
};

// Streams the events of a completion to the caller as they arrive.
void stream_completion(std::unique_ptr<completion> work, std::atomic<int>& counter,
                       const std::atomic<bool>& ending, httplib::Response& answer)
{
    auto events = std::make_shared<event_stream>(std::move(work), counter, ending);
    answer.set_header("Cache-Control", "no-store");
    answer.set_chunked_content_provider(event_stream_type,
                                        [events](std::size_t /*offset*/, httplib::DataSink& sink) {
                                            return events->write_next(sink);
                                        });
}

// Waits for the end of a completion and answers with the complete text or a refusal.
void answer_whole(completion& work, httplib::Response& answer)
{
    while (true) {
        completion_part part = work.next(absl::Now() + caller_check_interval);
        if (std::holds_alternative<nothing_yet>(part)) {
            if (caller_has_gone()) {
                answer_refusal(refusal_of_gone_caller("read_answer"), work.request().request_id,
                               answer);
                return;
            }
            continue;
        }
        if (auto* refused = std::get_if<refusal>(&part)) {
            answer_refusal(*refused, work.request().request_id, answer);
            return;
        }
        if (std::holds_alternative<answer_end>(part)) {
            answer.set_content(assemble_completion(work.request(), work.events()), json_type);
            return;
        }
    }
}

// Answers requests that the HTTP library itself has refused, such as one whose body is too large.
void answer_library_error(const httplib::Request& /*http*/, httplib::Response& answer)
{
    const bool is_ours = !answer.body.empty() || answer.has_header("X-Request-Id");
    if (is_ours) {
        return;
    }
    refusal_code code = refusal_code::bad_request;
    if (answer.status == http_status_of(refusal_code::body_too_large)) {
        code = refusal_code::body_too_large;
    }
    else if (answer.status == http_status_of(refusal_code::unknown_service)) {
        code = refusal_code::unknown_service;
    }
    answer_refusal(refuse_not_run(code, "read_http", ""), "", answer);
}

} // namespace

std::string refusal_json(const refusal& refused, absl::string_view request_id)
{
    return json({{"error", refusal_object(refused, request_id)}})
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

void answer_refusal(const refusal& refused, absl::string_view request_id, httplib::Response& answer)
{
    record_refusal(refused, request_id);
    answer.status = http_status_of(refused.code);
    if (refused.retry_after > absl::ZeroDuration()) {
        answer.set_header("Retry-After", std::to_string(static_cast<std::int64_t>(std::ceil(
                                             absl::ToDoubleSeconds(refused.retry_after)))));
    }
    answer.set_content(refusal_json(refused, request_id), json_type);
}

http_front::http_front(
    std::function<std::shared_ptr<const catalogue::catalogue_snapshot>()> snapshot,
    request_services request_services)
    : current_snapshot(std::move(snapshot)), services(std::move(request_services))
{
}

void http_front::add_routes(httplib::Server& server)
{
    const auto completions = [this](const httplib::Request& http, httplib::Response& answer) {
        this->serve_completion(http, answer);
    };
    server.Post("/v1/completions", completions);
    server.Post("/v1/chat/completions", completions);
    server.Post("/v1/tickets", [this](const httplib::Request& http, httplib::Response& answer) {
        this->serve_ticket(http, answer);
    });
    const auto calls = [this](const httplib::Request& http, httplib::Response& answer) {
        this->serve_call(http, answer);
    };
    server.set_error_handler(httplib::Server::Handler(answer_library_error));
    constexpr char services_pattern[] = R"(/services/.*)";
    server.Get(services_pattern, calls);
    server.Post(services_pattern, calls);
    server.Put(services_pattern, calls);
    server.Patch(services_pattern, calls);
    server.Delete(services_pattern, calls);
    server.Options(services_pattern, calls);
}

std::optional<caller_request> http_front::read_request(request_parser parse,
                                                       const httplib::Request& http,
                                                       httplib::Response& answer) const
{
    if (this->ending) {
        answer_refusal(
            refuse_unread(http, refusal_code::draining, "read_http", not_ready_retry_after), "",
            answer);
        return std::nullopt;
    }
    auto snapshot = this->current_snapshot();
    if (snapshot == nullptr) {
        answer_refusal(
            refuse_unread(http, refusal_code::not_ready, "read_catalogue", not_ready_retry_after),
            "", answer);
        return std::nullopt;
    }
    parsed_request parsed = parse(http, std::move(snapshot));
    if (auto* refused = std::get_if<refusal>(&parsed)) {
        answer_refusal(*refused, "", answer);
        return std::nullopt;
    }
    auto& request = std::get<caller_request>(parsed);
    answer.set_header("X-Request-Id", request.request_id);
    return std::move(request);
}

void http_front::serve_completion(const httplib::Request& http, httplib::Response& answer)
{
    const in_flight_guard counted(this->active);
    std::optional<caller_request> request = this->read_request(parse_completion, http, answer);
    if (!request.has_value()) {
        return;
    }
    const std::string request_id = request->request_id;
    auto work = std::make_unique<completion>(*std::move(request), this->services);
    if (std::optional<refusal> refused = work->open()) {
        answer_refusal(*refused, request_id, answer);
        return;
    }
    if (work->request().stream) {
        stream_completion(std::move(work), this->active, this->ending, answer);
        return;
    }
    answer_whole(*work, answer);
}

void http_front::serve_call(const httplib::Request& http, httplib::Response& answer)
{
    const in_flight_guard counted(this->active);
    const std::optional<caller_request> read = this->read_request(parse_service_call, http, answer);
    if (!read.has_value()) {
        return;
    }
    const caller_request& request = *read;
    std::variant<service_answer, refusal> result = call_service(request, this->services);
    if (auto* refused = std::get_if<refusal>(&result)) {
        answer_refusal(*refused, request.request_id, answer);
        return;
    }
    const auto& whole = std::get<service_answer>(result);
    answer.status = whole.status;
    std::string content_type = "application/octet-stream";
    for (const auto& [name, value] : whole.headers) {
        if (name == "Content-Type") {
            content_type = value;
            continue;
        }
        answer.set_header(name, value);
    }
    if (whole.replayed) {
        answer.set_header("Sardine-Replayed", "true");
    }
    answer.set_content(whole.body, content_type);
    log_event("call_done", {{"request", request.request_id},
                            {"status", whole.status},
                            {"replayed", whole.replayed ? "true" : "false"}});
}

void http_front::serve_ticket(const httplib::Request& http, httplib::Response& answer)
{
    const in_flight_guard counted(this->active);
    const std::optional<caller_request> read = this->read_request(parse_ticket_call, http, answer);
    if (!read.has_value()) {
        return;
    }
    const caller_request& request = *read;
    std::shared_ptr<membership::peer> agent = this->services.choose_agent(request, {});
    if (agent == nullptr) {
        answer_refusal(refuse_not_run(refusal_code::no_backend_server, "make_ticket", "",
                                      not_ready_retry_after),
                       request.request_id, answer);
        return;
    }
    const std::string ticket = this->services.make_ticket(request, *agent);
    answer.set_content(json({{"ticket", ticket}}).dump(), json_type);
}

} // namespace sardinestream::requests
