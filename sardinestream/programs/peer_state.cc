#include "sardinestream/programs/peer_state.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"

namespace sardinestream {
namespace {

using json = nlohmann::json;

absl::Status unreadable(const json::exception& error)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "entry", error.what());
}

json encode_position(const store_position& position)
{
    return {{"revision", position.revision}, {"era", position.era}};
}

store_position decode_position(const json& object)
{
    return {object.at("revision").get<std::int64_t>(), object.at("era").get<std::int64_t>()};
}

json encode_server(const listed_server& listed)
{
    const backend_server& server = listed.server;
    return {{"id", server.id},
            {"position", encode_position(listed.position)},
            {"sequence", listed.sequence},
            {"born_ms", server.born_ms},
            {"endpoint", server.endpoint.to_string()},
            {"data_centre", server.data_centre},
            {"service", server.service},
            {"slots", server.slots},
            {"draining", server.draining},
            {"cold_ms", listed.cold_remaining.count()}};
}

// An entry of an older version states nothing.
std::chrono::milliseconds decode_cold_time(const json& object)
{
    constexpr std::chrono::milliseconds longest = std::chrono::minutes(10);
    const auto found = object.find("cold_ms");
    if (found == object.end() || !found->is_number_integer()) {
        return std::chrono::milliseconds(0);
    }
    return std::clamp(std::chrono::milliseconds(found->get<std::int64_t>()),
                      std::chrono::milliseconds(0), longest);
}

absl::StatusOr<listed_server> decode_server(const json& object)
{
    listed_server listed;
    listed.position = decode_position(object.at("position"));
    listed.sequence = object.at("sequence").get<std::int64_t>();
    backend_server& server = listed.server;
    server.id = object.at("id").get<std::string>();
    server.born_ms = object.at("born_ms").get<std::int64_t>();
    absl::StatusOr<address> endpoint = parse_address(object.at("endpoint").get<std::string>());
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    server.endpoint = *std::move(endpoint);
    server.data_centre = object.at("data_centre").get<std::string>();
    server.service = object.at("service").get<std::string>();
    server.slots = object.at("slots").get<int>();
    server.draining = object.at("draining").get<bool>();
    listed.cold_remaining = decode_cold_time(object);
    return listed;
}

// Returns the elements of `list` that `decode` can read, which may throw; the others are logged.
template <typename Value>
std::vector<Value> decode_readable(const json& list,
                                   const std::function<absl::StatusOr<Value>(const json&)>& decode)
{
    std::vector<Value> readable;
    for (const json& element : list) {
        absl::StatusOr<Value> decoded;
        try {
            decoded = decode(element);
        }
        catch (const json::exception& error) {
            decoded = unreadable(error);
        }
        if (!decoded.ok()) {
            log_failure("peer_server_unreadable", decoded.status());
            continue;
        }
        readable.push_back(*std::move(decoded));
    }
    return readable;
}

json encode_departed(const departed_server& left)
{
    return {{"id", left.id},
            {"position", encode_position(left.position)},
            {"sequence", left.sequence},
            {"born_ms", left.born_ms},
            {"age_ms", left.age.count()}};
}

absl::StatusOr<departed_server> decode_departed(const json& object)
{
    return departed_server{
        object.at("id").get<std::string>(), object.at("born_ms").get<std::int64_t>(),
        object.at("sequence").get<std::int64_t>(), decode_position(object.at("position")),
        std::chrono::milliseconds(object.at("age_ms").get<std::int64_t>())};
}

absl::StatusOr<std::string> decode_text(const json& value)
{
    return value.get<std::string>();
}

absl::StatusOr<shared_evacuations::kept_evacuation> decode_kept(const json& object)
{
    return shared_evacuations::kept_evacuation{
        object.at("data_centre").get<std::string>(),
        std::chrono::milliseconds(object.at("remaining_ms").get<std::int64_t>())};
}

} // namespace

std::string encode_document(const stored_document& document)
{
    return json{{"text", document.text}, {"revision", document.revision}}.dump();
}

absl::StatusOr<stored_document> decode_document(absl::string_view text)
{
    try {
        const json object = json::parse(text.begin(), text.end());
        return stored_document{object.at("text").get<std::string>(),
                               object.at("revision").get<std::int64_t>()};
    }
    catch (const json::exception& error) {
        return unreadable(error);
    }
}

std::string encode_servers(const shared_servers& servers)
{
    json object = {{"position", encode_position(servers.listed.position)},
                   {"servers", json::array()},
                   {"departed", json::array()}};
    for (const listed_server& listed : servers.listed.servers) {
        object["servers"].push_back(encode_server(listed));
    }
    for (const departed_server& left : servers.departed) {
        object["departed"].push_back(encode_departed(left));
    }
    return object.dump();
}

absl::StatusOr<shared_servers> decode_servers(absl::string_view text)
{
    try {
        const json object = json::parse(text.begin(), text.end());
        shared_servers servers;
        servers.listed.position = decode_position(object.at("position"));
        servers.listed.servers =
            decode_readable<listed_server>(object.at("servers"), decode_server);
        servers.departed = decode_readable<departed_server>(object.at("departed"), decode_departed);
        return servers;
    }
    catch (const json::exception& error) {
        return unreadable(error);
    }
}

std::string encode_evacuations(const shared_evacuations& evacuations)
{
    json object = {{"position", encode_position(evacuations.position)},
                   {"changed", encode_position(evacuations.changed)},
                   {"data_centres", evacuations.data_centres},
                   {"kept", json::array()}};
    for (const shared_evacuations::kept_evacuation& kept : evacuations.kept) {
        object["kept"].push_back(
            {{"data_centre", kept.data_centre}, {"remaining_ms", kept.remaining.count()}});
    }
    // Names come from other writers and may be no UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<shared_evacuations> decode_evacuations(absl::string_view text)
{
    try {
        const json object = json::parse(text.begin(), text.end());
        shared_evacuations evacuations;
        evacuations.position = decode_position(object.at("position"));
        evacuations.changed = decode_position(object.at("changed"));
        evacuations.data_centres =
            decode_readable<std::string>(object.at("data_centres"), decode_text);
        evacuations.kept =
            decode_readable<shared_evacuations::kept_evacuation>(object.at("kept"), decode_kept);
        return evacuations;
    }
    catch (const json::exception& error) {
        return unreadable(error);
    }
}

} // namespace sardinestream
