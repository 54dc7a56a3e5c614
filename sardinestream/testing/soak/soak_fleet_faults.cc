// The faults of the soak: what each does to programs, servers and links, and how it ends. Those of
// the store are in soak_fleet_store.cc.

#include <algorithm>
#include <array>

#include "sardinestream/testing/emulator/wire_words.h"
#include "sardinestream/testing/soak/soak_fleet.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{10};
// Longer than any request of the soak runs on a sound server.
constexpr milliseconds drain_time{2000};
constexpr milliseconds restart_pause{200};
// From the crash of a server under a request to its next start.
constexpr milliseconds crash_restart_time{500};
// Shares of the planned stops with a second notice, and of the changes that move a route.
constexpr double second_notice_share = 0.3;
constexpr double moving_share = 0.7;
constexpr int tastes = 16;

link_trouble link_trouble_of(double variant)
{
    constexpr std::array kinds = {link_trouble::silent, link_trouble::silent_to_server,
                                  link_trouble::silent_to_client, link_trouble::refused};
    return kinds[std::min(kinds.size() - 1,
                          static_cast<std::size_t>(variant * static_cast<double>(kinds.size())))];
}

backend_trouble backend_trouble_of(double variant)
{
    constexpr int kinds = 8;
    backend_trouble trouble;
    switch (static_cast<int>(variant * kinds)) {
    case 0:
        trouble.slowness = 6;
        break;
    case 1:
        trouble.error_share = 0.4;
        break;
    case 2:
        trouble.refusal_share = 0.5;
        break;
    case 3:
        trouble.cut_share = 0.3;
        break;
    case 4:
        trouble.mute_share = 0.3;
        break;
    case 5:
        trouble.truncated_event_share = 0.5;
        trouble.late_event_share = 0.2;
        trouble.repeated_event_share = 0.2;
        break;
    case 6:
        trouble.endless_share = 0.3;
        break;
    default:
        trouble.surplus_share = 0.5;
        break;
    }
    return trouble;
}

} // namespace

void soak_fleet::restart_when_gone(program_node& node)
{
    if (node.run->alive()) {
        this->after(step, [this, &node] { this->restart_when_gone(node); });
        return;
    }
    this->after(restart_pause, [this, &node] {
        const absl::Status restarted = this->restart(node);
        if (!restarted.ok()) {
            this->ledger.note_broken(absl::StrCat("start: ", restarted.message()));
        }
    });
}

void soak_fleet::kill_program(program_node& node, milliseconds away)
{
    node.disturbed = true;
    node.run->kill();
    this->after(away, [this, &node] { this->restart_when_gone(node); });
}

void soak_fleet::freeze_program(program_node& node, milliseconds away)
{
    node.disturbed = true;
    node.run->freeze();
    this->after(away, [&node] {
        node.run->wake();
        node.disturbed = false;
    });
}

void soak_fleet::inject_program(const soak_fault& fault)
{
    const bool of_entry =
        fault.kind == soak_fault_kind::entry_stop || fault.kind == soak_fault_kind::entry_kill ||
        fault.kind == soak_fault_kind::entry_freeze || fault.kind == soak_fault_kind::entry_reload;
    program_node& node =
        (of_entry ? this->entry_nodes : this->agent_nodes)[static_cast<std::size_t>(fault.target)];
    if (node.disturbed) {
        return;
    }
    switch (fault.kind) {
    case soak_fault_kind::entry_reload:
        this->reload_program(node);
        return;
    case soak_fault_kind::entry_stop:
    case soak_fault_kind::agent_stop:
        this->stop_program(node, fault.variant < second_notice_share);
        return;
    case soak_fault_kind::entry_kill:
    case soak_fault_kind::agent_kill:
        this->kill_program(node, fault.duration);
        return;
    default:
        this->freeze_program(node, fault.duration);
        return;
    }
}

bool soak_fleet::has_other_server(const server_node& node) const
{
    return std::any_of(this->servers.begin(), this->servers.end(), [&](const server_node& other) {
        return &other != &node && !other.disturbed &&
               other.server->described().service == node.server->described().service;
    });
}

