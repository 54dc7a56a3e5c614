#include "sardinestream/forwarding/crash_guard.h"

#include <utility>

#include "sardinestream/backends/refusal.h"
#include "sardinestream/base/digest.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/http/socket.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using suspects::request_traits;

// A server on the same network refuses a connection within this time.
constexpr std::chrono::milliseconds probe_timeout{200};

void append_parts(const caller_request& request, const std::string& service, request_traits& traits)
{
    for (const std::string& part : request.prompt_parts) {
        traits.push_back(suspects::prompt_part_trait(service, part));
    }
}

// The trait of the request as a whole first, so that it is not cut off behind very many parts.
request_traits all_traits(const caller_request& request, const std::string& service)
{
    request_traits traits = {suspects::fingerprint_of(
        request.key, absl::StrCat(service, " ", request.method, " ", request.target),
        request.body)};
    append_parts(request, service, traits);
    return traits;
}

} // namespace

crash_guard::crash_guard(suspects::suspect_registry& suspects, crash_guard_hooks callbacks)
    : registry(suspects), hooks(std::move(callbacks))
{
}

absl::Status crash_guard::check(const caller_request& request, const std::string& service) const
{
    if (this->registry.size() == 0) {
        return absl::OkStatus();
    }
    const suspects::suspect_assessment assessed =
        this->registry.assess(all_traits(request, service));
    if (assessed.begins_trial) {
        count("sardine_crash_suspect_trials_total", {{"service", service}});
        log_event(
            "crash_suspect_tried",
            {{"request", request.id}, {"service", service}, {"parts", request.parts_for_log()}});
    }
    if (assessed.verdict != suspects::suspect_verdict::refuse) {
        return absl::OkStatus();
    }
    count("sardine_crash_suspects_refused_total", {{"service", service}});
    return refuse(absl::StatusCode::kUnavailable, service, "suspected of crashing servers",
                  absl::ToChronoMilliseconds(assessed.retry_after));
}

void crash_guard::note_lost(const backend_server& server, const caller_request& request)
{
    if (!this->hooks.refuses_connections(server.endpoint)) {
        return;
    }
    const suspects::crash_id crash(stable_hash(server.id),
                                   static_cast<std::uint64_t>(server.born_ms), 0);
    const request_traits lost = all_traits(request, server.service);
    count("sardine_requests_lost_in_crashes_total", {{"service", server.service}});
    log_event("request_lost_in_crash", {{"request", request.id},
                                        {"server", server.id},
                                        {"service", server.service},
                                        {"parts", request.parts_for_log()}});
    if (this->registry.record_crash(crash, {&lost, 1})) {
        this->hooks.on_change();
    }
}

void crash_guard::note_sound(const caller_request& request, const std::string& service)
{
    // A whole request seldom comes again, so it is only of interest if it is a suspect.
    request_traits traits;
    if (this->registry.size() == 0) {
        append_parts(request, service, traits);
    }
    else {
        traits = all_traits(request, service);
    }
    if (this->registry.record_completion(traits)) {
        this->hooks.on_change();
    }
}

suspects::suspect_registry_options
shared_server_suspects(std::function<int(const digest128& trait)> trial_position)
{
    suspects::suspect_registry_options options;
    if (trial_position != nullptr) {
        options.trial_position = std::move(trial_position);
    }
    // Longer than any refusal, so that a cause that is tried once in a while stays known.
    options.suspicion_period = absl::Minutes(30);
    options.refusal = {.unproven = absl::Minutes(2),
                       .proven = absl::Seconds(30),
                       .undecided = absl::Seconds(3),
                       .longest = absl::Minutes(10)};
    options.blame.unproven = {.crashes = 3, .moments = 2, .crashes_at_once = 5};
    options.blame.proven = {.crashes = 5, .moments = 2};
    // A steady clock: the time of day may jump.
    options.now = [] {
        return absl::UnixEpoch() + absl::FromChrono(steady_clock::now().time_since_epoch());
    };
    return options;
}

bool refuses_connections(const address& server)
{
    const absl::StatusOr<tcp_socket> socket =
        tcp_socket::connect(server, steady_clock::now() + probe_timeout, hangup_watch());
    return is_connection_refused(socket.status());
}

} // namespace sardinestream
