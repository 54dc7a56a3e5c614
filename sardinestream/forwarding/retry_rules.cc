#include "sardinestream/forwarding/retry_rules.h"

namespace sardinestream {

bool may_retry(const route& chosen, attempt_state last, bool any_possibly_run, int sent)
{
    if (sent >= chosen.max_attempts) {
        return false;
    }
    if (chosen.may_run_again()) {
        return true;
    }
    const bool never_ran =
        last == attempt_state::nothing_sent || last == attempt_state::refused_by_server;
    return never_ran && !any_possibly_run;
}

int final_status(bool any_possibly_run, bool timed_out)
{
    constexpr int not_run = 503;
    constexpr int bad_gateway = 502;
    constexpr int gateway_timeout = 504;
    if (timed_out) {
        return any_possibly_run ? gateway_timeout : not_run;
    }
    return any_possibly_run ? bad_gateway : not_run;
}

} // namespace sardinestream
