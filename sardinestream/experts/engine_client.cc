#include "sardinestream/experts/engine_client.h"

#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/bounded_body.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/http_status.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

using nlohmann::json;

constexpr int epoch_bits = 32;
constexpr int http_ok = 200;
constexpr std::size_t max_answer_bytes = 8 << 20;
constexpr int http_conflict = 409;
constexpr int http_unavailable = 503;

engine_map map_state_from(const json& parsed)
{
    engine_map map;
    map.epoch = parsed.at("epoch").get<std::uint64_t>();
    map.proposal_id = parsed.at("proposal_id").get<std::uint64_t>();
    map.from_step = parsed.at("from_step").get<std::uint64_t>();
    return map;
}

engine_state state_from(const json& parsed)
{
    engine_state state;
    state.engine_incarnation = parsed.at("engine_incarnation").get<std::uint64_t>();
    state.group_incarnation = parsed.at("group_incarnation").get<std::uint64_t>();
    state.step = parsed.at("step").get<std::uint64_t>();
    state.step_started = parsed.at("step_started").get<bool>();
    state.current = map_state_from(parsed.at("map"));
    state.staged_digest = parsed.at("staged_digest").get<std::string>();
    if (!parsed.at("due").is_null()) {
        state.due = map_state_from(parsed.at("due"));
    }
    if (!parsed.at("hold").is_null()) {
        state.hold = engine_hold{parsed.at("hold").at("step").get<std::uint64_t>(),
                                 parsed.at("hold").at("token").get<std::string>()};
    }
    return state;
}

engine_load load_from(const json& parsed)
{
    engine_load load;
    load.step = parsed.at("step").get<std::uint64_t>();
    load.tokens = parsed.at("tokens").get<std::vector<float>>();
    load.busy_us = parsed.at("busy_us").get<float>();
    load.step_us = parsed.at("step_us").get<float>();
    return load;
}

// Parses a response of the engine with `convert`, which may throw json::exception.
template <typename Convert>
auto parse_answer(absl::string_view step, absl::string_view peer, const std::string& text,
                  Convert convert) -> absl::StatusOr<decltype(convert(json()))>
{
    const json parsed = json::parse(text, nullptr, false);
    try {
        return convert(parsed);
    }
    catch (const json::exception&) {
        return make_error(absl::StatusCode::kInternal, step, peer, "answer is not understood");
    }
}

absl::StatusCode code_of(int http_status)
{
    switch (http_status) {
    case http_conflict:
        return absl::StatusCode::kFailedPrecondition;
    case http_unavailable:
        return absl::StatusCode::kUnavailable;
    default:
        return absl::StatusCode::kInternal;
    }
}

json map_order(const expert_mapT& map, std::uint64_t group_incarnation)
{
    return {{"fencing_number", fencing_number(group_incarnation, map.epoch)},
            {"group_incarnation", group_incarnation},
            {"map", json::parse(map_to_json(map))},
            {"digest", map_digest(map)}};
}

} // namespace

std::uint64_t fencing_number(std::uint64_t group_incarnation, std::uint64_t epoch)
{
    return (group_incarnation << epoch_bits) | epoch;
}

absl::StatusOr<std::unique_ptr<engine_client>> engine_client::create(const address& engine,
                                                                     absl::Duration timeout)
{
    if (engine.port == 0) {
        return make_error(absl::StatusCode::kInvalidArgument, "create_engine_client",
                          engine.to_string(), "port is zero");
    }
    return std::unique_ptr<engine_client>(new engine_client(engine, timeout));
}

engine_client::engine_client(const address& engine, absl::Duration timeout)
    : peer_name(engine.to_string()),
      client(std::make_unique<httplib::Client>(engine.ip, engine.port))
{
    const absl::MutexLock lock(&this->mutex);
    this->client->set_keep_alive(true);
    this->client->set_tcp_nodelay(true);
    this->client->set_connection_timeout(absl::ToChronoMilliseconds(timeout));
    this->client->set_read_timeout(absl::ToChronoMilliseconds(timeout));
    this->client->set_write_timeout(absl::ToChronoMilliseconds(timeout));
}

