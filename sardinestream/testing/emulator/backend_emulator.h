// A backend server as our programs meet it: a plain service, or the model server of one rank.
//
//     backend_emulator server({.id = "i-1", .service = "till", .local = at}, hooks);
//     server.set_trouble({.error_share = 0.3});
//     server.stop();       // as abrupt as a kill
//     server.start("i-2");
//
// Each run of a request is reported to the hooks, whose owner checks the promises. Thread-safe.

#ifndef SARDINESTREAM_TESTING_EMULATOR_BACKEND_EMULATOR_H_
#define SARDINESTREAM_TESTING_EMULATOR_BACKEND_EMULATOR_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "sardinestream/testing/emulator/connection_server.h"
#include "sardinestream/testing/emulator/rank_group.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

// How a server misbehaves: shares of its requests, 0 to 1.
struct backend_trouble {
    double slowness = 1;
    // Answers 500 after the run.
    double error_share = 0;
    // Refuses without a run, as if it were full.
    double refusal_share = 0;
    // Breaks off in the middle of its answer.
    double cut_share = 0;
    // Stops in the middle of an event, behind whole ones in the same packet, and ends the answer as
    // if it were complete.
    double truncated_event_share = 0;
    // Sends an event in the middle of its stream behind the next one, in one packet.
    double late_event_share = 0;
    // Sends an event in the middle of its stream again.
    double repeated_event_share = 0;
    // Runs the request and never answers.
    double mute_share = 0;
    // Sends another answer behind the whole one.
    double surplus_share = 0;
    // Runs the request, begins an answer and goes on without end, in its head or its body, until
    // the connection is closed.
    double endless_share = 0;
    // Orders of agents that get no answer and are carried out late.
    double late_order_share = 0;

    friend bool operator==(const backend_trouble&, const backend_trouble&) = default;
};

// A request that a server has begun to run.
struct begun_run {
    std::string request_id;
    std::string server_id;
    std::string service;
    std::string method;
    std::string target;
    std::string body;
    std::string team;
    // Zero for a stream from its beginning.
    std::int64_t resumed_after = 0;
};

struct backend_hooks {
    std::function<void(const begun_run& run)> on_begin;
    // The server works no more on a request.
    std::function<void(const std::string& request_id)> on_end;
    // The server itself breaks off a run; `on_end` follows.
    std::function<void(const std::string& request_id)> on_broke_off = [](const std::string&) {};
    // A request has reached the server, whether it runs or not.
    std::function<void(const std::string& request_id, const std::string& service,
                       const std::string& server_id)>
        on_arrival;
    // The answer to a request says that the server leaves.
    std::function<void(const std::string& request_id, const std::string& server_id)>
        on_leaving_said;
    // The answer to a request says that the server wants none until `until`.
    std::function<void(const std::string& request_id, const std::string& server_id,
                       steady_time until)>
        on_hold_off_said;
    // The answer to a request names a rate that the server accepts from all entries together. Its
    // answers name it until `until`.
    std::function<void(const std::string& request_id, const std::string& server_id, double per_s,
                       steady_time until)>
        on_limit_said = [](const std::string&, const std::string&, double, steady_time) {};
    // A request with the crashing part has begun. Must lead to `stop` soon, on another thread.
    std::function<void()> on_crash = [] {};
};

// The part of a prompt under which a server crashes as it begins to answer.
inline constexpr char crashing_part[] = "badc0de";

struct backend_options {
    std::string id;
    std::string service;
    std::string data_centre;
    address local;
    int slots = 8;
    std::chrono::milliseconds work_time{20};
    // A rank that waits so long for a pass answers, or breaks off.
    std::chrono::milliseconds stall{500};
    // Set for model servers.
    rank_group* group = nullptr;
    int rank = 0;
};

// The whole answer of a sound server to a plain request.
[[nodiscard]] std::string expected_answer(const std::string& request_id, const std::string& target,
                                          const std::string& body);
