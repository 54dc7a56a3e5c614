// Cells of the protocol for requests that may not be repeated.
//
// Steps: bind (the key's write in the platform), accept (entry to agent), send (agent to backend
// server), answer (backend server to agent), reply (agent to entry), return (entry to caller).
// Steps of the protocol "ticket" are the same, without the binding, and with the issue of the
// ticket before.

#include <atomic>
#include <future>

#include <nlohmann/json.hpp>

#include "sardinestream/testing/fault_matrix.h"
#include "sardinestream/testing/matrix_faults.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr char path[] = "/services/till/deposits";
constexpr absl::Duration first_patience = absl::Seconds(3);
constexpr absl::Duration settle_patience = absl::Seconds(10);
constexpr absl::Duration longest_pause = absl::Milliseconds(250);

// One key, everything its callers were answered, and what its ledger says.
class key_journal {
public:
    key_journal(fleet& judged, std::string cell, bool with_ticket)
        : servers(judged), key(std::move(cell)), by_ticket(with_ticket)
    {
    }

    // Asks for a ticket; returns false where there is none.
    bool take_ticket()
    {
        const call_answer answer =
            this->servers.caller_of(0).call("POST", "/v1/tickets", R"({"service":"till"})", {});
        const json body = json::parse(answer.body, nullptr, false);
        this->ticket = body.is_object() ? body.value("ticket", "") : "";
        return !this->ticket.empty();
    }

    call_answer send(int entry_index, absl::Duration patience)
    {
        header_fields headers{{"X-Request-Id", absl::StrCat(this->marker(), "-", ++this->sent)}};
        if (this->by_ticket) {
            headers.emplace_back("Sardine-Ticket", this->ticket);
            headers.emplace_back("X-Run-Id", this->key);
        }
        else {
            headers.emplace_back("Idempotency-Key", this->key);
        }
        return this->servers.caller_of(entry_index, patience)
            .call("POST", path, "deposit of " + this->key, headers);
    }

    // What the messages of the first sending carry.
    [[nodiscard]] std::string first_id() const { return absl::StrCat(this->marker(), "-1"); }

    // Compares one answer with the ledger. `alone` says that no other sending is under way.
    void judge(const call_answer& answer, bool alone)
    {
        if (answer.success()) {
            const json body = json::parse(answer.body, nullptr, false);
            if (!body.is_object() || body.value("key", "") != this->key || body["runs"] != 1) {
                this->violation = "answer_of_another_run";
            }
        }
        const bool not_run = answer.answered && answer.error.outcome == "not_run";
        if (not_run && alone && this->runs() > 0) {
            this->violation = "not_run_but_ran";
        }
        if (this->runs() > 1) {
            this->violation = "ran_twice";
        }
    }

    // Sends until the answer is final.
    call_answer settle()
    {
        call_answer last;
        static_cast<void>(wait_until([&] {
            last = this->send(this->sent % this->servers.entries(), settle_patience);
            this->judge(last, true);
            if (is_final(last)) {
                return true;
            }
            absl::SleepFor(std::min(longest_pause, absl::Milliseconds(last.error.retry_after_ms)));
            return false;
        }));
        return last;
    }

    static bool is_final(const call_answer& answer)
    {
        const bool definite_refusal = answer.answered && answer.error.outcome != "not_run" &&
                                      answer.error.retry_after_ms == 0;
        return answer.success() || definite_refusal;
    }

    [[nodiscard]] int runs() const { return this->servers.runs_of(this->key); }
    [[nodiscard]] const std::string& violated() const { return this->violation; }

private:
    // Request ids have letters, digits, "-" and "_" alone.
    [[nodiscard]] std::string marker() const
    {
        std::string text = this->key;
        std::replace_if(
            text.begin(), text.end(), [](char c) { return c == '.' || c == '+'; }, '_');
        return text;
    }

    fleet& servers;
    const std::string key;
    const bool by_ticket;
    std::string ticket;
    std::atomic<int> sent{0};
    std::string violation;
};

