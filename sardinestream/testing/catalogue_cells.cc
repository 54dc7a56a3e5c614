// Cells of the catalogue: an operator's edit brings a new bearer key into force, and a fault comes
// on the way.
//
// Steps: edit (the entry instances read the edit), shard and accept (the acceptor's two writes),
// spread (the pull between processes), fresh_start (a new process starts after the edit),
// stale_start (a process that missed the edit comes back), two_operators (two edits of one object
// at one version).
// What must hold: the edit comes into force on every entry; once it is in force on one, that one
// never refuses the key again; the number on a process never falls.

#include <atomic>
#include <thread>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/store/object_store.h"
#include "sardinestream/testing/fault_matrix.h"
#include "sardinestream/testing/matrix_faults.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr absl::Duration patience = absl::Seconds(5);

std::string spec_with_key(const std::string& key)
{
    // Wide enough that the watches, which ask without a pause, stay within them.
    // A short deadline lets shares that were lent before a crash come back within a cell.
    const json limits{
        {"max_in_flight", 1000}, {"requests_per_s", 100000}, {"max_deadline_ms", 2000}};
    return json({{"owner", "kasongan"},
                 {"service", "stock"},
                 {"work_class", "plain"},
                 {"repeat", "all"},
                 {"limits", limits},
                 {"key_digests", {sha256_hex(key)}}})
        .dump();
}

// Watches one entry for as long as it lives: whether the key is in force, and whether it ever was
// taken back, or the number fell.
class force_watch {
public:
    force_watch(fleet& watched, int entry_index, std::string watched_key)
        : servers(watched), index(entry_index), key(std::move(watched_key)),
          watching([this] { this->watch(); })
    {
    }

    ~force_watch()
    {
        this->stopping = true;
        this->watching.join();
    }
    force_watch(const force_watch&) = delete;
    force_watch& operator=(const force_watch&) = delete;

    [[nodiscard]] int entry_index() const { return this->index; }
    [[nodiscard]] bool in_force() const { return this->accepted; }
    [[nodiscard]] bool reverted() const { return this->taken_back; }
    [[nodiscard]] bool number_fell() const { return this->fell; }

private:
    void watch()
    {
        const caller holder(this->servers.entry(this->index).callers->local(), this->key, patience);
        while (!this->stopping) {
            const call_answer answer = holder.call("GET", "/services/stock/bowls", "", {});
            if (answer.success()) {
                this->accepted = true;
            }
            if (answer.answered && answer.error.code == "unauthorized" && this->accepted) {
                this->taken_back = true;
            }
            const std::uint64_t number =
                fleet::catalogue_number(this->servers.entry(this->index).ops.reserved());
            this->fell = this->fell || (number != 0 && number < this->highest);
            this->highest = std::max(this->highest, number);
        }
    }

    fleet& servers;
    const int index;
    const std::string key;
    std::atomic<bool> stopping{false};
    std::atomic<bool> accepted{false};
    std::atomic<bool> taken_back{false};
    std::atomic<bool> fell{false};
    std::uint64_t highest = 0; // watching thread only
    std::thread watching;
};

std::vector<injection_point> points_of(fleet& servers, const std::string& step)
{
    std::vector<injection_point> points;
    const auto at_platform = [&](entry_node& entry, const char* method, const char* kind) {
        message_pattern at = request_pattern(method);
        at.line_part = kind;
        points.push_back({entry.platform.get(), at, 1, entry.run.get(), nullptr});
    };
    for (int i = 0; i < servers.entries(); ++i) {
        entry_node& entry = servers.entry(i);
        if (step == "edit") {
            at_platform(entry, "GET", "catalogueentries");
        }
        if (step == "shard") {
            at_platform(entry, "POST", "catalogueshards");
        }
        if (step == "accept") {
            at_platform(entry, "PUT", "catalogueindexes");
            at_platform(entry, "POST", "catalogueindexes");
        }
        if (step == "spread") {
            points.push_back({entry.peers.get(), frame_pattern(wire::frame_type::catalogue_shards),
                              1, nullptr, entry.run.get()});
        }
    }
    if (step == "spread") {
        for (const auto& agent : servers.agents()) {
            points.push_back({agent->peers.get(), frame_pattern(wire::frame_type::catalogue_shards),
                              1, servers.entry(0).run.get(), agent->run.get()});
        }
    }
    return points;
}

// Hits a fault that belongs to no message.
void inject_now(fleet& servers, const std::string& fault)
{
    if (fault == "store_outage") {
        servers.order_platform("/admin/outage?mode=drop");
    }
    if (fault == "store_hang") {
        servers.order_platform("/admin/outage?mode=hang");
    }
    if (fault == "store_slow") {
        servers.order_platform("/admin/slow?delay_ms=400");
    }
    if (fault == "cut") {
        servers.entry(1).peers->cut();
        servers.entry(1).platform->cut();
    }
    if (fault == "black_hole") {
        servers.entry(1).platform->black_hole();
    }
    if (fault == "kill_peer") {
        servers.entry(0).run->kill();
    }
    if (fault == "freeze_peer") {
        servers.entry(0).run->freeze();
    }
}

std::string judge(fleet& servers, const std::vector<std::unique_ptr<force_watch>>& watches)
{
    const absl::Status restored = servers.restore();
    if (!restored.ok()) {
        return absl::StrCat("not_restored_", peer_of(restored));
    }
    for (const auto& watch : watches) {
        if (!wait_until([&] { return watch->in_force(); })) {
            return "not_in_force";
        }
    }
    for (const auto& watch : watches) {
        if (watch->reverted()) {
            return absl::StrCat("reverted_on_entry_", watch->entry_index());
        }
        if (watch->number_fell()) {
            return absl::StrCat("number_fell_on_entry_", watch->entry_index());
        }
    }
    return "";
}

