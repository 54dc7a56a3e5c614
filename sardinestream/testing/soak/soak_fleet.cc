#include "sardinestream/testing/soak/soak_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/http/http_client.h"
#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Groups of addresses in the run's network.
constexpr int entry_group = 1;
constexpr int model_group = 2;
constexpr int plain_group = 3;
constexpr int store_group = 4;

constexpr int front_port = 8080;
constexpr int ready_port = 8081;
constexpr int gossip_port = 7340;
constexpr int server_port = 8228;
constexpr int proxy_port = 8300;
constexpr int store_port = 8223;

// Of the servers to the store; a silent one is removed after three.
constexpr int heartbeat_ms = 400;
constexpr milliseconds ready_timeout{20000};
constexpr milliseconds ready_time_per_process{200};
constexpr milliseconds plain_timeout{3000};
constexpr milliseconds step{10};

json route_json(const std::string& name, const std::string& prefix, const std::string& kind,
                const std::string& service, milliseconds timeout = plain_timeout)
{
    return {{"name", name},
            {"host", soak_host},
            {"path-prefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeout-ms", timeout.count()},
            {"target-latency-ms", 300},
            {"target-gap-ms", kind == "streaming" ? 200 : 0},
            {"attempts", 3},
            {"stream-resumption", kind == "streaming"}};
}

json engine_json(const rank_group_options& group)
{
    constexpr double megabytes = 10;
    constexpr double bits = 8;
    const double copy_s = static_cast<double>(group.copy_time_per_expert.count()) / 1000;
    return {{"slots", 8},
            {"stride", 1},
            {"step_ms", group.pass_time.count()},
            {"sets", group.shape.sets},
            {"experts", group.shape.experts},
            {"placements", group.shape.max_experts_per_rank},
            {"spare", group.most_new_experts},
            {"expert-mb", megabytes},
            {"expert-share", 0.85},
            {"link-mbps", megabytes * bits / copy_s}};
}

// What the smallest machines of the users give their processes.
constexpr double entry_memory_mb = 260;
constexpr double agent_memory_mb = 128;

} // namespace

absl::StatusOr<std::unique_ptr<soak_fleet>> soak_fleet::create(const soak_size& size,
                                                               promise_ledger& ledger)
{
    std::unique_ptr<soak_fleet> made(new soak_fleet(size, ledger));
    SARDINE_RETURN_IF_ERROR(made->start());
    return made;
}

soak_fleet::soak_fleet(const soak_size& wanted, promise_ledger& shared)
    : size(wanted), ledger(shared)
{
}

soak_fleet::~soak_fleet() = default;

std::string soak_fleet::data_centre_of(std::size_t server)
{
    return server % 2 == 0 ? "a" : "b";
}

std::string soak_fleet::ip(int group, int number) const
{
    return this->network->ip(group, number);
}

address soak_fleet::entry_address(int index) const
{
    return {this->ip(entry_group, index + 1), front_port};
}

absl::Status soak_fleet::start()
{
    absl::StatusOr<loopback_network> claimed = loopback_network::claim();
    if (!claimed.ok()) {
        return claimed.status();
    }
    this->network = *std::move(claimed);
    absl::StatusOr<std::unique_ptr<store_emulator>> opened =
        store_emulator::start({this->ip(store_group, 1), store_port});
    if (!opened.ok()) {
        return opened.status();
    }
    this->store = *std::move(opened);
    SARDINE_RETURN_IF_ERROR(this->start_servers());
    this->write_config();
    SARDINE_RETURN_IF_ERROR(this->start_programs());
    SARDINE_RETURN_IF_ERROR(this->wait_until_ready());
    this->throttle_programs();
    return absl::OkStatus();
}

void soak_fleet::throttle_programs()
{
    std::vector<throttled_process> throttled;
    const auto add = [&throttled](const std::vector<program_node>& nodes, double share) {
        for (const program_node& node : nodes) {
            if (share < 1) {
                throttled.push_back({node.run.get(), share});
            }
        }
    };
    add(this->entry_nodes, this->size.entry_share);
    add(this->agent_nodes, this->size.agent_share);
    if (!throttled.empty()) {
        this->throttle = std::make_unique<cpu_throttle>(std::move(throttled));
    }
}

