#include "sardinestream/agent/request_service.h"

#include <algorithm>
#include <utility>

#include "sardinestream/agent/answer_frames.h"
#include "sardinestream/agent/call_refusals.h"
#include "sardinestream/agent/engine_request.h"
#include "sardinestream/agent/token_sequencer.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/once/outcome_rules.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::agent {
namespace {

using requests::request_openT;
using suspects::suspect_verdict;

constexpr int http_ok = 200;

void record_failure(const backend_answer& answer, routing::admission_slot& slot)
{
    if (answer.outcome == backend_outcome::not_sent || answer.outcome == backend_outcome::lost) {
        slot.fail();
    }
}

backend_request make_backend_request(const request_openT& request, absl::Time deadline)
{
    backend_request call;
    call.method = request.method;
    call.path = request.path;
    for (const auto& passed : request.headers) {
        call.headers.emplace_back(passed->name, passed->value);
    }
    call.headers.emplace_back("X-Request-Id", request.request_id);
    call.body.assign(request.body.begin(), request.body.end());
    call.deadline = deadline;
    return call;
}

digest128 fingerprint_of(const request_openT& request)
{
    return parse_digest(request.fingerprint).value_or(digest128{});
}

suspects::call_outcome to_call_outcome(backend_outcome outcome)
{
    switch (outcome) {
    case backend_outcome::complete:
        return suspects::call_outcome::completed;
    case backend_outcome::lost:
        return suspects::call_outcome::lost;
    default:
        return suspects::call_outcome::abandoned;
    }
}

once::run_answer to_run_answer(backend_answer answer)
{
    once::run_answer recorded;
    recorded.http_status = answer.status;
    recorded.headers = std::move(answer.headers);
    recorded.body = std::move(answer.body);
    return recorded;
}

} // namespace

request_service::request_service(request_service_dependencies needed)
    : dependencies(std::move(needed))
{
}

void request_service::serve(const std::shared_ptr<wire::stream>& exchange, const wire::frame& first)
{
    absl::StatusOr<request_openT> request = wire::decode<requests::request_open>(first.payload);
    if (!request.ok()) {
        send_refusal(*exchange, make_refusal(refusal_code::protocol_error, run_outcome::not_run,
                                             "decode_request", request.status().message()));
        return;
    }
    auto shared = std::make_shared<const request_openT>(*std::move(request));
    const bool started =
        this->threads.spawn([this, exchange, shared] { this->serve_request(*exchange, *shared); });
    if (!started) {
        // A request with a key may have run earlier.
        const run_outcome outcome =
            shared->key_digest.empty() ? run_outcome::not_run : run_outcome::unknown;
        send_refusal(*exchange, make_refusal(refusal_code::overloaded, outcome, "start_thread", "",
                                             other_agent_retry_after));
    }
}

void request_service::drain()
{
    this->draining = true;
    this->dependencies.admission->drain();
}

bool request_service::wait_until_idle(std::chrono::steady_clock::time_point deadline)
{
    return this->threads.wait_until_empty(deadline);
}

void request_service::serve_request(wire::stream& exchange, const request_openT& request)
{
    const absl::Time deadline = absl::Now() + absl::Milliseconds(request.remaining_ms);
    log_event("request_received", {{"request", request.request_id},
                                   {"service", request.service},
                                   {"resume_from", request.resume_from}});
    if (!request.key_digest.empty()) {
        this->serve_key(exchange, request, deadline);
        return;
    }
    if (this->draining) {
        send_refusal(exchange, draining_refusal());
        return;
    }
    if (const std::optional<refusal> refused = this->find_refusal(request)) {
        send_refusal(exchange, *refused);
        return;
    }
    if (request.model_work) {
        this->serve_completion(exchange, request, deadline);
        return;
    }
    this->serve_call(exchange, request, deadline);
}

void request_service::serve_key(wire::stream& exchange, const request_openT& request,
                                absl::Time deadline)
{
    if (request.agent_incarnation != this->dependencies.incarnation) {
        send_refusal(exchange, make_refusal(refusal_code::bound_agent_gone, run_outcome::unknown,
                                            "check_incarnation", ""));
        return;
    }
    const std::optional<digest128> key = parse_digest(request.key_digest);
    const std::optional<digest128> body = parse_digest(request.request_digest);
    if (!key.has_value() || !body.has_value()) {
        send_refusal(exchange, make_refusal(refusal_code::protocol_error, run_outcome::not_run,
                                            "read_key", ""));
        return;
    }
    once::run_admission admitted = this->begin_key(request, *key, *body);
    switch (admitted.decision) {
    case once::run_decision::run:
        this->run_key(exchange, request, deadline, std::move(admitted.permit));
        return;
    case once::run_decision::replay:
        count("sardine_replays_total");
        send_answer(exchange, *admitted.answer, true);
        return;
    case once::run_decision::join: {
        count("sardine_joins_total");
        const once::run_result result =
            admitted.running->wait(deadline, [&exchange] { return exchange.ended(); });
        if (result.end == once::run_end::answered) {
            send_answer(exchange, *result.answer, true);
            return;
        }
        send_refusal(exchange, once::refusal_of_run_end(result.end));
        return;
    }
    case once::run_decision::not_found:
        send_refusal(exchange, draining_refusal());
        return;
    default:
        send_refusal(exchange, once::refusal_of_decision(admitted.decision));
        return;
    }
}

