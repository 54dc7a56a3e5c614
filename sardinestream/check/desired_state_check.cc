#include "sardinestream/check/desired_state_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::check {
namespace {

std::string place_of(const route& declared, absl::string_view field)
{
    return absl::StrCat("routes[", declared.name, "].", field);
}

std::string place_of(const service_declaration& declared, absl::string_view field)
{
    return absl::StrCat("services[", declared.name, "].", field);
}

std::string text_of(std::chrono::milliseconds time)
{
    return absl::StrCat(time.count(), " ms");
}

class desired_state_checker {
public:
    desired_state_checker(const desired_state& checked, const fleet_facts& known)
        : state(checked), fleet(known)
    {
    }

    findings run()
    {
        for (const route& declared : this->state.routes) {
            this->check_route_services(declared);
            this->check_route_match(declared);
            this->check_route_limits(declared);
        }
        for (const auto& [name, declared] : this->state.services) {
            this->check_service(declared);
        }
        for (const team_declaration& declared : this->state.teams) {
            this->check_team(declared);
        }
        this->check_limits();
        return std::move(this->found);
    }

private:
    void add(finding_kind kind, std::string place, std::string code, std::string value,
             std::string allowed)
    {
        this->found.push_back(
            {kind, std::move(place), std::move(code), std::move(value), std::move(allowed)});
    }

    void check_route_services(const route& declared)
    {
        double total = 0;
        for (const weighted_service& part : declared.services) {
            total += part.weight;
            this->used_services.insert(part.service);
            if (this->state.services.count(part.service) == 0) {
                this->add(finding_kind::error, place_of(declared, "service"), "unknown_service",
                          part.service, "a declared service");
            }
        }
        if (total <= 0) {
            this->add(finding_kind::error, place_of(declared, "services"), "no_weight",
                      absl::StrCat(total), "a sum above 0");
        }
    }

    void check_route_match(const route& declared)
    {
        const std::string& prefix = declared.path_prefix;
        if (!absl::StartsWith(prefix, "/") || !absl::EndsWith(prefix, "/")) {
            this->add(finding_kind::error, place_of(declared, "path_prefix"), "bad_prefix", prefix,
                      "begins and ends with /");
        }
        if (declared.host.empty()) {
            this->add(finding_kind::unreachable, place_of(declared, "host"), "no_host", "",
                      "a host name");
        }
        const auto [first, is_new] = this->first_by_match.emplace(
            std::pair(absl::AsciiStrToLower(declared.host), prefix), &declared);
        if (!is_new) {
            this->add(finding_kind::unreachable, place_of(declared, "path_prefix"),
                      "shadowed_route", absl::StrCat(declared.host, prefix),
                      absl::StrCat("a prefix other than that of ", first->second->name));
        }
        if (!declared.is_public && this->state.has_teams && this->state.teams_by_key.empty()) {
            this->add(finding_kind::unreachable, place_of(declared, "public"), "no_key_opens",
                      "false", "true, or a team with a key");
        }
    }

    void check_route_limits(const route& declared)
    {
        if (declared.timeout < declared.latency_target) {
            this->add(finding_kind::contradiction, place_of(declared, "timeout"),
                      "timeout_under_latency_target", text_of(declared.timeout),
                      absl::StrCat(text_of(declared.latency_target), " or more"));
        }
        if (declared.timeout < declared.pause_target) {
            this->add(finding_kind::contradiction, place_of(declared, "timeout"),
                      "timeout_under_pause_target", text_of(declared.timeout),
                      absl::StrCat(text_of(declared.pause_target), " or more"));
        }
        if (declared.priority < 0 || declared.priority > lowest_priority) {
            this->add(finding_kind::error, place_of(declared, "priority"), "out_of_range",
                      absl::StrCat(declared.priority), absl::StrCat("0..", lowest_priority));
        }
    }

    void check_service(const service_declaration& declared)
    {
        if (this->used_services.count(declared.name) == 0) {
            this->add(finding_kind::unreachable, place_of(declared, "name"), "no_route",
                      declared.name, "a route to it");
        }
        if (this->fleet.entries > 0 && declared.connection_limit > 0 &&
            declared.connection_limit < this->fleet.entries) {
            this->add(finding_kind::contradiction, place_of(declared, "connection_limit"),
                      "less_than_one_connection_an_entry", absl::StrCat(declared.connection_limit),
                      absl::StrCat(this->fleet.entries, " or more"));
        }
        if (declared.cold_rate > 0 && this->fleet.cold_overage > 0) {
            this->check_cold_rate(declared);
        }
    }

