#include "sardinestream/check/check_command.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/catalogue/entry_validation.h"
#include "sardinestream/http/http_client.h"
#include "sardinestream/programs/peer_state.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::check {
namespace {

constexpr std::chrono::seconds fetch_timeout{2};
constexpr int http_ok = 200;

check_outcome unreadable(absl::string_view what, const absl::Status& error)
{
    return {exit_unreadable, absl::StrCat(what, ": ", error.message(), "\n")};
}

check_outcome outcome_of(const findings& all, bool as_json)
{
    check_outcome outcome;
    const bool has_fault = std::any_of(all.begin(), all.end(), [](const finding& found) {
        return found.kind != finding_kind::difference;
    });
    outcome.exit_status = has_fault ? exit_findings : exit_clean;
    if (as_json) {
        outcome.text = absl::StrCat(to_json(all), "\n");
        return outcome;
    }
    for (const finding& found : all) {
        absl::StrAppend(&outcome.text, to_line(found), "\n");
    }
    return outcome;
}

findings check_entry(const nlohmann::json& object)
{
    if (!object.is_object() || !object.contains("name") || !object.at("name").is_string() ||
        !object.contains("spec")) {
        return {{finding_kind::error, "catalogue", "not_an_entry", "",
                 "an object with `name` and `spec`"}};
    }
    const std::string name = object.at("name").get<std::string>();
    const catalogue::entry_verdict verdict =
        catalogue::validate_entry(name, object.at("spec").dump());
    const auto* const refused = std::get_if<catalogue::entry_refusal>(&verdict);
    if (refused == nullptr) {
        return {};
    }
    return {{finding_kind::error, absl::StrCat("entries[", name, "].", refused->field),
             std::string(catalogue::to_string(refused->code)), "", refused->allowed}};
}

} // namespace

std::string describe(const absl::Status& error)
{
    const std::string peer = peer_of(error);
    return peer.empty() ? std::string(error.message()) : absl::StrCat(peer, ": ", error.message());
}

check_outcome run_check(const check_command& command, const desired_state_decoder& decode)
{
    const auto newer = decode(command.config);
    if (!newer.ok()) {
        return unreadable("config", newer.status());
    }
    findings all = check_desired_state(**newer, command.fleet);
    if (command.in_force.has_value()) {
        const auto in_force = decode(*command.in_force);
        if (!in_force.ok()) {
            return unreadable("against", in_force.status());
        }
        const findings changes = changes_between(**in_force, **newer);
        all.insert(all.end(), changes.begin(), changes.end());
    }
    return outcome_of(all, command.as_json);
}

check_outcome run_catalogue_check(const std::string& catalogue, bool as_json)
{
    const nlohmann::json entries = nlohmann::json::parse(catalogue, nullptr, false);
    if (!entries.is_array()) {
        return unreadable("catalogue", absl::InvalidArgumentError("not a JSON array"));
    }
    findings all;
    for (const nlohmann::json& object : entries) {
        const findings own = check_entry(object);
        all.insert(all.end(), own.begin(), own.end());
    }
    return outcome_of(all, as_json);
}

absl::StatusOr<std::string> fetch_in_force(const address& gossip)
{
    http_client entry(gossip);
    const absl::StatusOr<http_answer> answer =
        entry.call("GET", "/state/config?after=0", "", steady_clock::now() + fetch_timeout);
    if (!answer.ok()) {
        return make_error(answer.status().code(), "fetch_in_force", gossip.to_string(),
                          answer.status().message());
    }
    if (answer->status != http_ok) {
        return make_error(absl::StatusCode::kNotFound, "fetch_in_force", gossip.to_string(),
                          absl::StrCat("HTTP status ", answer->status));
    }
    absl::StatusOr<stored_document> document = decode_document(answer->body);
    if (!document.ok()) {
        return document.status();
    }
    return std::move(document->text);
}

} // namespace sardinestream::check
