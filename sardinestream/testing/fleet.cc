#include "sardinestream/testing/fleet.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/testing/ledger_file.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr char json_type[] = "application/json";
constexpr int http_ok = 200;
constexpr int page_timeout_s = 2;
constexpr absl::Duration probe_patience = absl::Seconds(2);

std::string flag(absl::string_view name, const absl::AlphaNum& value)
{
    return absl::StrCat("--", name, "=", value);
}

void append(std::vector<std::string>& flags, const std::vector<std::string>& more)
{
    flags.insert(flags.end(), more.begin(), more.end());
}

std::string entry_spec(const std::string& service, const std::string& work,
                       const std::string& repeat)
{
    const json limits{{"max_in_flight", 1000}, {"requests_per_s", 100000}, {"max_tokens", 100000}};
    return json({{"owner", "mehulaakso"},
                 {"service", service},
                 {"work_class", work},
                 {"repeat", repeat},
                 {"limits", limits},
                 {"key_digests", {sha256_hex(team_key)}}})
        .dump();
}

} // namespace

absl::StatusOr<std::unique_ptr<fleet>> fleet::create(fleet_options options)
{
    std::unique_ptr<fleet> made(new fleet(std::move(options)));
    absl::StatusOr<std::shared_ptr<wire::tls_context>> tls = wire::tls_context::create(made->key);
    if (!tls.ok()) {
        return tls.status();
    }
    made->tls = *std::move(tls);
    SARDINE_RETURN_IF_ERROR(made->start_platform());
    SARDINE_RETURN_IF_ERROR(made->write_catalogue());
    for (int i = 0; i < made->options.model_agents; ++i) {
        SARDINE_RETURN_IF_ERROR(made->start_agent(i, true));
    }
    for (int i = 0; i < made->options.plain_agents; ++i) {
        SARDINE_RETURN_IF_ERROR(made->start_agent(i, false));
    }
    // All ports are known before the first entry starts: entries name one another as seeds.
    for (int i = 0; i < made->options.entries; ++i) {
        made->entry_nodes.push_back(std::make_unique<entry_node>());
    }
    for (int i = 0; i < made->options.entries; ++i) {
        absl::StatusOr<std::unique_ptr<fault_proxy>> peers =
            made->make_proxy(made->entry(i).links.reserved(), true);
        if (!peers.ok()) {
            return peers.status();
        }
        made->entry(i).peers = *std::move(peers);
    }
    made->list_all_instances();
    for (int i = 0; i < made->options.entries; ++i) {
        SARDINE_RETURN_IF_ERROR(made->start_entry(i));
    }
    made->list_all_instances();
    SARDINE_RETURN_IF_ERROR(made->wait_until_serving());
    return made;
}

// Members end in the reverse order: entries, agents, the platform.
fleet::~fleet() = default;

absl::StatusOr<std::unique_ptr<fault_proxy>> fleet::make_proxy(const address& server,
                                                               bool frames) const
{
    fault_proxy_options wanted;
    wanted.server = server;
    wanted.tls = frames ? this->tls : nullptr;
    wanted.one_way_delay = frames ? this->options.one_way_delay : absl::ZeroDuration();
    return fault_proxy::create(std::move(wanted));
}

absl::Status fleet::start_process(std::unique_ptr<process>& into, process_options wanted)
{
    wanted.log_directory = this->files.path();
    absl::StatusOr<std::unique_ptr<process>> started = process::start(std::move(wanted));
    if (!started.ok()) {
        return started.status();
    }
    into = *std::move(started);
    return into->wait_until_listening().status();
}

absl::Status fleet::start_platform()
{
    return this->start_process(
        this->platform_run, {.binary = "standin_platform",
                             .flags = {flag("listen", this->platform_port.reserved().to_string())},
                             .log_directory = "",
                             .name = "platform"});
}

absl::Status fleet::write_catalogue()
{
    const bool written =
        this->put_entry("mehulaakso-assistant", entry_spec("assistant", "model", "all")) &&
        this->put_entry("mehulaakso-till", entry_spec("till", "plain", "reads_only")) &&
        this->put_entry("mehulaakso-stock", entry_spec("stock", "plain", "all"));
    return written ? absl::OkStatus()
                   : make_error(absl::StatusCode::kUnavailable, "write_catalogue", "platform", "");
}

