// Cells of the planned stop: an agent beside a model engine, an agent beside a plain service, or an
// entry is asked to stop while requests are in progress, and a fault comes on top.
//
// Steps: notice (before the stop), refuse (once it drains, before new work is sent), drain (after
// new work was sent), exit (once the requests in progress have ended).
// What must hold: requests in progress end whole, the leaving server gets no new work, and the
// process exits with 0.

#include <future>
#include <list>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/testing/fault_matrix.h"
#include "sardinestream/testing/matrix_faults.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int streams_in_progress = 4;
constexpr int stream_tokens = 40;
constexpr int new_requests = 4;
constexpr char json_type[] = "application/json";

enum class stop_target : std::uint8_t { model_agent, plain_agent, entry };

struct stop_plan {
    stop_target target = stop_target::entry;
    std::string step;
    std::string fault;
};

void post(const address& at, const std::string& path, const std::string& body)
{
    httplib::Client client(at.ip, at.port);
    static_cast<void>(client.Post(path, body, json_type));
}

// One run of a cell.
class stop_run {
public:
    stop_run(fleet& stopped, std::string cell, stop_plan wanted)
        : servers(stopped), name(std::move(cell)), plan(std::move(wanted)),
          agent(plan.target == stop_target::plain_agent ? find_agent(false) : find_agent(true)),
          target(plan.target == stop_target::entry ? *stopped.entry(0).run : *agent.run)
    {
    }

    cell_verdict run()
    {
        this->begin_requests();
        this->inject_at("notice");
        this->target.terminate();
        if (!this->target.wait_for_output("drain_started")) {
            this->violation = "no_drain";
        }
        this->inject_at("refuse");
        this->send_new_requests();
        this->inject_at("drain");
        this->let_requests_end();
        this->judge_requests();
        this->inject_at("exit");
        this->judge_exit();
        const absl::Status restored = this->servers.restore();
        if (!restored.ok()) {
            this->violation = absl::StrCat("not_restored_", peer_of(restored));
        }
        return {this->violation.empty(),
                absl::StrCat(this->detail,
                             "violated=", this->violation.empty() ? "none" : this->violation)};
    }

private:
    agent_node& find_agent(bool model)
    {
        for (const auto& each : this->servers.agents()) {
            if (each->model == model) {
                return *each;
            }
        }
        std::abort();
    }

    [[nodiscard]] bool is_plain() const { return this->plan.target == stop_target::plain_agent; }

    [[nodiscard]] std::string id(absl::string_view kind, int number) const
    {
        return absl::StrCat("stop-", std::hash<std::string>{}(this->name), "-", kind, "-", number);
    }

    // Starts requests that cannot end before `let_requests_end`, on every server of the kind.
    void begin_requests()
    {
        this->hold_servers(true);
        for (int i = 0; i < streams_in_progress; ++i) {
            // An entry that stops serves all; otherwise both entries have some.
            const int entry = this->plan.target == stop_target::entry ? 0 : i % 2;
            if (this->is_plain()) {
                this->calls.push_back(std::async(std::launch::async, [this, entry, i] {
                    return this->servers.caller_of(entry).call(
                        "POST", "/services/till/deposits", "deposit",
                        {{"Idempotency-Key", this->id("old", i)}});
                }));
                continue;
            }
            this->streams.push_back(std::async(std::launch::async, [this, entry, i] {
                return this->servers.caller_of(entry).stream({.prompt = this->id("old", i),
                                                              .max_tokens = stream_tokens,
                                                              .request_id = this->id("old", i)});
            }));
        }
        const bool begun = wait_until([this] {
            for (int i = 0; i < streams_in_progress; ++i) {
                const std::string old = this->id("old", i);
                if (this->servers.runs_of(old) + this->servers.engine_attempts(old) == 0) {
                    return false;
                }
            }
            return true;
        });
        if (!begun) {
            this->violation = "requests_did_not_begin";
        }
    }

