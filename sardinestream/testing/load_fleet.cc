#include "sardinestream/testing/load_fleet.h"

#include <algorithm>
#include <fstream>
#include <map>

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/testing/caller.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr char fleet_key[] = "fleet-key-of-the-bench";
constexpr int http_ok = 200;
constexpr int data_centres = 3;
constexpr absl::Duration probe_patience = absl::Seconds(2);

std::string flag(absl::string_view name, const absl::AlphaNum& value)
{
    return absl::StrCat("--", name, "=", value);
}

std::string data_centre_of(int index)
{
    return absl::StrCat("region/dc-", index % data_centres);
}

std::string entry_spec(const load_team& team, const std::string& service, bool model)
{
    return json({{"owner", team.name},
                 {"service", service},
                 {"work_class", model ? "model" : "plain"},
                 {"repeat", model ? "all" : "reads_only"},
                 {"limits",
                  {{"max_in_flight", team.max_in_flight},
                   {"requests_per_s", team.requests_per_s},
                   {"max_tokens", 100000}}},
                 {"key_digests", {sha256_hex(team.key)}}})
        .dump();
}

bool post(const address& at, const std::string& path, const std::string& body)
{
    httplib::Client client(at.ip, at.port);
    const httplib::Result result = client.Post(path, body, "application/json");
    return result && result->status == http_ok;
}

std::map<std::string, int> count_each_line(const std::string& path)
{
    std::map<std::string, int> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        ++lines[line];
    }
    return lines;
}

} // namespace

absl::StatusOr<std::unique_ptr<load_fleet>> load_fleet::create(load_fleet_options options)
{
    std::unique_ptr<load_fleet> made(new load_fleet(std::move(options)));
    SARDINE_RETURN_IF_ERROR(
        made->start(made->platform, "standin_platform", "platform",
                    {flag("listen", made->platform_port.reserved().to_string())}));
    SARDINE_RETURN_IF_ERROR(made->write_catalogue());
    SARDINE_RETURN_IF_ERROR(made->start_agents());
    SARDINE_RETURN_IF_ERROR(made->start_entries());
    SARDINE_RETURN_IF_ERROR(made->wait_until_serving());
    return made;
}

const address& load_fleet::entry_address(int index) const
{
    return this->entry_nodes[index].http.reserved();
}

const address& load_fleet::engine_address(int index) const
{
    return this->agent_nodes[index].backend_port.reserved();
}

absl::Status load_fleet::start(std::unique_ptr<process>& into, const std::string& binary,
                               const std::string& name, std::vector<std::string> flags)
{
    absl::StatusOr<std::unique_ptr<process>> started =
        process::start({.binary = binary,
                        .flags = std::move(flags),
                        .log_directory = this->files.path(),
                        .name = name});
    if (!started.ok()) {
        return started.status();
    }
    into = *std::move(started);
    return into->wait_until_listening().status();
}

absl::Status load_fleet::write_catalogue() const
{
    for (const load_team& team : this->configured.teams) {
        if (!this->order_platform(absl::StrCat("/admin/entries/", team.name, "-assistant"),
                                  entry_spec(team, "assistant", true)) ||
            !this->order_platform(absl::StrCat("/admin/entries/", team.name, "-orders"),
                                  entry_spec(team, "orders", false))) {
            return make_error(absl::StatusCode::kUnavailable, "write_catalogue", "platform", "");
        }
    }
    return absl::OkStatus();
}

absl::Status load_fleet::start_agents()
{
    const load_fleet_options& wanted = this->configured;
    this->agent_nodes = std::vector<agent_node>(wanted.engines + wanted.services);
    for (int i = 0; i < this->agents(); ++i) {
        agent_node& node = this->agent_nodes[i];
        const bool model = i < wanted.engines;
        std::vector<std::string> flags{
            flag("listen", node.backend_port.reserved().to_string()),
            flag("ledger_file", absl::StrCat(this->files.path(), model ? "/engines" : "/services")),
            "--crash_marker=crash-me"};
        if (model) {
            flags.push_back(flag("slots", 2 * wanted.slots));
            flags.push_back(flag("token_us", absl::ToInt64Microseconds(wanted.token_time)));
            flags.push_back(
                flag("prefill_us", absl::ToInt64Microseconds(wanted.prefill_token_time)));
            flags.push_back(flag("cached_blocks", wanted.cached_blocks));
        }
        SARDINE_RETURN_IF_ERROR(this->start(node.backend,
                                            model ? "standin_engine" : "standin_service",
                                            absl::StrCat("backend-", i), std::move(flags)));
        SARDINE_RETURN_IF_ERROR(this->start(
            node.run, "sardine-agent", absl::StrCat("agent-", i),
            {flag("id", absl::StrCat("agent-", i)), flag("data_centre", data_centre_of(i)),
             flag("listen", node.links.reserved().to_string()),
             flag("backend", node.backend_port.reserved().to_string()),
             flag("serves", model ? "assistant" : "orders"), flag("slots", wanted.slots),
             flag("fleet_key", fleet_key), "--log_level=error"}));
    }
    return absl::OkStatus();
}

