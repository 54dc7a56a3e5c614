#include "sardinestream/platform/engine_calls.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/http/http_client.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

using json = nlohmann::json;

// Short, because the engine is on this machine or on one of the same group.
constexpr std::chrono::milliseconds call_timeout{100};
// Short, because an engine answers an order immediately or not at all, and the group may be waiting
// while a map switch is in progress.
constexpr std::chrono::milliseconds order_timeout{40};
constexpr int http_ok = 200;
constexpr int http_accepted = 202;

absl::Status unreadable(absl::string_view what, absl::string_view reason)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "engine",
                      absl::StrCat(what, ": ", reason));
}

absl::StatusOr<json> get_json(http_client& http, const std::string& target)
{
    absl::StatusOr<http_answer> response =
        http.call("GET", target, "", steady_clock::now() + call_timeout);
    if (!response.ok()) {
        return response.status();
    }
    if (response->status != http_ok) {
        return make_error(absl::StatusCode::kUnavailable, "call", "engine",
                          absl::StrCat("status ", response->status));
    }
    if (!response->reserve_parsed()) {
        return unreadable(target, "too large to be parsed");
    }
    json parsed = json::parse(response->body, nullptr, false);
    if (parsed.is_discarded()) {
        return unreadable(target, "not JSON");
    }
    return parsed;
}

std::int64_t number_or(const json& object, const char* field, std::int64_t missing)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number() ? found->get<std::int64_t>() : missing;
}

rank_report decode_maps(const json& object)
{
    rank_report maps;
    maps.epoch = object.at("group").at("epoch").get<std::int64_t>();
    maps.step = number_or(object, "step", 0);
    maps.map_version = number_or(object, "map", 0);
    maps.prepared_version = number_or(object, "prepared", 0);
    if (const auto armed = object.find("armed"); armed != object.end() && armed->is_object()) {
        maps.armed = armed_switch{armed->at("version").get<std::int64_t>(),
                                  armed->at("step").get<std::int64_t>()};
    }
    if (const auto held = object.find("held"); held != object.end() && held->is_number()) {
        maps.held_step = held->get<std::int64_t>();
    }
    return maps;
}

absl::StatusOr<engine_report> decode_report(const json& object)
{
    try {
        engine_report decoded;
        decoded.running = object.at("running").get<int>();
        decoded.waiting = object.at("waiting").get<int>();
        decoded.slowness = object.value("pace", 1.0);
        if (const auto group = object.find("group"); group != object.end() && group->is_object()) {
            decoded.group = group->at("name").get<std::string>();
            decoded.rank = group->at("rank").get<int>();
            decoded.broken = group->at("state").get<std::string>() != "open";
            decoded.group_size = object.at("size").get<int>();
            decoded.map_report = decode_maps(object);
        }
        return decoded;
    }
    catch (const json::exception& error) {
        return unreadable("report", error.what());
    }
}

absl::StatusOr<std::vector<std::int64_t>> read_counts(http_client& http)
{
    absl::StatusOr<json> response = get_json(http, wire::expert_counts_path);
    if (!response.ok()) {
        return response.status();
    }
    try {
        return response->at("counts").get<std::vector<std::int64_t>>();
    }
    catch (const json::exception& error) {
        return unreadable("counts", error.what());
    }
}

absl::StatusOr<rank_experts> read_experts(http_client& http)
{
    absl::StatusOr<json> response =
        get_json(http, absl::StrCat(wire::expert_counts_path, "?lists=1"));
    if (!response.ok()) {
        return response.status();
    }
    try {
        return response->at("map").at("experts").get<rank_experts>();
    }
    catch (const json::exception& error) {
        return unreadable("experts", error.what());
    }
}

json encode_map(const expert_map& map)
{
    json sets = json::array();
    for (int set = 0; set < map.shape().sets; ++set) {
        json ranks = json::array();
        for (int rank = 0; rank < map.shape().ranks; ++rank) {
            ranks.push_back(map.experts_of(set, rank));
        }
        sets.push_back(std::move(ranks));
    }
    return sets;
}

std::string encode_order(const engine_order& order)
{
    json body = {{"epoch", order.epoch}};
    switch (order.kind) {
    case order_kind::prepare:
        body["operation"] = "prepare";
        body["version"] = order.version;
        body["map"] = encode_map(order.map);
        break;
    case order_kind::arm:
        body["operation"] = "arm";
        body["version"] = order.version;
        body["step"] = order.step;
        break;
    case order_kind::hold:
        body["operation"] = "hold";
        body["step"] = order.step;
        break;
    case order_kind::release:
        body["operation"] = "go";
        body["step"] = order.step;
        break;
    }
    return body.dump();
}

order_outcome send_order(http_client& http, const engine_order& order)
{
    const absl::StatusOr<http_answer> response = http.call(
        "POST", wire::order_path, encode_order(order), steady_clock::now() + order_timeout);
    if (!response.ok()) {
        log_failure("order_unanswered", response.status(), {{"version", order.version}});
        return order_outcome::no_answer;
    }
    return response->status == http_ok || response->status == http_accepted
               ? order_outcome::accepted
               : order_outcome::refused;
}

} // namespace

absl::StatusOr<engine_report> decode_engine_report(absl::string_view text)
{
    const json parsed = json::parse(text.begin(), text.end(), nullptr, false);
    if (parsed.is_discarded()) {
        return unreadable("report", "not JSON");
    }
    return decode_report(parsed);
}

engine_interface connect_engine(const address& engine)
{
    const auto http = std::make_shared<http_client>(engine);
    engine_interface calls;
    calls.read_report = [http]() -> absl::StatusOr<engine_report> {
        absl::StatusOr<json> response = get_json(*http, wire::report_path);
        if (!response.ok()) {
            return response.status();
        }
        return decode_report(*response);
    };
    calls.read_counts = [http] { return read_counts(*http); };
    calls.read_experts = [http] { return read_experts(*http); };
    calls.send_order = [http](const engine_order& order) { return send_order(*http, order); };
    return calls;
}

} // namespace sardinestream::platform