// Where each step is seen. The first sending goes through entry 0.
std::vector<injection_point> points_of(fleet& servers, const std::string& step,
                                       const std::string& marker)
{
    std::vector<injection_point> points;
    entry_node& entry = servers.entry(0);
    if (step == "bind") {
        for (const char* method : {"POST", "PUT"}) {
            message_pattern at = request_pattern(method);
            at.line_part = "keybinding";
            points.push_back({entry.platform.get(), at, 1, entry.run.get(), nullptr});
        }
        return points;
    }
    if (step == "return") {
        return {{entry.callers.get(), answer_pattern("POST", marker), 1, nullptr, entry.run.get()}};
    }
    for (const auto& agent : servers.agents()) {
        process* const run = agent->run.get();
        process* const backend = agent->backend_run.get();
        if (step == "accept") {
            points.push_back({agent->peers.get(),
                              frame_pattern(wire::frame_type::request_open, marker), 1,
                              entry.run.get(), run});
        }
        if (step == "reply") {
            points.push_back({agent->peers.get(),
                              frame_pattern(wire::frame_type::response_head, marker), 1,
                              entry.run.get(), run});
        }
        if (step == "send") {
            points.push_back(
                {agent->server.get(), request_pattern("POST", marker), 1, run, backend});
        }
        if (step == "answer") {
            points.push_back(
                {agent->server.get(), answer_pattern("POST", marker), 1, run, backend});
        }
    }
    return points;
}

cell_verdict run_cell(fleet& servers, const std::string& cell, const std::string& step,
                      const std::string& fault, bool by_ticket)
{
    key_journal journal(servers, cell, by_ticket);
    if (by_ticket && !journal.take_ticket()) {
        return {false, "no_ticket"};
    }
    const fault_injection injection(servers, points_of(servers, step, journal.first_id()), fault);
    std::future<call_answer> sending =
        std::async(std::launch::async, [&] { return journal.send(0, first_patience); });
    const auto is_answered = [&] {
        return sending.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    };
    const bool fired = injection.wait_until_fired(is_answered);
    const bool resends = has_part(fault, "resend");
    std::string second = "none";
    if (resends) {
        const call_answer again = journal.send(1, first_patience);
        journal.judge(again, false);
        second = again.summary();
    }
    const call_answer first = sending.get();
    journal.judge(first, !resends);
    const absl::Status restored = servers.restore();
    if (!restored.ok()) {
        return {false, absl::StrCat("not_restored=", peer_of(restored))};
    }
    const call_answer last = journal.settle();
    const int runs = journal.runs();
    std::string violated = journal.violated();
    if (!fired) {
        violated = "fault_not_injected";
    }
    else if (violated.empty() && last.success() && runs != 1) {
        violated = "success_without_run";
    }
    else if (violated.empty() && !key_journal::is_final(last)) {
        violated = "no_final_answer";
    }
    return {violated.empty(),
            absl::StrCat("first=", first.summary(), " second=", second, " last=", last.summary(),
                         " runs=", runs, " violated=", violated.empty() ? "none" : violated)};
}

// True where the fault cannot be injected at the step: no process of the fleet is at that end.
bool is_void(const std::string& step, const std::string& fault)
{
    const bool needs_front = has_part(fault, "kill_front") || has_part(fault, "freeze_front");
    const bool needs_back = has_part(fault, "kill_back") || has_part(fault, "freeze_back") ||
                            has_part(fault, "kill_back_after");
    return (step == "bind" && needs_back) || (step == "return" && needs_front);
}

} // namespace

std::vector<matrix_cell> once_cells()
{
    std::vector<matrix_cell> cells;
    for (const bool by_ticket : {false, true}) {
        for (const char* step : {"bind", "accept", "send", "answer", "reply", "return"}) {
            for (const std::string& fault : request_faults()) {
                const bool pair = absl::StrContains(fault, '+');
                if (is_void(step, fault) ||
                    (by_ticket && (pair || absl::string_view(step) == "bind"))) {
                    continue;
                }
                const auto run = [step = std::string(step), fault,
                                  by_ticket](fleet_holder& fleets, const std::string& cell) {
                    return on_fleet(fleets, [&](fleet& servers) {
                        return run_cell(servers, cell, step, fault, by_ticket);
                    });
                };
                cells.push_back({by_ticket ? "ticket" : "once", step, fault, run});
            }
        }
    }
    return cells;
}

} // namespace sardinestream::testing
