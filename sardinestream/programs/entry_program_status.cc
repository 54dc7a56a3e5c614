// Implements the part of entry_program that shows its state to operators: gauges and the status
// page.

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/metrics.h"
#include "sardinestream/programs/entry_program.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream {

void entry_program::update_gauges() const
{
    const std::shared_ptr<const desired_state> current = this->state.get();
    set_gauge("sardine_caller_connections", {}, this->caller_frontend->connections());
    set_gauge("sardine_requests_waiting", {}, this->servers.waiting());
    set_gauge("sardine_desired_state_version", {},
              current == nullptr ? 0 : static_cast<double>(current->version));
    set_gauge("sardine_servers_revision", {},
              static_cast<double>(this->directory.position().revision));
    set_gauge("sardine_evacuated_data_centres", {},
              static_cast<double>(this->evacuations.in_force().size()));
    set_gauge("sardine_crash_suspects", {}, static_cast<double>(this->suspects->blamed().all));
    set_gauge("sardine_entries", {{"seen", "alive"}}, this->entries_alive);
    set_gauge("sardine_entries", {{"seen", "lately"}}, this->entries_known);
    std::vector<std::pair<metric_labels, double>> tokens;
    for (const auto& [service, left] : this->retries.left()) {
        tokens.push_back({{{"service", service}}, left});
    }
    set_gauges("sardine_retry_tokens", tokens);
    std::map<metric_labels, double> servers_by_state;
    std::map<metric_labels, double> cold_servers;
    for (const dispatcher::server_summary& one : this->servers.summary()) {
        if (one.coldness != cold_condition::warm) {
            ++cold_servers[{{"service", one.server.service},
                            {"condition", std::string(name_of(one.coldness))}}];
        }
        const char* const limited = one.max_rate.has_value() ? "limited" : "in_use";
        const char* const held = one.hold_off.count() > 0 ? "holding_off" : limited;
        ++servers_by_state[{{"service", one.server.service},
                            {"state", one.server.draining ? "leaving" : held}}];
    }
    set_gauges("sardine_cold_servers", {cold_servers.begin(), cold_servers.end()});
    set_gauges("sardine_servers", {servers_by_state.begin(), servers_by_state.end()});
    std::vector<std::pair<metric_labels, double>> conditions;
    for (const auto& [service, outlook] : this->servers.availabilities()) {
        conditions.push_back({{{"service", service}}, static_cast<double>(outlook.condition)});
    }
    set_gauges("sardine_service_condition", conditions);
}

nlohmann::json entry_program::evacuations_json() const
{
    const steady_time now = steady_clock::now();
    nlohmann::json all = nlohmann::json::array();
    for (const evacuation_list::evacuation& one : this->evacuations.list()) {
        all.push_back({{"data_centre", one.data_centre},
                       {"since", absl::FormatTime(absl::Now() - absl::FromChrono(now - one.since))},
                       {"source", one.source},
                       {"revision", one.position.revision},
                       {"era", one.position.era},
                       {"kept", one.kept}});
    }
    return all;
}

nlohmann::json entry_program::services_json() const
{
    const steady_time now = steady_clock::now();
    nlohmann::json all;
    for (const auto& [service, outlook] : this->servers.availabilities()) {
        const answer_estimate stream =
            this->answer_durations.estimate({service, request_kind::streaming}, now);
        const answer_estimate lookup =
            this->answer_durations.estimate({service, request_kind::idempotent}, now);
        all[service] = {{"condition", std::string(name_of(outlook.condition))},
                        {"unserved_ms", outlook.unserved_time.count()},
                        {"stream_estimate_ms", stream.duration.count()},
                        {"stream_samples", stream.samples},
                        {"lookup_estimate_ms", lookup.duration.count()},
                        {"lookup_samples", lookup.samples}};
    }
    return all;
}

nlohmann::json entry_program::servers_json() const
{
    nlohmann::json all;
    for (const dispatcher::server_summary& one : this->servers.summary()) {
        all.push_back({{"id", one.server.id},
                       {"service", one.server.service},
                       {"draining", one.server.draining},
                       {"use", one.use},
                       {"hold_off_ms", one.hold_off.count()},
                       {"max_rate", one.max_rate.value_or(-1)},
                       {"cold", name_of(one.coldness)},
                       {"pass_ms", one.report.step_ms},
                       {"own_in_flight", one.own_in_flight},
                       {"reported", one.reported},
                       {"running", one.report.running},
                       {"waiting", one.report.waiting},
                       {"slowness", one.report.slowness}});
    }
    return all;
}

std::string entry_program::status_json() const
{
    const std::shared_ptr<const desired_state> current = this->state.get();
    const state_origin origin = this->state.origin();
    nlohmann::json status = {{"id", this->options.id},
                             {"ready", this->is_ready()},
                             {"stopping", this->stopping.load()},
                             {"desired_state_version", current == nullptr ? 0 : current->version},
                             {"desired_state_source", origin.source},
                             {"desired_state_since", absl::FormatTime(origin.since)},
                             {"desired_state_revision", this->state.document().revision},
                             {"servers_revision", this->directory.position().revision},
                             {"servers_era", this->directory.position().era},
                             {"evacuations_revision", this->evacuations.position().revision},
                             {"evacuations_era", this->evacuations.position().era},
                             {"entries_alive", this->entries_alive.load()},
                             {"entries_known", this->entries_known.load()},
                             {"crash_suspects", this->suspects->blamed().all},
                             {"crashes", this->suspects->size()},
                             {"retry_tokens", this->retries.left()},
                             {"waiting", this->servers.waiting()},
                             {"requests_open", this->in_progress.size()}};
    status["evacuations"] = this->evacuations_json();
    // Both are left out while they are empty.
    if (nlohmann::json services = this->services_json(); !services.is_null()) {
        status["services"] = std::move(services);
    }
    if (nlohmann::json servers = this->servers_json(); !servers.is_null()) {
        status["servers"] = std::move(servers);
    }
    // Names of data centres come from other writers and may be no UTF-8.
    return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace sardinestream