void request_service::run_key(wire::stream& exchange, const request_openT& request,
                              absl::Time deadline, once::run_permit permit)
{
    if (const std::optional<refusal> refused = this->find_refusal(request)) {
        permit.fail_not_sent();
        send_refusal(exchange, *refused);
        return;
    }
    routing::admission_result admitted = this->admit(exchange, request, deadline);
    if (!admitted.ok()) {
        permit.fail_not_sent();
        send_refusal(exchange, admitted.refusal_reason());
        return;
    }
    if (!this->dependencies.backend->accepts_connections()) {
        permit.fail_not_sent();
        send_refusal(exchange, make_refusal(refusal_code::no_backend_server, run_outcome::not_run,
                                            "connect", "", lost_backend_retry_after));
        return;
    }
    // The run belongs to the key, not to the caller that started it, so it continues if the caller
    // disconnects.
    backend_request call = make_backend_request(
        request, std::max(deadline, absl::Now() + this->dependencies.max_key_run_time));
    call.fresh_connection = true;
    permit.mark_sent();
    backend_answer answer = this->call_monitored(request, [this, &call] {
        return this->dependencies.backend->call(
            call, nullptr, [](const std::function<void()>&) {}, [] { return false; });
    });
    if (answer.outcome == backend_outcome::not_sent) {
        const refusal refused = refusal_of(answer);
        permit.fail_not_connected();
        send_refusal(exchange, refused);
        return;
    }
    if (answer.outcome != backend_outcome::complete) {
        const refusal refused = refusal_of(answer);
        permit.fail_unknown();
        send_refusal(exchange, refused);
        return;
    }
    const std::shared_ptr<const once::run_answer> recorded =
        permit.finish(to_run_answer(std::move(answer)));
    log_event("key_ran", {{"request", request.request_id}, {"status", recorded->http_status}});
    send_answer(exchange, *recorded, false);
}

once::run_admission request_service::begin_key(const request_openT& request, digest128 key,
                                               digest128 body)
{
    return this->draining || request.look_up_only ? this->dependencies.runs->look_up(key, body)
                                                  : this->dependencies.runs->begin(key, body);
}

suspect_verdict request_service::assess(const request_openT& request) const
{
    return this->dependencies.suspects == nullptr
               ? suspect_verdict::clear
               : this->dependencies.suspects->assess({fingerprint_of(request)}).verdict;
}

std::optional<refusal> request_service::find_refusal(const request_openT& request)
{
    if (this->dependencies.crashes != nullptr && this->dependencies.crashes->server_is_down()) {
        return make_refusal(refusal_code::no_backend_server, run_outcome::not_run, "check_server",
                            "the backend server crashed and does not respond yet",
                            lost_backend_retry_after);
    }
    if (this->assess(request) != suspect_verdict::refuse) {
        return std::nullopt;
    }
    const absl::Duration retry_after =
        this->dependencies.suspects->assess({fingerprint_of(request)}).retry_after;
    return make_refusal(refusal_code::crash_suspect, run_outcome::not_run, "check_suspect", "",
                        retry_after);
}

std::uint32_t request_service::uncached_tokens(absl::string_view prompt)
{
    constexpr std::uint64_t own_engine = 0;
    constexpr std::uint32_t bytes_per_token = 4;
    const absl::Time now = absl::Now();
    const std::vector<std::uint64_t> blocks = routing::prefix_blocks(prompt);
    const routing::prefix_index::match_list cached = this->prompts.match(blocks, now);
    this->prompts.record(own_engine, blocks, now);
    const auto tokens = static_cast<std::uint32_t>(prompt.size() / bytes_per_token);
    const std::uint32_t cached_tokens =
        cached.empty() ? 0 : cached.front().second * routing::prefix_block_tokens;
    return tokens - std::min(tokens, cached_tokens);
}

routing::admission_result request_service::admit(wire::stream& exchange,
                                                 const request_openT& request, absl::Time deadline)
{
    routing::admission_request admission_request;
    admission_request.priority = static_cast<catalogue::priority_class>(std::min<std::uint8_t>(
        request.priority, static_cast<std::uint8_t>(catalogue::priority_class::batch)));
    admission_request.remaining_time = deadline - absl::Now();
    admission_request.exclusive =
        request.run_alone || this->assess(request) == suspect_verdict::run_alone;
    admission_request.cancelled = [&exchange] { return exchange.ended(); };
    routing::admission_result admitted = this->dependencies.admission->admit(admission_request);
    if (!admitted.ok()) {
        return admitted;
    }
    // The server may have crashed while the request was queued.
    if (std::optional<refusal> refused = this->find_refusal(request)) {
        return routing::admission_result(*std::move(refused));
    }
    return admitted;
}

