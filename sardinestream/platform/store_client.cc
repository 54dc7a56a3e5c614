#include "sardinestream/platform/store_client.h"

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

using json = nlohmann::json;

stored_object decode_object(const json& object)
{
    stored_object decoded;
    const json& metadata = object.at("metadata");
    decoded.name = metadata.at("name").get<std::string>();
    decoded.revision = metadata.value("revision", std::int64_t{0});
    // Another writer's entry may contain invalid UTF-8. It is replaced here, and the decoder of the
    // kind then rejects the entry.
    decoded.specification =
        object.value("specification", json()).dump(-1, ' ', false, json::error_handler_t::replace);
    return decoded;
}

absl::Status unreadable(absl::string_view reason)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "store", reason);
}

} // namespace

store_client::store_client(const address& store) : http(store) {}

absl::StatusOr<std::string> store_client::get(const std::string& target,
                                              std::chrono::milliseconds timeout)
{
    absl::StatusOr<http_answer> response =
        this->http.call("GET", target, "", steady_clock::now() + timeout);
    if (!response.ok()) {
        return response.status();
    }
    constexpr int ok = 200;
    constexpr int gone = 410;
    if (response->status == ok) {
        return std::move(response->body);
    }
    const absl::StatusCode code =
        response->status == gone ? absl::StatusCode::kOutOfRange : absl::StatusCode::kUnavailable;
    return make_error(code, "call", "store", absl::StrCat("status ", response->status));
}

absl::StatusOr<object_list> store_client::list(absl::string_view kind,
                                               std::chrono::milliseconds timeout)
{
    object_list all;
    std::string after;
    while (true) {
        const std::string target = absl::StrCat(
            wire::objects_path, kind, after.empty() ? "" : absl::StrCat("?after=", after));
        absl::StatusOr<std::string> body = this->get(target, timeout);
        if (!body.ok()) {
            return body.status();
        }
        try {
            const json page = json::parse(*body);
            if (after.empty()) {
                all.revision = page.at("at").get<std::int64_t>();
            }
            for (const json& item : page.at("items")) {
                all.objects.push_back(decode_object(item));
            }
            if (!page.value("has-more", false) || all.objects.empty()) {
                return all;
            }
            after = all.objects.back().name;
        }
        catch (const json::exception& error) {
            return unreadable(error.what());
        }
    }
}

absl::StatusOr<change_list> store_client::watch(absl::string_view kind, std::int64_t revision,
                                                std::chrono::milliseconds max_wait,
                                                std::chrono::milliseconds timeout)
{
    const std::string target =
        absl::StrCat(wire::objects_path, kind, "?watch=", revision, "&wait-ms=", max_wait.count());
    absl::StatusOr<std::string> body = this->get(target, max_wait + timeout);
    if (!body.ok()) {
        return body.status();
    }
    try {
        const json response = json::parse(*body);
        change_list changes;
        changes.revision = response.at("at").get<std::int64_t>();
        for (const json& event : response.at("events")) {
            changes.changes.push_back(
                {decode_object(event.at("object")), event.value("removed", false)});
        }
        return changes;
    }
    catch (const json::exception& error) {
        return unreadable(error.what());
    }
}

} // namespace sardinestream::platform
