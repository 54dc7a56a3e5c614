#include "sardinestream/programs/peer_state.h"

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"

namespace sardinestream {
namespace {

using json = nlohmann::json;

absl::Status unreadable(const json::exception& error)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "entry", error.what());
}

json encode_server(const listed_server& listed)
{
    const backend_server& server = listed.server;
    return {{"id", server.id},
            {"revision", listed.revision},
            {"born_ms", server.born_ms},
            {"endpoint", server.endpoint.to_string()},
            {"data_centre", server.data_centre},
            {"service", server.service},
            {"slots", server.slots},
            {"draining", server.draining}};
}

absl::StatusOr<listed_server> decode_server(const json& object)
{
    listed_server listed;
    listed.revision = object.at("revision").get<std::int64_t>();
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
    return listed;
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

std::string encode_servers(const server_list& list)
{
    json object = {{"revision", list.revision}, {"servers", json::array()}};
    for (const listed_server& listed : list.servers) {
        object["servers"].push_back(encode_server(listed));
    }
    return object.dump();
}

absl::StatusOr<server_list> decode_servers(absl::string_view text)
{
    try {
        const json object = json::parse(text.begin(), text.end());
        server_list list;
        list.revision = object.at("revision").get<std::int64_t>();
        for (const json& entry : object.at("servers")) {
            absl::StatusOr<listed_server> listed = decode_server(entry);
            if (!listed.ok()) {
                return listed.status();
            }
            list.servers.push_back(*std::move(listed));
        }
        return list;
    }
    catch (const json::exception& error) {
        return unreadable(error);
    }
}

} // namespace sardinestream