// Runs the call and reports its outcome to the crash detector.
backend_answer request_service::call_monitored(const request_openT& request,
                                               const std::function<backend_answer()>& call)
{
    if (this->dependencies.crashes == nullptr) {
        return call();
    }
    const std::uint64_t id = this->dependencies.crashes->begin(fingerprint_of(request));
    backend_answer answer = call();
    this->dependencies.crashes->end(id, to_call_outcome(answer.outcome));
    return answer;
}

backend_answer request_service::call_backend(wire::stream& exchange, const request_openT& request,
                                             const backend_request& call,
                                             const byte_receiver& on_bytes)
{
    return this->call_monitored(request, [this, &exchange, &call, &on_bytes] {
        bool cancelled_by_receiver = false;
        byte_receiver receive;
        if (on_bytes) {
            receive = [&cancelled_by_receiver, &on_bytes](absl::string_view bytes) {
                cancelled_by_receiver = !on_bytes(bytes);
                return !cancelled_by_receiver;
            };
        }
        backend_answer answer = this->dependencies.backend->call(
            call, receive,
            [&exchange](std::function<void()> stop) { exchange.on_end(std::move(stop)); },
            [&exchange] { return exchange.ended(); });
        // A receiver that returns false makes this side close the connection; the server has not
        // crashed.
        if (cancelled_by_receiver && answer.outcome == backend_outcome::lost) {
            answer.outcome = backend_outcome::cancelled;
        }
        return answer;
    });
}

void request_service::serve_call(wire::stream& exchange, const request_openT& request,
                                 absl::Time deadline)
{
    routing::admission_result admitted = this->admit(exchange, request, deadline);
    if (!admitted.ok()) {
        send_refusal(exchange, admitted.refusal_reason());
        return;
    }
    const absl::Time started = absl::Now();
    backend_answer answer =
        this->call_backend(exchange, request, make_backend_request(request, deadline), nullptr);
    record_failure(answer, admitted.slot());
    if (answer.outcome != backend_outcome::complete) {
        send_refusal(exchange, refusal_of(answer));
        return;
    }
    routing::completion_sample sample;
    sample.service_time = absl::Now() - started;
    admitted.slot().complete(sample);
    send_answer(exchange, to_run_answer(std::move(answer)), false);
}

void request_service::serve_completion(wire::stream& exchange, const request_openT& request,
                                       absl::Time deadline)
{
    std::optional<engine_request> prepared = make_engine_request(request);
    if (!prepared.has_value()) {
        send_refusal(exchange, make_refusal(refusal_code::bad_request, run_outcome::not_run,
                                            "read_body", "the request body is not a JSON object"));
        return;
    }
    routing::admission_result admitted = this->admit(exchange, request, deadline);
    if (!admitted.ok()) {
        send_refusal(exchange, admitted.refusal_reason());
        return;
    }
    if (!send_admitted(exchange).ok()) {
        return;
    }
    backend_request call = make_backend_request(request, deadline);
    call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", request.request_id}};
    call.body = std::move(prepared->body);

    token_sequencer sequencer(request.request_id, request.resume_from);
    const absl::Time started = absl::Now();
    routing::completion_sample sample;
    sample.uncached_tokens = this->uncached_tokens(prepared->prompt);
    const auto forward = [&](absl::string_view bytes) {
        const std::vector<std::string> events = sequencer.feed(bytes);
        std::uint32_t index = sequencer.next_index() - static_cast<std::uint32_t>(events.size());
        for (const std::string& event : events) {
            if (!send_token(exchange, index++, event).ok()) {
                return false;
            }
            sample.first_token_time =
                sample.generated_tokens++ == 0 ? absl::Now() - started : sample.first_token_time;
            admitted.slot().progress();
        }
        return !sequencer.broken() && !exchange.ended();
    };
    const backend_answer answer = this->call_backend(exchange, request, call, forward);
    record_failure(answer, admitted.slot());
    if (answer.outcome == backend_outcome::complete && answer.status != http_ok) {
        send_refusal(exchange, make_refusal(refusal_code::backend_error, run_outcome::failed,
                                            "call_backend", answer.body));
        return;
    }
    if (sequencer.broken() ||
        (answer.outcome == backend_outcome::complete && !sequencer.complete())) {
        send_refusal(exchange,
                     make_refusal(refusal_code::protocol_error, run_outcome::unknown, "read_events",
                                  "token events are missing or malformed"));
        return;
    }
    if (answer.outcome != backend_outcome::complete) {
        send_refusal(exchange, refusal_of(answer));
        return;
    }
    sample.service_time = absl::Now() - started;
    admitted.slot().complete(sample);
    send_end(exchange, sequencer.next_index());
}

} // namespace sardinestream::agent