rank_group_options soak_fleet::group_options() const
{
    rank_group_options group;
    group.pass_time = this->size.pass_time;
    group.form_time = this->size.form_time;
    group.shape.ranks = this->size.model_servers / this->size.groups;
    group.shape.experts = std::max(group.shape.experts, 2 * group.shape.ranks);
    return group;
}

rank_group& soak_fleet::group_of(std::size_t server) const
{
    return *this->groups[server % this->groups.size()];
}

int soak_fleet::rank_of(std::size_t server) const
{
    return static_cast<int>(server / this->groups.size());
}

std::int64_t soak_fleet::passes() const
{
    std::int64_t all = 0;
    for (const std::unique_ptr<rank_group>& group : this->groups) {
        all += group->passes();
    }
    return all;
}

absl::Status soak_fleet::start_servers()
{
    for (int i = 0; i < this->size.groups; ++i) {
        rank_group_options group = this->group_options();
        group.name = absl::StrCat("g", i + 1);
        this->groups.push_back(std::make_unique<rank_group>(
            group, [this](const std::string& what) { this->ledger.note_broken("map: " + what); }));
    }
    for (int i = 0; i < this->size.model_servers; ++i) {
        backend_options options;
        options.service = "assistant";
        options.local = {this->ip(model_group, i + 1), server_port};
        options.group = &this->group_of(static_cast<std::size_t>(i));
        options.rank = this->rank_of(static_cast<std::size_t>(i));
        options.stall = this->size.stall;
        SARDINE_RETURN_IF_ERROR(this->start_server(options));
    }
    for (int i = 0; i < this->size.plain_servers; ++i) {
        backend_options options;
        options.service = i % 2 == 0 ? "till-a" : "till-b";
        options.local = {this->ip(plain_group, i + 1), server_port};
        SARDINE_RETURN_IF_ERROR(this->start_server(options));
    }
    return absl::OkStatus();
}

absl::Status soak_fleet::start_server(backend_options options)
{
    const auto number = this->servers.size();
    options.id = absl::StrCat("i-", number, "-1");
    options.data_centre = data_centre_of(number);
    backend_hooks hooks;
    hooks.on_begin = [this](const begun_run& run) { this->ledger.note_begun(run); };
    hooks.on_end = [this](const std::string& id) { this->ledger.note_ended(id); };
    hooks.on_broke_off = [this](const std::string& id) { this->ledger.note_broke_off(id); };
    hooks.on_arrival = [this, number](const std::string& id, const std::string& service,
                                      const std::string& server) {
        this->ledger.note_arrival(id, service, server);
        this->ledger.check_evacuation(id, server, data_centre_of(number));
    };
    hooks.on_leaving_said = [this](const std::string& id, const std::string& server) {
        this->ledger.note_leaving_said(id, server);
    };
    hooks.on_hold_off_said = [this](const std::string& id, const std::string& server,
                                    steady_time until) {
        this->ledger.note_hold_off_said(id, server, until);
    };
    hooks.on_limit_said = [this](const std::string& id, const std::string& server, double per_s,
                                 steady_time until) {
        this->ledger.note_limit_said(id, server, per_s, until);
    };
    hooks.on_crash = [this, number] {
        const absl::MutexLock lock(&this->mutex);
        this->crashing.insert(number);
    };
    server_node node;
    node.server = std::make_unique<backend_emulator>(options, hooks);
    SARDINE_RETURN_IF_ERROR(node.server->start(options.id));
    absl::StatusOr<std::unique_ptr<chaos_proxy>> proxy =
        chaos_proxy::start({options.local.ip, proxy_port}, options.local);
    if (!proxy.ok()) {
        return proxy.status();
    }
    node.proxy = *std::move(proxy);
    this->list_server(node);
    this->servers.push_back(std::move(node));
    return absl::OkStatus();
}

