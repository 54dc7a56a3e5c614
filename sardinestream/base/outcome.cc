#include "sardinestream/base/outcome.h"

#include <array>

namespace sardinestream {
namespace {

struct code_info {
    refusal_code code;
    absl::string_view name;
    int http_status;
};

constexpr std::array code_table = {
    code_info{refusal_code::none, "none", 200},
    code_info{refusal_code::bad_request, "bad_request", 400},
    code_info{refusal_code::unauthorized, "unauthorized", 401},
    code_info{refusal_code::unknown_service, "unknown_service", 404},
    code_info{refusal_code::body_too_large, "body_too_large", 413},
    code_info{refusal_code::idempotency_key_required, "idempotency_key_required", 428},
    code_info{refusal_code::key_reused, "key_reused", 422},
    code_info{refusal_code::ticket_invalid, "ticket_invalid", 400},
    code_info{refusal_code::team_limit, "team_limit", 429},
    code_info{refusal_code::deadline_too_short, "deadline_too_short", 503},
    code_info{refusal_code::no_backend_server, "no_backend_server", 503},
    code_info{refusal_code::overloaded, "overloaded", 503},
    code_info{refusal_code::retry_budget, "retry_budget", 503},
    code_info{refusal_code::store_unavailable, "store_unavailable", 503},
    code_info{refusal_code::draining, "draining", 503},
    code_info{refusal_code::crash_suspect, "crash_suspect", 422},
    code_info{refusal_code::backend_lost, "backend_lost", 502},
    code_info{refusal_code::bound_agent_gone, "bound_agent_gone", 409},
    code_info{refusal_code::bound_agent_unreachable, "bound_agent_unreachable", 504},
    code_info{refusal_code::backend_error, "backend_error", 502},
    code_info{refusal_code::deadline_exceeded, "deadline_exceeded", 504},
    code_info{refusal_code::too_many_connections, "too_many_connections", 503},
    code_info{refusal_code::not_ready, "not_ready", 503},
    code_info{refusal_code::stream_cut, "stream_cut", 502},
    code_info{refusal_code::cancelled, "cancelled", 499},
    code_info{refusal_code::protocol_error, "protocol_error", 502},
    code_info{refusal_code::answer_expired, "answer_expired", 409},
};

const code_info& info_of(refusal_code code)
{
    for (const code_info& info : code_table) {
        if (info.code == code) {
            return info;
        }
    }
    return info_of(refusal_code::protocol_error);
}

} // namespace

absl::string_view to_string(refusal_code code)
{
    return info_of(code).name;
}

int http_status_of(refusal_code code)
{
    return info_of(code).http_status;
}

refusal_code refusal_code_from(std::uint16_t number)
{
    return info_of(static_cast<refusal_code>(number)).code;
}

absl::string_view to_string(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::failed:
        return "failed";
    case run_outcome::ran:
        return "ran";
    case run_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace sardinestream
