// A plain service's stand-in: answers any method and path, counts the runs of each key, and fails
// on demand before or after the effect.
//
//     auto service = standin_service::create({.delay = absl::Milliseconds(5)});
//     ... (*service)->local() ...
//
// A run is counted under the request's x-run-id, or else its Idempotency-Key, or else "". The
// answer is {"runs", "key", "method", "path", "body_digest", "team"}.
//
// GET  /admin/ledger: {"runs": {key: count}, "total": N}
// POST /admin/faults {"delay_ms", "hang": bool, "close_before": N, "close_after": N, "fail": N}:
//      the next N requests are cut off before or after the effect, or answered with status 500
//      after it. A request that hangs has had its effect and is answered once `hang` is lifted.

#ifndef SARDINESTREAM_TESTING_STANDIN_SERVICE_H_
#define SARDINESTREAM_TESTING_STANDIN_SERVICE_H_

#include <map>
#include <memory>
#include <string>

#include "sardinestream/base/http_server.h"
#include "sardinestream/testing/ledger_file.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

struct standin_service_options {
    address local{"127.0.0.1", 0};
    absl::Duration delay = absl::ZeroDuration();
    // A body that contains this text ends the process at once; empty: none does.
    std::string crash_marker;
    // Each run appends its key as a line, so that the ledger outlives the process; empty: none.
    std::string ledger_file;
};

class standin_service {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<standin_service>>
    create(standin_service_options options);

    ~standin_service();
    standin_service(const standin_service&) = delete;
    standin_service& operator=(const standin_service&) = delete;

    [[nodiscard]] const address& local() const { return this->server->local(); }

    // How often requests with `key` had their effect.
    [[nodiscard]] int runs(const std::string& key) const;

private:
    struct service_faults {
        bool hang = false;
        int close_before = 0;
        int close_after = 0;
        int fail = 0;
    };

    explicit standin_service(standin_service_options configured);

    void add_routes();
    void handle(const httplib::Request& request, httplib::Response& response);
    void set_faults(const std::string& body);
    void wait_for_delay_and_hang();
    // Returns true, and counts down, where the next request has the fault.
    [[nodiscard]] bool take(int service_faults::*fault);

    const standin_service_options options;
    mutable absl::Mutex mutex;
    absl::Duration delay ABSL_GUARDED_BY(mutex);
    service_faults faults ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::map<std::string, int> runs_by_key ABSL_GUARDED_BY(mutex);
    ledger_file lasting_ledger;
    std::unique_ptr<http_server> server;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_STANDIN_SERVICE_H_
