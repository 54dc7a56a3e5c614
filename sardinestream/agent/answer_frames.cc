#include "sardinestream/agent/answer_frames.h"

#include <algorithm>
#include <memory>

#include "sardinestream/base/metrics.h"
#include "sardinestream/requests/requests_generated.h"

namespace sardinestream::agent {
namespace {

constexpr std::size_t max_chunk_bytes = 64 << 10;
constexpr int http_ok = 200;

absl::Status send_chunk(wire::stream& exchange, std::uint32_t token_index, absl::string_view data)
{
    requests::response_chunkT chunk;
    chunk.token_index = token_index;
    chunk.data.assign(data.begin(), data.end());
    return exchange.send(wire::frame_type::response_chunk,
                         wire::encode<requests::response_chunk>(chunk));
}

absl::Status send_head(wire::stream& exchange, const requests::response_headT& head)
{
    return exchange.send(wire::frame_type::response_head,
                         wire::encode<requests::response_head>(head));
}

} // namespace

void send_refusal(wire::stream& exchange, const refusal& refused)
{
    count("sardine_agent_refusals_total", {{"code", std::string(to_string(refused.code))},
                                           {"outcome", std::string(to_string(refused.outcome))}});
    requests::request_refusedT message;
    message.code = static_cast<std::uint16_t>(refused.code);
    message.outcome = static_cast<std::uint8_t>(refused.outcome);
    message.retry_after_ms =
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(refused.retry_after));
    message.message = refused.message;
    message.step = refused.step;
    message.peer = refused.peer;
    exchange
        .send(wire::frame_type::request_refused, wire::encode<requests::request_refused>(message))
        .IgnoreError();
    exchange.finish();
}

void send_answer(wire::stream& exchange, const once::run_answer& answer, bool replayed)
{
    requests::response_headT head;
    head.status = static_cast<std::uint16_t>(answer.http_status);
    head.replayed = replayed;
    for (const auto& [name, value] : answer.headers) {
        auto passed = std::make_unique<requests::headerT>();
        passed->name = name;
        passed->value = value;
        head.headers.push_back(std::move(passed));
    }
    absl::Status sent = send_head(exchange, head);
    absl::string_view remaining = answer.body;
    while (sent.ok() && !remaining.empty()) {
        const absl::string_view piece = remaining.substr(0, max_chunk_bytes);
        remaining.remove_prefix(piece.size());
        sent = send_chunk(exchange, 0, piece);
    }
    if (sent.ok()) {
        send_end(exchange, 0);
    }
}

absl::Status send_admitted(wire::stream& exchange)
{
    requests::response_headT head;
    head.status = http_ok;
    return send_head(exchange, head);
}

absl::Status send_token(wire::stream& exchange, std::uint32_t token_index,
                        absl::string_view event_json)
{
    return send_chunk(exchange, token_index, event_json);
}

void send_end(wire::stream& exchange, std::uint32_t tokens)
{
    requests::response_endT end;
    end.tokens = tokens;
    exchange.send(wire::frame_type::response_end, wire::encode<requests::response_end>(end))
        .IgnoreError();
    exchange.finish();
}

} // namespace sardinestream::agent
