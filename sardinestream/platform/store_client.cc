#include "sardinestream/platform/store_client.h"

#include <iterator>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/json_parts.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/percent_encoding.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

// Length to which unreadable text is quoted in errors.
constexpr std::size_t max_quoted = 80;
// Names are kept as long as their objects, and some for minutes longer.
constexpr std::size_t max_name_bytes = 1024;
// A store whose lists have more pages than this, of about 500 objects each, is in trouble.
constexpr int max_list_pages = 200;

using json = nlohmann::json;

absl::Status unreadable(absl::string_view reason)
{
    return make_error(absl::StatusCode::kInvalidArgument, "decode", "store", reason);
}

absl::StatusOr<std::int64_t> decode_integer(absl::string_view text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number)
               ? absl::StatusOr<std::int64_t>(number)
               : unreadable(absl::StrCat("not an integer: ", text.substr(0, max_quoted)));
}

// Decodes what the store says of an object. Its specification stays as it was written: only the
// decoder of its kind reads it, and may find that another writer left something unreadable.
absl::StatusOr<stored_object> decode_object(absl::string_view text)
{
    const absl::StatusOr<std::vector<json_member>> object = split_json_object(text);
    if (!object.ok()) {
        return object.status();
    }
    const absl::StatusOr<std::vector<json_member>> metadata =
        split_json_object(find_member(*object, "metadata"));
    if (!metadata.ok()) {
        return metadata.status();
    }
    const absl::string_view raw_name = find_member(*metadata, "name");
    const json name = json::parse(raw_name.begin(), raw_name.end(), nullptr, false);
    if (!name.is_string()) {
        return unreadable("object without a name");
    }
    if (raw_name.size() > max_name_bytes) {
        return unreadable("object with an overlong name");
    }
    const absl::StatusOr<std::int64_t> revision =
        decode_integer(find_member(*metadata, "revision"));
    if (!revision.ok()) {
        return revision.status();
    }
    return stored_object{name.get<std::string>(), *revision,
                         std::string(find_member(*object, "specification"))};
}

absl::Status too_long(absl::string_view what)
{
    return make_error(absl::StatusCode::kResourceExhausted, "decode", "store",
                      absl::StrCat(what, " too long"));
}

void log_odd_object(const absl::Status& error)
{
    count("sardine_unreadable_objects_total");
    log_failure("object_unreadable", error);
}

absl::Status history_changed()
{
    return make_error(absl::StatusCode::kOutOfRange, "call", "store",
                      "the store was restored from an older copy");
}

// An answer of the store whose objects have not been read yet.
struct raw_answer {
    std::int64_t revision = 0;
    std::vector<json_member> members;
    std::vector<absl::string_view> parts;
};

// Splits an answer; its objects or events are the elements of `parts_name`.
absl::StatusOr<raw_answer> split_answer(absl::string_view body, absl::string_view parts_name)
{
    absl::StatusOr<std::vector<json_member>> members = split_json_object(body);
    if (!members.ok()) {
        return members.status();
    }
    const absl::StatusOr<std::int64_t> revision = decode_integer(find_member(*members, "at"));
    if (!revision.ok()) {
        return revision.status();
    }
    absl::StatusOr<std::vector<absl::string_view>> parts =
        split_json_array(find_member(*members, parts_name));
    if (!parts.ok()) {
        return parts.status();
    }
    return raw_answer{*revision, *std::move(members), *std::move(parts)};
}

struct list_page {
    std::vector<stored_object> objects;
    // What `objects` take.
    std::size_t bytes = 0;
    std::int64_t revision = 0;
    bool has_more = false;
    // The name of the last object that has a readable one.
    std::string last_name;
};

absl::StatusOr<list_page> decode_page(absl::string_view body)
{
    const absl::StatusOr<raw_answer> answer = split_answer(body, "items");
    if (!answer.ok()) {
        return answer.status();
    }
    list_page page;
    page.revision = answer->revision;
    page.has_more = find_member(answer->members, "has-more") == "true";
    for (const absl::string_view item : answer->parts) {
        absl::StatusOr<stored_object> object = decode_object(item);
        if (!object.ok()) {
            log_odd_object(object.status());
            continue;
        }
        page.last_name = object->name;
        page.bytes += sizeof(stored_object) + object->name.size() + object->specification.size();
        page.objects.push_back(*std::move(object));
    }
    return page;
}