void soak_fleet::list_server(server_node& node)
{
    const bool direct =
        this->size.direct_model_servers && node.server->described().group != nullptr;
    const address& reached_at = direct ? node.server->described().local : node.proxy->local();
    json entry = node.server->entry(reached_at);
    entry["sequence"] = ++node.writes;
    this->store->put(words::servers_kind, node.server->id(), entry);
}

void soak_fleet::write_config()
{
    const std::string service = this->moved ? "till-b" : "till-a";
    const rank_group_options group = this->group_options();
    const json state = {
        {"version", ++this->config_version},
        {"routes",
         {route_json("chat", "/chat/", "streaming", "assistant", this->size.stream_timeout),
          route_json("deposits", "/deposits/", "non_idempotent", "till-a"),
          route_json("stock", "/stock/", "idempotent", "till-a"),
          route_json("moving", "/moving/", "idempotent", service)}},
        {"services",
         {{{"name", "assistant"}, {"engine", engine_json(group)}},
          {{"name", "till-a"}},
          {{"name", "till-b"}}}},
        {"tenants", {{{"name", soak_team}, {"api-keys", {soak_key}}}}}};
    this->store->put(words::config_kind, words::config_name, state);
    this->ledger.note_config(service);
}

absl::Status soak_fleet::start_programs()
{
    std::vector<std::string> seeds;
    seeds.reserve(static_cast<std::size_t>(this->size.entries));
    for (int i = 0; i < this->size.entries; ++i) {
        seeds.push_back(absl::StrCat(this->ip(entry_group, i + 1), ":", gossip_port));
    }
    // Programs are kept by reference: none may move once a task names one.
    this->entry_nodes.reserve(static_cast<std::size_t>(this->size.entries));
    this->agent_nodes.reserve(static_cast<std::size_t>(this->size.model_servers));
    for (int i = 0; i < this->size.entries; ++i) {
        absl::StatusOr<std::unique_ptr<chaos_proxy>> proxy =
            chaos_proxy::start({this->ip(store_group, i + 2), store_port}, this->store->local());
        if (!proxy.ok()) {
            return proxy.status();
        }
        const std::string own = this->ip(entry_group, i + 1);
        SARDINE_RETURN_IF_ERROR(this->start_program(
            this->entry_nodes, "sardine-platform-entry", absl::StrCat("entry-", i),
            absl::StrCat(
                this->size.sets_memory ? absl::StrCat("--memory_mb=", entry_memory_mb, "\n") : "",
                this->size.evacuates ? "--evacuation_ms=3000\n" : "", "--ip=", own,
                "\n--news_port=", gossip_port, "\n--front_listen=", own, ":", front_port,
                "\n--ready_listen=", own, ":", ready_port,
                "\n--store=", (*proxy)->local().to_string(),
                "\n--seeds=", absl::StrJoin(seeds, ","), "\n--grace_s=", this->size.grace.count(),
                "\n--heartbeat_ms=", heartbeat_ms, "\n")));
        this->entry_nodes.back().entry = this->entry_address(i).to_string();
        this->store_proxies.push_back(*std::move(proxy));
    }
    for (int i = 0; i < this->size.model_servers; ++i) {
        const backend_options& server =
            this->servers[static_cast<std::size_t>(i)].server->described();
        SARDINE_RETURN_IF_ERROR(this->start_program(
            this->agent_nodes, "sardine-platform-agent", absl::StrCat("agent-", i),
            absl::StrCat("--ip=", server.local.ip, "\n--news_port=", gossip_port, "\n--backend=",
                         server.local.to_string(), "\n--service=", server.service, "\n")));
    }
    return absl::OkStatus();
}