absl::StatusOr<std::string> load_fleet::seeds_of(int entry)
{
    entry_node& node = this->entry_nodes[entry];
    std::vector<std::string> seeds;
    for (int i = 0; i < this->agents(); ++i) {
        const address& at = this->agent_nodes[i].links.reserved();
        if (data_centre_of(i) == data_centre_of(entry)) {
            node.relays.push_back(nullptr);
            seeds.push_back(at.to_string());
            continue;
        }
        absl::StatusOr<std::unique_ptr<delay_relay>> relay =
            delay_relay::create(at, this->configured.data_centre_delay);
        if (!relay.ok()) {
            return relay.status();
        }
        seeds.push_back((*relay)->local().to_string());
        node.relays.push_back(*std::move(relay));
    }
    for (int other = 0; other < this->entries(); ++other) {
        if (other != entry) {
            seeds.push_back(this->entry_nodes[other].links.reserved().to_string());
        }
    }
    return absl::StrJoin(seeds, ",");
}

absl::Status load_fleet::start_entries()
{
    this->entry_nodes = std::vector<entry_node>(this->configured.entries);
    for (int i = 0; i < this->entries(); ++i) {
        entry_node& node = this->entry_nodes[i];
        const std::string id = absl::StrCat("entry-", i);
        this->order_platform("/admin/instances/" + id,
                             json({{"role", "entry"},
                                   {"address", node.links.reserved().to_string()},
                                   {"data_centre", data_centre_of(i)},
                                   {"leaving", false}})
                                 .dump());
        absl::StatusOr<std::string> seeds = this->seeds_of(i);
        if (!seeds.ok()) {
            return seeds.status();
        }
        SARDINE_RETURN_IF_ERROR(this->start(
            node.run, "sardine-entry", id,
            {flag("id", id), flag("data_centre", data_centre_of(i)),
             flag("listen", node.http.reserved().to_string()),
             flag("link_listen", node.links.reserved().to_string()),
             flag("platform", this->platform_port.reserved().to_string()), flag("seeds", *seeds),
             flag("fleet_key", fleet_key), flag("policy", this->configured.policy),
             "--drain_delay_ms=200", "--log_level=error"}));
    }
    return absl::OkStatus();
}

absl::Status load_fleet::wait_until_serving() const
{
    const std::string& key = this->configured.teams.front().key;
    for (int i = 0; i < this->entries(); ++i) {
        const caller probe(this->entry_address(i), key, probe_patience);
        const bool serving = wait_until([&probe] {
            return probe.call("GET", "/services/orders/probe", "", {}).success() &&
                   probe.stream({.prompt = "probe", .max_tokens = 1}).whole();
        });
        if (!serving) {
            return make_error(absl::StatusCode::kDeadlineExceeded, "wait_until_serving",
                              this->entry_nodes[i].run->name(), this->entry_nodes[i].run->output());
        }
    }
    return absl::OkStatus();
}

void load_fleet::cut_data_centre(int index)
{
    for (int i = 0; i < this->entries(); ++i) {
        for (int j = 0; j < this->agents(); ++j) {
            delay_relay* relay = this->entry_nodes[i].relays[j].get();
            if (relay != nullptr && (i == index || this->is_in_data_centre(j, index))) {
                relay->black_hole();
            }
        }
    }
}

bool load_fleet::order_platform(const std::string& path, const std::string& body) const
{
    return post(this->platform_port.reserved(), path, body);
}

bool load_fleet::order_engine(int index, const std::string& path, const std::string& body) const
{
    return post(this->engine_address(index), path, body);
}

int load_fleet::engine_attempts() const
{
    if (!std::ifstream(this->files.path() + "/engines").is_open()) {
        return unreadable;
    }
    int attempts = 0;
    for (const auto& [request, count] : count_each_line(this->files.path() + "/engines")) {
        attempts += count;
    }
    return attempts;
}

int load_fleet::most_runs_of_a_key() const
{
    if (!std::ifstream(this->files.path() + "/services").is_open()) {
        return unreadable;
    }
    int most = 0;
    for (const auto& [key, runs] : count_each_line(this->files.path() + "/services")) {
        if (key.starts_with("dispatch-")) {
            most = std::max(most, runs);
        }
    }
    return most;
}

process_cost load_fleet::cost_of(const process& measured)
{
    process_cost cost;
    const std::string directory = absl::StrCat("/proc/", measured.id());
    std::ifstream stat(directory + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < 11; ++i) { // the fields before utime
        fields >> skipped;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    cost.cpu_s = (user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK));
    cost.resident_mb = measured.resident_mb();
    std::ifstream io(directory + "/io");
    double value = 0;
    for (std::string name; io >> name >> value;) {
        cost.bytes += name == "rchar:" || name == "wchar:" ? value : 0;
    }
    return cost;
}

} // namespace sardinestream::testing
