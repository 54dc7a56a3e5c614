// Entry point of sardine-agent: reads the settings and runs the agent beside one model engine.

#include <thread>
#include <utility>

#include <gflags/gflags.h>

#include "sardinestream/base/allocator.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/process_exit.h"
#include "sardinestream/base/shutdown_signal.h"
#include "sardinestream/http/http_service.h"
#include "sardinestream/platform/command.h"
#include "sardinestream/platform/engine_calls.h"
#include "sardinestream/platform/settings.h"
#include "sardinestream/programs/agent_program.h"

namespace sardinestream::platform {
namespace {

void reload()
{
    const absl::StatusOr<agent_settings> fresh = reload_agent_settings();
    if (!fresh.ok()) {
        log_failure("reload_failed", fresh.status());
        return;
    }
    set_log_minimum(fresh->log_minimum);
    log_event("reloaded", {{"applied", "log_level"}});
}

agent_options to_options(const agent_settings& settings, message_channel channel)
{
    agent_options options;
    options.ip = settings.ip;
    options.messages = std::move(channel);
    options.engine = settings.backend;
    options.connect = connect_engine;
    options.skew_weight = settings.skew_weight;
    options.rebalance_weight = settings.rebalance_weight;
    return options;
}

int run(const agent_settings& settings, shutdown_signal& signal)
{
    start_logging(settings.log_minimum, "agent", settings.id);
    absl::StatusOr<message_channel> channel =
        open_message_channel({settings.ip, settings.gossip_port});
    if (!channel.ok()) {
        log_failure("start_failed", channel.status());
        return exit_failed;
    }
    agent_program program(to_options(settings, *std::move(channel)));
    absl::StatusOr<std::unique_ptr<http_service>> operators =
        http_service::start(settings.ops_listen, [&program](const http_request_head& head) {
            return answer_operator(head, make_pages(program.status()));
        });
    if (!operators.ok()) {
        log_failure("start_failed", operators.status());
        return exit_failed;
    }
    log_event("started", {{"backend", settings.backend.to_string()},
                          {"service", settings.service},
                          {"data_centre", settings.data_centre}});
    std::thread worker([&] { program.run(); });
    const steady_time received =
        signal.wait({.on_repeat = [] { log_event("stop_repeated", {}); }, .on_reload = reload});
    log_event("stopping", {{"delay_ms", milliseconds_since(received)}});
    program.stop();
    worker.join();
    log_last_event("stopped", {});
    exit_process(0);
}

} // namespace
} // namespace sardinestream::platform

int main(int argc, char** argv)
{
    // First of all: until then, a signal ends the process.
    sardinestream::shutdown_signal signal = sardinestream::shutdown_signal::install();
    sardinestream::limit_retained_memory();
    gflags::SetUsageMessage(
        "monitors one model engine and coordinates the expert maps of its rank group");
    gflags::SetVersionString("0.2.0");
    return sardinestream::platform::run_command(
        sardinestream::platform::load_agent_settings(&argc, &argv), std::move(signal),
        sardinestream::platform::run);
}
