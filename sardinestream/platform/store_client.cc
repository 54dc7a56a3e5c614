#include "sardinestream/platform/store_client.h"

#include <iterator>
#include <optional>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/json_parts.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/percent_encoding.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
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

// The parts of an object that have not been decoded yet.
struct raw_object {
    // As written, with quotes and escape sequences.
    absl::string_view name;
    absl::string_view revision;
    absl::string_view specification;
};

absl::StatusOr<raw_object> split_object(absl::string_view text)
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
    return raw_object{find_member(*metadata, "name"), find_member(*metadata, "revision"),
                      find_member(*object, "specification")};
}

std::optional<std::string> decode_name(absl::string_view raw)
{
    const json name = json::parse(raw.begin(), raw.end(), nullptr, false);
    return name.is_string() ? std::optional(name.get<std::string>()) : std::nullopt;
}

// Returns the name by which a list continues, which may be no text of any encoding; empty if it
// cannot be told.
std::string decode_name_bytes(absl::string_view raw)
{
    std::optional<std::string> name = decode_name(raw);
    if (name.has_value()) {
        return *std::move(name);
    }
    const bool is_quoted = raw.size() >= 2 && raw.front() == '"' && raw.back() == '"';
    return is_quoted && !absl::StrContains(raw, '\\') ? std::string(raw.substr(1, raw.size() - 2))
                                                      : "";
}

// Decodes what the store says of an object. Its specification stays as it was written: only the
// decoder of its kind reads it, and may find that another writer left something unreadable.
absl::StatusOr<stored_object> decode_object(const raw_object& raw, std::size_t max_specification)
{
    std::optional<std::string> name = decode_name(raw.name);
    if (!name.has_value()) {
        return unreadable("object without a name");
    }
    if (raw.name.size() > max_name_bytes) {
        return unreadable("object with an overlong name");
    }
    const absl::StatusOr<std::int64_t> revision = decode_integer(raw.revision);
    if (!revision.ok()) {
        return revision.status();
    }
    const bool is_too_large = raw.specification.size() > max_specification;
    return stored_object{*std::move(name), *revision,
                         is_too_large ? "" : std::string(raw.specification)};
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

// The call is malformed to the store, now and when it is made again.
absl::Status refused_call(int status)
{
    return make_error(absl::StatusCode::kFailedPrecondition, "call", "store",
                      absl::StrCat("status ", status));
}

// Returns whether the status refuses a call for good, unlike one for which the store had no time.
bool is_lasting_refusal(int status)
{
    constexpr int request_timeout = 408;
    constexpr int misdirected = 421;
    constexpr int too_many_requests = 429;
    return status >= 400 && status < 500 && status != request_timeout && status != misdirected &&
           status != too_many_requests;
}

// Returns whether a list that has failed so will fail again at the same page.
bool is_lasting(const absl::Status& error)
{
    return absl::IsFailedPrecondition(error) || absl::IsInvalidArgument(error) ||
           absl::IsDataLoss(error) || absl::IsResourceExhausted(error);
}

absl::Status cannot_continue()
{
    return make_error(absl::StatusCode::kDataLoss, "call", "store",
                      "a page of the list does not lead on");
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
    // The names of the last object, and of the last one whose name is not overlong; empty if no
    // object has one. Objects that are unreadable otherwise count.
    std::string last_name;
    std::string last_short_name;
};

void note_name(absl::string_view raw, list_page& page)
{
    std::string name = decode_name_bytes(raw);
    if (name.empty()) {
        return;
    }
    if (raw.size() <= max_name_bytes) {
        page.last_short_name = name;
    }
    page.last_name = std::move(name);
}

absl::StatusOr<bool> decode_has_more(absl::string_view text)
{
    if (text != "true" && text != "false" && !text.empty()) {
        return unreadable("has-more is neither true nor false");
    }
    return text == "true";
}

absl::StatusOr<list_page> decode_page(absl::string_view body, std::size_t max_specification)
{
    const absl::StatusOr<raw_answer> answer = split_answer(body, "items");
    if (!answer.ok()) {
        return answer.status();
    }
    const absl::StatusOr<bool> has_more = decode_has_more(find_member(answer->members, "has-more"));
    if (!has_more.ok()) {
        return has_more.status();
    }
    list_page page;
    page.revision = answer->revision;
    page.has_more = *has_more;
    for (const absl::string_view item : answer->parts) {
        const absl::StatusOr<raw_object> raw = split_object(item);
        if (!raw.ok()) {
            log_odd_object(raw.status());
            continue;
        }
        note_name(raw->name, page);
        absl::StatusOr<stored_object> object = decode_object(*raw, max_specification);
        if (!object.ok()) {
            log_odd_object(object.status());
            continue;
        }
        page.bytes += sizeof(stored_object) + object->name.size() + object->specification.size();
        page.objects.push_back(*std::move(object));
    }
    return page;
}

absl::StatusOr<object_change> decode_change(absl::string_view event, std::size_t max_specification)
{
    const absl::StatusOr<std::vector<json_member>> members = split_json_object(event);
    if (!members.ok()) {
        return members.status();
    }
    const absl::StatusOr<raw_object> raw = split_object(find_member(*members, "object"));
    if (!raw.ok()) {
        return raw.status();
    }
    absl::StatusOr<stored_object> object = decode_object(*raw, max_specification);
    if (!object.ok()) {
        return object.status();
    }
    return object_change{*std::move(object), find_member(*members, "removed") == "true"};
}

absl::StatusOr<change_list> decode_changes(absl::string_view body, std::int64_t era,
                                           std::size_t max_specification)
{
    const absl::StatusOr<raw_answer> answer = split_answer(body, "events");
    if (!answer.ok()) {
        return answer.status();
    }
    change_list changes;
    changes.position = {answer->revision, era};
    for (const absl::string_view event : answer->parts) {
        absl::StatusOr<object_change> change = decode_change(event, max_specification);
        if (!change.ok()) {
            log_odd_object(change.status());
            continue;
        }
        changes.changes.push_back(*std::move(change));
    }
    return changes;
}

} // namespace