absl::StatusOr<object_change> decode_change(absl::string_view event)
{
    const absl::StatusOr<std::vector<json_member>> members = split_json_object(event);
    if (!members.ok()) {
        return members.status();
    }
    absl::StatusOr<stored_object> object = decode_object(find_member(*members, "object"));
    if (!object.ok()) {
        return object.status();
    }
    return object_change{*std::move(object), find_member(*members, "removed") == "true"};
}

absl::StatusOr<change_list> decode_changes(absl::string_view body, std::int64_t era)
{
    const absl::StatusOr<raw_answer> answer = split_answer(body, "events");
    if (!answer.ok()) {
        return answer.status();
    }
    change_list changes;
    changes.position = {answer->revision, era};
    for (const absl::string_view event : answer->parts) {
        absl::StatusOr<object_change> change = decode_change(event);
        if (!change.ok()) {
            log_odd_object(change.status());
            continue;
        }
        changes.changes.push_back(*std::move(change));
    }
    return changes;
}

} // namespace

store_client::store_client(const address& store) : http(store) {}

absl::StatusOr<http_answer> store_client::get(const std::string& target,
                                              std::chrono::milliseconds timeout)
{
    absl::StatusOr<http_answer> response =
        this->http.call("GET", target, "", steady_clock::now() + timeout);
    if (absl::IsInvalidArgument(response.status())) {
        // No response at all, unlike one whose content cannot be read, for which another list
        // helps.
        return make_error(absl::StatusCode::kUnavailable, "call", "store",
                          response.status().message());
    }
    if (!response.ok()) {
        return response.status();
    }
    this->read_era(*response);
    constexpr int ok = 200;
    constexpr int gone = 410;
    if (response->status == ok) {
        // The specifications are copied.
        const bool fits = response->memory->resize(2 * response->body.capacity());
        return fits ? std::move(response) : too_long("answer");
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
    all.memory = std::make_shared<message_memory_reservation>(own_call_memory(), "store list");
    std::size_t bytes = 0;
    std::string after;
    for (int pages = 0; pages < max_list_pages; ++pages) {
        const std::string target =
            absl::StrCat(wire::objects_path, kind,
                         after.empty() ? "" : absl::StrCat("?after=", percent_encode(after)));
        const absl::StatusOr<http_answer> answer = this->get(target, timeout);
        if (!answer.ok()) {
            return answer.status();
        }
        absl::StatusOr<list_page> page = decode_page(answer->body);
        if (!page.ok()) {
            return page.status();
        }
        if (after.empty()) {
            all.position = {page->revision, this->era};
        }
        if (this->era != all.position.era) {
            return history_changed();
        }
        bytes += page->bytes;
        if (!all.memory->resize(bytes)) {
            return too_long("list");
        }
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(all.objects));
        if (!page->has_more || page->last_name.empty()) {
            all.restored = this->last.revision > 0 && !continues(this->last, all.position);
            this->last = all.position;
            return all;
        }
        after = page->last_name;
    }
    return too_long("list");
}

absl::StatusOr<change_list> store_client::watch(absl::string_view kind,
                                                const store_position& position,
                                                std::chrono::milliseconds max_wait,
                                                std::chrono::milliseconds timeout)
{
    const std::string target = absl::StrCat(wire::objects_path, kind, "?watch=", position.revision,
                                            "&wait-ms=", max_wait.count());
    const absl::StatusOr<http_answer> answer = this->get(target, max_wait + timeout);
    if (!answer.ok()) {
        return answer.status();
    }
    absl::StatusOr<change_list> changes = decode_changes(answer->body, this->era);
    if (!changes.ok()) {
        return changes.status();
    }
    if (!continues(position, changes->position)) {
        return history_changed();
    }
    this->last = changes->position;
    changes->memory = answer->memory;
    return changes;
}

} // namespace sardinestream::platform
