// The faults of the soak: what each does to programs, servers, links and the store, and how it
// ends.

#include <algorithm>
#include <array>

#include "sardinestream/testing/emulator/wire_words.h"
#include "sardinestream/testing/soak/soak_fleet.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{10};
// A server that is gone leaves the list after this.
constexpr milliseconds entry_lifetime{1200};
// Longer than any request of the soak runs on a sound server.
constexpr milliseconds drain_time{2000};
constexpr milliseconds restart_pause{200};
// From the crash of a server under a request to its next start.
constexpr milliseconds crash_restart_time{500};
constexpr milliseconds second_notice{300};
// Shares of the planned stops with a second notice, and of the changes that move a route.
constexpr double second_notice_share = 0.3;
constexpr double moving_share = 0.7;
// Entries that lapsed in an outage are back this long after it.
constexpr milliseconds relist_time{1200};
constexpr int tastes = 16;
// How long a store that is restored is away, and the time from its return until what it has lost is
// written again.
constexpr milliseconds restored_outage{300};
constexpr milliseconds rewrite_time{400};
// Changes of the desired state that a restored store has lost. The one that follows must take
// effect though its revision is lower than theirs.
constexpr int lost_config_changes = 3;

link_trouble link_trouble_of(double variant)
{
    constexpr std::array kinds = {link_trouble::silent, link_trouble::silent_to_server,
                                  link_trouble::silent_to_client, link_trouble::refused};
    return kinds[std::min(kinds.size() - 1,
                          static_cast<std::size_t>(variant * static_cast<double>(kinds.size())))];
}

backend_trouble backend_trouble_of(double variant)
{
    constexpr int kinds = 7;
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
        trouble.missing_event_share = 0.2;
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

void soak_fleet::stop_program(program_node& node, bool twice)
{
    node.struck = true;
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
    this->restart_when_gone(node);
}

void soak_fleet::kill_program(program_node& node, milliseconds away)
{
    node.struck = true;
    node.run->kill();
    this->after(away, [this, &node] { this->restart_when_gone(node); });
}

void soak_fleet::freeze_program(program_node& node, milliseconds away)
{
    node.struck = true;
    node.run->freeze();
    this->after(away, [&node] {
        node.run->wake();
        node.struck = false;
    });
}

void soak_fleet::strike_program(const soak_fault& fault)
{
    const bool of_entry =
        fault.kind == soak_fault_kind::entry_stop || fault.kind == soak_fault_kind::entry_kill ||
        fault.kind == soak_fault_kind::entry_freeze || fault.kind == soak_fault_kind::entry_reload;
    program_node& node =
        (of_entry ? this->entry_nodes : this->agent_nodes)[static_cast<std::size_t>(fault.target)];
    if (node.struck) {
        return;
    }
    switch (fault.kind) {
    case soak_fault_kind::entry_reload:
        node.run->hang_up();
        return;
    case soak_fault_kind::entry_stop:
        this->ledger.note_planned_stop(this->entry_address(fault.target).to_string());
        this->stop_program(node, fault.variant < second_notice_share);
        return;
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
        return &other != &node && !other.struck &&
               other.server->described().service == node.server->described().service;
    });
}

void soak_fleet::return_server(server_node& node, const std::string& id)
{
    const absl::Status started = node.server->start(id);
    if (!started.ok()) {
        this->ledger.note_broken(absl::StrCat("emulator: ", started.message()));
        return;
    }
    node.struck = false;
    this->list_server(node);
}

void soak_fleet::leave_server(server_node& node)
{
    if (node.struck || !this->has_other_server(node)) {
        return;
    }
    node.struck = true;
    node.server->set_draining(true);
    this->list_server(node);
    this->replace_server(node);
}

void soak_fleet::replace_server(server_node& node)
{
    this->after(drain_time, [this, &node] {
        this->store->remove(words::servers_kind, node.server->id());
        node.server->stop();
        const auto number = &node - this->servers.data();
        this->return_server(node, absl::StrCat("i-", number, "-", ++node.starts));
    });
}

