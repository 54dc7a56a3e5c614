// Streams at two entries, of which one at a time is killed and restarted. Requesters resume a
// broken stream at the other entry, and use a kept channel for their next stream.

#include "../standin-2/deployment.h"

namespace {

using namespace standin;

constexpr int events_in_stream = 26;
// A pass of the model: an event each, and the end of the stream with the pass after the last event.
constexpr int pass_ms = 50;
constexpr int requesters = 40;
constexpr int run_s = 24;
constexpr int kill_every_ms = 3000;

std::atomic<int> streams_done{0};
std::atomic<int> resumed{0};
std::atomic<int> resumed_at_end{0};
std::atomic<int> broken{0};
std::atomic<int> unexpected{0};
std::atomic<int> next_id{0};

// Serves streams: whole ones, or the rest behind Last-Event-Id.
void serve_model(int fd, const std::string& instance)
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
        const int after = std::atoi(got.header("last-event-id").c_str());
        record().line("%s runs %s behind event %d", instance.c_str(), id.c_str(), after);
        if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "X-Sardinestream-Request-Id: " +
                              id + "\r\nX-Sardinestream-Response-Signature: s-" + id +
                              "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return;
        }
        for (int event = after + 1; event <= events_in_stream; ++event) {
            pause_for(pass_ms);
            const std::string text =
                "id: " + std::to_string(event) + "\ndata: word" + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!send_all(fd, size + text + "\r\n")) {
                return;
            }
        }
        pause_for(pass_ms);
        if (!send_all(fd, "0\r\n\r\n")) {
            return;
        }
    }
}

int last_event(const std::string& body)
{
    const std::size_t whole = body.rfind("\n\n");
    if (whole == std::string::npos) {
        return 0;
    }
    const std::size_t at = body.rfind("id: ", whole);
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

// One requester: stream after stream, over one channel as long as that is kept.
void request_streams(const deployment& fleet, int number, steady::time_point until)
{
    int entry = 1 + number % 2;
    int fd = -1;
    std::string buffered;
    const auto drop = [&] {
        close(fd);
        fd = -1;
        buffered.clear();
    };
    pause_for(number * (events_in_stream + 1) * pass_ms / requesters);
    int seen = 0;
    std::string before = "nothing";
    while (steady::now() < until) {
        if (fd < 0) {
            fd = connect_to(fleet.ip(entry), fleet.front_port);
            before = "nothing";
        }
        if (fd < 0) {
            entry = 3 - entry;
            pause_for(50);
            continue;
        }
        const std::string id = "r" + std::to_string(++next_id);
        std::string text = "POST /model/x HTTP/1.1\r\nHost: a.example\r\n"
                           "X-Sardinestream-Request-Id: " +
                           id + "\r\nX-Sardinestream-Deadline-Ms: 8000\r\nContent-Length: 2\r\n";
        if (seen > 0) {
            ++resumed;
            resumed_at_end += seen == events_in_stream ? 1 : 0;
            text += "Last-Event-Id: " + std::to_string(seen) + "\r\n";
        }
        send_all(fd, text + "\r\nhi");
        answer got = read_answer(fd, buffered, 8000);
        if (got.fault == "bytes that are no answer") {
            ++broken;
            record().line("MIXED: %s at entry %d, on the channel on which %s was answered whole: "
                          "before its answer stand bytes that are no answer: \"%s\"",
                          id.c_str(), entry, before.c_str(), shown(buffered.substr(0, 40)).c_str());
            drop();
            continue;
        }
        if (got.status == 503 || got.status == 429) {
            pause_for(300);
            if (got.headers["connection"] == "close") {
                drop();
            }
            continue;
        }
        if (got.status != 0 && got.status != 200) {
            ++unexpected;
            record().line("%s at entry %d: status %d", id.c_str(), entry, got.status);
            drop();
            continue;
        }
        seen = std::max(seen, last_event(got.body));
        if (!got.complete) {
            record().line("%s at entry %d broke behind event %d: %s", id.c_str(), entry, seen,
                          got.fault.c_str());
            drop();
            entry = 3 - entry;
            continue;
        }
        if (seen != events_in_stream) {
            ++unexpected;
            record().line("%s at entry %d ended as complete behind event %d", id.c_str(), entry,
                          seen);
        }
        record().line("%s at entry %d: 200, complete, %zu bytes", id.c_str(), entry,
                      got.body.size());
        ++streams_done;
        seen = 0;
        before = id;
        if (got.headers["connection"] == "close") {
            drop();
        }
        // The next request of this person.
        pause_for(100);
    }
    if (fd >= 0) {
        close(fd);
    }
}

} // namespace

int main(int, char** argv)
{
    began();
    record().open(std::string(argv[1]) + "/record.txt");
    deployment fleet(argv[2]);
    std::vector<std::unique_ptr<listener>> servers;
    for (const std::string name : {"i-1", "i-2"}) {
        servers.push_back(
            std::make_unique<listener>(fleet.ip(100), [name](int fd) { serve_model(fd, name); }));
        fleet.platform->put("servers", name,
                            server_entry("model",
                                         fleet.ip(100) + ":" + std::to_string(servers.back()->port),
                                         48, "ready", 1));
    }
    fleet.platform->put(
        "config", "main",
        R"({"version":7,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/model/",)"
        R"("kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":1,)"
        R"("service":"model","attempts":2,"public":true,"stream-resumption":true,)"
        R"("target-gap-ms":120}],"services":[{"name":"model","health-path":"/health",)"
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
    const steady::time_point until = steady::now() + std::chrono::seconds(run_s);
    std::vector<std::thread> all;
    all.reserve(requesters);
    for (int number = 0; number < requesters; ++number) {
        all.emplace_back([&, number] { request_streams(fleet, number, until); });
    }
    for (int turn = 0; troubled() && steady::now() + milliseconds(2 * kill_every_ms) < until;
         ++turn) {
        pause_for(kill_every_ms);
        record().line("SIGKILL to entry %d, which starts again", 1 + turn % 2);
        entries[static_cast<std::size_t>(turn % 2)]->end(SIGKILL);
        pause_for(200);
        entries[static_cast<std::size_t>(turn % 2)]->start();
    }
    for (std::thread& one : all) {
        one.join();
    }
    record().line("streams answered whole: %d; resumed: %d, of these behind the last event: %d; "
                  "unexpected: %d; MIXED: %d",
                  streams_done.load(), resumed.load(), resumed_at_end.load(), unexpected.load(),
                  broken.load());
    entries.clear();
    std::fflush(nullptr);
    _exit(broken > 0 ? 1 : streams_done > 0 && unexpected == 0 ? 0 : 2);
}
