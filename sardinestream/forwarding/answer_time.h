// Learns how long the answers of each service take, from the sending of a request to the end of its
// answer, and estimates an upper bound for the next one. A process that stops decides by it what it
// can still answer.
//
//     answer_times times;
//     answer_times::measurement measured(times, shape, sent);
//     measured.note_first_event(now);
//     measured.end(now, true);
//     ...
//     const answer_estimate estimate = times.estimate(shape, now);
//
// Answers that are running, or were broken off, and have taken longer than the estimate raise it:
// those that end are the quick ones while servers stall.

#ifndef SARDINESTREAM_FORWARDING_ANSWER_TIME_H_
#define SARDINESTREAM_FORWARDING_ANSWER_TIME_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/http/socket.h"
#include "sardinestream/routes/desired_state.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

// What is known of an answer before it begins.
struct answer_shape {
    std::string service;
    request_kind kind = request_kind::idempotent;
    // 0 if unknown.
    int prompt_tokens = 0;
    int max_response_tokens = 0;
};

struct answer_estimate {
    // From the sending to the whole answer; nearly all answers take less.
    std::chrono::milliseconds duration{0};
    // Number of whole answers that it is drawn from.
    std::size_t samples = 0;
};

// Thread-safe. The current time is passed in.
class answer_times {
    using milliseconds_f = std::chrono::duration<double, std::milli>;
    struct answer {
        steady_time sent;
        int prompt_tokens = 0;
        int max_response_tokens = 0;
        std::optional<steady_time> first_event;
        steady_time ended{};
        // Ended as a whole answer, as opposed to broken off.
        bool whole = false;
    };
    struct series {
        // Those that have ended, the oldest first.
        std::deque<answer> latest;
        std::list<answer> running;
    };
    // What whole answers keep, the margin included.
    struct usual_times {
        milliseconds_f duration{0};
        milliseconds_f first_event{0};
        std::size_t samples = 0;
        // There are enough samples, also of this size.
        bool is_known = false;
    };
    struct running_answer {
        series* siblings;
        std::list<answer>::iterator position;
    };

public:
    // Latest answers that count.
    static constexpr std::size_t max_samples = 200;
    static constexpr std::chrono::seconds max_sample_age{60};
    // With fewer samples, no estimate is below `unknown_duration`.
    static constexpr std::size_t min_samples = 10;
    static constexpr std::chrono::milliseconds min_estimate{250};

    // The time of one answer. Used by one thread.
    class measurement {
    public:
        // `times` must outlive it.
        measurement(answer_times& times, const answer_shape& shape, steady_time sent);
        // Records an answer that has not ended as broken off now.
        ~measurement();
        measurement(const measurement&) = delete;
        measurement& operator=(const measurement&) = delete;

        void note_first_event(steady_time now);
        // Records the end of the answer; only the first call counts.
        void end(steady_time now, bool whole);

    private:
        answer_times& owner;
        const running_answer measured;
        bool begun = false;
        bool ended = false;
    };

    // Returns the time that nearly all answers of this kind take, if too little is known of the
    // service.
    [[nodiscard]] static std::chrono::milliseconds unknown_duration(request_kind kind);

    // Returns an upper estimate of the time from the sending of a request to its whole answer.
    [[nodiscard]] answer_estimate estimate(const answer_shape& shape, steady_time now) const;

private:
    // By service and kind of request.
    using series_key = std::pair<std::string, request_kind>;

    [[nodiscard]] running_answer begin(const answer_shape& shape, steady_time sent);
    // Drops the series that have had no answers lately.
    void drop_unused(steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns how long a sample that ended, or has run, until `end` would take at the size of
    // `shape`.
    [[nodiscard]] static milliseconds_f scaled_duration(const answer& sample, steady_time end,
                                                        const answer_shape& shape);
    // Returns the times that whole answers keep.
    [[nodiscard]] static usual_times usual(const series& siblings, const answer_shape& shape,
                                           steady_time now);
    // Returns the duration of `times`, raised if answers that are not whole have taken longer.
    [[nodiscard]] static milliseconds_f duration_with_late(const series& siblings,
                                                           const answer_shape& shape,
                                                           const usual_times& times,
                                                           steady_time now);

    mutable absl::Mutex mutex;
    std::map<series_key, series> all ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_ANSWER_TIME_H_