store_client::store_client(const address& store, std::size_t max_specification_bytes)
    : http(store), max_specification(max_specification_bytes)
{
}

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
    if (response->status != gone && is_lasting_refusal(response->status)) {
        return refused_call(response->status);
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

absl::StatusOr<object_list>
store_client::list(absl::string_view kind, std::chrono::milliseconds timeout,
                   const std::function<void(const object_list&)>& on_partial)
{
    object_list all;
    all.memory = std::make_shared<message_memory_reservation>(own_call_memory(), "store list");
    const absl::Status read = this->read_pages(kind, timeout, all);
    all.restored = this->last.revision > 0 && !continues(this->last, all.position);
    if (read.ok()) {
        this->last = all.position;
        return all;
    }
    if (is_lasting(read) && !all.objects.empty() && on_partial != nullptr) {
        on_partial(all);
    }
    return read;
}

absl::Status store_client::read_pages(absl::string_view kind, std::chrono::milliseconds timeout,
                                      object_list& all)
{
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
        absl::StatusOr<list_page> page = decode_page(answer->body, this->max_specification);
        if (!page.ok()) {
            return page.status();
        }
        const store_position position = {page->revision, this->era};
        if (pages == 0) {
            all.position = position;
        }
        if (!continues(all.position, position)) {
            return history_changed();
        }
        bytes += page->bytes;
        if (!all.memory->resize(bytes)) {
            return too_long("list");
        }
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(all.objects));
        if (!page->has_more) {
            return absl::OkStatus();
        }
        // The store may refuse a call with an overlong name, but must be asked if nothing else
        // leads on.
        std::string next = page->last_short_name;
        if (next.empty() || next == after) {
            next = page->last_name;
        }
        if (next.empty() || next == after) {
            return cannot_continue();
        }
        after = std::move(next);
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
    absl::StatusOr<change_list> changes =
        decode_changes(answer->body, this->era, this->max_specification);
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
