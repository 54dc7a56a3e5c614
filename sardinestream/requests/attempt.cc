#include "sardinestream/requests/attempt.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "sardinestream/base/error.h"

namespace sardinestream::requests {
namespace {

constexpr absl::Duration retry_after_lost_agent = absl::Seconds(1);

std::uint32_t remaining_ms(steady_deadline deadline)
{
    const std::int64_t left = absl::ToInt64Milliseconds(time_left(deadline));
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(left, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

refusal refusal_of_gone_caller(absl::string_view step)
{
    refusal refused;
    refused.code = refusal_code::cancelled;
    refused.step = std::string(step);
    return refused;
}

request_openT make_request_open(const caller_request& request)
{
    request_openT message;
    message.request_id = request.request_id;
    message.team = request.entry->owner;
    message.service = request.entry->service;
    message.model_work = request.entry->work == catalogue::work_class::model;
    message.method = request.method;
    message.path = request.path;
    for (const auto& [name, value] : request.headers) {
        auto passed = std::make_unique<headerT>();
        passed->name = name;
        passed->value = value;
        message.headers.push_back(std::move(passed));
    }
    message.body.assign(request.body.begin(), request.body.end());
    message.remaining_ms = remaining_ms(request.deadline);
    message.priority = static_cast<std::uint8_t>(request.priority);
    message.fingerprint = request.fingerprint().to_hex();
    return message;
}

attempt::attempt(std::shared_ptr<membership::peer> agent, std::shared_ptr<wire::stream> opened)
    : agent_peer(std::move(agent)), agent_stream(std::move(opened))
{
    ++this->agent_peer->in_flight;
    if (this->agent_peer->on_request_sent) {
        this->agent_peer->on_request_sent();
    }
}

attempt::~attempt()
{
    --this->agent_peer->in_flight;
    if (this->agent_peer->on_request_ended) {
        this->agent_peer->on_request_ended();
    }
}

attempt_result attempt::start(std::shared_ptr<membership::peer> agent, const request_openT& message,
                              steady_deadline deadline, const caller_check& caller_has_gone)
{
    std::shared_ptr<wire::stream> opened = agent->link->open_stream();
    std::unique_ptr<attempt> made(new attempt(std::move(agent), std::move(opened)));
    const absl::Status sent = made->agent_stream->send(wire::frame_type::request_open,
                                                       wire::encode<request_open>(message));
    if (absl::IsCancelled(sent)) {
        return refuse_not_run(refusal_code::no_backend_server, "send_request", sent.message());
    }
    if (!sent.ok()) {
        return made->refusal_of_lost_agent("send_request", sent);
    }
    if (std::optional<refusal> refused = made->wait_until_admitted(deadline, caller_has_gone)) {
        return *std::move(refused);
    }
    return made;
}

std::optional<refusal> attempt::wait_until_admitted(steady_deadline deadline,
                                                    const caller_check& caller_has_gone)
{
    absl::StatusOr<wire::frame> first;
    do {
        if (caller_has_gone && caller_has_gone()) {
            return refusal_of_gone_caller("wait_admission");
        }
        first = this->agent_stream->receive(absl::Now() +
                                            std::min(time_left(deadline), caller_check_interval));
    } while (absl::IsDeadlineExceeded(first.status()) && !has_passed(deadline));
    if (!first.ok()) {
        return this->refusal_of_lost_agent("wait_admission", first.status());
    }
    if (first->header.type == wire::frame_type::request_refused) {
        this->agent_stream->finish();
        return this->decode_refusal(first->payload);
    }
    absl::StatusOr<response_headT> head = wire::decode<response_head>(first->payload);
    if (first->header.type != wire::frame_type::response_head || !head.ok()) {
        return this->refusal_of_lost_agent("wait_admission", head.status());
    }
    this->admitted_head = *std::move(head);
    return std::nullopt;
}

answer_part attempt::next(absl::Time until)
{
    absl::StatusOr<wire::frame> received = this->agent_stream->receive(until);
    if (absl::IsDeadlineExceeded(received.status())) {
        return nothing_yet{};
    }
    if (!received.ok()) {
        return this->refusal_of_lost_agent("read_answer", received.status());
    }
    if (received->header.type == wire::frame_type::response_chunk) {
        absl::StatusOr<response_chunkT> chunk = wire::decode<response_chunk>(received->payload);
        if (!chunk.ok()) {
            return this->refusal_of_lost_agent("read_answer", chunk.status());
        }
        return *std::move(chunk);
    }
    this->agent_stream->finish();
    if (received->header.type == wire::frame_type::request_refused) {
        return this->decode_refusal(received->payload);
    }
    absl::StatusOr<response_endT> end = wire::decode<response_end>(received->payload);
    if (received->header.type != wire::frame_type::response_end || !end.ok()) {
        return this->refusal_of_lost_agent("read_answer", end.status());
    }
    return answer_end{end->tokens};
}

refusal attempt::refusal_of_lost_agent(absl::string_view step, const absl::Status& why) const
{
    refusal refused;
    refused.code = absl::IsDeadlineExceeded(why) ? refusal_code::deadline_exceeded
                                                 : refusal_code::backend_lost;
    refused.outcome = run_outcome::unknown;
    refused.retry_after = retry_after_lost_agent;
    refused.message = std::string(why.message());
    refused.step = std::string(step);
    refused.peer = this->agent_peer->identity().id;
    return refused;
}

refusal attempt::decode_refusal(absl::string_view payload) const
{
    absl::StatusOr<request_refusedT> said = wire::decode<request_refused>(payload);
    if (!said.ok()) {
        return this->refusal_of_lost_agent("read_refusal", said.status());
    }
    refusal refused;
    refused.code = refusal_code_from(said->code);
    refused.outcome = said->outcome <= static_cast<std::uint8_t>(run_outcome::ran)
                          ? static_cast<run_outcome>(said->outcome)
                          : run_outcome::unknown;
    refused.retry_after = absl::Milliseconds(said->retry_after_ms);
    refused.message = said->message;
    refused.step = said->step;
    refused.peer = this->agent_peer->identity().id;
    return refused;
}

} // namespace sardinestream::requests