absl::Status fleet::start_agent(int index, bool model)
{
    auto node = std::make_unique<agent_node>();
    node->id = absl::StrCat(model ? "model-agent-" : "plain-agent-", index);
    node->model = model;
    const address backend = node->backend.reserved();
    absl::StatusOr<std::unique_ptr<fault_proxy>> server = this->make_proxy(backend, false);
    absl::StatusOr<std::unique_ptr<fault_proxy>> peers =
        this->make_proxy(node->links.reserved(), true);
    if (!server.ok() || !peers.ok()) {
        return server.ok() ? peers.status() : server.status();
    }
    node->server = *std::move(server);
    node->peers = *std::move(peers);
    std::vector<std::string> backend_flags{flag("listen", backend.to_string()),
                                           flag("ledger_file", this->ledger_path(model)),
                                           "--crash_marker=crash-me"};
    if (model) {
        backend_flags.push_back(
            flag("token_us", absl::ToInt64Microseconds(this->options.token_time)));
        append(backend_flags, this->options.engine_flags);
    }
    SARDINE_RETURN_IF_ERROR(this->start_process(
        node->backend_run, {.binary = model ? "standin_engine" : "standin_service",
                            .flags = std::move(backend_flags),
                            .log_directory = "",
                            .name = absl::StrCat(node->id, "-backend")}));
    std::vector<std::string> flags{flag("id", node->id),
                                   flag("data_centre", "fi/kuopio"),
                                   flag("listen", node->links.reserved().to_string()),
                                   flag("ops_listen", node->ops.reserved().to_string()),
                                   flag("backend", node->server->local().to_string()),
                                   flag("serves", model ? "assistant" : "till,stock"),
                                   flag("fleet_key", this->key),
                                   flag("slots", this->options.slots)};
    append(flags, this->options.agent_flags);
    SARDINE_RETURN_IF_ERROR(this->start_process(node->run, {.binary = "sardine-agent",
                                                            .flags = std::move(flags),
                                                            .log_directory = "",
                                                            .name = node->id}));
    this->agent_nodes.push_back(std::move(node));
    return absl::OkStatus();
}

absl::Status fleet::start_entry(int index)
{
    entry_node& node = this->entry(index);
    node.id = absl::StrCat("entry-", index);
    absl::StatusOr<std::unique_ptr<fault_proxy>> callers =
        this->make_proxy(node.http.reserved(), false);
    absl::StatusOr<std::unique_ptr<fault_proxy>> platform =
        this->make_proxy(this->platform_port.reserved(), false);
    if (!callers.ok() || !platform.ok()) {
        return callers.ok() ? platform.status() : callers.status();
    }
    node.callers = *std::move(callers);
    node.platform = *std::move(platform);
    std::vector<std::string> seeds;
    for (const auto& agent : this->agent_nodes) {
        seeds.push_back(agent->peers->local().to_string());
    }
    for (int other = 0; other < this->entries(); ++other) {
        if (other != index) {
            seeds.push_back(this->entry(other).peers->local().to_string());
        }
    }
    std::vector<std::string> flags{flag("id", node.id),
                                   flag("data_centre", "fi/kuopio"),
                                   flag("listen", node.http.reserved().to_string()),
                                   flag("link_listen", node.links.reserved().to_string()),
                                   flag("ops_listen", node.ops.reserved().to_string()),
                                   flag("platform", node.platform->local().to_string()),
                                   flag("seeds", absl::StrJoin(seeds, ",")),
                                   flag("fleet_key", this->key),
                                   "--drain_delay_ms=200"};
    append(flags, this->options.entry_flags);
    return this->start_process(node.run, {.binary = "sardine-entry",
                                          .flags = std::move(flags),
                                          .log_directory = "",
                                          .name = node.id});
}

caller fleet::caller_of(int entry_index, absl::Duration patience) const
{
    return {this->entry_nodes[entry_index]->callers->local(), team_key, patience};
}

bool fleet::order_platform(const std::string& path, const std::string& body) const
{
    const address& at = this->platform_port.reserved();
    httplib::Client client(at.ip, at.port);
    const httplib::Result result = client.Post(path, body, json_type);
    return result && result->status == http_ok;
}

bool fleet::put_entry(const std::string& name, const std::string& spec) const
{
    return this->order_platform("/admin/entries/" + name, spec);
}

bool fleet::list_instance(const std::string& id, const std::string& spec) const
{
    return this->order_platform("/admin/instances/" + id, spec);
}

bool fleet::unlist_instance(const std::string& id) const
{
    const address& at = this->platform_port.reserved();
    httplib::Client client(at.ip, at.port);
    const httplib::Result result = client.Delete("/admin/instances/" + id);
    return result && result->status == http_ok;
}

