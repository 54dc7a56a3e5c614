// The faults of the soak that concern the store: slowness and outages, a return from an older copy,
// entries that lapse, and what the operator asks there.

#include <array>

#include "sardinestream/testing/emulator/wire_words.h"
#include "sardinestream/testing/soak/soak_fleet.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

// Entries that lapsed in an outage are back this long after it.
constexpr milliseconds relist_time{1200};
// How long a store that is restored is away, and the time from its return until what it has lost is
// written again.
constexpr milliseconds restored_outage{300};
constexpr milliseconds rewrite_time{400};
// Changes of the desired state that a restored store has lost. The one that follows must take
// effect though its revision is lower than theirs.
constexpr int lost_config_changes = 3;

} // namespace

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

void soak_fleet::evacuate(const soak_fault& fault)
{
    const std::string data_centre = data_centre_of(static_cast<std::size_t>(fault.target));
    // One without servers changes nothing.
    this->store->put(words::evacuations_kind, "nowhere", nlohmann::json::object());
    this->store->put(words::evacuations_kind, data_centre, nlohmann::json::object());
    this->ledger.note_evacuation(data_centre);
    this->after(fault.duration, [this, data_centre] {
        this->ledger.note_evacuation_end(data_centre);
        this->store->remove(words::evacuations_kind, data_centre);
    });
}

void soak_fleet::lapse_entries(const soak_fault& fault)
{
    this->store->set_trouble(store_trouble::silent);
    std::size_t number = 0;
    for (const server_node& node : this->servers) {
        // Every second one, so that each service is hit.
        if (number++ / 2 % 2 == 0 && !node.disturbed) {
            this->store->remove(words::servers_kind, node.server->id());
        }
    }
    this->after(fault.duration, [this] {
        this->store->set_trouble(store_trouble::none);
        this->after(relist_time, [this] {
            for (server_node& node : this->servers) {
                if (!node.disturbed) {
                    this->list_server(node);
                }
            }
        });
    });
}

} // namespace sardinestream::testing
