// Another writer leaves entries among those of the servers: of a service that the desired state
// does not name, at the addresses of the sound servers.

#include "../standin-2/deployment.h"

namespace {

using namespace standin;

constexpr int requesters = 8;
// From the entries of the other writer to the first request, and from that to the last.
constexpr int settle_ms = 3000;
constexpr int traffic_ms = 15000;

std::atomic<int> next_id{0};

std::atomic<int> asked{0};
std::atomic<int> served{0};

void serve(int fd, const std::string& instance)
{
    std::string buffered;
    request got;
    while (read_request(fd, buffered, got)) {
        const std::string id = got.header("x-sardinestream-request-id");
        if (got.header("x-sardinestream-expect-instance") != instance) {
            send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Sardinestream-Request-Id: " + id +
                             "\r\nX-Sardinestream-Instance-Id: " + instance +
                             "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        pause_for(15);
        send_all(fd, "HTTP/1.1 200 OK\r\nX-Sardinestream-Request-Id: " + id +
                         "\r\nX-Sardinestream-Response-Signature: s-" + id +
                         "\r\nContent-Length: 2\r\n\r\nok");
    }
}

void ask(const deployment& fleet, int number, const std::atomic<bool>& over)
{
    int fd = -1;
    std::string buffered;
    while (!over) {
        if (fd < 0) {
            fd = connect_to(fleet.ip(1 + number % 2), fleet.front_port);
            buffered.clear();
        }
        const std::string id = "r" + std::to_string(++next_id);
        send_all(fd, "GET /stock/x HTTP/1.1\r\nHost: a.example\r\nX-Sardinestream-Request-Id: " +
                         id + "\r\nX-Sardinestream-Deadline-Ms: 1500\r\n\r\n");
        answer got = read_answer(fd, buffered, 3000);
        ++asked;
        served += got.complete && got.status == 200 ? 1 : 0;
        if (got.status != 200) {
            const double after = std::atof(got.headers["retry-after"].c_str());
            record().line("%s at entry %d: status %d, come back in %.1f s", id.c_str(),
                          1 + number % 2, got.status, after);
            pause_for(std::clamp(static_cast<int>(after * 1000), 100, 500));
        }
        if (!got.complete || got.headers["connection"] == "close") {
            close(fd);
            fd = -1;
        }
        pause_for(50);
    }
}

} // namespace

int main(int, char** argv)
{
    began();
    record().open(std::string(argv[1]) + "/record.txt");
    deployment fleet(argv[2]);
    std::vector<std::unique_ptr<listener>> servers;
    std::vector<std::string> addresses;
    for (const std::string name : {"i-1", "i-2", "i-3"}) {
        servers.push_back(
            std::make_unique<listener>(fleet.ip(100), [name](int fd) { serve(fd, name); }));
        addresses.push_back(fleet.ip(100) + ":" + std::to_string(servers.back()->port));
        fleet.platform->put("servers", name,
                            server_entry("stock", addresses.back(), 6, "ready", 1));
    }
    fleet.platform->put(
        "config", "main",
        R"({"version":7,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/stock/",)"
        R"("kind":"idempotent","timeout-ms":1500,"target-latency-ms":150,"priority":1,)"
        R"("service":"stock","attempts":2,"public":true}],)"
        R"("services":[{"name":"stock","health-path":"/health",)"
        R"("connection-limit":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
        R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    std::vector<std::unique_ptr<process>> entries;
    for (int number : {1, 2}) {
        entries.push_back(fleet.start_entry(number));
    }
    for (int number : {1, 2}) {
        if (!wait_until_ready(fleet.ip(number), fleet.ready_port, 15000)) {
            record().line("entry %d isn't ready", number);
            return 2;
        }
    }
    for (std::size_t at = 0; at < addresses.size() && troubled(); ++at) {
        // Its start is later than that of the server, which is what a watcher of it would say.
        const std::string entry =
            "{\"service\":\"uptime-watch\",\"address\":\"" + addresses[at] +
            "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
            "\"cold-remaining-ms\":0,\"born\":1700000100000,\"sequence\":1}";
        record().line("another writer writes servers/watch-%zu: %s", at + 1, entry.c_str());
        fleet.platform->put("servers", "watch-" + std::to_string(at + 1), entry);
    }
    pause_for(settle_ms);
    std::atomic<bool> over{false};
    std::vector<std::thread> all;
    all.reserve(requesters);
    for (int number = 0; number < requesters; ++number) {
        all.emplace_back([&, number] { ask(fleet, number, over); });
    }
    pause_for(traffic_ms);
    over = true;
    for (std::thread& one : all) {
        one.join();
    }
    bool all_run = true;
    for (const auto& one : entries) {
        all_run = all_run && !one->has_ended();
    }
    // The servers are sound, and listed, to the end.
    bool all_sound = true;
    for (std::size_t at = 0; at < servers.size(); ++at) {
        const std::string name = "i-" + std::to_string(at + 1);
        const int fd = connect_to(fleet.ip(100), servers[at]->port);
        std::string buffered;
        send_all(fd, "GET /stock/x HTTP/1.1\r\nHost: a.example\r\nX-Sardinestream-Request-Id: d" +
                         name + "\r\nX-Sardinestream-Expect-Instance: " + name + "\r\n\r\n");
        const answer got = read_answer(fd, buffered, 2000);
        record().line("%s, asked directly: status %d", name.c_str(), got.status);
        all_sound = all_sound && got.status == 200 && got.complete;
        close(fd);
    }
    record().line("served: %d of %d; all servers sound: %s; all programs run: %s", served.load(),
                  asked.load(), all_sound ? "yes" : "no", all_run ? "yes" : "no");
    entries.clear();
    std::fflush(nullptr);
    _exit(asked == 0 || !all_sound ? 2 : served == 0 ? 1 : 0);
}
