#include "sardinestream/catalogue/status_page.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace sardinestream::catalogue {
namespace {

// Keeps the fields in insertion order, which is the order in which the page shows them.
using json = nlohmann::ordered_json;

constexpr char time_format[] = "%Y-%m-%dT%H:%M:%E3SZ";
constexpr std::size_t shown_digest_digits = 8;

std::string format_time(absl::Time time)
{
    if (time == absl::InfinitePast()) {
        return "";
    }
    return absl::FormatTime(time_format, time, absl::UTCTimeZone());
}

std::string format_time_ms(std::int64_t unix_ms)
{
    return format_time(absl::FromUnixMillis(unix_ms));
}

// Returns the entry's content with all defaults filled in.
json content_of(const catalogue_entry& entry)
{
    json digests = json::array();
    for (const std::string& digest : entry.key_digests) {
        digests.push_back(digest.substr(0, shown_digest_digits));
    }
    const entry_limits& limits = entry.limits;
    json engine;
    if (entry.engine.has_value()) {
        engine = {{"version", entry.engine->version},
                  {"adapters", entry.engine->adapters},
                  {"role", entry.engine->role}};
    }
    return {{"owner", entry.owner},
            {"service", entry.service},
            {"work_class", std::string(to_string(entry.work))},
            {"repeat", std::string(to_string(entry.repeat))},
            {"priority", std::string(to_string(entry.priority))},
            {"limits",
             {{"max_in_flight", limits.max_in_flight},
              {"requests_per_s", limits.requests_per_s},
              {"max_body_bytes", limits.max_body_bytes},
              {"max_tokens", limits.max_tokens},
              {"max_deadline_ms", limits.max_deadline_ms}}},
            {"skew_weight", entry.skew_weight},
            {"rebalance_cost_weight", entry.rebalance_cost_weight},
            {"key_digests", std::move(digests)},
            {"engine", std::move(engine)}};
}

json decision_of(const entry_decision& decision)
{
    return {{"generation", decision.generation},
            {"number", decision.number},
            {"time", format_time_ms(decision.time_unix_ms)}};
}

json record_of(const entry_record& record)
{
    const bool refused = record.refusal.code != entry_code::none;
    json shown = {{"name", record.name},
                  {"state", refused ? "refused" : "accepted"},
                  {"in_force", nullptr},
                  {"refused", nullptr}};
    if (record.entry.has_value()) {
        shown["in_force"] = decision_of(record.accepted);
        shown["in_force"]["spec"] = content_of(*record.entry);
    }
    if (refused) {
        shown["refused"] = decision_of(record.refused);
        shown["refused"]["code"] = std::string(to_string(record.refusal.code));
        shown["refused"]["field"] = record.refusal.field;
        shown["refused"]["allowed"] = record.refusal.allowed;
        shown["refused"]["other"] = record.refusal.other;
    }
    return shown;
}

bool is_chosen(const entry_record& record, const status_filter& filter)
{
    const bool owned = record.entry.has_value() && record.entry->owner == filter.owner;
    return (filter.owner.empty() || owned) && (filter.entry.empty() || record.name == filter.entry);
}

std::vector<const entry_record*> chosen_records(const catalogue_image& image,
                                                const status_filter& filter)
{
    std::vector<const entry_record*> chosen;
    for (const shard_pointer& part : image.shards()) {
        if (part == nullptr) {
            continue;
        }
        for (const entry_record& record : part->records) {
            if (is_chosen(record, filter)) {
                chosen.push_back(&record);
            }
        }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const entry_record* left, const entry_record* right) {
                  return left->name < right->name;
              });
    return chosen;
}

std::string escape_html(absl::string_view text)
{
    return absl::StrReplaceAll(
        text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}, {"'", "&#39;"}});
}

std::string cell(absl::string_view text)
{
    return absl::StrCat("<td>", escape_html(text), "</td>");
}

std::string cells_of(const json& decision, const std::vector<const char*>& fields)
{
    std::string cells;
    for (const char* field : fields) {
        if (!decision.is_object()) {
            absl::StrAppend(&cells, "<td></td>");
            continue;
        }
        const json& value = decision[field];
        absl::StrAppend(&cells, cell(value.is_string() ? value.get<std::string>() : value.dump()));
    }
    return cells;
}

std::string row_of(const entry_record& record)
{
    const json shown = record_of(record);
    const bool refused = record.refusal.code != entry_code::none;
    return absl::StrCat("<tr><td>", refused ? "✗" : "✓", "</td>", cell(record.name),
                        cells_of(shown["in_force"], {"generation", "number", "time", "spec"}),
                        cells_of(shown["refused"], {"generation", "number", "time", "code", "field",
                                                    "allowed", "other"}),
                        "</tr>\n");
}

} // namespace

std::string status_json(const catalogue_state& state, bool ready, const status_filter& filter)
{
    const std::shared_ptr<const catalogue_image> image = state.image();
    json entries = json::array();
    for (const entry_record* record : chosen_records(*image, filter)) {
        entries.push_back(record_of(*record));
    }
    const json shown = {{"number", image->number()},
                        {"highest_heard", state.highest_heard()},
                        {"ready", ready},
                        {"in_force_since", format_time(state.changed_at())},
                        {"writer", image->index().writer},
                        {"entries", std::move(entries)}};
    return shown.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string status_html(const catalogue_state& state, bool ready, const status_filter& filter)
{
    const std::shared_ptr<const catalogue_image> image = state.image();
    std::string page = absl::StrCat(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>sardinestream #",
        image->number(),
        "</title><style>body{font-family:monospace}td,th{border:1px solid #999;padding:2px 6px;"
        "vertical-align:top;word-break:break-all}table{border-collapse:collapse}</style></head>"
        "<body><h1>#",
        image->number(), " / ", state.highest_heard(), " ", ready ? "✓" : "✗", "</h1><p>",
        format_time(state.changed_at()), "</p>\n<table><tr><th></th><th>name</th>",
        "<th>✓ generation</th><th>✓ number</th><th>✓ time</th><th>✓ spec</th>",
        "<th>✗ generation</th><th>✗ number</th><th>✗ time</th><th>✗ code</th><th>✗ field</th>",
        "<th>✗ allowed</th><th>✗ other</th></tr>\n");
    for (const entry_record* record : chosen_records(*image, filter)) {
        page += row_of(*record);
    }
    return page + "</table></body></html>\n";
}

} // namespace sardinestream::catalogue
