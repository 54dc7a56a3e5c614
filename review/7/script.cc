// The servers of a service are replaced one after the other: each one's entry is removed, and it
// goes on for drain-ms and a little longer. As the entry is removed, the store cuts off the watches
// that wait.

#include "../standin-2/deployment.h"

namespace {

using namespace standin;

constexpr double drain_s = 2.0;
// The "little longer".
constexpr double linger_s = 0.15;
constexpr int work_ms = 40;
constexpr int requesters = 24;
constexpr int replacements = 6;

std::atomic<int> next_id{0};
std::atomic<int> answered{0};
std::atomic<int> refused{0};
std::atomic<int> unknown{0};
std::atomic<int> late{0};

// One server of the service.
class server {
public:
    server(const std::string& ip, std::string instance)
        : instance(std::move(instance)), front(ip, [this](int fd) { this->serve(fd); })
    {
    }
    void leave() { this->removed_at = seconds(); }
    // Ends the process: its channels are reset, new ones are refused.
    void exit()
    {
        this->gone = true;
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int fd : this->channels) {
            const linger now = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            shutdown(fd, SHUT_RDWR);
        }
    }
    const std::string instance;

private:
    void serve(int fd)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->channels.insert(fd);
        }
        std::string buffered;
        request got;
        while (!this->gone && read_request(fd, buffered, got) && !this->gone) {
            const double now = seconds();
            const std::string id = got.header("x-sardinestream-request-id");
            if (got.header("x-sardinestream-expect-instance") != this->instance) {
                send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Sardinestream-Request-Id: " +
                                 id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const double removed = this->removed_at;
            if (removed > 0 && now > removed + drain_s) {
                ++late;
                record().line("DRAIN: %s reaches %s %.3f s after the store acknowledged that it is "
                              "gone",
                              id.c_str(), this->instance.c_str(), now - removed);
            }
            pause_for(work_ms);
            send_all(fd, "HTTP/1.1 200 OK\r\nX-Sardinestream-Request-Id: " + id +
                             "\r\nX-Sardinestream-Response-Signature: s-" + id +
                             "\r\nContent-Length: 2\r\n\r\nok");
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->channels.erase(fd);
    }
    std::atomic<double> removed_at{0};
    std::atomic<bool> gone{false};
    std::mutex mutex;
    std::set<int> channels;

public:
    listener front;
};

void request_orders(const deployment& fleet, int number, const std::atomic<bool>& over)
{
    const int entry = 1 + number % 2;
    int fd = -1;
    std::string buffered;
    while (!over) {
        if (fd < 0) {
            fd = connect_to(fleet.ip(entry), fleet.front_port);
            buffered.clear();
        }
        const std::string id = "r" + std::to_string(++next_id);
        send_all(fd,
                 "POST /orders/x HTTP/1.1\r\nHost: a.example\r\nX-Sardinestream-Request-Id: " + id +
                     "\r\nX-Sardinestream-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi");
        answer got = read_answer(fd, buffered, 4000);
        answered += got.status == 200 ? 1 : 0;
        refused += got.status == 503 ? 1 : 0;
        if (got.status != 200 && got.status != 503) {
            ++unknown;
            record().line("%s at entry %d: status %d %s", id.c_str(), entry, got.status,
                          got.fault.c_str());
        }
        if (!got.complete || got.headers["connection"] == "close") {
            close(fd);
            fd = -1;
        }
        pause_for(10);
    }
}

} // namespace

int main(int, char** argv)
{
    began();
    record().open(std::string(argv[1]) + "/record.txt");
    deployment fleet(argv[2]);
    std::vector<std::unique_ptr<server>> servers;
    const auto add = [&] {
        servers.push_back(
            std::make_unique<server>(fleet.ip(100), "i-" + std::to_string(servers.size() + 1)));
        const server& added = *servers.back();
        fleet.platform->put("servers", added.instance,
                            server_entry("orders",
                                         fleet.ip(100) + ":" + std::to_string(added.front.port), 12,
                                         "ready", 1));
    };
    add();
    add();
    add();
    fleet.platform->put(
        "config", "main",
        R"({"version":7,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/orders/",)"
        R"("kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":1,)"
        R"("service":"orders","attempts":1,"public":true}],)"
        R"("services":[{"name":"orders","health-path":"/health",)"
        R"("connection-limit":408,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
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
    std::atomic<bool> over{false};
    std::vector<std::thread> all;
    all.reserve(requesters);
    for (int number = 0; number < requesters; ++number) {
        all.emplace_back([&, number] { request_orders(fleet, number, over); });
    }
    for (int turn = 0; turn < replacements; ++turn) {
        // The new one starts first.
        add();
        pause_for(4000);
        server& leaving = *servers[static_cast<std::size_t>(turn)];
        if (troubled()) {
            fleet.platform->remove_and_cut_watches("servers", leaving.instance);
        }
        else {
            fleet.platform->remove("servers", leaving.instance);
        }
        leaving.leave();
        record().line("entry of %s removed%s", leaving.instance.c_str(),
                      troubled() ? ", waiting watches cut off" : "");
        pause_for(static_cast<int>((drain_s + linger_s) * 1000));
        leaving.exit();
        record().line("%s exits", leaving.instance.c_str());
    }
    pause_for(500);
    over = true;
    for (std::thread& one : all) {
        one.join();
    }
    record().line("answered: %d; refused: %d; neither: %d; DRAIN: %d", answered.load(),
                  refused.load(), unknown.load(), late.load());
    entries.clear();
    std::fflush(nullptr);
    _exit(late > 0 ? 1 : answered > 0 ? 0 : 2);
}
