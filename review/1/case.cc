// A server stops in the middle of an event and ends its answer. The whole events that came in the
// same packet are not passed on, but the stream is resumed at another server behind them: the
// caller gets a stream that looks complete and lacks pieces.

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "review/standin/standin.h"

namespace {

using namespace review;

constexpr int servers = 3;
constexpr int slots = 12;
constexpr int events = 26;
constexpr milliseconds event_interval{20};
constexpr int callers = 12;
constexpr int streams_per_caller = 25;
// The disruption: one server of three stops within one of 20 of its answers.
constexpr int faulty_server = 1;
constexpr int answers_per_stop = 20;
constexpr int last_whole_event = 12;

std::atomic<int> answers_of_faulty{0};
std::atomic<int> stops{0};
std::atomic<int> whole{0};
std::atomic<int> failed{0};
std::atomic<int> with_missing_pieces{0};

std::string event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

void stop_in_event(channel& caller, const std::string& own, const std::string& id, int next,
                   steady::time_point deadline)
{
    ++stops;
    record(own + " stops " + id + " in the middle of event " + std::to_string(next + 2) +
           ", behind events " + std::to_string(next) + " and " + std::to_string(next + 1));
    caller.write(
        chunk(event_text(next) + event_text(next + 1) + event_text(next + 2).substr(0, 9)) +
            "0\r\n\r\n",
        deadline);
}

void serve(channel& caller, int number)
{
    const std::string own = "i-" + std::to_string(number);
    message request;
    while (caller.read_message(request, false, steady::now() + std::chrono::seconds(60))) {
        const auto deadline = steady::now() + std::chrono::seconds(20);
        const std::string id = request.header("X-Sardinestream-Request-Id");
        const int last = std::atoi(request.header("Last-Event-Id").c_str());
        if (last > 0) {
            record(own + " resumes " + id + " behind event " + std::to_string(last));
        }
        const bool stops_here = with_trouble() && number == faulty_server && last == 0 &&
                                ++answers_of_faulty % answers_per_stop == 0;
        bool written = caller.write(
            "HTTP/1.1 200 OK\r\nX-Sardinestream-Request-Id: " + id +
                "\r\nX-Sardinestream-Response-Signature: s1\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            deadline);
        for (int next = last + 1; next <= events && written; ++next) {
            std::this_thread::sleep_for(event_interval);
            if (stops_here && next > last_whole_event) {
                stop_in_event(caller, own, id, next, deadline);
                return;
            }
            written = caller.write(chunk(event_text(next)), deadline);
        }
        if (!written || !caller.write("0\r\n\r\n", deadline)) {
            return;
        }
    }
}

void use(int caller, const std::string& expected)
{
    for (int number = 0; number < streams_per_caller; ++number) {
        const std::string id = "r" + std::to_string(caller) + "-" + std::to_string(number);
        const outcome got =
            call(ip(1, 1), front_port, "POST", "/notes/1", id, "", "prompt", milliseconds(8000));
        if (!got.complete || got.status != 200) {
            ++failed;
            record(id + ": " + got.text());
            continue;
        }
        if (got.body == expected) {
            ++whole;
            continue;
        }
        ++with_missing_pieces;
        std::string missing;
        for (int piece = 1; piece <= events; ++piece) {
            if (got.body.find(event_text(piece)) == std::string::npos) {
                missing += " " + std::to_string(piece);
            }
        }
        record(id + ": status 200, ends as complete, pieces missing:" + missing);
    }
}

} // namespace

int main()
{
    open_record();
    store platform(ip(4, 1), store_port);
    std::vector<std::unique_ptr<listener>> backends;
    for (int i = 1; i <= servers; ++i) {
        backends.push_back(std::make_unique<listener>(ip(3, i), server_port,
                                                      [i](channel& caller) { serve(caller, i); }));
        platform.put(
            "servers", "i-" + std::to_string(i),
            server_entry("assistant", ip(3, i) + ":" + std::to_string(server_port), slots));
    }
    platform.put("config", "main",
                 desired_state(1,
                               route("notes", "/notes/", "streaming", "assistant", 8000, 2,
                                     ",\"stream-resumption\":true,\"target-gap-ms\":120"),
                               plain_service("assistant")));
    program entry("target/bin/sardine-platform-entry", "front-1", entry_settings(1, 1));
    entry.start();
    if (!wait_until_ready(ip(1, 1), ready_port, milliseconds(10000))) {
        cannot_run("front-1 is not ready");
    }
    std::string expected;
    for (int number = 1; number <= events; ++number) {
        expected += event_text(number);
    }
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([caller, &expected] { use(caller, expected); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    entry.kill();
    const int status = verdict(with_missing_pieces > 0,
                               "streams that a server stopped in " + std::to_string(stops) +
                                   ", streams that ended as complete with pieces missing " +
                                   std::to_string(with_missing_pieces) + ", whole " +
                                   std::to_string(whole) + ", failed " + std::to_string(failed));
    std::fflush(stdout);
    std::_Exit(status);
}
