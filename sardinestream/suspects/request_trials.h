// Hands out the right to try a request that was refused for crashing servers: to one request of a
// combination of traits at a time.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_SUSPECTS_REQUEST_TRIALS_H_
#define SARDINESTREAM_SUSPECTS_REQUEST_TRIALS_H_

#include <map>

#include "sardinestream/suspects/blame.h"

#include "absl/time/time.h"

namespace sardinestream::suspects {

class request_trials {
public:
    // A trial without a result ends after this time.
    static constexpr absl::Duration trial_timeout = absl::Seconds(10);

    // Returns zero if the request may try now, else how long the trial of another one may last.
    [[nodiscard]] absl::Duration try_begin(const request_traits& combination,
                                           const request_traits& request, absl::Time now)
    {
        std::erase_if(this->trials, [now](const auto& entry) { return entry.second.end <= now; });
        const auto [running, is_new] =
            this->trials.try_emplace(combination, trial{request, now + trial_timeout});
        const bool may_try = is_new || running->second.request == request;
        return may_try ? absl::ZeroDuration() : running->second.end - now;
    }

private:
    struct trial {
        request_traits request;
        absl::Time end;
    };

    // By the combination that is tried.
    std::map<request_traits, trial> trials;
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_REQUEST_TRIALS_H_
