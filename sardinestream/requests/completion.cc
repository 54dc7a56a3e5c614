#include "sardinestream/requests/completion.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::requests {
namespace {

using json = nlohmann::json;

constexpr int max_attempts = 4;
// Tokens that arrived before the deadline are returned for this time after it.
constexpr absl::Duration max_late_delivery = absl::Seconds(1);
constexpr absl::Duration retry_when_none_is_up = absl::Seconds(1);

refusal no_server()
{
    return refuse_not_run(refusal_code::no_backend_server, "choose_agent", "",
                          retry_when_none_is_up);
}

} // namespace

completion::completion(caller_request request, const request_services& request_services)
    : asked(std::move(request)), services(request_services), started(absl::Now())
{
}

std::optional<refusal> completion::open()
{
    if (this->services.check_suspect) {
        if (std::optional<refusal> refused =
                this->services.check_suspect(this->asked, this->history.run_alone)) {
            return refused;
        }
    }
    if (this->services.acquire_permit) {
        std::variant<team_permit, refusal> acquired = this->services.acquire_permit(this->asked);
        if (auto* refused = std::get_if<refusal>(&acquired)) {
            return std::move(*refused);
        }
        this->permit = std::get<team_permit>(std::move(acquired));
    }
    if (this->services.record_request) {
        this->services.record_request(this->asked);
    }
    return this->start_attempt(std::nullopt);
}

bool completion::may_try_again(const refusal& why) const
{
    switch (why.code) {
    case refusal_code::overloaded:
    case refusal_code::draining:
    case refusal_code::no_backend_server:
    case refusal_code::backend_lost:
    case refusal_code::protocol_error:
        return this->attempts < max_attempts && !has_passed(this->asked.deadline);
    default:
        return false;
    }
}

// Tries agents until one admits the request. `last` is the reason why an earlier attempt ended.
std::optional<refusal> completion::start_attempt(std::optional<refusal> last)
{
    while (true) {
        if (last.has_value() && !this->may_try_again(*last)) {
            return last;
        }
        if (last.has_value() && this->services.try_acquire_retry &&
            !this->services.try_acquire_retry(this->asked)) {
            count("sardine_retries_denied_total", {{"reason", std::string(to_string(last->code))}});
            return last;
        }
        std::shared_ptr<membership::peer> agent =
            this->services.choose_agent(this->asked, this->history);
        if (agent == nullptr) {
            return last.has_value() ? last : no_server();
        }
        if (last.has_value()) {
            count("sardine_retries_total", {{"reason", std::string(to_string(last->code))}});
        }
        ++this->attempts;
        const std::string agent_id = agent->identity().id;
        attempt_result result = attempt::start(std::move(agent), this->next_message(),
                                               this->asked.deadline, this->asked.caller_has_gone);
        if (auto* admitted = std::get_if<std::unique_ptr<attempt>>(&result)) {
            this->current = std::move(*admitted);
            return std::nullopt;
        }
        last = std::get<refusal>(std::move(result));
        this->history.tried.insert(agent_id);
        if (last->code == refusal_code::backend_lost && this->services.record_backend_lost) {
            this->services.record_backend_lost(this->asked, agent_id);
        }
    }
}

request_openT completion::next_message() const
{
    request_openT message = make_request_open(this->asked);
    message.run_alone = this->history.run_alone;
    message.resume_from = static_cast<std::uint32_t>(this->received.size());
    message.resume_text = this->received_text();
    return message;
}

std::optional<refusal> completion::resume(const refusal& why)
{
    const std::string agent_id = this->current->agent().identity().id;
    this->current.reset();
    this->history.tried.insert(agent_id);
    this->history.resumed_bytes = this->received_text().size();
    if (why.code == refusal_code::backend_lost && this->services.record_backend_lost) {
        this->services.record_backend_lost(this->asked, agent_id);
    }
    if (this->services.check_suspect) {
        if (std::optional<refusal> refused =
                this->services.check_suspect(this->asked, this->history.run_alone)) {
            refused->outcome = run_outcome::unknown;
            return refused;
        }
    }
    log_event("completion_resumes", {{"request", this->asked.request_id},
                                     {"from", agent_id},
                                     {"token", this->received.size()},
                                     {"reason", to_string(why.code)}});
    std::optional<refusal> refused = this->start_attempt(why);
    if (!refused.has_value()) {
        ++this->resumption_count;
        return std::nullopt;
    }
    // An earlier agent has run the request at least in part, whatever the last agent reports.
    refused->outcome = run_outcome::unknown;
    if (!this->received.empty()) {
        refused->code = refusal_code::stream_cut;
    }
    return refused;
}