std::string fleet::instance_spec(const agent_node& agent, bool earlier_leaving)
{
    json spec{{"role", "agent"},
              {"address", agent.peers->local().to_string()},
              {"data_centre", "fi/kuopio"},
              {"leaving", earlier_leaving}};
    if (earlier_leaving) {
        // Incarnations are random; no live one is 1.
        spec["incarnation"] = 1;
    }
    return spec.dump();
}

void fleet::list_all_instances() const
{
    for (const auto& agent : this->agent_nodes) {
        this->list_instance(agent->id, instance_spec(*agent, false));
    }
    for (const auto& entry : this->entry_nodes) {
        if (entry->id.empty()) {
            continue;
        }
        this->list_instance(entry->id, json({{"role", "entry"},
                                             {"address", entry->peers->local().to_string()},
                                             {"data_centre", "fi/kuopio"},
                                             {"leaving", false}})
                                           .dump());
    }
}

std::string fleet::ledger_path(bool model) const
{
    return absl::StrCat(this->files.path(), model ? "/engines.ledger" : "/services.ledger");
}

int fleet::runs_of(const std::string& key) const
{
    return count_lines(this->ledger_path(false), key);
}

int fleet::engine_attempts(const std::string& request_id) const
{
    return count_lines(this->ledger_path(true), request_id);
}

std::string fleet::get_page(const address& at, const std::string& path)
{
    httplib::Client client(at.ip, at.port);
    client.set_connection_timeout(page_timeout_s);
    client.set_read_timeout(page_timeout_s);
    const httplib::Result result = client.Get(path);
    return result && result->status == http_ok ? result->body : "";
}

std::uint64_t fleet::catalogue_number(const address& ops)
{
    const json status = json::parse(get_page(ops, "/status"), nullptr, false);
    if (!status.is_object()) {
        return 0;
    }
    const json& catalogue = status.contains("catalogue") ? status["catalogue"] : status;
    // A process that is not ready serves nothing: no number is in force on it yet.
    const bool in_force = catalogue.is_object() && catalogue.value("ready", false);
    return in_force ? catalogue.value("number", std::uint64_t{0}) : 0;
}

absl::Status fleet::restore()
{
    this->order_platform("/admin/outage?mode=none");
    this->order_platform("/admin/slow?delay_ms=0");
    this->order_platform("/admin/instance_lag?lag_ms=0");
    std::vector<process*> processes{this->platform_run.get()};
    for (const auto& agent : this->agent_nodes) {
        agent->peers->heal();
        agent->server->heal();
        processes.push_back(agent->backend_run.get());
        processes.push_back(agent->run.get());
    }
    for (const auto& entry : this->entry_nodes) {
        entry->callers->heal();
        entry->peers->heal();
        entry->platform->heal();
        processes.push_back(entry->run.get());
    }
    for (process* each : processes) {
        each->wake();
        if (each->alive()) {
            continue;
        }
        SARDINE_RETURN_IF_ERROR(each->restart());
        SARDINE_RETURN_IF_ERROR(each->wait_until_listening().status());
    }
    this->list_all_instances();
    return this->wait_until_serving();
}

absl::Status fleet::wait_until_serving()
{
    std::string missing;
    const bool serving = wait_until([&] {
        if (!this->all_links_up()) {
            missing = "links";
            return false;
        }
        for (int i = 0; i < this->entries(); ++i) {
            if (!this->serves_all(i)) {
                missing = absl::StrCat("services on entry ", i);
                return false;
            }
        }
        return true;
    });
    return serving ? absl::OkStatus()
                   : make_error(absl::StatusCode::kDeadlineExceeded, "wait_until_serving", missing,
                                "the fleet does not come back");
}

bool fleet::all_links_up()
{
    for (const auto& entry : this->entry_nodes) {
        for (const auto& agent : this->agent_nodes) {
            if (!agent->peers->has_link_from(entry->id)) {
                return false;
            }
        }
    }
    return true;
}

bool fleet::serves_all(int entry_index)
{
    const caller probe = this->caller_of(entry_index, probe_patience);
    return probe.call("GET", "/services/till/probe", "", {}).success() &&
           probe.call("GET", "/services/stock/probe", "", {}).success() &&
           probe.stream({.prompt = "probe", .max_tokens = 1}).whole();
}

} // namespace sardinestream::testing
