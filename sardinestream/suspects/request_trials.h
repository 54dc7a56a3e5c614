// Hands out the right to try a request that was refused for crashing servers: to one request at a
// time of a combination of traits, or of all combinations that explain the same crashes.
//
// The current time is passed in. Not thread-safe.

#ifndef SARDINESTREAM_SUSPECTS_REQUEST_TRIALS_H_
#define SARDINESTREAM_SUSPECTS_REQUEST_TRIALS_H_

#include <map>

#include "sardinestream/suspects/blame.h"

#include "absl/time/time.h"

namespace sardinestream::suspects {

struct trial_decision {
    // Zero if the request may try now, else how long the trial of another one may last.
    absl::Duration wait;
    // The trial begins with this decision.
    bool begins = false;
};

class request_trials {
public:
    // A trial without a result ends after this time.
    static constexpr absl::Duration trial_timeout = absl::Seconds(10);

    // Decides whether a request that is tried under this combination (`blamed_traits::tried_as`)
    // may try now. One that may keeps this right until its trial ends.
    [[nodiscard]] trial_decision decide(const request_traits& combination,
                                        const request_traits& request, absl::Time now)
    {
        std::erase_if(this->trials, [now](const auto& entry) { return entry.second.end <= now; });
        const auto [running, is_new] =
            this->trials.try_emplace(combination, trial{request, now + trial_timeout});
        if (running->second.request != request) {
            return {running->second.end - now, false};
        }
        return {absl::ZeroDuration(), is_new};
    }

    // Ends the trials of a request that has completed.
    void end_trials_of(const request_traits& request)
    {
        std::erase_if(this->trials,
                      [&](const auto& entry) { return entry.second.request == request; });
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