void soak_fleet::return_server(server_node& node, const std::string& id, steady_time latest)
{
    const absl::Status started = node.server->start(id);
    if (!started.ok() && steady_clock::now() < latest) {
        // A program that is being started still has a copy of the listener before it.
        this->after(step, [this, &node, id, latest] { this->return_server(node, id, latest); });
        return;
    }
    if (!started.ok()) {
        this->ledger.note_broken(absl::StrCat("emulator: ", started.message()));
        return;
    }
    node.disturbed = false;
    this->list_server(node);
}

void soak_fleet::leave_server(server_node& node, milliseconds away)
{
    if (node.disturbed || !this->has_other_server(node)) {
        return;
    }
    node.disturbed = true;
    node.server->set_draining(true);
    this->list_server(node);
    this->replace_server(node, away);
}

void soak_fleet::replace_server(server_node& node, milliseconds away)
{
    this->after(drain_time, [this, &node, away] {
        this->store->remove(words::servers_kind, node.server->id());
        node.server->stop();
        const auto number = &node - this->servers.data();
        const std::string id = absl::StrCat("i-", number, "-", ++node.starts);
        if (away == milliseconds(0)) {
            this->return_server(node, id);
            return;
        }
        this->after(away, [this, &node, id] { this->return_server(node, id); });
    });
}

void soak_fleet::say_leaving(server_node& node, const soak_fault& fault)
{
    if (node.disturbed || !this->has_other_server(node)) {
        return;
    }
    constexpr double listed_late = 0.5;
    node.disturbed = true;
    node.server->say_leaving();
    if (fault.variant < listed_late) {
        this->after(drain_time / 2, [this, &node] {
            node.server->set_draining(true);
            this->list_server(node);
        });
    }
    this->replace_server(node);
}

void soak_fleet::hold_off(server_node& node, const soak_fault& fault)
{
    if (!node.disturbed && this->has_other_server(node)) {
        node.server->hold_off(steady_clock::now() + fault.duration);
    }
}

void soak_fleet::crash_server(server_node& node, const soak_fault& fault)
{
    if (node.disturbed) {
        return;
    }
    node.disturbed = true;
    const std::string old = node.server->id();
    node.server->stop();
    node.proxy->reset_connections();
    this->after(entry_lifetime, [this, &node, old] {
        if (!node.server->is_running() || node.server->id() != old) {
            this->store->remove(words::servers_kind, old);
        }
    });
    const bool same_id = fault.variant < 0.5;
    this->after(fault.duration, [this, &node, old, same_id] {
        const auto number = &node - this->servers.data();
        this->return_server(node, same_id ? old : absl::StrCat("i-", number, "-", ++node.starts));
    });
}

void soak_fleet::crash_due_servers()
{
    std::set<std::size_t> numbers;
    {
        const absl::MutexLock lock(&this->mutex);
        numbers.swap(this->crashing);
    }
    for (const std::size_t number : numbers) {
        server_node& node = this->servers[number];
        if (node.disturbed) {
            continue;
        }
        this->ledger.note_crash();
        soak_fault crash;
        crash.duration = crash_restart_time;
        crash.variant = 1;
        this->crash_server(node, crash);
    }
}

void soak_fleet::name_limit(server_node& node, const soak_fault& fault)
{
    constexpr double least_per_s = 0.5;
    constexpr double range_per_s = 4;
    if (this->has_other_server(node)) {
        node.server->name_limit(least_per_s + range_per_s * fault.variant,
                                steady_clock::now() + fault.duration);
    }
}

void soak_fleet::trouble_server(server_node& node, const soak_fault& fault)
{
    node.server->set_trouble(backend_trouble_of(fault.variant));
    this->after(fault.duration, [&node] { node.server->set_trouble({}); });
}

