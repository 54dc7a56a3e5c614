// Keeps retries to a share of the traffic, so that they never add up to an outage.
//
//     budget.on_request("assistant");
//     if (!budget.try_retry("assistant")) { return refused(refusal_code::retry_budget); }
//
// A token bucket for each service: a request adds a tenth of a token, a retry takes a whole one.

#ifndef SARDINESTREAM_RETRIES_RETRY_BUDGET_H_
#define SARDINESTREAM_RETRIES_RETRY_BUDGET_H_

#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::routing {

struct retry_budget_options {
    double tokens_per_request = 0.1; // 0 to 1
    double max_tokens = 20;
    // Lets a quiet service retry its first failures.
    double initial_tokens = 5;
};

// Thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options chosen = {});

    // Changes the most tokens that a service holds; what is above is dropped.
    void set_max_tokens(double most);

    // A first attempt was made.
    void on_request(absl::string_view service);

    // Takes the tokens of one retry. Returns false, and takes nothing, where they are not there.
    [[nodiscard]] bool try_retry(absl::string_view service);

    // The tokens that each service has left.
    [[nodiscard]] std::map<std::string, double> left() const;

private:
    double& tokens_of(absl::string_view service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    retry_budget_options options ABSL_GUARDED_BY(mutex);
    // Each between zero and `max_tokens`.
    std::map<std::string, double, std::less<>> tokens ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_RETRIES_RETRY_BUDGET_H_
