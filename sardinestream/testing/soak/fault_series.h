// The faults of one soak run, drawn from its seed: which, when, how long, at what.
//
//     for (const soak_fault& fault : draw_faults(seed, fleet)) { ... }
//
// Faults come in series and overlap; signals repeat. A third of the seeds draw planned work alone,
// so that what holds only away from trouble is checked throughout. Pure functions.

#ifndef SARDINESTREAM_TESTING_SOAK_FAULT_SERIES_H_
#define SARDINESTREAM_TESTING_SOAK_FAULT_SERIES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinestream::testing {

enum class soak_fault_kind : std::uint8_t {
    // Planned: promises hold through them.
    entry_stop,
    entry_reload,
    config_change,
    server_leave,
    // The server says so in its answers alone; the store lists it late or never.
    leaving_said,
    hold_off_said,
    limit_said,
    // The operator asks that nothing more be sent to one data centre, and takes that back.
    evacuate,
    // All entries stop in turn, at a gap or each once the last one is back.
    entries_roll,
    // SIGHUP again and again, before a SIGTERM and during the grace.
    reloads_stop,
    // Desired states in series during the grace.
    configs_stop,
    // Model servers are replaced in turn; their group breaks and forms anew.
    servers_roll,
    // An entry stops as the group has just formed anew, or its agent does, too.
    recovered_stop,
    agents_roll,
    // Of the house: the demand changes, a rank is slow, the passes of a group are late.
    demand_drift,
    rank_slow,
    passes_late,
    // A share of all machines, entries and agents, stop in a drawn order, several at a time.
    machines_roll,
    // The agent that coordinates a group stops while ranks are armed for a new map.
    coordinator_stop,
    // Unplanned.
    entry_kill,
    entry_freeze,
    agent_stop,
    agent_kill,
    agent_freeze,
    server_crash,
    server_trouble,
    server_link,
    store_link,
    store_trouble,
    // The store comes back from a copy that is as old as the fault lasts.
    store_restored,
    entries_lapse,
    late_orders,
    demand_shift,
};

// What a fault needs to know of the fleet.
struct soak_size {
    int entries = 2;
    int model_servers = 4;
    int plain_servers = 4;
    // Of the model servers; each has as many ranks.
    int groups = 1;
    std::chrono::milliseconds pass_time{10};
    // Of a core, for each entry and each agent.
    double entry_share = 1;
    double agent_share = 1;
    // From the return of a rank until its group runs again.
    std::chrono::milliseconds form_time{200};
    // How `machines_roll` stops machines: how many of all, how many at a time, at which gap.
    double roll_share = 0.45;
    int roll_batch = 3;
    std::chrono::milliseconds roll_gap{1300};
    // Entries get a setting of their memory; programs of older builds end at it as unknown.
    bool sets_memory = true;
    // Entries watch evacuations.
    bool evacuates = false;
    // No fault affects a program that was started again so shortly before.
    std::chrono::milliseconds start_time{0};
    // Model servers are reached without a proxy, so that one that has crashed refuses connections.
    bool direct_model_servers = false;
    // From the SIGTERM of a process to its SIGKILL.
    std::chrono::seconds grace{4};
    // Of the route that streams take.
    std::chrono::milliseconds stream_timeout{3000};
    // Streams are silent for so long, while their group is broken, before their server breaks off.
    std::chrono::milliseconds stall{500};
    // Entries that stop get little processor time.
    bool starves_stops = false;
};

struct soak_fault {
    soak_fault_kind kind = soak_fault_kind::entry_reload;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds duration{0};
    // Which of the entries, agents or servers.
    int target = 0;
    // Chooses among the variants of the kind; 0 to 1.
    double variant = 0;

    [[nodiscard]] bool is_planned() const;
    [[nodiscard]] std::string to_string() const;
};

// Returns whether callers of this seed send requests with a prompt part that crashes servers.
[[nodiscard]] bool draws_crashing_requests(unsigned seed);

// Returns whether this seed plays an evacuation.
[[nodiscard]] bool draws_evacuation(unsigned seed);

// Returns whether this seed plays stops in all their forms, with streams that last.
[[nodiscard]] bool draws_stops(unsigned seed);
// Returns whether entries get little processor time while they stop.
[[nodiscard]] bool draws_starved_stops(unsigned seed);

// Returns the faults by time. `length` is the time in which they begin and end.
[[nodiscard]] std::vector<soak_fault> draw_faults(unsigned seed, const soak_size& size,
                                                  std::chrono::milliseconds length);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_FAULT_SERIES_H_