    void hold_servers(bool hold)
    {
        for (const auto& each : this->servers.agents()) {
            if (each->model == this->is_plain()) {
                continue;
            }
            if (each->model) {
                post(each->backend.reserved(), hold ? "/admin/stall" : "/admin/unstall", "{}");
                continue;
            }
            post(each->backend.reserved(), "/admin/faults", hold ? R"({"hang":true})" : "{}");
        }
    }

    void inject_at(const std::string& step)
    {
        if (this->plan.step != step) {
            return;
        }
        const std::string& fault = this->plan.fault;
        if (fault == "store_outage") {
            this->servers.order_platform("/admin/outage?mode=drop");
        }
        if (fault == "store_slow") {
            this->servers.order_platform("/admin/slow?delay_ms=400");
        }
        if (fault == "stale_list") {
            this->servers.order_platform("/admin/instance_lag?lag_ms=60000");
        }
        if (fault == "cut") {
            this->agent.peers->cut();
        }
        if (fault == "freeze_wake") {
            this->freeze_until_found();
        }
        if (fault == "second_notice") {
            this->target.terminate();
        }
        if (fault == "kill_other") {
            this->other_agent().run->kill();
        }
    }

    // Freezes the agent until the entries have noticed, then wakes it.
    void freeze_until_found()
    {
        if (!this->agent.run->alive()) {
            return;
        }
        this->agent.run->freeze();
        static_cast<void>(wait_until(
            [this] { return !this->agent.peers->has_link_from(this->servers.entry(1).id); }));
        this->agent.run->wake();
    }

    agent_node& other_agent()
    {
        for (const auto& each : this->servers.agents()) {
            if (each->model == this->agent.model && each.get() != &this->agent) {
                return *each;
            }
        }
        return this->agent;
    }

    // Sends new work through the entry that stays, to servers that answer again.
    void send_new_requests()
    {
        if (this->plan.target == stop_target::entry) {
            const caller staying = this->servers.caller_of(1);
            for (int i = 0; i < new_requests; ++i) {
                const bool served = staying.call("GET", "/services/stock/bowls", "", {}).success();
                this->refused_new += served ? 0 : 1;
            }
            return;
        }
        agent_node& other = this->other_agent();
        if (!other.run->alive()) {
            return;
        }
        this->hold_one(other, false);
        for (int i = 0; i < new_requests; ++i) {
            const std::string fresh = this->id("new", i);
            const caller staying = this->servers.caller_of(1, absl::Seconds(20));
            const bool served =
                this->is_plain()
                    ? staying
                          .call("POST", "/services/till/deposits", "deposit",
                                {{"Idempotency-Key", fresh}})
                          .success()
                    : staying.stream({.prompt = fresh, .max_tokens = 2, .request_id = fresh})
                          .whole();
            this->refused_new += served ? 0 : 1;
        }
        this->hold_one(other, true);
    }

    void hold_one(agent_node& each, bool hold)
    {
        if (each.model) {
            post(each.backend.reserved(), hold ? "/admin/stall" : "/admin/unstall", "{}");
            return;
        }
        post(each.backend.reserved(), "/admin/faults", hold ? R"({"hang":true})" : "{}");
    }

    void let_requests_end() { this->hold_servers(false); }

    void judge_requests()
    {
        int whole = 0;
        for (std::future<call_answer>& each : this->calls) {
            const call_answer answer = each.get();
            whole += answer.success() ? 1 : 0;
            absl::StrAppend(&this->detail, "old=", answer.summary(), " ");
        }
        for (std::future<stream_answer>& each : this->streams) {
            const stream_answer answer = each.get();
            whole += answer.whole() || this->lost_its_only_server(answer) ? 1 : 0;
            if (!answer.right_so_far()) {
                this->violation = "wrong_tokens";
            }
            absl::StrAppend(&this->detail, "old=", answer.summary(), " ");
        }
        absl::StrAppend(&this->detail, "refused_new=", this->refused_new, " ");
        if (whole != streams_in_progress && !this->may_cut_requests()) {
            this->violation = "request_cut_off";
        }
        if (this->plan.target != stop_target::entry && this->server_got_new_work()) {
            this->violation = "new_work_after_notice";
        }
    }

