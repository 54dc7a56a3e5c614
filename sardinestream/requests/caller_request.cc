#include "sardinestream/requests/caller_request.h"

#include <algorithm>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/http_connection.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace sardinestream::requests {
namespace {

using catalogue::catalogue_snapshot;
using catalogue::priority_class;
using json = nlohmann::json;

constexpr std::size_t max_key_length = 200;
constexpr std::size_t max_request_id_length = 100;
constexpr int request_id_bytes = 12;
constexpr absl::string_view services_prefix = "/services/";

// Returns false for headers that apply to this hop only or that are set by the system itself.
bool is_forwarded(absl::string_view name)
{
    static const auto* const dropped = new std::vector<std::string>{
        "authorization", "connection",       "content-length", "expect",     "host", "keep-alive",
        "remote_addr",   "remote_port",      "local_addr",     "local_port", "te",   "trailer",
        "upgrade",       "transfer-encoding"};
    const std::string lower = absl::AsciiStrToLower(name);
    return !absl::StartsWith(lower, "sardine-") &&
           std::find(dropped->begin(), dropped->end(), lower) == dropped->end();
}

header_list forwarded_headers(const httplib::Request& http)
{
    header_list passed;
    for (const auto& [name, value] : http.headers) {
        if (is_forwarded(name)) {
            passed.emplace_back(name, value);
        }
    }
    return passed;
}

std::string choose_request_id(const httplib::Request& http)
{
    const std::string from_caller = http.get_header_value("X-Request-Id");
    const bool usable = !from_caller.empty() && from_caller.size() <= max_request_id_length &&
                        std::all_of(from_caller.begin(), from_caller.end(), [](char c) {
                            return absl::ascii_isalnum(c) || c == '-' || c == '_';
                        });
    return usable ? from_caller : absl::StrCat("req-", random_hex(request_id_bytes));
}

// Sets the deadline of the request. Returns false if the header is malformed, out of range or 0.
bool read_deadline(const httplib::Request& http, caller_request& request)
{
    std::uint32_t wanted_ms = request.entry->limits.max_deadline_ms;
    if (http.has_header("Sardine-Timeout-Ms") &&
        (!absl::SimpleAtoi(http.get_header_value("Sardine-Timeout-Ms"), &wanted_ms) ||
         wanted_ms == 0)) {
        return false;
    }
    wanted_ms = std::min(wanted_ms, request.entry->limits.max_deadline_ms);
    request.deadline = deadline_after(absl::Milliseconds(wanted_ms));
    return true;
}

bool read_priority(const httplib::Request& http, caller_request& request)
{
    request.priority = request.entry->priority;
    if (!http.has_header("Sardine-Priority")) {
        return true;
    }
    const std::string wanted = http.get_header_value("Sardine-Priority");
    if (wanted != "interactive" && wanted != "batch") {
        return false;
    }
    const priority_class asked =
        wanted == "batch" ? priority_class::batch : priority_class::interactive;
    request.priority = std::max(request.priority, asked);
    return true;
}

// Finds the catalogue entry of the caller's team for `service`, then reads the headers that all
// requests have in common.
std::optional<refusal> read_common(const httplib::Request& http, absl::string_view service,
                                   caller_request& request)
{
    constexpr absl::string_view step = "authorize";
    const std::string authorization = http.get_header_value("Authorization");
    absl::string_view key = authorization;
    if (!absl::ConsumePrefix(&key, "Bearer ")) {
        return refuse_not_run(refusal_code::unauthorized, step,
                              "the Authorization header has no bearer key");
    }
    const std::string digest = sha256_hex(key);
    request.entry = request.snapshot->find(digest, service);
    if (request.entry == nullptr) {
        return request.snapshot->knows_key(digest)
                   ? refuse_not_run(refusal_code::unknown_service, step, service)
                   : refuse_not_run(refusal_code::unauthorized, step, "unknown bearer key");
    }
    request.request_id = choose_request_id(http);
    request.caller_has_gone = [] { return caller_has_gone(); };
    request.method = http.method;
    request.idempotency_key = http.get_header_value("Idempotency-Key");
    request.ticket = http.get_header_value("Sardine-Ticket");
    request.first_sending = http.get_header_value("Sardine-First-Send") == "true";
    if (request.idempotency_key.size() > max_key_length) {
        return refuse_not_run(refusal_code::bad_request, "read_headers",
                              "Idempotency-Key is too long");
    }
    if (!read_deadline(http, request)) {
        return refuse_not_run(refusal_code::bad_request, "read_headers",
                              "Sardine-Timeout-Ms is not a valid time");
    }
    if (!read_priority(http, request)) {
        return refuse_not_run(refusal_code::bad_request, "read_headers",
                              "Sardine-Priority is not interactive or batch");
    }
    if (http.body.size() > request.entry->limits.max_body_bytes) {
        return refuse_not_run(refusal_code::body_too_large, "read_body",
                              absl::StrCat(http.body.size(), " bytes exceed the limit of ",
                                           request.entry->limits.max_body_bytes));
    }
    return std::nullopt;
}

// Returns the text of the prompt, or the concatenated text of all messages.
std::string prompt_text(const json& body, bool chat)
{
    if (!chat) {
        return body["prompt"].get<std::string>();
    }
    std::string text;
    for (const json& message : body["messages"]) {
        if (message.is_object() && message.contains("content") && message["content"].is_string()) {
            absl::StrAppend(&text, message["content"].get_ref<const std::string&>(), "\n");
        }
    }
    return text;
}

bool is_valid_completion(const json& body, bool chat)
{
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        return false;
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return false;
    }
    if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned()) {
        return false;
    }
    return chat ? body.contains("messages") && body["messages"].is_array()
                : body.contains("prompt") && body["prompt"].is_string();
}

} // namespace