engine_client::~engine_client() = default;

absl::StatusOr<std::string> engine_client::get(absl::string_view step, const char* path)
{
    const absl::MutexLock lock(&this->mutex);
    bounded_body body(max_answer_bytes);
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    request.content_receiver = body.receiver();
    const httplib::Result result = this->client->send(request);
    if (!result) {
        return make_error(absl::StatusCode::kUnavailable, step, this->peer_name,
                          httplib::to_string(result.error()));
    }
    if (!is_final_status(result->status)) {
        return make_error(absl::StatusCode::kUnavailable, step, this->peer_name,
                          absl::StrCat("invalid status code ", result->status));
    }
    if (result->status != http_ok) {
        return make_error(code_of(result->status), step, this->peer_name, body.take());
    }
    return body.take();
}

absl::Status engine_client::post(absl::string_view step, const char* path, const std::string& body)
{
    const absl::MutexLock lock(&this->mutex);
    bounded_body answer(max_answer_bytes);
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.set_header("Content-Type", "application/json");
    request.content_receiver = answer.receiver();
    const httplib::Result result = this->client->send(request);
    if (!result) {
        count("sardine_engine_order_failures_total", {{"step", std::string(step)}});
        const bool not_sent = result.error() == httplib::Error::Connection;
        return make_error(not_sent ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown,
                          step, this->peer_name, httplib::to_string(result.error()));
    }
    if (result->status == http_ok) {
        return absl::OkStatus();
    }
    if (!is_final_status(result->status)) {
        // The engine may have carried out the order.
        count("sardine_engine_order_failures_total", {{"step", std::string(step)}});
        return make_error(absl::StatusCode::kUnknown, step, this->peer_name,
                          absl::StrCat("invalid status code ", result->status));
    }
    count("sardine_engine_order_refusals_total", {{"step", std::string(step)}});
    return make_error(code_of(result->status), step, this->peer_name, answer.take());
}

absl::StatusOr<engine_state> engine_client::read_state()
{
    absl::StatusOr<std::string> text = this->get("read_engine_state", "/v1/rank/state");
    if (!text.ok()) {
        return text.status();
    }
    return parse_answer("read_engine_state", this->peer_name, *text, state_from);
}

absl::StatusOr<engine_load> engine_client::read_load()
{
    absl::StatusOr<std::string> text = this->get("read_engine_load", "/v1/rank/load");
    if (!text.ok()) {
        return text.status();
    }
    return parse_answer("read_engine_load", this->peer_name, *text, load_from);
}

absl::StatusOr<expert_mapT> engine_client::read_map()
{
    absl::StatusOr<std::string> text = this->get("read_engine_map", "/v1/rank/map");
    if (!text.ok()) {
        return text.status();
    }
    return map_from_json(*text);
}

absl::Status engine_client::stage(const expert_mapT& map, std::uint64_t group_incarnation)
{
    return this->post("stage_weights", "/v1/rank/stage", map_order(map, group_incarnation).dump());
}

absl::Status engine_client::set_hold(const map_proposalT& proposal)
{
    const json order = {
        {"fencing_number", fencing_number(proposal.group_incarnation, proposal.map->epoch)},
        {"group_incarnation", proposal.group_incarnation},
        {"step", proposal.hold_step},
        {"token", proposal_to_token(proposal)}};
    return this->post("set_hold", "/v1/rank/hold", order.dump());
}

absl::Status engine_client::apply_map(const map_proposalT& proposal)
{
    json order = map_order(*proposal.map, proposal.group_incarnation);
    order["proposal_id"] = proposal.id;
    order["from_step"] = proposal.hold_step;
    return this->post("apply_map", "/v1/rank/map", order.dump());
}

absl::Status engine_client::release_hold(absl::string_view token)
{
    return this->post("release_hold", "/v1/rank/release",
                      json{{"token", std::string(token)}}.dump());
}

absl::Status engine_client::join_group(std::uint64_t group_incarnation, const expert_mapT& map)
{
    return this->post("join_group", "/v1/rank/join", map_order(map, group_incarnation).dump());
}

} // namespace sardinestream::experts
