// sardine-agent: runs next to one backend server and is the only route to it.
//
// Startup order: settings, components (backend client, admission, at-most-once record, request
// service), operations server, links from entries. The process then waits for a signal and shuts
// down gracefully.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

#include "sardinestream/agent/agent_settings.h"
#include "sardinestream/agent/engine_orders.h"
#include "sardinestream/agent/leave_notice.h"
#include "sardinestream/agent/rank_member.h"
#include "sardinestream/agent/request_service.h"
#include "sardinestream/base/digest.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/ops_server.h"
#include "sardinestream/base/process_exit.h"
#include "sardinestream/base/shutdown_signal.h"
#include "sardinestream/catalogue/catalogue_service.h"
#include "sardinestream/catalogue/status_page.h"
#include "sardinestream/routing/load_report.h"
#include "sardinestream/suspects/suspect_gossip.h"
#include "sardinestream/wire/link_server.h"

namespace sardinestream::agent {
namespace {

// A request that an entry was about to send when it read that this agent leaves arrives within this
// time.
constexpr std::chrono::milliseconds max_crossing_time{300};
// An entry that does not acknowledge the notice within this time is of an older build, or its link
// is about to be abandoned for its silence.
constexpr std::chrono::milliseconds max_notice_time{2000};

// Everything that a running agent owns, in order of construction.
struct agent_process {
    agent_settings settings;
    std::uint64_t incarnation = random_u64();
    std::atomic<bool> leaving{false};
    std::unique_ptr<catalogue::catalogue_service> catalogue;
    std::unique_ptr<backend_client> backend;
    std::unique_ptr<routing::admission_controller> admission;
    std::unique_ptr<suspects::suspect_registry> suspects = suspects::suspect_registry::create();
    suspects::suspect_gossip gossip{suspects.get()};
    std::unique_ptr<suspects::crash_detector> crashes;
    std::unique_ptr<request_service> requests;
    std::unique_ptr<engine_orders> orders;
    std::unique_ptr<ops_server> ops;
    leave_notice notice;
    // Null if the backend server belongs to no rank group.
    std::unique_ptr<rank_member> member;
    std::unique_ptr<wire::link_server> links;
};

absl::Status create_components(agent_process& process)
{
    const agent_settings& settings = process.settings;
    catalogue::catalogue_service_options catalogue_options;
    catalogue_options.id = settings.id;
    process.catalogue = catalogue::catalogue_service::create(catalogue_options, nullptr);
    process.backend = std::make_unique<backend_client>(settings.backend);
    routing::admission_options admission_options;
    admission_options.slots = settings.slots;
    admission_options.reserved_slots = settings.reserved_slots;
    admission_options.max_wait = settings.max_wait;
    absl::StatusOr<std::unique_ptr<routing::admission_controller>> admission =
        routing::admission_controller::create(admission_options);
    if (!admission.ok()) {
        return admission.status();
    }
    process.admission = *std::move(admission);
    suspects::crash_detector_options crash_options;
    crash_options.agent_id = settings.id;
    crash_options.agent_incarnation = process.incarnation;
    crash_options.is_server_responding = [&process] { return process.backend->is_responding(); };
    crash_options.notify_peers = [&process] { process.gossip.send_updates(); };
    process.crashes = std::make_unique<suspects::crash_detector>(process.suspects.get(),
                                                                 std::move(crash_options));
    request_service_dependencies dependencies;
    dependencies.suspects = process.suspects.get();
    dependencies.crashes = process.crashes.get();
    dependencies.backend = process.backend.get();
    dependencies.admission = process.admission.get();
    dependencies.runs = once::run_table::create();
    dependencies.incarnation = process.incarnation;
    process.requests = std::make_unique<request_service>(std::move(dependencies));
    process.orders = std::make_unique<engine_orders>(
        &process.catalogue->state(), process.backend.get(), process.admission.get());
    return absl::OkStatus();
}

wire::helloT make_hello(const agent_process& process)
{
    wire::helloT hello;
    hello.protocol_version = wire::protocol_version;
    hello.role = wire::peer_role::agent;
    hello.id = process.settings.id;
    hello.incarnation = process.incarnation;
    hello.data_centre = process.settings.data_centre;
    hello.address = process.settings.listen.to_string();
    hello.serves = process.settings.serves;
    hello.leaving = process.leaving;
    return hello;
}

absl::Status start_links(agent_process& process)
{
    absl::StatusOr<std::shared_ptr<wire::tls_context>> tls =
        wire::tls_context::create(process.settings.fleet_key);
    if (!tls.ok()) {
        return tls.status();
    }
    auto options = std::make_shared<wire::link_options>();
    options->tls = *std::move(tls);
    options->local_hello = [&process] { return make_hello(process); };
    options->heartbeat_interval = process.settings.heartbeat_interval;
    options->peer_timeout = process.settings.peer_timeout;
    options->hooks.heartbeat_payload = [&process] {
        return routing::encode_load(process.admission->load());
    };
    options->hooks.on_stream = [&process](const std::shared_ptr<wire::stream>& opened,
                                          const wire::frame& first) {
        if (first.header.type == wire::frame_type::request_open) {
            process.requests->serve(opened, first);
        }
        else if (first.header.type == wire::frame_type::engine_order) {
            process.orders->serve(opened, first);
        }
        else if (process.member != nullptr) {
            process.member->serve(opened, first);
        }
    };
    options->hooks.on_link_frame = [&process](const std::shared_ptr<wire::peer_link>&,
                                              const wire::frame& received) {
        if (process.member != nullptr) {
            process.member->handle_link_frame(received);
        }
    };
    process.catalogue->attach(options->hooks);
    process.gossip.attach(options->hooks);
    process.notice.attach(options->hooks);
    if (!process.settings.rank_group.empty()) {
        process.member = rank_member::create(process.settings, process.incarnation, options->tls,
                                             process.catalogue->state());
    }
    absl::StatusOr<std::unique_ptr<wire::link_server>> links =
        wire::link_server::create(std::move(options), process.settings.listen);
    if (!links.ok()) {
        return links.status();
    }
    process.links = *std::move(links);
    // The rank member starts only after listening has succeeded: the vote relies on this process
    // being the only one that holds the slot's address.
    return process.member == nullptr ? absl::OkStatus() : process.member->start();
}

absl::Status start_ops(agent_process& process)
{
    ops_hooks hooks;
    hooks.is_ready = [&process] { return !process.leaving; };
    hooks.status_json = [&process] {
        return catalogue::status_json(process.catalogue->state(), process.catalogue->ready());
    };
    hooks.status_html = [&process] {
        return catalogue::status_html(process.catalogue->state(), process.catalogue->ready());
    };
    absl::StatusOr<std::unique_ptr<ops_server>> ops =
        ops_server::create(process.settings.ops_listen, std::move(hooks));
    if (!ops.ok()) {
        return ops.status();
    }
    process.ops = *std::move(ops);
    return absl::OkStatus();
}

// Notifies all entries, refuses new work, and waits for requests in progress until the drain
// timeout, which counts from the receipt of the signal. An agent that is idle goes on refusing
// until every entry knows that it leaves: a request that it doesn't answer may have run for all
// that an entry knows.
void drain(agent_process& process, std::chrono::steady_clock::time_point received)
{
    log_event("drain_started", {{"in_flight", process.requests->in_flight()}});
    process.leaving = true;
    process.notice.send();
    process.requests->drain();
    const auto deadline = received + absl::ToChronoMilliseconds(process.settings.drain_timeout);
    const bool known = process.notice.wait_until_acknowledged(
        std::min(deadline, std::chrono::steady_clock::now() + max_notice_time));
    std::this_thread::sleep_until(
        std::min(deadline, std::chrono::steady_clock::now() + max_crossing_time));
    const bool idle = process.requests->wait_until_idle(deadline);
    log_event("drain_ended", {{"in_flight", process.requests->in_flight()},
                              {"complete", idle ? "true" : "false"},
                              {"acknowledged", known ? "true" : "false"}});
    process.links->finish(std::chrono::steady_clock::now() + wire::link_server::max_finish_time);
}

absl::Status run(agent_process& process, shutdown_signal& signal)
{
    SARDINE_RETURN_IF_ERROR(create_components(process));
    SARDINE_RETURN_IF_ERROR(start_ops(process));
    SARDINE_RETURN_IF_ERROR(start_links(process));
    process.settings.listen = process.links->local();
    log_event("started", {{"incarnation", process.incarnation},
                          {"listen", process.links->local().to_string()},
                          {"ops_listen", process.ops->local().to_string()}});
    std::printf("listening=%s\nops=%s\n", process.links->local().to_string().c_str(),
                process.ops->local().to_string().c_str());
    std::fflush(stdout);
    const auto received = signal.wait(
        {.on_repeat =
             [&process] {
                 log_event("still_open", {{"in_flight", process.requests->in_flight()}});
             },
         .on_reload = {}});
    drain(process, received);
    // What is still open is lost: its threads may wait for the backend server for minutes.
    exit_process(0);
}

} // namespace
} // namespace sardinestream::agent

int main(int argc, char** argv)
{
    using namespace sardinestream;
    shutdown_signal signal = shutdown_signal::install();
    const int status = run_instance<agent::agent_settings>(
        "sardine-agent", agent::load_agent_settings(&argc, &argv),
        [&signal](const agent::agent_settings& settings) {
            agent::agent_process process;
            process.settings = settings;
            return agent::run(process, signal);
        });
    // Threads that still end may log: the log must not be destroyed under them.
    exit_process(status);
}
