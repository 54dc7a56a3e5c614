// Estimates how many tokens an answer will have, from what its caller states and from the answers
// seen before.
//
//     const double tokens = sizes.expect(origin, stated, usual_tokens);
//     ...
//     sizes.observe(origin, stated, seen_tokens);
//
// Callers state the most tokens of an answer, and some an estimate; both may be far off. The
// estimate is a mean of logarithms, weighted by precision: of the sizes seen, and of each stated
// value times the ratio of seen to stated. The more the ratio varies for a team on a route, the
// less the stated value counts. What a team states changes only its own estimates. Sizes that were
// seen count for the whole route too, for teams with few answers of their own.

#ifndef SARDINESTREAM_BACKENDS_ANSWER_ESTIMATOR_H_
#define SARDINESTREAM_BACKENDS_ANSWER_ESTIMATOR_H_

#include <cstddef>
#include <list>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// Where a request comes from.
struct answer_origin {
    absl::string_view service;
    absl::string_view route;
    // Empty if the request carries no key.
    absl::string_view team;
};

// What a caller states about the size of its answer, in tokens; values that are not positive count
// as not stated.
struct stated_size {
    double max_tokens = 0;
    double hint_tokens = 0;
};

// Thread-safe.
class answer_estimator {
public:
    static constexpr std::size_t max_series = 4096;

    // Returns the expected number of tokens, greater than zero. `usual_tokens` is the mean number
    // that the engine's operator declares; zero if none.
    [[nodiscard]] double expect(const answer_origin& origin, const stated_size& stated,
                                double usual_tokens) const;

    // Records the size of a whole answer.
    void observe(const answer_origin& origin, const stated_size& stated, double seen_tokens);

    // Returns the number of teams and routes that are kept.
    [[nodiscard]] std::size_t size() const;

private:
    // A moving mean and variance of logarithms.
    struct log_mean {
        double mean = 0;
        double variance = 0;
        double samples = 0;

        void add(double value);
    };
    struct series {
        log_mean size;
        // Of the size relative to what was stated.
        log_mean max_ratio;
        log_mean hint_ratio;
    };
    using kept_series = std::list<std::pair<std::string, series>>;

    [[nodiscard]] const series* find(const std::string& name) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the series, which becomes the most recently used one; creates it if necessary.
    [[nodiscard]] series& use(const std::string& name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the expected logarithm of a size before anything is stated.
    [[nodiscard]] log_mean prior_size(const answer_origin& origin, double usual_tokens) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    // The most recently used first.
    kept_series all ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, kept_series::iterator> by_name ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_ANSWER_ESTIMATOR_H_
