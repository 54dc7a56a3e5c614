// Entry point of sardine-entry: reads the settings, watches the store and runs the entry.

#include <memory>
#include <optional>
#include <utility>

#include <gflags/gflags.h>

#include "sardinestream/base/allocator.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/process_exit.h"
#include "sardinestream/base/shutdown_signal.h"
#include "sardinestream/platform/caller_protocol.h"
#include "sardinestream/platform/command.h"
#include "sardinestream/platform/desired_state_decoder.h"
#include "sardinestream/platform/evacuations.h"
#include "sardinestream/platform/object_watcher.h"
#include "sardinestream/platform/server_entries.h"
#include "sardinestream/platform/settings.h"
#include "sardinestream/platform/store_prober.h"
#include "sardinestream/platform/wire_names.h"
#include "sardinestream/programs/entry_program.h"

namespace sardinestream::platform {
namespace {

// Many times what a server says of itself.
constexpr std::size_t max_server_entry_bytes = 64 << 10;

entry_options to_options(const entry_settings& settings)
{
    entry_options options;
    options.id = settings.id;
    options.data_centre = settings.data_centre;
    options.front_listen = settings.front_listen;
    options.ready_listen = settings.ready_listen;
    options.ops_listen = settings.ops_listen;
    options.ip = settings.ip;
    options.gossip_port = settings.gossip_port;
    for (const address& seed : settings.seeds) {
        options.seeds.push_back(seed.ip);
    }
    options.max_connections = settings.max_connections;
    options.memory_bytes = settings.memory_bytes;
    options.retries_per_request = settings.retry_ratio;
    options.max_retry_burst = settings.retry_slack;
    options.cold = {settings.cold_overage, settings.cold_slack};
    options.server_entry_lifetime = settings.server_entry_lifetime;
    options.server_heartbeat = settings.server_heartbeat;
    options.watches_evacuations = settings.evacuation_time.count() > 0;
    return options;
}

void apply_config(entry_program& program, const stored_object& object)
{
    if (object.name == wire::config_name) {
        program.apply_desired_state(object.specification, object.revision, "store");
    }
}

void apply_config_list(entry_program& program, const object_list& list)
{
    for (const stored_object& object : list.objects) {
        apply_config(program, object);
    }
}

watcher_callbacks config_callbacks(entry_program& program)
{
    return {[&program](const object_list& list, const store_outage&) {
                apply_config_list(program, list);
            },
            [&program](const change_list& changes, const store_outage&) {
                for (const object_change& change : changes.changes) {
                    if (!change.removed) {
                        apply_config(program, change.object);
                    }
                }
            },
            [&program](const object_list& list) { apply_config_list(program, list); }};
}

watcher_callbacks server_callbacks(entry_program& program)
{
    return {[&program](const object_list& list, const store_outage& outage) {
                program.apply_server_list(to_server_list(list), outage);
            },
            [&program](const change_list& changes, const store_outage& outage) {
                program.apply_server_changes(to_server_changes(changes), outage);
            },
            [&program](const object_list& list) {
                program.apply_partial_server_list(to_server_list(list));
            }};
}

watcher_callbacks evacuation_callbacks(entry_program& program)
{
    return {[&program](const object_list& list, const store_outage&) {
                program.apply_evacuation_list(to_evacuations(list));
            },
            [&program](const change_list& changes, const store_outage&) {
                program.apply_evacuation_changes(to_evacuation_changes(changes));
            }};
}

void reload(entry_program& program)
{
    const absl::StatusOr<entry_settings> fresh = reload_entry_settings();
    if (!fresh.ok()) {
        log_failure("reload_failed", fresh.status());
        return;
    }
    set_log_minimum(fresh->log_minimum);
    const bool applied_whole = program.apply_options(to_options(*fresh));
    log_event("reloaded", {{"whole", applied_whole ? "yes" : "no, the rest needs a restart"}});
}

int run(const entry_settings& settings, shutdown_signal& signal)
{
    start_logging(settings.log_minimum, "entry", settings.id);
    absl::StatusOr<std::unique_ptr<entry_program>> program =
        entry_program::start(to_options(settings), make_caller_protocol(), decode_desired_state);
    if (!program.ok()) {
        log_failure("start_failed", program.status());
        return exit_failed;
    }
    log_event("started", {{"front", settings.front_listen.to_string()},
                          {"data_centre", settings.data_centre},
                          {"store", settings.store.to_string()}});
    const auto contact = std::make_shared<store_contact>(
        [&program](const store_outage& outage) { (*program)->note_store_outage(outage); });
    const store_prober prober(settings.store, probe_interval(settings.server_heartbeat), contact);
    object_watcher config(settings.store, wire::config_kind, config_callbacks(**program), any_size,
                          contact);
    object_watcher servers(settings.store, wire::servers_kind, server_callbacks(**program),
                           max_server_entry_bytes, contact);
    std::optional<object_watcher> evacuations;
    if (settings.evacuation_time.count() > 0) {
        // Their names say all.
        constexpr std::size_t no_specification = 0;
        evacuations.emplace(settings.store, wire::evacuations_kind, evacuation_callbacks(**program),
                            no_specification, contact);
    }
    const steady_time received = signal.wait({.on_repeat = [] { log_event("stop_repeated", {}); },
                                              .on_reload = [&program] { reload(**program); }});
    (*program)->stop(received, settings.grace);
    // The open watch calls would take seconds to end, and there is nothing to save.
    exit_process(0);
}

} // namespace
} // namespace sardinestream::platform

int main(int argc, char** argv)
{
    // First of all: until then, a signal ends the process.
    sardinestream::shutdown_signal signal = sardinestream::shutdown_signal::install();
    sardinestream::limit_retained_memory();
    gflags::SetUsageMessage("accepts callers' requests and forwards them to backend servers");
    gflags::SetVersionString("0.2.0");
    return sardinestream::platform::run_command(
        sardinestream::platform::load_entry_settings(&argc, &argv), std::move(signal),
        sardinestream::platform::run);
}