// The data of one event of a stream.
[[nodiscard]] std::string expected_event(const std::string& request_id, std::int64_t number);
// The id of that event, counted from 1: ids increase, by steps that differ. Zero has the id zero.
[[nodiscard]] std::int64_t event_id(std::int64_t number);
// The number of the event with that id.
[[nodiscard]] std::int64_t event_number(std::int64_t id);
// The number of events that a stream's target asks for.
[[nodiscard]] std::int64_t events_of(const std::string& target);
// The least time between two events of a stream, in ms: the third part of `/chat/120/30`, zero
// where it has only two.
[[nodiscard]] std::chrono::milliseconds pace_of(const std::string& target);

class backend_emulator {
public:
    // Does not listen yet.
    backend_emulator(backend_options chosen, backend_hooks callbacks);
    ~backend_emulator();
    backend_emulator(const backend_emulator&) = delete;
    backend_emulator& operator=(const backend_emulator&) = delete;

    // Starts under an id, its own or a new one.
    [[nodiscard]] absl::Status start(const std::string& id);
    // Ends at once, with every request that it runs.
    void stop();
    [[nodiscard]] bool is_running() const;

    void set_trouble(const backend_trouble& wanted);
    // A leaving server serves on. Its entry says so.
    void set_draining(bool leaves);
    // Its answers say so, until its next start.
    void say_leaving();
    // Refuses every request until then, and says for how long.
    void hold_off(steady_time until);
    // Names a limit in its answers until then: requests per second from all entries together. It
    // serves more all the same.
    void name_limit(double per_s, steady_time until);

    // What the server writes about itself into the store, given the address where it is reached.
    [[nodiscard]] nlohmann::json entry(const address& reached_at) const;
    [[nodiscard]] std::string id() const;
    [[nodiscard]] const backend_options& described() const { return this->options; }

private:
    void serve(served_connection& connection);
    void answer_call(served_connection& connection, const emulated_request& request);
    void answer_order(served_connection& connection, const emulated_request& request);
    void answer_request(served_connection& connection, const emulated_request& request);
    // Both return whether the answer was written whole.
    bool run_plain(served_connection& connection, const emulated_request& request,
                   const http_headers& headers);
    bool run_stream(served_connection& connection, const emulated_request& request,
                    const http_headers& headers);
    // Writes the head of an answer and crashes.
    void crash(served_connection& connection, const answer_head& head);
    void add_limit(const std::string& request_id, http_headers& headers) const;
    [[nodiscard]] http_headers answer_headers(const std::string& request_id) const;
    // Refuses a request while the server holds off. Returns whether it does.
    [[nodiscard]] bool refuse_held_off(served_connection& connection, const std::string& request_id,
                                       const http_headers& headers);
    [[nodiscard]] begun_run describe(const emulated_request& request) const;
    [[nodiscard]] backend_trouble trouble() const;
    [[nodiscard]] bool happens(double share);
    [[nodiscard]] std::size_t draw_endless_kind();

    const backend_options options;
    const backend_hooks hooks;
    std::atomic<int> running = 0;
    mutable absl::Mutex mutex;
    std::string own_id ABSL_GUARDED_BY(mutex);
    std::int64_t born_ms ABSL_GUARDED_BY(mutex) = 0;
    bool draining ABSL_GUARDED_BY(mutex) = false;
    bool says_leaving ABSL_GUARDED_BY(mutex) = false;
    steady_time held_until ABSL_GUARDED_BY(mutex){};
    double limit_per_s ABSL_GUARDED_BY(mutex) = 0;
    steady_time limited_until ABSL_GUARDED_BY(mutex){};
    backend_trouble current ABSL_GUARDED_BY(mutex);
    std::mt19937 random ABSL_GUARDED_BY(mutex){std::random_device()()};
    // Orders that are carried out late.
    thread_group late_orders;
    std::unique_ptr<connection_server> server ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_BACKEND_EMULATOR_H_
