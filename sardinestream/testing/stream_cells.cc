// Cells of the streamed completion.
//
// Steps: admit (entry to agent), send (agent to engine), first (the engine's first token), middle
// (the eighth part from agent to entry), end (the last frame from agent to entry), caller (an event
// from entry to caller), cancel (the caller leaves; entry to agent).

#include <algorithm>
#include <future>

#include <nlohmann/json.hpp>

#include "sardinestream/testing/fault_matrix.h"
#include "sardinestream/testing/matrix_faults.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using wire::frame_type;

constexpr absl::Duration patience = absl::Seconds(4);
constexpr int answer_tokens = 24;
constexpr int endless_tokens = 90000;
constexpr int middle_part = 8;
constexpr int caller_event = 5;
constexpr int tokens_before_leaving = 5;
// Requests that earn an entry one resumption, by its retry budget, and some more.
constexpr int requests_for_resumption = 25;

std::vector<injection_point> points_of(fleet& servers, const std::string& step,
                                       const std::string& marker)
{
    entry_node& entry = servers.entry(0);
    if (step == "caller") {
        return {{entry.callers.get(), event_pattern("POST", marker), caller_event, nullptr,
                 entry.run.get()}};
    }
    const auto at_peers = [&](agent_node& agent, frame_type type, int nth) {
        return injection_point{agent.peers.get(), frame_pattern(type, marker), nth, entry.run.get(),
                               agent.run.get()};
    };
    const auto at_server = [&](agent_node& agent, const message_pattern& at) {
        return injection_point{agent.server.get(), at, 1, agent.run.get(), agent.backend_run.get()};
    };
    std::vector<injection_point> points;
    for (const auto& agent : servers.agents()) {
        if (step == "admit") {
            points.push_back(at_peers(*agent, frame_type::request_open, 1));
        }
        if (step == "middle") {
            points.push_back(at_peers(*agent, frame_type::response_chunk, middle_part));
        }
        if (step == "end") {
            points.push_back(at_peers(*agent, frame_type::response_end, 1));
        }
        if (step == "cancel") {
            points.push_back(at_peers(*agent, frame_type::cancel, 1));
        }
        if (step == "send") {
            points.push_back(at_server(*agent, request_pattern("POST", marker)));
        }
        if (step == "first") {
            points.push_back(at_server(*agent, event_pattern("POST", marker)));
        }
    }
    return points;
}

// The entry or its link to the caller was hit: then the connection may end without an end.
bool may_lose_connection(const std::string& step, const std::string& fault)
{
    const bool entry_is_front = step == "admit" || step == "middle" || step == "end";
    if (entry_is_front && (has_part(fault, "kill_front") || has_part(fault, "freeze_front"))) {
        return true;
    }
    return step == "caller";
}

// An engine that hangs with its connection open is abandoned at the deadline; anything else that is
// lost leaves a healthy server, on which the stream has to go on to its end.
bool must_be_whole(const std::string& step, const std::string& fault)
{
    const bool engine_hangs = (step == "send" || step == "first") &&
                              (has_part(fault, "freeze_back") || has_part(fault, "black_hole"));
    return !engine_hangs && !may_lose_connection(step, fault);
}

std::string judge(fleet& servers, const stream_answer& answer, const std::string& step,
                  const std::string& fault)
{
    if (!answer.right_so_far()) {
        return "wrong_tokens";
    }
    if (answer.end == stream_end::done && !answer.whole()) {
        return "ended_early";
    }
    if (answer.end == stream_end::lost && !may_lose_connection(step, fault)) {
        return "silent_cut";
    }
    if (!answer.whole() && must_be_whole(step, fault)) {
        return "not_whole";
    }
    const bool refused = answer.end == stream_end::refused || answer.end == stream_end::error;
    if (refused && answer.error.code.empty()) {
        return "refusal_without_code";
    }
    if (refused && answer.error.outcome == "not_run" &&
        servers.engine_attempts(answer.asked.request_id) > 0) {
        return "not_run_but_ran";
    }
    return "";
}

std::string request_id_of(std::string cell)
{
    std::replace_if(
        cell.begin(), cell.end(), [](char c) { return c == '.' || c == '+'; }, '_');
    return cell;
}

// Fills the retry budgets, which the cells before may have used up.
void fill_retry_budgets(fleet& servers)
{
    for (int entry = 0; entry < servers.entries(); ++entry) {
        for (int i = 0; i < requests_for_resumption; ++i) {
            static_cast<void>(
                servers.caller_of(entry).stream({.prompt = "budget", .max_tokens = 1}));
        }
    }
}

