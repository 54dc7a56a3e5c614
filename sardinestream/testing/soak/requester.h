// A caller that keeps its connection for as long as it may, sends requests of drawn kinds, leaves
// some before their answer, and checks what it gets.
//
//     requester one(entries, ledger, seed);
//     one.start();
//     one.stop();
//
// One thread each.

#ifndef SARDINESTREAM_TESTING_SOAK_REQUESTER_H_
#define SARDINESTREAM_TESTING_SOAK_REQUESTER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/http/message_reader.h"
#include "sardinestream/http/socket.h"
#include "sardinestream/testing/soak/promise_ledger.h"

#include "absl/status/statusor.h"

namespace sardinestream::testing {

// Where requests go and what they are.
struct requester_options {
    // Chooses the entry for a new connection; `draw` is uniform in [0, 1).
    std::function<address(double draw)> choose_entry;
    std::string host;
    std::string key;
    std::string team;
    // Unique among the requesters of a run.
    std::string name;
    unsigned seed = 0;
    std::chrono::milliseconds pause{40};
    // Share of the requests that are left before their answer.
    double leaving_share = 0.1;
    // Share of the requests that are streams of `events` events, beside those that are drawn.
    double plain_stream_share = 0;
    int events = 26;
    // Between the events of a plain stream; zero leaves it to the passes of the group.
    std::chrono::milliseconds stream_pace{0};
    // Returns when this caller must send its next request, whatever became of the last one. Unset,
    // the next request follows after `pause`.
    std::function<steady_time()> next_send;
    // Streams have prompts of several parts, and some of them the part that crashes servers.
    bool sends_crashing_part = false;
    // Some streams, uploads and reads take seconds, and some requests follow an answer at once.
    bool lasts = false;
    // Answers later than this after their route's timeout break a promise.
    std::chrono::milliseconds timeout{3000};
    std::chrono::milliseconds stream_timeout{3000};
};

class requester {
public:
    requester(requester_options chosen, promise_ledger& shared);
    ~requester();
    requester(const requester&) = delete;
    requester& operator=(const requester&) = delete;

    void start();
    // Sends no further request; returns at once.
    void ask_to_stop();
    // Waits for the last answer, too.
    void stop();

private:
    struct connection {
        explicit connection(tcp_socket opened, address to)
            : socket(std::move(opened)), reader(socket), entry(std::move(to))
        {
        }

        tcp_socket socket;
        message_reader reader;
        const address entry;
    };
    // What the caller has of an answer when it stops reading.
    struct received_answer {
        int status = 0;
        bool whole = false;
        bool keeps = false;
        std::chrono::milliseconds come_back{0};
    };

    void run();
    // Waits until the next request is due.
    void wait_for_turn(std::chrono::milliseconds wanted);
    [[nodiscard]] sent_request draw_request();
    // Gives a stream its prompt.
    void add_prompt(sent_request& request) const;
    [[nodiscard]] bool connect();
    // Returns how long to wait before the next request.
    [[nodiscard]] std::chrono::milliseconds send_one();
    // Returns what goes over the connection; an upload that lasts, in pieces.
    [[nodiscard]] std::vector<std::string> encode(const sent_request& request);
    [[nodiscard]] absl::Status write_request(const sent_request& request, steady_time timeout);
    // Leaves the answer unread for a while, as a slow caller does. Returns when the connection
    // ended meanwhile.
    [[nodiscard]] std::optional<steady_time> wait_to_read();
    // Makes a stream last, and lets it go on behind some event.
    void draw_lasting_stream(sent_request& request);
    // Returns a time below `whole`, zero for most requests and for callers that do not last.
    [[nodiscard]] std::chrono::milliseconds draw_delay(double share,
                                                       std::chrono::milliseconds whole);
    [[nodiscard]] absl::StatusOr<received_answer> read_answer(const sent_request& request,
                                                              steady_time until);
    [[nodiscard]] absl::Status read_stream(const sent_request& request, steady_time until);
    void check_body(const sent_request& request, int status, const std::string& body);
    [[nodiscard]] double draw();

    const requester_options options;
    promise_ledger& ledger;
    std::mt19937 random;
    std::unique_ptr<connection> open;
    int sent = 0;
    // Between two parts of the answer that is being read.
    std::chrono::milliseconds read_pause{0};
    // The next request follows at once.
    bool hurries = false;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_REQUESTER_H_
