// Limits the retries of each service to a share of its traffic, so that retries cannot amplify an
// outage.
//
//     budget.on_request("assistant");
//     if (!budget.try_retry("assistant")) { return refused(refusal_code::retry_budget); }
//
// Each service has a token bucket. A first attempt adds `tokens_per_request` tokens (a tenth by
// default); a retry takes one whole token.

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
    // Above zero, so that a service with little traffic can retry its first failures.
    double initial_tokens = 5;
};

// Thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options chosen = {});

    // Sets the maximum number of tokens per service. Tokens above it are discarded.
    void set_max_tokens(double max_tokens_per_service);

    // Records the first attempt of a request.
    void on_request(absl::string_view service);

    // Takes one token for a retry. Returns false, and takes nothing, if the service has less than
    // one.
    [[nodiscard]] bool try_retry(absl::string_view service);

    // Returns whether `try_retry` would succeed now.
    [[nodiscard]] bool has_retry(absl::string_view service);

    // Returns the number of tokens left, by service.
    [[nodiscard]] std::map<std::string, double> left() const;

private:
    double& tokens_of(absl::string_view service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    retry_budget_options options ABSL_GUARDED_BY(mutex);
    // By service; each value is between zero and `max_tokens`.
    std::map<std::string, double, std::less<>> tokens ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_RETRIES_RETRY_BUDGET_H_
