#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>

#include <unistd.h>

namespace review {
namespace {

constexpr int grace_s = 8;
std::atomic<int> next_boot = 1;

} // namespace

server::server(store& registered_in, std::string offered, std::string at, run serving)
    : registry(registered_in), service(std::move(offered)), ip(std::move(at)),
      serve_one(std::move(serving))
{
}

server::~server()
{
    this->crash();
}

void server::start()
{
    json registered;
    {
        const std::lock_guard lock(this->mutex);
        this->own_id = "i-" + std::to_string(next_boot++);
        this->born = unix_ms();
        this->listener = std::make_unique<tcp_server>(
            this->ip, this->port, [this](connection& caller) { this->serve(caller); });
        this->port = this->listener->port();
        registered = this->entry("ready");
    }
    this->registry.put("servers", this->id(), registered);
}

void server::crash()
{
    const std::lock_guard lock(this->mutex);
    if (this->listener != nullptr) {
        this->listener->stop();
        this->ended.push_back(std::move(this->listener));
    }
}

json server::entry(const std::string& state) const
{
    return {{"service", this->service},
            {"address", this->ip + ":" + std::to_string(this->port)},
            {"zone", "a"},
            {"version", "1"},
            {"slots", 8},
            {"state", state},
            {"cold-remaining-ms", 0},
            {"sequence", this->writes},
            {"born", this->born}};
}

void server::write_entry()
{
    json current;
    {
        const std::lock_guard lock(this->mutex);
        ++this->writes;
        current = this->entry("ready");
    }
    this->registry.put("servers", this->id(), current);
}

void server::remove_entry()
{
    this->registry.remove("servers", this->id());
}

void server::report_draining()
{
    json draining;
    {
        const std::lock_guard lock(this->mutex);
        draining = this->entry("draining");
    }
    this->registry.put("servers", this->id(), draining);
}

bool server::is_up()
{
    const std::lock_guard lock(this->mutex);
    return this->listener != nullptr;
}

std::string server::id()
{
    const std::lock_guard lock(this->mutex);
    return this->own_id;
}

std::string server::answer_headers(const message& request, const std::string& body)
{
    const std::string request_id = request.header("X-Sardinestream-Request-Id");
    return "X-Sardinestream-Request-Id: " + request_id +
           "\r\nX-Sardinestream-Response-Signature: s." + request_id + "." +
           std::to_string(body.size()) + "\r\nKeep-Alive: timeout=5\r\n";
}

bool server::answer(connection& caller, const message& request, int status, const std::string& body,
                    const std::string& more_headers)
{
    return caller.write("HTTP/1.1 " + std::to_string(status) + " x\r\n" +
                        this->answer_headers(request, body) + more_headers +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool server::refuse(connection& caller, const message& request, int status,
                    const std::string& more_headers)
{
    return this->answer(caller, request, status, "{}",
                        "X-Sardinestream-Not-Executed: 1\r\n" + more_headers);
}

void server::serve(connection& caller)
{
    message request;
    while (caller.read_message(request, 6000)) {
        if (request.path() == "/v1/report") {
            if (!caller.write("HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (request.header("X-Sardinestream-Expect-Instance") != this->id()) {
            if (!this->refuse(caller, request, 421)) {
                return;
            }
            continue;
        }
        if (!this->serve_one(*this, caller, request)) {
            return;
        }
        request = {};
    }
}

fleet::fleet(int count, std::string more_settings)
{
    const std::string folder = temporary_folder();
    // The same on all machines, as in the settings of the platform.
    const int gossip_port = free_port(network_ip(1, 1));
    std::string seeds;
    for (int i = 0; i < count; ++i) {
        entry_node node;
        node.ip = network_ip(1, i + 1);
        node.front_port = free_port(node.ip);
        node.ready_port = free_port(node.ip);
        node.gate = std::make_unique<store::gate>(this->platform, network_ip(2, i + 1));
        seeds += (seeds.empty() ? "" : ",") + node.ip + ":" + std::to_string(gossip_port);
        this->entries.push_back(std::move(node));
    }
    for (int i = 0; i < count; ++i) {
        entry_node& node = this->entries[static_cast<std::size_t>(i)];
        const std::string name = "front-a-" + std::to_string(i + 1);
        node.process = std::make_unique<program>(
            folder, name, binary_path("sardine-platform-entry"),
            "--id=" + name + "\n--data_centre=a\n--ip=" + node.ip +
                "\n--ops_port=0\n--news_port=" + std::to_string(gossip_port) +
                "\n--front_listen=" + node.ip + ":" + std::to_string(node.front_port) +
                "\n--ready_listen=" + node.ip + ":" + std::to_string(node.ready_port) +
                "\n--store=" + node.gate->address() + "\n--seeds=" + seeds +
                "\n--file_descriptors=4200\n--memory_mb=260\n--retry_ratio=0.2\n--retry_slack=88"
                "\n--heartbeat_ms=1200\n--evacuation_ms=\n--grace_s=" +
                std::to_string(grace_s) + "\n--cold_overage=\n--cold_slack=\n" + more_settings);
    }
}

void fleet::put_config(const json& routes, const std::vector<std::string>& services)
{
    json declared = json::array();
    for (const std::string& name : services) {
        declared.push_back({{"name", name}});
    }
    this->platform.put("config", "main",
                       {{"version", this->version += 3},
                        {"routes", routes},
                        {"services", declared},
                        {"limits",
                         {{"max-header-bytes", 16384},
                          {"max-body-bytes", 4194304},
                          {"header-timeout-ms", 3000},
                          {"idle-timeout-ms", 15000}}},
                        {"tenants", {{{"name", tenant}, {"api-keys", {key}}}}}});
}

bool fleet::start()
{
    for (entry_node& node : this->entries) {
        node.process->start();
    }
    for (entry_node& node : this->entries) {
        if (!wait_until_ready(node.ip, node.ready_port, 10'000)) {
            return false;
        }
    }
    return true;
}

json route(const std::string& name, const std::string& prefix, const std::string& kind,
           const std::string& service, int timeout_ms, int target_ms, int attempts)
{
    return {{"name", name},
            {"host", host},
            {"path-prefix", prefix},
            {"kind", kind},
            {"service", service},
            {"timeout-ms", timeout_ms},
            {"target-latency-ms", target_ms},
            {"target-gap-ms", kind == "streaming" ? 120 : 0},
            {"attempts", attempts},
            {"priority", 1},
            {"stream-resumption", false}};
}

void finish(int status, const std::string& reason)
{
    record("result: " + std::to_string(status) + " " + reason);
    std::printf("%s\n", reason.c_str());
    std::fflush(stdout);
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(temporary_folder());
    }
    else {
        std::printf("logs: %s\n", temporary_folder().c_str());
        std::fflush(stdout);
    }
    // The programs end with this process (PR_SET_PDEATHSIG); no thread is waited for.
    ::_exit(status);
}

} // namespace review