completion_part completion::next(absl::Time until)
{
    while (true) {
        if (time_left(this->asked.deadline) <= -max_late_delivery) {
            return this->end_late();
        }
        answer_part part =
            this->current->next(std::min(until, to_time_of_day(this->asked.deadline)));
        if (auto* chunk = std::get_if<response_chunkT>(&part)) {
            if (std::optional<completion_part> event = this->handle_chunk(std::move(*chunk))) {
                return *std::move(event);
            }
            continue;
        }
        if (std::holds_alternative<nothing_yet>(part)) {
            if (!has_passed(this->asked.deadline)) {
                return nothing_yet{};
            }
            return this->end_late();
        }
        if (auto* end = std::get_if<answer_end>(&part)) {
            if (this->services.record_completed) {
                this->services.record_completed(this->asked, this->current->agent(),
                                                this->first_token - this->started,
                                                absl::Now() - this->started, end->tokens);
            }
            this->current.reset();
            return *end;
        }
        if (std::optional<refusal> refused = this->resume(std::get<refusal>(part))) {
            return *std::move(refused);
        }
    }
}

refusal completion::end_late()
{
    this->current.reset();
    refusal late;
    late.code = refusal_code::deadline_exceeded;
    late.step = "read_answer";
    return late;
}

// Handles the event of the next token. Drops tokens that were received before; resumes the
// completion elsewhere if a token is missing.
std::optional<completion_part> completion::handle_chunk(response_chunkT chunk)
{
    if (chunk.token_index < this->received.size()) {
        return std::nullopt;
    }
    if (chunk.token_index > this->received.size()) {
        refusal gap;
        gap.code = refusal_code::protocol_error;
        gap.step = "read_answer";
        gap.message = absl::StrCat("received token index ", chunk.token_index, ", expected ",
                                   this->received.size());
        if (std::optional<refusal> refused = this->resume(gap)) {
            return *std::move(refused);
        }
        return std::nullopt;
    }
    if (this->received.empty()) {
        this->first_token = absl::Now();
        observe_seconds("sardine_first_token_seconds", {{"service", this->asked.entry->service}},
                        absl::ToDoubleSeconds(this->first_token - this->started));
    }
    this->received.emplace_back(chunk.data.begin(), chunk.data.end());
    return token_event{this->received.back()};
}

std::string completion::received_text() const
{
    std::string text;
    for (const std::string& event : this->received) {
        text += event_text(event);
    }
    return text;
}

std::string event_text(absl::string_view event_json)
{
    const json event = json::parse(event_json.begin(), event_json.end(), nullptr, false);
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() ||
        event["choices"].empty()) {
        return "";
    }
    const json& choice = event["choices"][0];
    if (choice.contains("text") && choice["text"].is_string()) {
        return choice["text"].get<std::string>();
    }
    if (choice.contains("delta") && choice["delta"].is_object()) {
        const json& delta = choice["delta"];
        if (delta.contains("content") && delta["content"].is_string()) {
            return delta["content"].get<std::string>();
        }
    }
    return "";
}

std::string assemble_completion(const caller_request& request,
                                const std::vector<std::string>& events)
{
    std::string text;
    json finish_reason = "stop";
    for (const std::string& event : events) {
        text += event_text(event);
    }
    if (!events.empty()) {
        const json last = json::parse(events.back(), nullptr, false);
        if (last.is_object() && last.contains("choices") && !last["choices"].empty() &&
            last["choices"][0].contains("finish_reason") &&
            last["choices"][0]["finish_reason"].is_string()) {
            finish_reason = last["choices"][0]["finish_reason"];
        }
    }
    json choice = {{"index", 0}, {"finish_reason", finish_reason}};
    if (request.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else {
        choice["text"] = text;
    }
    const json answer = {{"id", request.request_id},
                         {"object", request.chat ? "chat.completion" : "text_completion"},
                         {"created", absl::ToUnixSeconds(absl::Now())},
                         {"model", request.entry->service},
                         {"choices", json::array({choice})},
                         {"usage", {{"completion_tokens", events.size()}}}};
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace sardinestream::requests
