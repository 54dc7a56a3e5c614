#include "sardinestream/testing/soak/soak_run.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "sardinestream/testing/soak/request_pacer.h"
#include "sardinestream/testing/soak/requester.h"
#include "sardinestream/testing/soak/soak_fleet.h"
#include "sardinestream/testing/soak/soak_house.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds calm_start{1000};
// After the last fault, nearly all requests must succeed again within this time.
constexpr milliseconds recovery_bound{15000};
constexpr milliseconds recovery_window{1000};
constexpr double recovered_share = 0.95;
// Where stops are played in all their forms, streams last for seconds.
constexpr std::chrono::seconds stop_grace{8};
constexpr milliseconds lasting_stream_timeout{8000};
constexpr milliseconds longest_lasting_answer{6000};
constexpr milliseconds lasting_stall{1500};

std::vector<std::unique_ptr<requester>> start_requesters(const soak_options& options,
                                                         const soak_fleet& fleet,
                                                         request_pacer& pacer,
                                                         promise_ledger& ledger)
{
    std::vector<std::unique_ptr<requester>> all;
    for (int i = 0; i < options.requesters; ++i) {
        requester_options chosen;
        chosen.choose_entry = [&fleet](double draw) {
            return fleet.entry_address(static_cast<int>(draw * fleet.entries()));
        };
        chosen.host = soak_host;
        chosen.key = soak_key;
        chosen.team = soak_team;
        chosen.name = absl::StrCat("c", i);
        const bool lasts = draws_stops(options.seed);
        chosen.sends_crashing_part = !options.house && draws_crashing_requests(options.seed);
        chosen.lasts = !options.house && lasts;
        chosen.plain_stream_share = options.house ? options.stream_share : 0;
        chosen.stream_pace = options.stream_pace;
        if (options.requests_per_s > 0) {
            chosen.next_send = [&pacer] { return pacer.next(); };
        }
        chosen.leaving_share = options.house ? house_leaving_share : chosen.leaving_share;
        chosen.stream_timeout = lasts ? lasting_stream_timeout : requester_options().stream_timeout;
        chosen.seed = options.seed * 1000 + static_cast<unsigned>(i);
        all.push_back(std::make_unique<requester>(std::move(chosen), ledger));
        all.back()->start();
    }
    return all;
}

// `longest_answer` is how long answers to sound requests may last.
void wait_for_recovery(soak_fleet& fleet, promise_ledger& ledger, milliseconds longest_answer)
{
    const steady_time bound = steady_clock::now() + recovery_bound;
    double share = 0;
    while (steady_clock::now() < bound) {
        const steady_time begun = steady_clock::now();
        fleet.run_until(begun + recovery_window + longest_answer);
        share = ledger.success_share(begun - recovery_window / 2, begun + recovery_window);
        if (share >= recovered_share) {
            return;
        }
    }
    ledger.note_broken(absl::StrCat("recover: ", share, " of the requests succeed ",
                                    recovery_bound.count(), " ms after the last fault"));
}

} // namespace

soak_verdict run_soak(const soak_options& options)
{
    soak_verdict verdict;
    verdict.faults =
        options.house ? draw_house_faults(options.seed, options.size, options.length, options.plan)
                      : draw_faults(options.seed, options.size, options.length);
    soak_size size = options.size;
    const bool stops = draws_stops(options.seed);
    if (stops) {
        size.grace = stop_grace;
        size.stall = lasting_stall;
        size.stream_timeout = lasting_stream_timeout;
        size.starves_stops = !options.house && draws_starved_stops(options.seed);
    }
    if (options.house) {
        size.pass_time = options.pass_time.value_or(house_pass_time);
        size.stall = options.stall.value_or(house_stall(options.seed));
        size.start_time = house_start_time(std::min(size.entry_share, size.agent_share));
    }
    size.evacuates = !options.house && draws_evacuation(options.seed);
    ledger_options promises;
    promises.grace = size.grace;
    promise_ledger ledger{promises};
    size.direct_model_servers = options.house || draws_crashing_requests(options.seed);
    absl::StatusOr<std::unique_ptr<soak_fleet>> fleet = soak_fleet::create(size, ledger);
    if (!fleet.ok()) {
        verdict.broken.push_back(absl::StrCat("start: ", fleet.status().message()));
        return verdict;
    }
    verdict.log_directory = (*fleet)->log_directory();
    request_pacer pacer(options.requests_per_s);
    std::vector<std::unique_ptr<requester>> callers =
        start_requesters(options, **fleet, pacer, ledger);
    (*fleet)->run_until(steady_clock::now() + calm_start);
    const steady_time begun = steady_clock::now();
    for (const soak_fault& fault : verdict.faults) {
        (*fleet)->run_until(begun + fault.at);
        (*fleet)->inject(fault);
    }
    (*fleet)->run_until(begun + options.length);
    const absl::Status healed = (*fleet)->heal();
    if (!healed.ok()) {
        ledger.note_broken(absl::StrCat("recover: ", healed.message()));
    }
    wait_for_recovery(**fleet, ledger, stops ? longest_lasting_answer : milliseconds(0));
    for (const std::unique_ptr<requester>& caller : callers) {
        caller->ask_to_stop();
    }
    for (const std::unique_ptr<requester>& caller : callers) {
        caller->stop();
    }
    (*fleet)->shut_down();
    verdict.broken = ledger.judge();
    verdict.requests = ledger.count();
    verdict.passes = (*fleet)->passes();
    return verdict;
}

} // namespace sardinestream::testing
