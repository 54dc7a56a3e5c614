#include "sardinestream/platform/desired_state_decoder.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/json_parts.h"
#include "sardinestream/http/message.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

using json = nlohmann::json;

absl::Status bad_field(absl::string_view field, absl::string_view reason)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "store",
                      absl::StrCat(field, ": ", reason));
}

// Objects of other writers may be nested so deeply that reading them exhausts the stack.
constexpr int max_depth = 32;
// Short text may take many times its length once parsed; a sound value of the store, of up to 1 MB,
// stays below this.
constexpr std::size_t max_parsed_bytes = 24 << 20;
// More than any server has.
constexpr int max_slots = 1'000'000;
// Length to which a reason quotes unreadable text.
constexpr std::size_t max_reason = 200;

// Returns the value if it has the type and is in the range of `Value`; throws std::exception
// otherwise, as the parser does.
template <typename Value>
Value checked(const json& value, const char* field)
{
    if constexpr (std::is_integral_v<Value> && !std::is_same_v<Value, bool>) {
        constexpr double largest_exact = 9007199254740992.0; // 2^53
        const bool is_whole = value.is_number_float() &&
                              std::abs(value.get<double>()) <= largest_exact &&
                              std::trunc(value.get<double>()) == value.get<double>();
        const bool in_range = value.is_number_unsigned()
                                  ? std::in_range<Value>(value.get<std::uint64_t>())
                                  : (value.is_number_integer() || is_whole) &&
                                        std::in_range<Value>(value.get<std::int64_t>());
        if (!in_range) {
            throw std::out_of_range(absl::StrCat(field, " is no number, or out of range"));
        }
    }
    return value.get<Value>();
}

// Returns a mandatory field; throws std::exception if it is missing or has another type.
template <typename Value>
Value required(const json& object, const char* field)
{
    return checked<Value>(object.at(field), field);
}

template <typename Value>
Value optional_field(const json& object, const char* field, Value missing)
{
    const auto found = object.find(field);
    return found == object.end() || found->is_null() ? missing : checked<Value>(*found, field);
}

// Parses text that is neither nested too deeply nor too large once parsed; throws std::exception
// otherwise.
json parse(absl::string_view text)
{
    if (json_depth(text) > max_depth) {
        throw std::out_of_range("nested too deeply");
    }
    if (parsed_json_bytes(text) > max_parsed_bytes) {
        throw std::out_of_range("too large once parsed");
    }
    return json::parse(text.begin(), text.end());
}

std::chrono::milliseconds optional_ms(const json& object, const char* field,
                                      std::chrono::milliseconds missing)
{
    constexpr double max_ms = 1e12;
    const double value = optional_field(object, field, static_cast<double>(missing.count()));
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(value, 0.0, max_ms)));
}

request_kind decode_kind(const std::string& name)
{
    if (name == "idempotent") {
        return request_kind::idempotent;
    }
    // An unknown kind is treated as non-idempotent, so that such requests are never repeated.
    return name == "streaming" ? request_kind::streaming : request_kind::non_idempotent;
}

route decode_route(const json& object)
{
    route decoded;
    decoded.name = required<std::string>(object, "name");
    decoded.host = required<std::string>(object, "host");
    decoded.path_prefix = required<std::string>(object, "path-prefix");
    decoded.kind = decode_kind(required<std::string>(object, "kind"));
    decoded.timeout = optional_ms(object, "timeout-ms", decoded.timeout);
    decoded.latency_target = optional_ms(object, "target-latency-ms", decoded.latency_target);
    decoded.pause_target = optional_ms(object, "target-gap-ms", decoded.pause_target);
    decoded.max_attempts = std::max(1, optional_field(object, "attempts", 1));
    decoded.priority = optional_field(object, "priority", 0);
    decoded.is_public = optional_field(object, "public", false);
    decoded.resumable = optional_field(object, "stream-resumption", false);
    if (const auto split = object.find("traffic-split"); split != object.end()) {
        for (const json& part : *split) {
            decoded.services.push_back({required<std::string>(part, "service"),
                                        std::max(0.0, required<double>(part, "weight"))});
        }
    }
    if (decoded.services.empty()) {
        decoded.services.push_back({required<std::string>(object, "service"), 1});
    }
    return decoded;
}

// Return a field that only helps to estimate: zero if it is missing or no sensible number.
double bounded_number(const json& object, const char* field)
{
    constexpr double max_number = 1e9;
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number()) {
        return 0;
    }
    const double value = found->get<double>();
    return std::isfinite(value) && value >= 0 && value <= max_number ? value : 0;
}

int bounded_count(const json& object, const char* field)
{
    return static_cast<int>(bounded_number(object, field));
}

engine_model decode_engine(const json& object)
{
    engine_model decoded;
    decoded.slots = bounded_count(object, "slots");
    decoded.steps_per_pass = std::max(1, bounded_count(object, "stride"));
    decoded.step_ms = bounded_number(object, "step_ms");
    decoded.step_ms_per_request = bounded_number(object, "per_seq_ms");
    decoded.step_ms_per_1000_tokens = bounded_number(object, "context_per_k");
    decoded.read_tokens_per_s = bounded_number(object, "read_per_s");
    decoded.max_tokens_per_step = bounded_count(object, "chunk");
    decoded.memory_tokens = bounded_count(object, "kv-capacity-tokens");
    if (const auto usual = object.find("usual"); usual != object.end() && usual->is_object()) {
        decoded.usual_prompt_tokens = bounded_number(*usual, "prompt");
        decoded.usual_answer_tokens = bounded_number(*usual, "answer");
    }
    decoded.layer_sets = optional_field(object, "sets", 0);
    decoded.experts = optional_field(object, "experts", 0);
    decoded.places_per_rank = optional_field(object, "placements", 0);
    decoded.max_new_experts = optional_field(object, "spare", 0);
    decoded.expert_megabytes = optional_field(object, "expert-mb", 0.0);
    decoded.expert_share = optional_field(object, "expert-share", 0.0);
    decoded.link_megabits_per_s = optional_field(object, "link-mbps", 0.0);
    return decoded;
}

