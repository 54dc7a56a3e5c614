#include "sardinestream/platform/store_client.h"

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
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

absl::Status history_changed()
{
    return make_error(absl::StatusCode::kOutOfRange, "call", "store",
                      "the store was restored from an older copy");
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
    this->read_era(*response);
    constexpr int ok = 200;
    constexpr int gone = 410;
    if (response->status == ok) {
        return std::move(response->body);
    }
    const absl::StatusCode code =
        response->status == gone ? absl::StatusCode::kOutOfRange : absl::StatusCode::kUnavailable;
    return make_error(code, "call", "store", absl::StrCat("status ", response->status));
}

void store_client::read_era(const http_answer& answer)
{
    const std::optional<absl::string_view> named = find_header(answer.headers, wire::store_era);
    if (!named.has_value()) {
        return;
    }
    const absl::string_view text = absl::StripAsciiWhitespace(*named);
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(text, &number) || number < 0) {
        log_event("store_era_unreadable", {{"era", text}, {"last", this->era}});
        return;
    }
    if (number != this->era) {
        log_event("store_era", {{"era", number}, {"last", this->era}});
        this->era = number;
    }
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
                all.position = {page.at("at").get<std::int64_t>(), this->era};
            }
            if (this->era != all.position.era) {
                return history_changed();
            }
            for (const json& item : page.at("items")) {
                all.objects.push_back(decode_object(item));
            }
            if (!page.value("has-more", false) || all.objects.empty()) {
                all.restored = this->last.revision > 0 && !continues(this->last, all.position);
                this->last = all.position;
                return all;
            }
            after = all.objects.back().name;
        }
        catch (const json::exception& error) {
            return unreadable(error.what());
        }
    }
}

absl::StatusOr<change_list> store_client::watch(absl::string_view kind,
                                                const store_position& position,
                                                std::chrono::milliseconds max_wait,
                                                std::chrono::milliseconds timeout)
{
    const std::string target = absl::StrCat(wire::objects_path, kind, "?watch=", position.revision,
                                            "&wait-ms=", max_wait.count());
    absl::StatusOr<std::string> body = this->get(target, max_wait + timeout);
    if (!body.ok()) {
        return body.status();
    }
    try {
        const json response = json::parse(*body);
        change_list changes;
        changes.position = {response.at("at").get<std::int64_t>(), this->era};
        if (!continues(position, changes.position)) {
            return history_changed();
        }
        for (const json& event : response.at("events")) {
            changes.changes.push_back(
                {decode_object(event.at("object")), event.value("removed", false)});
        }
        this->last = changes.position;
        return changes;
    }
    catch (const json::exception& error) {
        return unreadable(error.what());
    }
}

} // namespace sardinestream::platform