void soak_fleet::say_leaving(server_node& node, const soak_fault& fault)
{
    if (node.struck || !this->has_other_server(node)) {
        return;
    }
    constexpr double listed_late = 0.5;
    node.struck = true;
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
    if (!node.struck && this->has_other_server(node)) {
        node.server->hold_off(steady_clock::now() + fault.duration);
    }
}

void soak_fleet::crash_server(server_node& node, const soak_fault& fault)
{
    if (node.struck) {
        return;
    }
    node.struck = true;
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
        if (node.struck) {
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
    proxy.set_trouble(link_trouble_of((fault.variant - reset) / (1 - reset)));
    this->after(fault.duration, [&proxy] {
        proxy.set_trouble(link_trouble::none);
        proxy.reset_connections();
    });
}

void soak_fleet::trouble_store(const soak_fault& fault)
{
    constexpr std::array kinds = {store_trouble::none,  store_trouble::slow,
                                  store_trouble::busy,  store_trouble::limited,
                                  store_trouble::reset, store_trouble::silent};
    const auto kind = static_cast<std::size_t>(fault.variant * static_cast<double>(kinds.size()));
    if (kinds[kind] == store_trouble::none) {
        this->store->compact();
        return;
    }
    this->store->set_trouble(kinds[kind]);
    this->after(fault.duration, [this] { this->store->set_trouble(store_trouble::none); });
}

void soak_fleet::restore_store(const soak_fault& fault)
{
    this->store->take_copy();
    // Their revisions are given out again.
    for (int change = 1; change <= lost_config_changes; ++change) {
        this->after(fault.duration * change / (lost_config_changes + 1),
                    [this] { this->write_config(); });
    }
    this->after(fault.duration - restored_outage, [this] {
        this->ledger.note_trouble(steady_clock::now() + restored_outage + relist_time);
        this->store->set_trouble(store_trouble::silent);
    });
    this->after(fault.duration, [this] {
        this->store->restore_copy();
        this->store->set_trouble(store_trouble::none);
        this->after(rewrite_time, [this] {
            this->moved = !this->moved;
            this->write_config();
            this->rewrite_servers();
        });
        this->after(entry_lifetime, [this] { this->expire_entries(); });
    });
}

void soak_fleet::rewrite_servers()
{
    for (server_node& node : this->servers) {
        if (node.server->is_running()) {
            this->list_server(node);
        }
    }
}

void soak_fleet::expire_entries()
{
    for (const std::string& id : this->store->names(words::servers_kind)) {
        const bool runs =
            std::any_of(this->servers.begin(), this->servers.end(), [&](const server_node& node) {
                return node.server->is_running() && node.server->id() == id;
            });
        if (!runs) {
            this->store->remove(words::servers_kind, id);
        }
    }
}

void soak_fleet::lapse_entries(const soak_fault& fault)
{
    this->store->set_trouble(store_trouble::silent);
    std::size_t number = 0;
    for (const server_node& node : this->servers) {
        // Every second one, so that each service is hit.
        if (number++ / 2 % 2 == 0 && !node.struck) {
            this->store->remove(words::servers_kind, node.server->id());
        }
    }
    this->after(fault.duration, [this] {
        this->store->set_trouble(store_trouble::none);
        this->after(relist_time, [this] {
            for (server_node& node : this->servers) {
                if (!node.struck) {
                    this->list_server(node);
                }
            }
        });
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

void soak_fleet::strike_surroundings(const soak_fault& fault)
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
    case soak_fault_kind::late_orders:
        this->delay_orders(fault);
        return;
    default:
        this->ranks->set_demand(static_cast<int>(fault.variant * tastes));
        return;
    }
}

void soak_fleet::strike(const soak_fault& fault)
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
        this->strike_program(fault);
        return;
    default:
        this->strike_surroundings(fault);
        return;
    }
}

} // namespace sardinestream::testing