service_declaration decode_service(const json& object)
{
    service_declaration decoded;
    decoded.name = required<std::string>(object, "name");
    if (const auto engine = object.find("engine"); engine != object.end() && engine->is_object()) {
        decoded.has_engine = true;
        decoded.engine = decode_engine(*engine);
    }
    decoded.connection_limit = bounded_count(object, "connection-limit");
    decoded.cold_rate = bounded_number(object, "cold-per-s");
    constexpr double ms_per_s = 1000;
    decoded.cold_period = std::chrono::milliseconds(
        static_cast<std::int64_t>(bounded_number(object, "cold-start-s") * ms_per_s));
    return decoded;
}

void decode_cold_time(const json& object, server_entry& entry)
{
    constexpr double longest_ms = 600'000;
    const auto found = object.find("cold-remaining-ms");
    if (found == object.end() || found->is_null()) {
        return;
    }
    const double stated_ms = found->is_number() ? found->get<double>() : -1;
    entry.has_odd_cold_time = !(stated_ms >= 0 && stated_ms <= longest_ms);
    entry.cold_remaining = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::ceil(std::clamp(stated_ms, 0.0, longest_ms))));
}

request_limits decode_limits(const json& object)
{
    request_limits decoded;
    decoded.header_bytes = optional_field(object, "max-header-bytes", decoded.header_bytes);
    decoded.body_bytes = optional_field(object, "max-body-bytes", decoded.body_bytes);
    decoded.header_timeout = optional_ms(object, "header-timeout-ms", decoded.header_timeout);
    decoded.idle_timeout = optional_ms(object, "idle-timeout-ms", decoded.idle_timeout);
    return decoded;
}

void decode_teams(const json& list, desired_state& state)
{
    state.has_teams = true;
    for (const json& object : list) {
        team decoded;
        decoded.name = required<std::string>(object, "name");
        decoded.priority = optional_field(object, "priority", -1);
        team_declaration declared = {decoded.name, decoded.priority};
        for (const json& key : object.at("api-keys")) {
            const std::string text = key.get<std::string>();
            const auto holder = state.teams_by_key.find(text);
            if (holder != state.teams_by_key.end() && holder->second.name == decoded.name) {
                continue;
            }
            ++declared.keys;
            declared.keys_digest ^= stable_hash(text);
            declared.keys_of_earlier_teams += holder == state.teams_by_key.end() ? 0 : 1;
            state.teams_by_key[text] = decoded;
        }
        state.teams.push_back(std::move(declared));
    }
}

} // namespace

absl::StatusOr<std::shared_ptr<const desired_state>> decode_desired_state(absl::string_view text)
{
    try {
        const json document = parse(text);
        auto state = std::make_shared<desired_state>();
        state->version = required<std::int64_t>(document, "version");
        for (const json& object : document.at("routes")) {
            state->routes.push_back(decode_route(object));
        }
        for (const json& object : document.at("services")) {
            service_declaration decoded = decode_service(object);
            state->services.emplace(decoded.name, std::move(decoded));
        }
        if (const auto limits = document.find("limits"); limits != document.end()) {
            state->limits = decode_limits(*limits);
        }
        if (const auto teams = document.find("tenants"); teams != document.end()) {
            decode_teams(*teams, *state);
        }
        state->index_routes();
        return state;
    }
    catch (const std::exception& error) {
        return bad_field("desired state", absl::string_view(error.what()).substr(0, max_reason));
    }
}

absl::StatusOr<server_entry> decode_server_entry(absl::string_view id, absl::string_view text)
{
    if (!is_header_value(id)) {
        // Each request names the server that is to run it in a header.
        return bad_field("name", "not fit for a header");
    }
    try {
        const json object = parse(text);
        backend_server decoded;
        decoded.id = std::string(id);
        decoded.service = required<std::string>(object, "service");
        const absl::StatusOr<address> endpoint =
            parse_address(required<std::string>(object, "address"));
        if (!endpoint.ok() || endpoint->port == 0) {
            return bad_field("address", "not IP:PORT");
        }
        decoded.endpoint = *endpoint;
        decoded.data_centre = required<std::string>(object, "zone");
        decoded.slots = required<int>(object, "slots");
        if (decoded.slots < 1 || decoded.slots > max_slots) {
            return bad_field("slots", "not between 1 and 1,000,000");
        }
        const auto state = required<std::string>(object, "state");
        if (state != "ready" && state != "draining") {
            return bad_field("state", state);
        }
        decoded.draining = state == "draining";
        decoded.born_ms = optional_field<std::int64_t>(object, "born", 0);
        server_entry entry;
        entry.server = std::move(decoded);
        entry.sequence = optional_field<std::int64_t>(object, "sequence", 0);
        decode_cold_time(object, entry);
        return entry;
    }
    catch (const std::exception& error) {
        return bad_field("server entry", absl::string_view(error.what()).substr(0, max_reason));
    }
}

} // namespace sardinestream::platform