    void check_cold_rate(const service_declaration& declared)
    {
        const double bound = declared.cold_rate * this->fleet.cold_overage + this->fleet.cold_slack;
        if (bound < 1) {
            this->add(finding_kind::contradiction, place_of(declared, "cold_rate"),
                      "cold_rate_under_one", absl::StrCat(declared.cold_rate, " a second"),
                      "a bound of one request a second or more");
        }
    }

    void check_team(const team_declaration& declared)
    {
        const std::string place = absl::StrCat("teams[", declared.name, "]");
        if (declared.keys == 0) {
            this->add(finding_kind::unreachable, absl::StrCat(place, ".keys"), "no_key", "0",
                      "one key or more");
        }
        if (declared.keys_of_earlier_teams > 0) {
            this->add(finding_kind::error, absl::StrCat(place, ".keys"), "key_of_another_team",
                      absl::StrCat(declared.keys_of_earlier_teams, " keys"),
                      "keys that no other team has");
        }
        if (declared.priority > lowest_priority) {
            this->add(finding_kind::error, absl::StrCat(place, ".priority"), "out_of_range",
                      absl::StrCat(declared.priority), absl::StrCat("0..", lowest_priority));
        }
    }

    void check_limits()
    {
        const request_limits& limits = this->state.limits;
        if (this->fleet.request_memory_bytes > 0 &&
            limits.body_bytes > this->fleet.request_memory_bytes) {
            this->add(finding_kind::contradiction, "limits.body_bytes", "body_exceeds_memory",
                      absl::StrCat(limits.body_bytes, " bytes"),
                      absl::StrCat(this->fleet.request_memory_bytes, " bytes or less"));
        }
        if (limits.header_bytes == 0) {
            this->add(finding_kind::contradiction, "limits.header_bytes", "no_header_fits", "0",
                      "1 or more");
        }
        if (limits.idle_timeout.count() == 0) {
            this->add(finding_kind::contradiction, "limits.idle_timeout", "no_connection_is_kept",
                      "0 ms", "1 ms or more");
        }
    }

    static constexpr int lowest_priority = 9;

