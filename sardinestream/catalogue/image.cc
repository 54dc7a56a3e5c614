#include "sardinestream/catalogue/image.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::catalogue {
namespace {

using nlohmann::json;

absl::Status damaged(absl::string_view what)
{
    return make_error(absl::StatusCode::kDataLoss, "parse_catalogue", "", what);
}

std::uint64_t number_of(const json& object, const char* field)
{
    auto found = object.find(field);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string text_of(const json& object, const char* field)
{
    auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

json to_json(const entry_decision& decision)
{
    return {{"generation", decision.generation},
            {"number", decision.number},
            {"time_unix_ms", static_cast<std::uint64_t>(decision.time_unix_ms)}};
}

entry_decision decision_from(const json& object, const char* field)
{
    auto found = object.find(field);
    if (found == object.end() || !found->is_object()) {
        return {};
    }
    return {number_of(*found, "generation"), number_of(*found, "number"),
            static_cast<std::int64_t>(number_of(*found, "time_unix_ms"))};
}

json to_json(const entry_record& record)
{
    json written = {{"name", record.name}, {"examined", record.examined_digest}};
    if (!record.accepted_spec.empty()) {
        written["spec"] = record.accepted_spec;
        written["accepted"] = to_json(record.accepted);
    }
    if (record.refusal.code != entry_code::none) {
        written["refused"] = to_json(record.refused);
        written["refused"]["code"] = std::string(to_string(record.refusal.code));
        written["refused"]["field"] = record.refusal.field;
        written["refused"]["allowed"] = record.refusal.allowed;
        written["refused"]["other"] = record.refusal.other;
    }
    return written;
}

absl::StatusOr<entry_record> record_from(const json& value)
{
    if (!value.is_object()) {
        return damaged("entry record is not a JSON object");
    }
    entry_record record;
    record.name = text_of(value, "name");
    record.examined_digest = text_of(value, "examined");
    record.accepted_spec = text_of(value, "spec");
    record.accepted = decision_from(value, "accepted");
    record.refused = decision_from(value, "refused");
    if (auto refused = value.find("refused"); refused != value.end() && refused->is_object()) {
        record.refusal = {entry_code_from(text_of(*refused, "code")), text_of(*refused, "field"),
                          text_of(*refused, "allowed"), text_of(*refused, "other")};
    }
    if (record.accepted_spec.empty()) {
        return record;
    }
    entry_verdict verdict =
        validate_entry(record.name, record.accepted_spec, unknown_fields::ignore);
    if (!std::holds_alternative<catalogue_entry>(verdict)) {
        return damaged(absl::StrCat("accepted entry ", record.name, " is not valid"));
    }
    record.entry = std::get<catalogue_entry>(std::move(verdict));
    record.entry->object_version = record.accepted.generation;
    return record;
}

std::shared_ptr<const catalogue_snapshot> snapshot_of(std::uint64_t number,
                                                      const catalogue_image::shard_array& shards)
{
    std::vector<catalogue_entry> entries;
    for (const shard_pointer& part : shards) {
        if (part == nullptr) {
            continue;
        }
        for (const entry_record& record : part->records) {
            if (record.entry.has_value()) {
                entries.push_back(*record.entry);
            }
        }
    }
    return std::make_shared<catalogue_snapshot>(number, std::move(entries));
}

} // namespace

std::size_t shard_of(absl::string_view entry_name)
{
    return stable_hash(entry_name) % shard_count;
}

std::uint64_t references_hash(const catalogue_index& index)
{
    std::string text;
    for (const shard_reference& reference : index.shards) {
        absl::StrAppend(&text, reference.number, ":", reference.object_name, ";");
    }
    return stable_hash(text);
}

catalogue_image::catalogue_image() : content(std::make_shared<catalogue_snapshot>()) {}

catalogue_image::catalogue_image(catalogue_index index, shard_array shards)
    : description(std::move(index)), parts(std::move(shards)),
      content(snapshot_of(this->description.number, this->parts))
{
}

std::vector<shard_pointer> catalogue_image::shards_after(std::uint64_t number) const
{
    std::vector<shard_pointer> changed;
    for (const shard_pointer& part : this->parts) {
        if (part != nullptr && part->number > number) {
            changed.push_back(part);
        }
    }
    return changed;
}

const entry_record* catalogue_image::find(absl::string_view entry_name) const
{
    const shard_pointer& part = this->parts[shard_of(entry_name)];
    if (part == nullptr) {
        return nullptr;
    }
    for (const entry_record& record : part->records) {
        if (record.name == entry_name) {
            return &record;
        }
    }
    return nullptr;
}

std::string format_index(const catalogue_index& index)
{
    json shards = json::array();
    for (std::size_t id = 0; id < shard_count; ++id) {
        const shard_reference& reference = index.shards[id];
        if (reference.number != 0) {
            shards.push_back({id, reference.number, reference.object_name});
        }
    }
    return json({{"number", index.number},
                 {"seen_version", index.seen_version},
                 {"writer", index.writer},
                 {"nonce", index.nonce},
                 {"shards", std::move(shards)}})
        .dump();
}

absl::StatusOr<catalogue_index> parse_index(absl::string_view text)
{
    const json value = json::parse(text.begin(), text.end(), nullptr, false);
    if (!value.is_object() || number_of(value, "number") == 0 || !value.contains("shards") ||
        !value["shards"].is_array()) {
        return damaged("catalogue index is malformed");
    }
    catalogue_index index;
    index.number = number_of(value, "number");
    index.seen_version = number_of(value, "seen_version");
    index.writer = text_of(value, "writer");
    index.nonce = text_of(value, "nonce");
    for (const json& one : value["shards"]) {
        if (!one.is_array() || one.size() != 3 || !one[0].is_number_unsigned() ||
            one[0].get<std::size_t>() >= shard_count || !one[1].is_number_unsigned() ||
            !one[2].is_string()) {
            return damaged("catalogue index has a malformed shard reference");
        }
        index.shards[one[0].get<std::size_t>()] = {one[1].get<std::uint64_t>(),
                                                   one[2].get<std::string>()};
    }
    return index;
}

shard_pointer make_shard(std::size_t id, std::uint64_t number, std::string object_name,
                         std::vector<entry_record> records)
{
    json entries = json::array();
    for (const entry_record& record : records) {
        entries.push_back(to_json(record));
    }
    auto made = std::make_shared<shard>();
    made->id = id;
    made->number = number;
    made->object_name = std::move(object_name);
    made->content = json({{"id", id}, {"number", number}, {"entries", std::move(entries)}}).dump();
    made->records = std::move(records);
    return made;
}

absl::StatusOr<shard_pointer> parse_shard(std::string object_name, std::string content)
{
    const json value = json::parse(content, nullptr, false);
    if (!value.is_object() || !value.contains("entries") || !value["entries"].is_array() ||
        number_of(value, "id") >= shard_count || number_of(value, "number") == 0) {
        return damaged("catalogue shard is malformed");
    }
    auto parsed = std::make_shared<shard>();
    parsed->id = number_of(value, "id");
    parsed->number = number_of(value, "number");
    parsed->object_name = std::move(object_name);
    parsed->content = std::move(content);
    for (const json& entry : value["entries"]) {
        absl::StatusOr<entry_record> record = record_from(entry);
        if (!record.ok()) {
            return record.status();
        }
        parsed->records.push_back(*std::move(record));
    }
    return parsed;
}

} // namespace sardinestream::catalogue