absl::Status soak_fleet::start_program(std::vector<program_node>& into, const std::string& binary,
                                       const std::string& name, const std::string& settings)
{
    program_node node;
    node.name = name;
    node.memory_mb = &into == &this->entry_nodes ? entry_memory_mb : agent_memory_mb;
    node.settings_path = absl::StrCat(this->files.path(), "/", name, ".settings");
    std::ofstream(node.settings_path)
        << "--id=" << name << "\n--data_centre=" << (into.size() % 2 == 0 ? "a" : "b") << "\n"
        << settings;
    ::setenv("SARDINESTREAM_SETTINGS", node.settings_path.c_str(), 1);
    absl::StatusOr<std::unique_ptr<process>> started =
        process::start({binary, {}, this->files.path(), name});
    if (!started.ok()) {
        return started.status();
    }
    node.run = *std::move(started);
    into.push_back(std::move(node));
    return absl::OkStatus();
}

absl::Status soak_fleet::restart(program_node& node)
{
    ::setenv("SARDINESTREAM_SETTINGS", node.settings_path.c_str(), 1);
    node.disturbed = this->size.start_time > milliseconds(0);
    if (node.disturbed) {
        this->after(this->size.start_time, [&node] { node.disturbed = false; });
    }
    if (!node.entry.empty()) {
        this->ledger.note_entry_restart(node.entry);
    }
    return node.run->restart();
}

bool soak_fleet::is_ready(int entry) const
{
    constexpr int http_ok = 200;
    http_client client({this->ip(entry_group, entry + 1), ready_port});
    const absl::StatusOr<http_answer> answer =
        client.call("GET", "/", "", steady_clock::now() + milliseconds(500));
    return answer.ok() && answer->status == http_ok;
}

absl::Status soak_fleet::wait_until_ready()
{
    const int processes = this->size.entries + this->size.model_servers;
    const steady_time deadline =
        steady_clock::now() + ready_timeout + processes * ready_time_per_process;
    for (int i = 0; i < this->size.entries; ++i) {
        while (!this->is_ready(i)) {
            if (steady_clock::now() > deadline) {
                return make_error(absl::StatusCode::kDeadlineExceeded, "start",
                                  absl::StrCat("entry-", i), "not ready");
            }
            this->run_until(steady_clock::now() + step);
        }
    }
    return absl::OkStatus();
}

void soak_fleet::after(milliseconds delay, task work)
{
    this->due.emplace(steady_clock::now() + delay, std::move(work));
}

void soak_fleet::run_until(steady_time end)
{
    while (steady_clock::now() < end) {
        while (!this->due.empty() && this->due.begin()->first <= steady_clock::now()) {
            const task work = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            work();
        }
        this->crash_due_servers();
        this->watch_programs();
        std::this_thread::sleep_for(step);
    }
}

void soak_fleet::watch_programs()
{
    for (std::vector<program_node>* const nodes : {&this->entry_nodes, &this->agent_nodes}) {
        for (program_node& node : *nodes) {
            if (node.disturbed) {
                continue;
            }
            if (node.run->alive()) {
                this->watch_memory(node);
                continue;
            }
            this->ledger.note_broken(absl::StrCat(
                "exit: ", node.name, " ended by itself, log=", node.run->output_path()));
            node.disturbed = true;
            this->restart_when_gone(node);
        }
    }
}

void soak_fleet::watch_memory(program_node& node)
{
    const double resident_mb = node.run->resident_mb();
    if (resident_mb <= node.memory_mb || node.exceeds_memory) {
        return;
    }
    node.exceeds_memory = true;
    this->ledger.note_broken(
        absl::StrCat("memory: ", node.name, " takes ", resident_mb, " MB of ", node.memory_mb));
}

absl::Status soak_fleet::heal()
{
    // What ends a fault is due at the latest after the longest one and planned stops in turn.
    const steady_time longest =
        steady_clock::now() + this->size.entries * (this->size.grace + std::chrono::seconds(4));
    while (!this->due.empty() && steady_clock::now() < longest) {
        this->run_until(steady_clock::now() + step);
    }
    return this->wait_until_ready();
}

} // namespace sardinestream::testing
