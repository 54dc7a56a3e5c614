#include "sardinestream/store/object_json.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/json_parts.h"
#include "sardinestream/base/log.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

using nlohmann::json;

constexpr char api_version[] = "sardinestream.dev/v1";
constexpr int http_gone = 410;

absl::Status malformed(absl::string_view what)
{
    return make_error(absl::StatusCode::kInternal, "parse_object", "platform", what);
}

json parse_text(absl::string_view text)
{
    return json::parse(text.begin(), text.end(), nullptr, false);
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Returns the number stored in `metadata` under `name`, either as a string or as a number; zero if
// there is none.
std::uint64_t number_in(const json& metadata, const char* name)
{
    auto found = metadata.find(name);
    if (found == metadata.end()) {
        return 0;
    }
    if (found->is_number_unsigned()) {
        return found->get<std::uint64_t>();
    }
    std::uint64_t number = 0;
    if (!found->is_string() || !absl::SimpleAtoi(found->get_ref<const std::string&>(), &number)) {
        return 0;
    }
    return number;
}

absl::StatusOr<object> object_from(absl::string_view kind, const json& value)
{
    if (!value.is_object() || !value.contains("metadata") || !value["metadata"].is_object()) {
        return malformed("object has no metadata");
    }
    const json& metadata = value["metadata"];
    auto name = metadata.find("name");
    if (name == metadata.end() || !name->is_string()) {
        return malformed("object metadata has no name");
    }
    object parsed;
    parsed.kind = std::string(kind);
    parsed.name = name->get<std::string>();
    parsed.version = number_in(metadata, "resourceVersion");
    parsed.generation = number_in(metadata, "generation");
    parsed.spec = value.contains("spec") ? dump(value["spec"]) : "{}";
    parsed.status = value.contains("status") ? dump(value["status"]) : "{}";
    return parsed;
}

json to_json(const object& written)
{
    json metadata = {{"name", written.name}, {"generation", written.generation}};
    if (written.version != 0) {
        metadata["resourceVersion"] = absl::StrCat(written.version);
    }
    return {{"apiVersion", api_version},
            {"kind", written.kind},
            {"metadata", std::move(metadata)},
            {"spec", parse_text(written.spec)},
            {"status", parse_text(written.status.empty() ? "{}" : written.status)}};
}

} // namespace

absl::StatusOr<object> parse_object(absl::string_view kind, absl::string_view body)
{
    return object_from(kind, parse_text(body));
}

std::string format_object(const object& written)
{
    return dump(to_json(written));
}

absl::StatusOr<object_list> parse_object_list(absl::string_view kind, absl::string_view body)
{
    // The objects are parsed one by one, so that one that is no JSON leaves the others readable.
    const absl::StatusOr<std::vector<json_member>> members = split_json_object(body);
    if (!members.ok()) {
        return malformed("not an object list");
    }
    const json metadata = parse_text(find_member(*members, "metadata"));
    const absl::StatusOr<std::vector<absl::string_view>> items =
        split_json_array(find_member(*members, "items"));
    if (!metadata.is_object() || !items.ok()) {
        return malformed("not an object list");
    }
    object_list parsed;
    parsed.version = number_in(metadata, "resourceVersion");
    if (const auto next = metadata.find("continue"); next != metadata.end() && !next->is_null()) {
        if (!next->is_string()) {
            return malformed("the continuation of the list is no text");
        }
        parsed.continuation = next->get<std::string>();
    }
    for (const absl::string_view item : *items) {
        absl::StatusOr<object> one = object_from(kind, parse_text(item));
        if (!one.ok()) {
            log_failure("object_unreadable", one.status(), {{"kind", kind}});
            continue;
        }
        parsed.objects.push_back(*std::move(one));
    }
    return parsed;
}

std::string format_object_list(absl::string_view kind, const object_list& written)
{
    json items = json::array();
    for (const object& one : written.objects) {
        items.push_back(to_json(one));
    }
    return dump({{"apiVersion", api_version},
                 {"kind", absl::StrCat(kind, "List")},
                 {"metadata", {{"resourceVersion", absl::StrCat(written.version)}}},
                 {"items", std::move(items)}});
}

absl::StatusOr<object_change> parse_change(absl::string_view kind, absl::string_view line)
{
    const json value = parse_text(line);
    if (!value.is_object() || !value.contains("type") || !value.contains("object")) {
        return malformed("not a watch event");
    }
    const std::string type = dump(value["type"]);
    if (type == "\"ERROR\"") {
        const bool gone =
            value["object"].is_object() && value["object"].value("code", 0) == http_gone;
        return make_error(gone ? absl::StatusCode::kOutOfRange : absl::StatusCode::kUnavailable,
                          "watch", "platform", "the platform ended the watch with an error");
    }
    absl::StatusOr<object> changed = object_from(kind, value["object"]);
    if (!changed.ok()) {
        return changed.status();
    }
    object_change parsed;
    parsed.change = type == "\"DELETED\"" ? change_kind::removed : change_kind::put;
    parsed.changed = *std::move(changed);
    return parsed;
}

std::string format_change(const object_change& written)
{
    const bool removed = written.change == change_kind::removed;
    return dump({{"type", removed ? "DELETED" : "MODIFIED"}, {"object", to_json(written.changed)}});
}

std::string format_error(int http_status, absl::string_view reason)
{
    return dump({{"kind", "Status"},
                 {"status", "Failure"},
                 {"reason", std::string(reason)},
                 {"code", http_status}});
}

std::string parse_error_reason(absl::string_view body)
{
    const json value = parse_text(body);
    if (!value.is_object()) {
        return {};
    }
    auto reason = value.find("reason");
    return reason != value.end() && reason->is_string() ? reason->get<std::string>() : "";
}

} // namespace sardinestream::platform
