// Planned stops of the soak, alone and amid other planned work. A process that gets SIGTERM ends
// within its grace, or is killed as the users do.

#include "sardinestream/testing/soak/soak_fleet.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{10};
constexpr milliseconds second_notice{300};
constexpr char last_event[] = "event=stopped";
// A process that is starved runs for the rest of each period.
constexpr milliseconds starved_period{100};
constexpr milliseconds starved_time{60};
constexpr milliseconds reload_gap{60};
constexpr int reloads = 20;
constexpr milliseconds config_gap{150};
constexpr int config_changes = 10;
constexpr milliseconds latest_after_recovery{400};
// Some stays are so short that the streams of the group go on after it, others are not.
constexpr milliseconds longest_away{1800};

milliseconds scaled(milliseconds whole, double share)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

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
    node.disturbed = true;
    if (!node.entry.empty()) {
        this->ledger.note_planned_stop(node.entry, node.run->output_path());
    }
    const steady_time kill_at = steady_clock::now() + this->size.grace;
    node.run->terminate();
    if (twice) {
        // A process that has ended and started again meanwhile is not signalled again.
        const pid_t signalled = node.run->id();
        this->after(second_notice, [&node, signalled] {
            if (node.run->id() == signalled) {
                node.run->terminate();
            }
        });
    }
    if (this->size.starves_stops && !node.entry.empty()) {
        this->starve(node, node.run->id());
    }
    this->await_end(node, kill_at);
}

void soak_fleet::starve(program_node& node, pid_t starved)
{
    if (!node.run->alive() || node.run->id() != starved) {
        return;
    }
    node.run->freeze();
    this->after(starved_time, [this, &node, starved] {
        if (node.run->id() != starved) {
            return;
        }
        node.run->wake();
        this->after(starved_period - starved_time,
                    [this, &node, starved] { this->starve(node, starved); });
    });
}

void soak_fleet::stop_entry(int index)
{
    program_node& node = this->entry_nodes[static_cast<std::size_t>(index)];
    if (!node.disturbed) {
        this->stop_program(node, false);
    }
}

void soak_fleet::roll_entries(int next, const soak_fault& fault)
{
    constexpr double at_gap_share = 0.5;
    if (next == this->size.entries) {
        return;
    }
    this->stop_entry(next);
    if (fault.variant < at_gap_share) {
        this->after(fault.duration, [this, next, fault] { this->roll_entries(next + 1, fault); });
        return;
    }
    this->roll_entries_after(next, fault);
}

void soak_fleet::roll_entries_after(int index, const soak_fault& fault)
{
    if (this->entry_nodes[static_cast<std::size_t>(index)].disturbed || !this->is_ready(index)) {
        this->after(step, [this, index, fault] { this->roll_entries_after(index, fault); });
        return;
    }
    this->after(fault.duration, [this, index, fault] { this->roll_entries(index + 1, fault); });
}

void soak_fleet::stop_amid_reloads(const soak_fault& fault)
{
    program_node& node = this->entry_nodes[static_cast<std::size_t>(fault.target)];
    const pid_t signalled = node.run->id();
    for (int i = 0; i < reloads; ++i) {
        this->after(i * reload_gap, [this, &node, signalled] {
            if (node.run->id() == signalled && node.run->alive()) {
                this->reload_program(node);
            }
        });
    }
    this->after(scaled(reloads * reload_gap / 2, fault.variant), [this, &node, signalled] {
        if (node.run->id() == signalled && !node.disturbed) {
            this->stop_program(node, false);
        }
    });
}

void soak_fleet::stop_amid_configs(int index)
{
    this->stop_entry(index);
    for (int i = 0; i < config_changes; ++i) {
        this->after(i * config_gap, [this] {
            this->moved = !this->moved;
            this->write_config();
        });
    }
}

void soak_fleet::roll_servers(std::size_t next, const soak_fault& fault)
{
    if (next == static_cast<std::size_t>(this->size.model_servers)) {
        return;
    }
    this->leave_server(this->servers[next], step + scaled(longest_away, fault.variant));
    this->after(fault.duration, [this, next, fault] { this->roll_servers(next + 1, fault); });
}

void soak_fleet::roll_agents(const soak_fault& fault)
{
    milliseconds delay{0};
    for (program_node& node : this->agent_nodes) {
        this->after(delay, [this, &node] {
            if (!node.disturbed) {
                this->stop_program(node, false);
            }
        });
        delay += fault.duration;
    }
}

void soak_fleet::stop_when_recovered(milliseconds delay, const soak_fault& fault)
{
    constexpr double with_agent_share = 0.5;
    const server_node& server = this->servers[static_cast<std::size_t>(fault.target)];
    if (server.disturbed || !this->group_of(static_cast<std::size_t>(fault.target)).is_open()) {
        this->after(step, [this, delay, fault] { this->stop_when_recovered(delay, fault); });
        return;
    }
    this->after(delay, [this, fault] {
        this->stop_entry(fault.target % this->size.entries);
        program_node& agent = this->agent_nodes[static_cast<std::size_t>(fault.target)];
        if (fault.variant < with_agent_share && !agent.disturbed) {
            this->stop_program(agent, false);
        }
    });
}

void soak_fleet::inject_stops(const soak_fault& fault)
{
    switch (fault.kind) {
    case soak_fault_kind::entries_roll:
        this->roll_entries(0, fault);
        return;
    case soak_fault_kind::reloads_stop:
        this->stop_amid_reloads(fault);
        return;
    case soak_fault_kind::configs_stop:
        this->stop_amid_configs(fault.target);
        return;
    case soak_fault_kind::servers_roll:
        this->roll_servers(0, fault);
        return;
    case soak_fault_kind::recovered_stop:
        this->leave_server(this->servers[static_cast<std::size_t>(fault.target)],
                           step + scaled(longest_away, fault.variant));
        this->stop_when_recovered(
            scaled(latest_after_recovery, static_cast<double>(fault.duration.count() % 100) / 100),
            fault);
        return;
    default:
        this->roll_agents(fault);
        return;
    }
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
            node.disturbed = true;
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
