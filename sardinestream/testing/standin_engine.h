// A model engine's stand-in: the OpenAI-compatible API with deterministic tokens, continuous
// batching, a ledger, and faults on demand.
//
//     auto engine = standin_engine::create({.crash_marker = "crash-me"});
//     ... (*engine)->local() ...
//
// POST /v1/completions and /v1/chat/completions, streamed or whole. Beside the usual fields of the
// body: "request_id" (the answer's "id"), "resume_from" and "resume_text" (go on at that token
// index), "priority" (lower first). "max_tokens" counts from index 0. Each event carries
// "token_index". A caller that closes its connection cancels the work.
//
// POST /orders/{load_model,load_adapter,set_version,set_role} with {"fencing": N, ...}.
// GET  /health, /load (lagging), /admin/ledger
// POST /admin/speed {"factor"}, /admin/stall, /admin/unstall,
//      /admin/events {"duplicate_every", "swap_every", "late_every", "late_ms"} (0: never).

#ifndef SARDINESTREAM_TESTING_STANDIN_ENGINE_H_
#define SARDINESTREAM_TESTING_STANDIN_ENGINE_H_

#include <atomic>
#include <memory>
#include <string>

#include "sardinestream/base/http_server.h"
#include "sardinestream/testing/engine_batch.h"
#include "sardinestream/testing/engine_ledger.h"
#include "sardinestream/testing/ledger_file.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

struct standin_engine_options {
    address local{"127.0.0.1", 0};
    std::string model = "assistant";
    batch_options batch;
    // How old the figures of GET /load may be.
    absl::Duration load_lag = absl::Milliseconds(500);
    // A prompt that contains this text ends the process at once; empty: none does.
    std::string crash_marker;
    // Whether orders with an old fencing number are refused.
    bool check_fencing = true;
    // Each attempt appends its request id as a line, so that the ledger outlives the process.
    std::string ledger_file;
};

class standin_engine {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<standin_engine>>
    create(standin_engine_options options);

    ~standin_engine();
    standin_engine(const standin_engine&) = delete;
    standin_engine& operator=(const standin_engine&) = delete;

    [[nodiscard]] const address& local() const { return this->server->local(); }

private:
    // A completion request as it was parsed.
    struct completion {
        std::string id;
        std::string prompt;
        int max_tokens = 16;
        int resume_from = 0;
        int priority = 1;
        bool stream = false;
        bool chat = false;
        std::size_t attempt = 0; // number in the ledger
    };
    // Faults in the order of events, each at every n-th token; 0 is never.
    struct event_faults {
        int duplicate_every = 0;
        int swap_every = 0;
        int late_every = 0;
        absl::Duration late = absl::ZeroDuration();
    };

    explicit standin_engine(standin_engine_options configured);

    void add_routes();
    void add_admin_routes();
    void handle_completion(const httplib::Request& request, httplib::Response& response, bool chat);
    void handle_order(const httplib::Request& request, httplib::Response& response);
    void handle_load(httplib::Response& response);

    // Produces the whole answer; returns false when the caller has gone.
    [[nodiscard]] bool run(const completion& work, httplib::DataSink& sink);
    [[nodiscard]] bool decode(const completion& work, httplib::DataSink& sink);
    // Writes what is due once the token at `index` has been made, in the order that faults ask for.
    [[nodiscard]] bool write_events(const completion& work, int index, httplib::DataSink& sink);
    // Waits for `time` and while stalled; returns false when the caller has gone.
    [[nodiscard]] bool wait(absl::Duration time, httplib::DataSink& sink) const;
    [[nodiscard]] event_faults faults_now() const;

    const standin_engine_options options;
    engine_batch batch;
    engine_ledger ledger;
    ledger_file lasting_ledger;
    std::atomic<bool> stalled{false};
    mutable absl::Mutex mutex;
    event_faults faults ABSL_GUARDED_BY(mutex);
    batch_load reported_load ABSL_GUARDED_BY(mutex);
    absl::Time load_reported_at ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    std::unique_ptr<http_server> server;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_STANDIN_ENGINE_H_
