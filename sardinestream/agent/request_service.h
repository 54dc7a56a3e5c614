// Serves the requests that entries send to this agent.
//
// Handles a request from its first frame to its last: admission, the at-most-once record, the call
// to the backend server and the response frames. Each request has its own thread. The service never
// retries and never contacts another agent.
//
//     request_service service(std::move(dependencies));
//     hooks.on_stream = [&](const auto& opened, wire::frame first) {
//         if (first.header.type == wire::frame_type::request_open) { service.serve(opened, first);
//         }
//     };

#ifndef SARDINESTREAM_AGENT_REQUEST_SERVICE_H_
#define SARDINESTREAM_AGENT_REQUEST_SERVICE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "sardinestream/agent/backend_client.h"
#include "sardinestream/base/outcome.h"
#include "sardinestream/base/thread_group.h"
#include "sardinestream/once/run_table.h"
#include "sardinestream/requests/requests_generated.h"
#include "sardinestream/routing/admission.h"
#include "sardinestream/routing/prefix_index.h"
#include "sardinestream/suspects/crash_detector.h"
#include "sardinestream/suspects/suspect_registry.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::agent {

struct request_service_dependencies {
    // Every pointer must outlive the service.
    backend_client* backend = nullptr;
    routing::admission_controller* admission = nullptr;
    std::shared_ptr<once::run_table> runs;
    std::uint64_t incarnation = 0;
    suspects::suspect_registry* suspects = nullptr;
    suspects::crash_detector* crashes = nullptr;
    // A request with a key may run at least this long even if its first caller's deadline is
    // earlier, because later requests with the same key are sent the recorded response.
    absl::Duration max_key_run_time = absl::Minutes(2);
};

// Thread-safe.
class request_service {
public:
    explicit request_service(request_service_dependencies dependencies);

    // Serves one exchange on its own thread. Does not block.
    void serve(const std::shared_ptr<wire::stream>& exchange, const wire::frame& first);

    // Starts refusing new work. Requests whose key has already run still get its response.
    void drain();

    // Blocks until no request is in progress (returns true) or until `deadline` (returns false).
    [[nodiscard]] bool wait_until_idle(std::chrono::steady_clock::time_point deadline);

    [[nodiscard]] int in_flight() const { return this->threads.size(); }

private:
    void serve_request(wire::stream& exchange, const requests::request_openT& request);
    void serve_key(wire::stream& exchange, const requests::request_openT& request,
                   absl::Time deadline);
    [[nodiscard]] once::run_admission begin_key(const requests::request_openT& request,
                                                digest128 key, digest128 body);
    [[nodiscard]] suspects::suspect_verdict assess(const requests::request_openT& request) const;
    // Returns a refusal while the server is down after a crash, or if the request is suspected of
    // having crashed servers too often.
    [[nodiscard]] std::optional<refusal> find_refusal(const requests::request_openT& request);
    [[nodiscard]] backend_answer call_monitored(const requests::request_openT& request,
                                                const std::function<backend_answer()>& call);
    void run_key(wire::stream& exchange, const requests::request_openT& request,
                 absl::Time deadline, once::run_permit permit);
    void serve_call(wire::stream& exchange, const requests::request_openT& request,
                    absl::Time deadline);
    void serve_completion(wire::stream& exchange, const requests::request_openT& request,
                          absl::Time deadline);
    // Estimates how many prompt tokens the engine does not have cached, and records the prompt as
    // cached.
    [[nodiscard]] std::uint32_t uncached_tokens(absl::string_view prompt);
    [[nodiscard]] routing::admission_result
    admit(wire::stream& exchange, const requests::request_openT& request, absl::Time deadline);
    [[nodiscard]] backend_answer call_backend(wire::stream& exchange,
                                              const requests::request_openT& request,
                                              const backend_request& call,
                                              const byte_receiver& on_bytes);

    const request_service_dependencies dependencies;
    // Prefixes that the engine is expected to have cached: every prompt that has run here.
    routing::prefix_index prompts;
    std::atomic<bool> draining{false};
    thread_group threads; // declared last, so that it is destroyed first
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_REQUEST_SERVICE_H_
