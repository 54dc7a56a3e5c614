#include "sardinestream/forwarding/retry_rules.h"

namespace sardinestream {

bool may_retry(const route& chosen, attempt_state last, bool any_possibly_executed, int sent)
{
    if (sent >= chosen.max_attempts) {
        return false;
    }
    if (chosen.may_run_again()) {
        return true;
    }
    const bool not_executed =
        last == attempt_state::nothing_sent || last == attempt_state::refused_by_server;
    return not_executed && !any_possibly_executed;
}

int final_status(bool any_possibly_executed, bool timed_out)
{
    constexpr int not_run = 503;
    constexpr int bad_gateway = 502;
    constexpr int gateway_timeout = 504;
    if (timed_out) {
        return any_possibly_executed ? gateway_timeout : not_run;
    }
    return any_possibly_executed ? bad_gateway : not_run;
}

} // namespace sardinestream
