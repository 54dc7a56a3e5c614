// Cells of the planned stop of an entry: requests that it is still reading, and streams that
// outlast the time for which it waits.
//
// What must hold: a request is served whole or refused before a server runs it; a stream that can't
// go on ends with an event that says so; the process exits with 0.

#include <future>
#include <string>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/testing/fault_matrix.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int stream_tokens = 40;
// Takes far longer than the entry waits.
constexpr int long_stream_tokens = 1000;
constexpr char json_type[] = "application/json";

// A completion whose body arrives in two parts.
class slow_upload {
public:
    slow_upload(const address& entry, const std::string& request_id)
        : body(json({{"model", "assistant"},
                     {"prompt", request_id},
                     {"max_tokens", stream_tokens},
                     {"stream", true}})
                   .dump()),
          answer(std::async(std::launch::async,
                            [this, entry, request_id] { return this->send(entry, request_id); }))
    {
    }

    void wait_until_half_sent() { this->half_sent.WaitForNotification(); }

    // Sends the rest; call it once. Returns the status and the answer, or status 0 where it isn't
    // whole.
    std::pair<int, std::string> finish()
    {
        this->may_finish.Notify();
        return this->answer.get();
    }

private:
    std::pair<int, std::string> send(const address& entry, const std::string& request_id)
    {
        httplib::Client client(entry.ip, entry.port);
        const httplib::Headers headers = {{"Authorization", absl::StrCat("Bearer ", team_key)},
                                          {"X-Request-Id", request_id}};
        const auto provide = [this](std::size_t offset, std::size_t /*length*/,
                                    httplib::DataSink& sink) {
            const std::size_t half = this->body.size() / 2;
            if (offset >= half) {
                this->half_sent.Notify();
                this->may_finish.WaitForNotification();
            }
            return sink.write(this->body.data() + offset,
                              offset < half ? half - offset : this->body.size() - offset);
        };
        const httplib::Result result =
            client.Post("/v1/completions", headers, this->body.size(), provide, json_type);
        return result ? std::pair(result->status, result->body) : std::pair(0, std::string());
    }

    const std::string body;
    absl::Notification half_sent;
    absl::Notification may_finish;
    std::future<std::pair<int, std::string>> answer;
};

// A request of which half has arrived when the entry is is_reported to stop is served whole, or
// refused before a server runs it.
cell_verdict run_upload(fleet& servers, const std::string& cell)
{
    const address entry = servers.entry(0).http.reserved();
    process& target = *servers.entry(0).run;
    const std::string id = absl::StrCat("stop-", std::hash<std::string>{}(cell), "-upload");
    slow_upload upload(entry, id);
    upload.wait_until_half_sent();
    target.terminate();
    const bool refuses = wait_until([&entry] {
        httplib::Client client(entry.ip, entry.port);
        const httplib::Result result = client.Get("/services/stock/bowls");
        return !result || result->status == 503;
    });
    // Time for an entry that does not wait for the upload to go on with its stop.
    absl::SleepFor(absl::Seconds(1));
    const auto [status, answer] = upload.finish();
    const int attempts = servers.engine_attempts(id);
    const bool whole = status == 200 && absl::StrContains(answer, "data: [DONE]");
    const bool refused = status == 503 && attempts == 0;
    const std::optional<int> exit = target.wait_for_exit();
    const absl::Status restored = servers.restore();
    return {refuses && (whole || refused) && exit == 0 && restored.ok(),
            absl::StrCat("refuses=", refuses, " status=", status, " whole=", whole,
                         " attempts=", attempts, " exit=", exit.value_or(-1))};
}

// A stream that outlasts the drain of its entry ends with an error event, not in the middle.
cell_verdict run_long_stream(fleet& servers)
{
    process& target = *servers.entry(0).run;
    absl::Notification begun;
    const auto on_token = [&begun](int index) {
        if (index == 0) {
            begun.Notify();
        }
        return true;
    };
    std::future<stream_answer> stream = std::async(std::launch::async, [&] {
        return servers.caller_of(0).stream(
            {.prompt = "long", .max_tokens = long_stream_tokens, .on_token = on_token});
    });
    begun.WaitForNotification();
    target.terminate();
    const stream_answer answer = stream.get();
    const std::optional<int> exit = target.wait_for_exit();
    const bool is_reported = answer.end == stream_end::error && answer.error.code == "stream_cut";
    return {is_reported && answer.right_so_far() && exit == 0,
            absl::StrCat("stream=", answer.summary(), " exit=", exit.value_or(-1))};
}

cell_verdict run_long_stream_on_own_fleet()
{
    fleet_options options;
    options.token_time = absl::Milliseconds(20);
    options.entry_flags = {"--drain_timeout_s=1"};
    const absl::StatusOr<std::unique_ptr<fleet>> servers = fleet::create(options);
    if (!servers.ok()) {
        return {false, absl::StrCat("fleet=", peer_of(servers.status()))};
    }
    return run_long_stream(**servers);
}

} // namespace

std::vector<matrix_cell> entry_stop_cells()
{
    return {{"stop_entry", "upload", "none",
             [](fleet_holder& fleets, const std::string& cell) {
                 return on_fleet(fleets, [&](fleet& servers) { return run_upload(servers, cell); });
             }},
            {"stop_entry", "timeout", "none", [](fleet_holder& /*fleets*/, const std::string&) {
                 return run_long_stream_on_own_fleet();
             }}};
}

} // namespace sardinestream::testing