std::vector<std::unique_ptr<force_watch>> watch_all(fleet& servers, const std::string& key)
{
    std::vector<std::unique_ptr<force_watch>> watches;
    watches.reserve(servers.entries());
    for (int i = 0; i < servers.entries(); ++i) {
        watches.push_back(std::make_unique<force_watch>(servers, i, key));
    }
    return watches;
}

cell_verdict verdict_of(const std::string& violated)
{
    return {violated.empty(), absl::StrCat("violated=", violated.empty() ? "none" : violated)};
}

// An edit with the fault at one of its messages.
cell_verdict run_message_cell(fleet& servers, const std::string& cell, const std::string& step,
                              const std::string& fault)
{
    const std::string key = "key of " + cell;
    const auto watches = watch_all(servers, key);
    const fault_injection injection(servers, points_of(servers, step), fault);
    if (!servers.put_entry("cell-entry", spec_with_key(key))) {
        return verdict_of("not_written");
    }
    const bool fired = injection.wait_until_fired([] { return false; });
    const std::string violated = judge(servers, watches);
    return verdict_of(!fired ? "fault_not_injected" : violated);
}

// Entry 1 is away while the edit comes into force on entry 0, and then starts under the fault.
cell_verdict run_start_cell(fleet& servers, const std::string& cell, const std::string& step,
                            const std::string& fault)
{
    const std::string key = "key of " + cell;
    const auto watches = watch_all(servers, key);
    entry_node& late = servers.entry(1);
    if (step == "fresh_start") {
        late.run->kill();
    }
    else {
        late.run->freeze();
    }
    if (!servers.put_entry("cell-entry", spec_with_key(key)) ||
        !wait_until([&] { return watches[0]->in_force(); })) {
        return verdict_of("not_in_force_on_entry_0");
    }
    inject_now(servers, fault);
    if (step == "fresh_start") {
        static_cast<void>(late.run->restart());
    }
    else {
        late.run->wake();
    }
    // With a live peer the new number arrives although the platform does not answer.
    const bool peer_lives = fault != "kill_peer" && fault != "freeze_peer";
    const bool early = !peer_lives || wait_until([&] { return watches[1]->in_force(); });
    const std::string violated = judge(servers, watches);
    return verdict_of(!early ? "not_in_force_during_fault" : violated);
}

// Two operators update one object at one version: one wins, and all entries agree on it.
cell_verdict run_operators_cell(fleet& servers, const std::string& cell, const std::string& fault)
{
    const std::string name = "raced-entry";
    if (!servers.put_entry(name, spec_with_key("first key of " + cell))) {
        return verdict_of("not_written");
    }
    const address platform = *servers.platform().wait_until_listening();
    const auto store = *platform::object_store::create({.servers = {platform}});
    const absl::StatusOr<platform::object> base = store->get("catalogueentries", name);
    if (!base.ok()) {
        return verdict_of("not_read");
    }
    std::vector<std::string> keys{"left key of " + cell, "right key of " + cell};
    std::vector<absl::Status> results(keys.size());
    inject_now(servers, fault);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        operators.emplace_back([&, i] {
            results[i] =
                store->update("catalogueentries", name, spec_with_key(keys[i]), base->version)
                    .status();
        });
    }
    for (std::thread& each : operators) {
        each.join();
    }
    const bool both = results[0].ok() && results[1].ok();
    if (both) {
        return verdict_of("both_won");
    }
    const absl::Status restored = servers.restore();
    if (!restored.ok()) {
        return verdict_of("not_restored");
    }
    // An update whose answer was lost may have won: the object tells.
    const absl::StatusOr<platform::object> now = store->get("catalogueentries", name);
    if (!now.ok()) {
        return verdict_of("not_read");
    }
    std::string winner = "first key of " + cell;
    for (const std::string& key : keys) {
        if (now->spec.find(sha256_hex(key)) != std::string::npos) {
            winner = key;
        }
    }
    return verdict_of(judge(servers, watch_all(servers, winner)));
}

matrix_cell make_cell(const std::string& step, const std::string& fault)
{
    const auto run = [step, fault](fleet_holder& fleets, const std::string& cell) {
        return on_fleet(fleets, [&](fleet& servers) {
            if (step == "two_operators") {
                return run_operators_cell(servers, cell, fault);
            }
            return step == "fresh_start" || step == "stale_start"
                       ? run_start_cell(servers, cell, step, fault)
                       : run_message_cell(servers, cell, step, fault);
        });
    };
    return {"catalogue", step, fault, run};
}

} // namespace

std::vector<matrix_cell> catalogue_cells()
{
    std::vector<matrix_cell> cells;
    for (const char* step : {"edit", "shard", "accept", "spread"}) {
        for (const char* fault :
             {"kill_front", "freeze_front", "cut_before", "cut_after", "black_hole", "delay",
              "lost_answer", "store_outage", "store_slow", "lost_answer+store_slow",
              "kill_front+store_outage"}) {
            const bool no_front =
                absl::string_view(step) == "spread" &&
                (has_part(fault, "kill_front") || has_part(fault, "freeze_front"));
            if (!no_front) {
                cells.push_back(make_cell(step, fault));
            }
        }
    }
    for (const char* step : {"fresh_start", "stale_start"}) {
        for (const char* fault : {"none", "store_outage", "store_hang", "store_slow", "cut",
                                  "black_hole", "kill_peer", "freeze_peer"}) {
            cells.push_back(make_cell(step, fault));
        }
    }
    for (const char* fault : {"none", "store_slow", "cut", "kill_peer", "freeze_peer"}) {
        cells.push_back(make_cell("two_operators", fault));
    }
    return cells;
}

} // namespace sardinestream::testing