    const desired_state& state;
    const fleet_facts& fleet;
    findings found;
    std::set<std::string> used_services;
    std::map<std::pair<std::string, std::string>, const route*> first_by_match;
};

// A digest of keys is compared and never shown: a weak key could be guessed from it.
constexpr char keys_digest_field[] = "keys_digest";

// The fields of an entry as text, by name.
using field_texts = std::map<std::string, std::string>;
// Entries by place, such as "routes[orders]".
using entry_texts = std::map<std::string, field_texts>;

std::string services_text(const route& declared)
{
    std::map<std::string, double> weights;
    double total = 0;
    for (const weighted_service& part : declared.services) {
        weights[part.service] += part.weight;
        total += part.weight;
    }
    std::string text;
    for (const auto& [service, weight] : weights) {
        const double percent = total > 0 ? 100 * weight / total : 0;
        absl::StrAppend(&text, text.empty() ? "" : ", ", service, " ", percent, " %");
    }
    return text;
}

absl::string_view kind_text(request_kind kind)
{
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non-idempotent";
    case request_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

field_texts fields_of(const route& declared)
{
    return {{"host", declared.host},
            {"path_prefix", declared.path_prefix},
            {"kind", std::string(kind_text(declared.kind))},
            {"services", services_text(declared)},
            {"timeout", text_of(declared.timeout)},
            {"latency_target", text_of(declared.latency_target)},
            {"pause_target", text_of(declared.pause_target)},
            {"max_attempts", absl::StrCat(declared.max_attempts)},
            {"priority", absl::StrCat(declared.priority)},
            {"public", declared.is_public ? "true" : "false"},
            {"resumable", declared.resumable ? "true" : "false"}};
}

field_texts fields_of(const service_declaration& declared)
{
    const engine_model& engine = declared.engine;
    return {{"engine", declared.has_engine ? "described" : "none"},
            {"engine.slots", absl::StrCat(engine.slots)},
            {"engine.steps_per_pass", absl::StrCat(engine.steps_per_pass)},
            {"engine.step_ms", absl::StrCat(engine.step_ms)},
            {"engine.step_ms_per_request", absl::StrCat(engine.step_ms_per_request)},
            {"engine.read_tokens_per_s", absl::StrCat(engine.read_tokens_per_s)},
            {"engine.max_tokens_per_step", absl::StrCat(engine.max_tokens_per_step)},
            {"engine.memory_tokens", absl::StrCat(engine.memory_tokens)},
            {"engine.usual_prompt_tokens", absl::StrCat(engine.usual_prompt_tokens)},
            {"engine.usual_answer_tokens", absl::StrCat(engine.usual_answer_tokens)},
            {"engine.layer_sets", absl::StrCat(engine.layer_sets)},
            {"engine.experts", absl::StrCat(engine.experts)},
            {"engine.places_per_rank", absl::StrCat(engine.places_per_rank)},
            {"engine.max_new_experts", absl::StrCat(engine.max_new_experts)},
            {"engine.expert_megabytes", absl::StrCat(engine.expert_megabytes)},
            {"engine.expert_share", absl::StrCat(engine.expert_share)},
            {"engine.link_megabits_per_s", absl::StrCat(engine.link_megabits_per_s)},
            {"connection_limit", absl::StrCat(declared.connection_limit)},
            {"cold_period", text_of(declared.cold_period)},
            {"cold_rate", absl::StrCat(declared.cold_rate)}};
}

field_texts fields_of(const request_limits& limits)
{
    return {{"header_bytes", absl::StrCat(limits.header_bytes)},
            {"body_bytes", absl::StrCat(limits.body_bytes)},
            {"header_timeout", text_of(limits.header_timeout)},
            {"idle_timeout", text_of(limits.idle_timeout)}};
}

entry_texts entries_of(const desired_state& state)
{
    entry_texts entries;
    for (const route& declared : state.routes) {
        entries[absl::StrCat("routes[", declared.name, "]")] = fields_of(declared);
    }
    for (const auto& [name, declared] : state.services) {
        entries[absl::StrCat("services[", name, "]")] = fields_of(declared);
    }
    for (const team_declaration& declared : state.teams) {
        entries[absl::StrCat("teams[", declared.name, "]")] = {
            {"priority", absl::StrCat(declared.priority)},
            {"keys", absl::StrCat(declared.keys, " keys")},
            {keys_digest_field, absl::StrCat(declared.keys_digest)}};
    }
    entries["limits"] = fields_of(state.limits);
    return entries;
}

} // namespace

findings check_desired_state(const desired_state& state, const fleet_facts& fleet)
{
    return desired_state_checker(state, fleet).run();
}

findings changes_between(const desired_state& in_force, const desired_state& newer)
{
    findings changes;
    if (newer.version <= in_force.version) {
        changes.push_back({finding_kind::error, "version", "not_newer", absl::StrCat(newer.version),
                           absl::StrCat("above ", in_force.version)});
    }
    const entry_texts before = entries_of(in_force);
    const entry_texts after = entries_of(newer);
    for (const auto& [place, fields] : before) {
        if (after.count(place) == 0) {
            changes.push_back({finding_kind::difference, place, "removed", "", ""});
        }
    }
    for (const auto& [place, fields] : after) {
        const auto old = before.find(place);
        if (old == before.end()) {
            changes.push_back({finding_kind::difference, place, "added", "", ""});
            continue;
        }
        for (const auto& [field, text] : fields) {
            const std::string& old_text = old->second.at(field);
            if (old_text != text && field == keys_digest_field) {
                changes.push_back({finding_kind::difference, absl::StrCat(place, ".keys"),
                                   "changed", "other keys", ""});
                continue;
            }
            if (old_text != text) {
                changes.push_back({finding_kind::difference, absl::StrCat(place, ".", field),
                                   "changed", absl::StrCat(old_text, " -> ", text), ""});
            }
        }
    }
    return changes;
}

} // namespace sardinestream::check