bool caller_request::repeatable() const
{
    switch (this->entry->repeat) {
    case catalogue::repeat_rule::all:
        return true;
    case catalogue::repeat_rule::reads_only:
        return this->method == "GET" || this->method == "HEAD" || this->method == "OPTIONS";
    case catalogue::repeat_rule::none:
        break;
    }
    return false;
}

digest128 caller_request::fingerprint() const
{
    const std::string work = absl::StrCat(this->entry->service, " ", this->method, " ", this->path);
    return suspects::fingerprint_of(this->entry->owner, work, this->body);
}

refusal refuse_not_run(refusal_code code, absl::string_view step, absl::string_view message,
                       absl::Duration retry_after)
{
    refusal refused;
    refused.code = code;
    refused.outcome = run_outcome::not_run;
    refused.retry_after = retry_after;
    refused.message = std::string(message);
    refused.step = std::string(step);
    return refused;
}

refusal refuse_unread(const httplib::Request& http, refusal_code code, absl::string_view step,
                      absl::Duration retry_after)
{
    refusal refused = refuse_not_run(code, step, "", retry_after);
    const bool keyed = http.has_header("Idempotency-Key") || http.has_header("Sardine-Ticket");
    if (keyed && http.get_header_value("Sardine-First-Send") != "true") {
        refused.outcome = run_outcome::unknown;
    }
    return refused;
}

parsed_request parse_completion(const httplib::Request& http,
                                std::shared_ptr<const catalogue_snapshot> snapshot)
{
    constexpr absl::string_view step = "parse_completion";
    caller_request request;
    request.snapshot = std::move(snapshot);
    request.chat = absl::EndsWith(http.path, "/chat/completions");
    const json body = json::parse(http.body, nullptr, false);
    if (body.is_discarded() || !is_valid_completion(body, request.chat)) {
        return refuse_not_run(refusal_code::bad_request, step,
                              request.chat
                                  ? "a JSON object with valid model and messages is required"
                                  : "a JSON object with valid model and prompt is required");
    }
    const std::string model = body["model"].get<std::string>();
    if (std::optional<refusal> refused = read_common(http, model, request)) {
        return *refused;
    }
    if (request.entry->work != catalogue::work_class::model) {
        return refuse_not_run(refusal_code::unknown_service, step, "the service is not a model");
    }
    request.max_tokens = request.entry->limits.max_tokens;
    if (body.contains("max_tokens")) {
        const auto wanted = body["max_tokens"].get<std::uint64_t>();
        if (wanted == 0 || wanted > request.entry->limits.max_tokens) {
            return refuse_not_run(
                refusal_code::bad_request, step,
                absl::StrCat("max_tokens must be from 1 to ", request.max_tokens));
        }
        request.max_tokens = static_cast<std::uint32_t>(wanted);
    }
    request.path = request.chat ? "/v1/chat/completions" : "/v1/completions";
    request.body = http.body;
    request.stream = body.value("stream", false);
    request.prompt = prompt_text(body, request.chat);
    return request;
}

parsed_request parse_service_call(const httplib::Request& http,
                                  std::shared_ptr<const catalogue_snapshot> snapshot)
{
    caller_request request;
    request.snapshot = std::move(snapshot);
    absl::string_view target = http.target;
    if (!absl::ConsumePrefix(&target, services_prefix)) {
        return refuse_not_run(refusal_code::unknown_service, "parse_service_call", http.path);
    }
    const std::size_t slash = std::min(target.find_first_of("/?"), target.size());
    const absl::string_view service = target.substr(0, slash);
    if (std::optional<refusal> refused = read_common(http, service, request)) {
        return *refused;
    }
    if (request.entry->work != catalogue::work_class::plain) {
        return refuse_not_run(refusal_code::unknown_service, "parse_service_call",
                              "the service is not a plain service");
    }
    const absl::string_view rest = target.substr(slash);
    request.path = absl::StartsWith(rest, "/") ? std::string(rest) : absl::StrCat("/", rest);
    request.headers = forwarded_headers(http);
    request.body = http.body;
    return request;
}

parsed_request parse_ticket_call(const httplib::Request& http,
                                 std::shared_ptr<const catalogue_snapshot> snapshot)
{
    caller_request request;
    request.snapshot = std::move(snapshot);
    const json body = json::parse(http.body, nullptr, false);
    if (!body.is_object() || !body.contains("service") || !body["service"].is_string()) {
        return refuse_not_run(refusal_code::bad_request, "parse_ticket_call",
                              "a JSON object with the name of the service is required");
    }
    if (std::optional<refusal> refused =
            read_common(http, body["service"].get<std::string>(), request)) {
        return *refused;
    }
    return request;
}

} // namespace sardinestream::requests
