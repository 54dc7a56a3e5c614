// sardine-agent on the users' platform: reads the settings and runs the agent beside one engine.

#include <cstdio>
#include <thread>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/shutdown_signal.h"
#include "sardinestream/http/http_service.h"
#include "sardinestream/platform/engine_calls.h"
#include "sardinestream/platform/settings.h"
#include "sardinestream/programs/agent_program.h"
#include "sardinestream/programs/status_command.h"

#include "absl/strings/match.h"

namespace sardinestream::platform {
namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

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

agent_options to_options(const agent_settings& settings)
{
    agent_options options;
    options.ip = settings.ip;
    options.news_port = settings.news_port;
    options.engine = settings.backend;
    options.connect = connect_engine;
    options.skew_weight = settings.skew_weight;
    options.rebalance_weight = settings.rebalance_weight;
    return options;
}

std::string status_json(const agent_status& status)
{
    const nlohmann::json fields = {{"engine_answers", status.engine_answers},
                                   {"group", status.group},
                                   {"rank", status.rank},
                                   {"epoch", status.epoch},
                                   {"step", status.step},
                                   {"pass_ms", status.pass_ms},
                                   {"running", status.running},
                                   {"waiting", status.waiting},
                                   {"map_version", status.map_version},
                                   {"prepared_version", status.prepared_version},
                                   {"term", status.term},
                                   {"coordinator_rank", status.coordinator_rank},
                                   {"coordinating", status.coordinating},
                                   {"entries", status.entries},
                                   {"age_ms", status.age.count()}};
    return fields.dump();
}

void set_gauges(const agent_status& status)
{
    set_gauge("sardine_engine_answers", {}, status.engine_answers ? 1 : 0);
    set_gauge("sardine_engine_requests", {{"state", "running"}}, status.running);
    set_gauge("sardine_engine_requests", {{"state", "waiting"}}, status.waiting);
    set_gauge("sardine_pass_seconds", {}, status.pass_ms / 1000);
    set_gauge("sardine_group_epoch", {}, static_cast<double>(status.epoch));
    set_gauge("sardine_map_version", {}, static_cast<double>(status.map_version));
    set_gauge("sardine_coordinating", {}, status.coordinating ? 1 : 0);
    set_gauge("sardine_entries", {{"seen", "alive"}}, status.entries);
}

http_answer answer_operator(const http_request_head& head, const agent_status& status)
{
    constexpr int http_ok = 200;
    constexpr int http_not_found = 404;
    if (absl::StartsWith(head.target, "/metrics")) {
        set_gauges(status);
        return {http_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, render_metrics()};
    }
    if (absl::StartsWith(head.target, "/status")) {
        return {http_ok, {{"Content-Type", "application/json"}}, status_json(status)};
    }
    return {http_not_found, {}, ""};
}

int run(const agent_settings& settings)
{
    shutdown_signal signal = shutdown_signal::install();
    start_logging(settings.log_minimum, "agent", settings.id);
    absl::StatusOr<std::unique_ptr<agent_program>> program =
        agent_program::start(to_options(settings));
    if (!program.ok()) {
        log_failure("start_failed", program.status());
        return exit_failed;
    }
    absl::StatusOr<std::unique_ptr<http_service>> operators =
        http_service::start(settings.ops_listen, [&program](const http_request_head& head) {
            return answer_operator(head, (*program)->status());
        });
    if (!operators.ok()) {
        log_failure("start_failed", operators.status());
        return exit_failed;
    }
    log_event("started", {{"backend", settings.backend.to_string()},
                          {"service", settings.service},
                          {"data_centre", settings.data_centre}});
    std::thread worker([&] { (*program)->run(); });
    signal.wait([] { log_event("stop_repeated", {}); }, reload);
    log_event("stopping", {});
    (*program)->stop();
    worker.join();
    log_event("stopped", {});
    return 0;
}

} // namespace
} // namespace sardinestream::platform

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("watches one model engine and takes part in its group's expert maps");
    gflags::SetVersionString("0.2.0");
    const absl::StatusOr<sardinestream::platform::agent_settings> settings =
        sardinestream::platform::load_agent_settings(&argc, &argv);
    if (!settings.ok()) {
        std::fprintf(stderr, "%s\n", std::string(settings.status().message()).c_str());
        return sardinestream::platform::exit_bad_settings;
    }
    if (settings->print_status) {
        return sardinestream::print_status(settings->ops_listen);
    }
    return settings->check_only ? 0 : sardinestream::platform::run(*settings);
}