cell_verdict run_cell(fleet& servers, const std::string& cell, const std::string& step,
                      const std::string& fault)
{
    fill_retry_budgets(servers);
    const completion_call asked{.prompt = "label for " + cell,
                                .max_tokens = answer_tokens,
                                .request_id = request_id_of(cell)};
    const fault_injection injection(servers, points_of(servers, step, asked.request_id), fault);
    std::future<stream_answer> sending = std::async(
        std::launch::async, [&] { return servers.caller_of(0, patience).stream(asked); });
    const bool fired = injection.wait_until_fired(
        [&] { return sending.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
    std::string second = "none";
    std::string violated;
    if (has_part(fault, "resend")) {
        completion_call again = asked;
        again.request_id += "-2";
        const stream_answer other = servers.caller_of(1, patience).stream(again);
        // After the loss of an engine the same request is a suspect, and may be answered so.
        const bool engine_killed =
            has_part(fault, "kill_back_after") && (step == "send" || step == "first");
        const bool is_suspect = other.error.code == "crash_suspect" && other.indices.empty();
        if (!engine_killed || !is_suspect) {
            violated = judge(servers, other, step, fault);
        }
        second = other.summary();
    }
    const stream_answer first = sending.get();
    if (const std::string wrong = judge(servers, first, step, fault); !wrong.empty()) {
        violated = wrong;
    }
    const absl::Status restored = servers.restore();
    if (!restored.ok()) {
        violated = absl::StrCat("not_restored_", peer_of(restored));
    }
    if (!fired) {
        violated = "fault_not_injected";
    }
    return {violated.empty(), absl::StrCat("first=", first.summary(), " second=", second,
                                           " violated=", violated.empty() ? "none" : violated)};
}

// True once no engine that lives works for the request, and none has finished it.
bool is_cancelled_everywhere(fleet& servers, const std::string& request_id, bool& finished)
{
    for (const auto& agent : servers.agents()) {
        if (!agent->model) {
            continue;
        }
        const json ledger = json::parse(fleet::get_page(agent->backend.reserved(), "/admin/ledger"),
                                        nullptr, false);
        if (!ledger.is_object()) {
            return false;
        }
        for (const json& attempt : ledger["attempts"]) {
            if (attempt["request_id"] != request_id) {
                continue;
            }
            finished = finished || attempt["state"] == "finished";
            if (attempt["state"] == "started") {
                return false;
            }
        }
    }
    return true;
}

cell_verdict run_cancel_cell(fleet& servers, const std::string& cell, const std::string& fault)
{
    const completion_call asked{
        .prompt = "label for " + cell,
        .max_tokens = endless_tokens,
        .request_id = request_id_of(cell),
        .on_token = [](int index) { return index < tokens_before_leaving; }};
    const fault_injection injection(servers, points_of(servers, "cancel", asked.request_id), fault);
    const stream_answer answer = servers.caller_of(0).stream(asked);
    std::string violated;
    if (!answer.right_so_far() || answer.end != stream_end::left) {
        violated = "wrong_tokens";
    }
    else if (!injection.wait_until_fired([] { return false; })) {
        violated = "fault_not_injected";
    }
    const absl::Status restored = servers.restore();
    bool finished = false;
    if (!restored.ok()) {
        violated = absl::StrCat("not_restored_", peer_of(restored));
    }
    else if (!wait_until(
                 [&] { return is_cancelled_everywhere(servers, asked.request_id, finished); })) {
        violated = "work_goes_on_for_nobody";
    }
    else if (finished) {
        violated = "finished_for_nobody";
    }
    return {violated.empty(), absl::StrCat("first=", answer.summary(),
                                           " violated=", violated.empty() ? "none" : violated)};
}

matrix_cell make_cell(const std::string& step, const std::string& fault)
{
    const auto run = [step, fault](fleet_holder& fleets, const std::string& cell) {
        return on_fleet(fleets, [&](fleet& servers) {
            return step == "cancel" ? run_cancel_cell(servers, cell, fault)
                                    : run_cell(servers, cell, step, fault);
        });
    };
    return {"stream", step, fault, run};
}

} // namespace

std::vector<matrix_cell> stream_cells()
{
    std::vector<matrix_cell> cells;
    for (const char* step : {"admit", "send", "first", "middle", "end", "caller", "cancel"}) {
        const bool cancel = absl::string_view(step) == "cancel";
        const bool no_front = absl::string_view(step) == "caller";
        for (const std::string& fault : request_faults()) {
            const bool needs_front =
                has_part(fault, "kill_front") || has_part(fault, "freeze_front");
            if ((cancel && has_part(fault, "resend")) || (no_front && needs_front)) {
                continue;
            }
            cells.push_back(make_cell(step, fault));
        }
    }
    return cells;
}

} // namespace sardinestream::testing
