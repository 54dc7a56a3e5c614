// Sound servers number the events of their streams 10, 20, 30. No stream reaches its requester
// whole.

#include "../standin-3/fleet.h"

namespace review {
namespace {

constexpr std::int64_t stable_window_ms = 3000;
constexpr int usual_step = 1;
constexpr int wide_step = 10;
constexpr int events = 8;
constexpr int pace_ms = 25;
constexpr int requesters = 8;
constexpr int streams_each = 15;

struct seen {
    std::mutex mutex;
    int begun = 0;
    int refused = 0;
    int whole = 0;
    int incomplete = 0;
    int other = 0;
    // Streams that a server wrote to their end, or whose channel the entry closed before.
    int written_whole = 0;
    int closed_by_entry = 0;
};

bool run_stream(server& self, connection& caller, const message& request, seen& all)
{
    const int step = has_trouble() ? wide_step : usual_step;
    const std::string id = request.header("X-Sardinestream-Request-Id");
    const int last = std::atoi(request.header("Last-Event-Id").c_str());
    {
        const std::lock_guard lock(all.mutex);
        ++all.begun;
        record("server " + self.id() + " runs " + id + " from behind event " +
               std::to_string(last));
    }
    bool sent = caller.write("HTTP/1.1 200 OK\r\n" + self.answer_headers(request, "") +
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n");
    for (int number = last / step + 1; sent && number <= events; ++number) {
        const std::string text = "id: " + std::to_string(number * step) + "\ndata: " + id + "." +
                                 std::to_string(number) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx", text.size());
        sent = caller.write(std::string(size) + "\r\n" + text + "\r\n");
        sleep_ms(pace_ms);
    }
    sent = sent && caller.write("0\r\n\r\n");
    const std::lock_guard lock(all.mutex);
    ++(sent ? all.written_whole : all.closed_by_entry);
    return sent;
}

void request_streams(const entry_node& node, int number, seen& all)
{
    requester caller(node.ip, node.front_port);
    for (int sent = 1; sent <= streams_each; ++sent) {
        const std::string id = "r" + std::to_string(number) + "-" + std::to_string(sent);
        const answer got = caller.send(request_text("POST", "/chat/a", host,
                                                    {{"X-Sardinestream-Request-Id", id},
                                                     {"Authorization", std::string("Token ") + key},
                                                     {"X-Sardinestream-Deadline-Ms", "8000"},
                                                     {"X-Sardinestream-Token-Counts", "700,400"}},
                                                    id),
                                       9000);
        const std::lock_guard lock(all.mutex);
        if (got.complete && got.status == 200) {
            ++all.whole;
        }
        else if (got.complete && got.status == 503) {
            ++all.refused;
        }
        else if (got.status == 200) {
            ++all.incomplete;
        }
        else {
            ++all.other;
        }
        record("request " + id + " is answered " + std::to_string(got.status) +
               (got.complete ? "" : ", and its channel closed in the middle"));
    }
}

int play()
{
    seen all;
    fleet deployment(2);
    json chat = route("chat", "/chat/", "streaming", "assistant", 8000, 400, 2);
    chat["stream-resumption"] = true;
    deployment.put_config(json::array({chat}), {"assistant"});
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 4; ++i) {
        servers.push_back(std::make_unique<server>(
            deployment.platform, "assistant", network_ip(3, i),
            [&all](server& self, connection& caller, const message& request) {
                return run_stream(self, caller, request, all);
            }));
        servers.back()->start();
    }
    if (!deployment.start()) {
        finish(not_run, "the entries do not become ready");
    }
    sleep_ms(stable_window_ms + 500);
    std::vector<std::thread> threads;
    threads.reserve(requesters);
    for (int i = 0; i < requesters; ++i) {
        threads.emplace_back([&, i] {
            request_streams(deployment.entries[static_cast<std::size_t>(i % 2)], i, all);
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    // The servers notice the end of a channel with their next event.
    sleep_ms(500);
    const std::lock_guard lock(all.mutex);
    finish(all.whole == 0 ? broken : held,
           "streams asked for " + std::to_string(requesters * streams_each) + ", whole " +
               std::to_string(all.whole) + ", broken off in the middle " +
               std::to_string(all.incomplete) + ", refused " + std::to_string(all.refused) +
               ", other " + std::to_string(all.other) + "; runs at the servers " +
               std::to_string(all.begun) + ", written to their end " +
               std::to_string(all.written_whole) + ", closed by the entry before " +
               std::to_string(all.closed_by_entry));
}

} // namespace
} // namespace review

int main()
{
    review::open_record("record.txt");
    return review::play();
}