    // A stream that only the killed agent's server ran has nowhere to go on: the other agent is
    // leaving and takes no new work, whether the entry knows that already or is told as it resumes
    // the stream there. It must end with a code that says so, and not as if it had never run.
    [[nodiscard]] bool lost_its_only_server(const stream_answer& answer) const
    {
        const bool explicit_end =
            answer.end == stream_end::error || answer.end == stream_end::refused;
        const std::string& code = answer.error.code;
        return this->plan.target == stop_target::model_agent && this->plan.fault == "kill_other" &&
               explicit_end &&
               (code == "backend_lost" || code == "stream_cut" || code == "draining") &&
               answer.error.outcome != "not_run" &&
               !ledger_has(this->agent, answer.asked.request_id);
    }

    // Whether the server beside the agent ever ran such a request.
    [[nodiscard]] static bool ledger_has(const agent_node& node, const std::string& request_id)
    {
        const std::string page = fleet::get_page(node.backend.reserved(), "/admin/ledger");
        // Without its ledger nothing is known of the server, so nothing is allowed.
        return page.empty() || page.find(request_id) != std::string::npos;
    }

    // A call that may not be repeated cannot outlive the loss of its own agent or link.
    [[nodiscard]] bool may_cut_requests() const
    {
        return this->is_plain() && (this->plan.fault == "kill_other" ||
                                    this->plan.fault == "freeze_wake" || this->plan.fault == "cut");
    }

    [[nodiscard]] bool server_got_new_work()
    {
        const json ledger = json::parse(
            fleet::get_page(this->agent.backend.reserved(), "/admin/ledger"), nullptr, false);
        if (!ledger.is_object()) {
            return false;
        }
        const std::string text = ledger.dump();
        return text.find(absl::StrCat("stop-", std::hash<std::string>{}(this->name), "-new-")) !=
               std::string::npos;
    }

    void judge_exit()
    {
        const std::optional<int> status = this->target.wait_for_exit();
        absl::StrAppend(&this->detail, "exit=", status.has_value() ? absl::StrCat(*status) : "none",
                        " ");
        if (status != 0) {
            this->violation = "exit_status";
        }
    }

    fleet& servers;
    const std::string name;
    const stop_plan plan;
    agent_node& agent;
    process& target;
    std::list<std::future<stream_answer>> streams;
    std::list<std::future<call_answer>> calls;
    int refused_new = 0;
    std::string detail;
    std::string violation;
};

std::string to_text(stop_target target)
{
    switch (target) {
    case stop_target::model_agent:
        return "model_agent";
    case stop_target::plain_agent:
        return "plain_agent";
    case stop_target::entry:
        break;
    }
    return "entry";
}

} // namespace

std::vector<matrix_cell> stop_cells()
{
    std::vector<matrix_cell> cells = entry_stop_cells();
    for (const stop_target target :
         {stop_target::model_agent, stop_target::plain_agent, stop_target::entry}) {
        for (const char* step : {"notice", "refuse", "drain", "exit"}) {
            for (const char* fault : {"none", "store_outage", "store_slow", "stale_list", "cut",
                                      "freeze_wake", "second_notice", "kill_other"}) {
                const stop_plan plan{target, step, fault};
                const auto run = [plan](fleet_holder& fleets, const std::string& cell) {
                    return on_fleet(fleets, [&](fleet& servers) {
                        return stop_run(servers, cell, plan).run();
                    });
                };
                cells.push_back({"stop_" + to_text(target), step, fault, run});
            }
        }
    }
    return cells;
}

} // namespace sardinestream::testing