void soak_fleet::trouble_link(chaos_proxy& proxy, const soak_fault& fault)
{
    constexpr double delayed = 0.2;
    constexpr double reset = 0.35;
    constexpr double severed = 0.5;
    constexpr milliseconds delay{120};
    if (fault.variant < delayed) {
        proxy.set_delay(delay);
        this->after(fault.duration, [&proxy] { proxy.set_delay(milliseconds(0)); });
        return;
    }
    if (fault.variant < reset) {
        proxy.reset_connections();
        return;
    }
    if (fault.variant < severed) {
        proxy.sever_connections();
        return;
    }
    proxy.set_trouble(link_trouble_of((fault.variant - severed) / (1 - severed)));
    this->after(fault.duration, [&proxy] {
        proxy.set_trouble(link_trouble::none);
        proxy.reset_connections();
    });
}

void soak_fleet::delay_orders(const soak_fault& fault)
{
    backend_trouble late;
    late.late_order_share = 0.5;
    for (server_node& node : this->servers) {
        node.server->set_trouble(late);
        this->after(fault.duration, [&node] { node.server->set_trouble({}); });
    }
}

void soak_fleet::inject_surroundings(const soak_fault& fault)
{
    const auto target = static_cast<std::size_t>(fault.target);
    switch (fault.kind) {
    case soak_fault_kind::config_change:
        this->moved = fault.variant < moving_share ? !this->moved : this->moved;
        this->write_config();
        return;
    case soak_fault_kind::server_leave:
        this->leave_server(
            this->servers[static_cast<std::size_t>(this->size.model_servers) + target]);
        return;
    case soak_fault_kind::leaving_said:
        this->say_leaving(
            this->servers[static_cast<std::size_t>(this->size.model_servers) + target], fault);
        return;
    case soak_fault_kind::hold_off_said:
        this->hold_off(this->servers[target], fault);
        return;
    case soak_fault_kind::limit_said:
        this->name_limit(this->servers[target], fault);
        return;
    case soak_fault_kind::server_crash:
        this->crash_server(this->servers[target], fault);
        return;
    case soak_fault_kind::server_trouble:
        this->trouble_server(this->servers[target], fault);
        return;
    case soak_fault_kind::server_link:
        this->trouble_link(*this->servers[target].proxy, fault);
        return;
    case soak_fault_kind::store_link:
        this->trouble_link(*this->store_proxies[target], fault);
        return;
    case soak_fault_kind::store_trouble:
        this->trouble_store(fault);
        return;
    case soak_fault_kind::store_restored:
        this->restore_store(fault);
        return;
    case soak_fault_kind::entries_lapse:
        this->lapse_entries(fault);
        return;
    case soak_fault_kind::evacuate:
        this->evacuate(fault);
        return;
    case soak_fault_kind::late_orders:
        this->delay_orders(fault);
        return;
    default:
        for (const std::unique_ptr<rank_group>& group : this->groups) {
            group->set_demand(static_cast<int>(fault.variant * tastes));
        }
        return;
    }
}

void soak_fleet::inject(const soak_fault& fault)
{
    if (!fault.is_planned()) {
        this->ledger.note_trouble(steady_clock::now() + fault.duration);
    }
    switch (fault.kind) {
    case soak_fault_kind::entry_stop:
    case soak_fault_kind::entry_reload:
    case soak_fault_kind::entry_kill:
    case soak_fault_kind::entry_freeze:
    case soak_fault_kind::agent_stop:
    case soak_fault_kind::agent_kill:
    case soak_fault_kind::agent_freeze:
        this->inject_program(fault);
        return;
    case soak_fault_kind::entries_roll:
    case soak_fault_kind::reloads_stop:
    case soak_fault_kind::configs_stop:
    case soak_fault_kind::servers_roll:
    case soak_fault_kind::recovered_stop:
    case soak_fault_kind::agents_roll:
        this->inject_stops(fault);
        return;
    case soak_fault_kind::rank_slow:
    case soak_fault_kind::passes_late:
    case soak_fault_kind::machines_roll:
    case soak_fault_kind::coordinator_stop:
        this->inject_house(fault);
        return;
    default:
        this->inject_surroundings(fault);
        return;
    }
}

} // namespace sardinestream::testing
