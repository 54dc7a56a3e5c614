// Planned stops of the soak: processes that get SIGTERM end well within their grace.

#include "sardinestream/testing/soak/soak_fleet.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{10};
constexpr milliseconds second_notice{300};
constexpr char last_event[] = "event=stopped";

} // namespace

void soak_fleet::reload_program(program_node& node)
{
    if (!node.entry.empty()) {
        this->ledger.note_planned_reload(node.entry, node.run->output_path());
    }
    node.run->hang_up();
}

void soak_fleet::stop_program(program_node& node, bool twice)
{
    node.struck = true;
    if (!node.entry.empty()) {
        this->ledger.note_planned_stop(node.entry, node.run->output_path());
    }
    const steady_time kill_at = steady_clock::now() + this->size.grace;
    node.run->terminate();
    if (twice) {
        // A process that has ended and started again meanwhile is not told.
        const pid_t told = node.run->id();
        this->after(second_notice, [&node, told] {
            if (node.run->id() == told) {
                node.run->terminate();
            }
        });
    }
    this->await_end(node, kill_at);
}

void soak_fleet::await_end(program_node& node, steady_time kill_at)
{
    if (!node.run->alive()) {
        this->check_end(node);
        this->restart_when_gone(node);
        return;
    }
    if (steady_clock::now() >= kill_at) {
        this->note_overdue(node);
        node.run->kill();
        this->restart_when_gone(node);
        return;
    }
    this->after(step, [this, &node, kill_at] { this->await_end(node, kill_at); });
}

void soak_fleet::note_overdue(const program_node& node)
{
    this->ledger.note_broken(absl::StrCat("grace: ", node.name, " still runs ",
                                          this->size.grace.count(),
                                          " s after its SIGTERM, log=", node.run->output_path()));
}

void soak_fleet::check_end(const program_node& node)
{
    const std::optional<int> status = node.run->wait_for_exit(absl::ZeroDuration());
    if (status != 0) {
        this->ledger.note_broken(absl::StrCat("stop: ", node.name, " ended with ",
                                              status.value_or(-1),
                                              ", log=", node.run->output_path()));
    }
    const std::string line = node.run->last_line();
    if (!absl::StrContains(line, last_event)) {
        this->ledger.note_broken(absl::StrCat("log: ", node.name,
                                              " stopped, and its last line is `", line,
                                              "`, log=", node.run->output_path()));
    }
}

void soak_fleet::shut_down()
{
    const steady_time kill_at = steady_clock::now() + this->size.grace;
    for (std::vector<program_node>* const nodes : {&this->entry_nodes, &this->agent_nodes}) {
        for (program_node& node : *nodes) {
            node.struck = true;
            node.run->terminate();
        }
    }
    for (std::vector<program_node>* const nodes : {&this->entry_nodes, &this->agent_nodes}) {
        for (const program_node& node : *nodes) {
            const auto left = absl::FromChrono(kill_at - steady_clock::now());
            if (!node.run->wait_for_exit(left).has_value()) {
                this->note_overdue(node);
                continue;
            }
            this->check_end(node);
        }
    }
}

} // namespace sardinestream::testing
