#include "sardinestream/programs/peer_state.h"

#include <algorithm>

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

absl::StatusOr<listed_server> decode_server_or_error(const json& object)
{
    try {
        return decode_server(object);
    }
    catch (const json::exception& error) {
        return unreadable(error);
    }
}

json encode_departed(const departed_server& left)
{
    return {{"id", left.id},
            {"position", encode_position(left.position)},
            {"sequence", left.sequence},
            {"born_ms", left.born_ms},
            {"age_ms", left.age.count()}};
}

departed_server decode_departed(const json& object)
{
    return {object.at("id").get<std::string>(), object.at("born_ms").get<std::int64_t>(),
            object.at("sequence").get<std::int64_t>(), decode_position(object.at("position")),
            std::chrono::milliseconds(object.at("age_ms").get<std::int64_t>())};
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
        for (const json& entry : object.at("servers")) {
            absl::StatusOr<listed_server> listed = decode_server_or_error(entry);
            if (!listed.ok()) {
                log_failure("peer_server_unreadable", listed.status());
                continue;
            }
            servers.listed.servers.push_back(*std::move(listed));
        }
        for (const json& entry : object.at("departed")) {
            servers.departed.push_back(decode_departed(entry));
        }
        return servers;
    }
    catch (const json::exception& error) {
        return unreadable(error);
    }
}

} // namespace sardinestream
