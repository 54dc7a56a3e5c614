// sardine-entry: accepts requests from callers and forwards them to the agents of backend servers.
//
// Startup order: settings, components (store, catalogue, directory, routing, keys, orders), HTTP
// front end for callers, operations server. The process then waits for a signal and shuts down
// gracefully.

#include <cstdio>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/http_server.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/ops_server.h"
#include "sardinestream/base/process_exit.h"
#include "sardinestream/base/shutdown_signal.h"
#include "sardinestream/catalogue/catalogue_service.h"
#include "sardinestream/catalogue/status_page.h"
#include "sardinestream/entry/agent_router.h"
#include "sardinestream/entry/entry_settings.h"
#include "sardinestream/entry/key_router.h"
#include "sardinestream/entry/team_shares.h"
#include "sardinestream/membership/fleet_view.h"
#include "sardinestream/orders/order_issuer.h"
#include "sardinestream/requests/http_front.h"
#include "sardinestream/retries/retry_budget.h"
#include "sardinestream/suspects/suspect_gossip.h"

namespace sardinestream::entry {
namespace {

constexpr absl::Duration retry_when_full = absl::Seconds(1);
// For streams that outlast the drain to end with an error event.
constexpr std::chrono::milliseconds time_for_final_events{300};
// For idle connections to end, and for callers to read what has been written.
constexpr std::chrono::milliseconds max_close_time{1000};

// Everything that a running entry owns, in order of construction.
struct entry_process {
    entry_settings settings;
    std::uint64_t incarnation = random_u64();
    std::atomic<bool> leaving{false};
    // Set once the catalogue has been ready for the first time. After that, requests do not wait
    // for a newer catalogue number that has not fully arrived.
    std::atomic<bool> has_catalogue{false};
    // Set when new requests are refused: once the platform's load balancer has had time to see the
    // failing readiness check.
    std::atomic<bool> refusing{false};
    std::unique_ptr<platform::object_store> store;
    std::unique_ptr<catalogue::catalogue_service> catalogue;
    std::unique_ptr<suspects::suspect_registry> suspects = suspects::suspect_registry::create();
    suspects::suspect_gossip gossip{suspects.get()};
    std::unique_ptr<agent_router> router;
    routing::retry_budget retries;
    std::unique_ptr<membership::peer_directory> directory;
    std::unique_ptr<wire::link_server> links;
    std::unique_ptr<membership::fleet_view> fleet;
    std::unique_ptr<orders::order_issuer> orders;
    std::unique_ptr<team_shares> shares;
    std::unique_ptr<key_router> keys;
    std::unique_ptr<requests::http_front> front;
    std::unique_ptr<ops_server> ops;
    std::unique_ptr<http_server> http;
};

wire::helloT make_hello(const entry_process& process)
{
    wire::helloT hello;
    hello.protocol_version = wire::protocol_version;
    hello.role = wire::peer_role::entry;
    hello.id = process.settings.id;
    hello.incarnation = process.incarnation;
    hello.data_centre = process.settings.data_centre;
    hello.address = process.settings.link_listen.to_string();
    hello.leaving = process.leaving;
    return hello;
}

absl::Status create_store(entry_process& process)
{
    platform::object_store_options options;
    options.servers = process.settings.platform;
    absl::StatusOr<std::unique_ptr<platform::object_store>> store =
        platform::object_store::create(std::move(options));
    if (!store.ok()) {
        return store.status();
    }
    process.store = *std::move(store);
    return absl::OkStatus();
}

void create_catalogue(entry_process& process)
{
    catalogue::catalogue_service_options options;
    options.id = process.settings.id;
    options.watch_store = process.settings.watch_catalogue;
    options.accept = process.settings.watch_catalogue;
    options.deciding.id = process.settings.id;
    process.catalogue = catalogue::catalogue_service::create(options, process.store.get());
}

absl::Status create_directory(entry_process& process)
{
    absl::StatusOr<std::shared_ptr<wire::tls_context>> tls =
        wire::tls_context::create(process.settings.fleet_key);
    if (!tls.ok()) {
        return tls.status();
    }
    absl::StatusOr<routing::routing_policy> policy = routing::make_policy(process.settings.policy);
    if (!policy.ok()) {
        return policy.status();
    }
    process.router =
        std::make_unique<agent_router>(process.settings.data_centre, *std::move(policy));
    wire::link_options options;
    options.tls = *std::move(tls);
    options.local_hello = [&process] { return make_hello(process); };
    options.heartbeat_interval = process.settings.heartbeat_interval;
    options.peer_timeout = process.settings.peer_timeout;
    process.shares = std::make_unique<team_shares>(process.settings.id, process.catalogue->state());
    process.shares->attach(options.hooks);
    process.catalogue->attach(options.hooks);
    process.gossip.attach(options.hooks);
    process.directory =
        membership::peer_directory::create(std::move(options), process.router->observer());
    absl::StatusOr<std::unique_ptr<wire::link_server>> links =
        wire::link_server::create(process.directory->link_options(), process.settings.link_listen);
    if (!links.ok()) {
        return links.status();
    }
    process.links = *std::move(links);
    process.settings.link_listen = process.links->local();
    process.fleet = membership::fleet_view::create(process.settings.id, process.settings.seeds,
                                                   *process.store, *process.directory);
    process.shares->start({process.incarnation, process.settings.entry_slots}, *process.directory,
                          *process.fleet, *process.store);
    return absl::OkStatus();
}

// Returns true if this entry issues engine orders: among live entries, the one with the lowest id.
bool issues_orders(const entry_process& process)
{
    if (process.leaving || !process.catalogue->ready()) {
        return false;
    }
    for (const auto& other : process.directory->with_role(wire::peer_role::entry)) {
        if (other->identity().id < process.settings.id) {
            return false;
        }
    }
    return true;
}

void create_orders(entry_process& process)
{
    orders::order_issuer_options options;
    options.directory = process.directory.get();
    options.read_catalogue = [&process] { return process.catalogue->state().current(); };
    options.is_issuer = [&process] { return issues_orders(process); };
    process.orders = orders::order_issuer::create(std::move(options));
}

absl::Status create_keys(entry_process& process)
{
    absl::StatusOr<std::unique_ptr<key_router>> keys = key_router::create(
        process.store.get(), process.directory.get(), process.settings.fleet_key,
        [&process](const std::string& id) { return process.fleet->is_removed(id); });
    if (!keys.ok()) {
        return keys.status();
    }
    process.keys = *std::move(keys);
    return absl::OkStatus();
}

// Refuses a request that has crashed two servers, and sets `run_alone` for one that may have
// crashed one server.
std::optional<refusal> check_suspect(const entry_process& process,
                                     const requests::caller_request& request, bool& run_alone)
{
    const suspects::suspect_assessment assessment =
        process.suspects->assess({request.fingerprint()});
    run_alone = assessment.verdict == suspects::suspect_verdict::run_alone;
    if (assessment.verdict != suspects::suspect_verdict::refuse) {
        return std::nullopt;
    }
    return requests::refuse_not_run(refusal_code::crash_suspect, "check_suspect", "",
                                    assessment.retry_after);
}

requests::request_services make_services(entry_process& process)
{
    requests::request_services services;
    process.keys->install_hooks(services);
    process.shares->install_hooks(services);
    services.choose_agent = [&process](const requests::caller_request& request,
                                       const requests::attempt_history& history) {
        return process.router->choose(*process.directory, request, history);
    };
    services.check_suspect = [&process](const requests::caller_request& request, bool& run_alone) {
        return check_suspect(process, request, run_alone);
    };
    services.record_request = [&process](const requests::caller_request& request) {
        process.retries.on_request(request.entry->service);
    };
    services.try_acquire_retry = [&process](const requests::caller_request& request) {
        return process.retries.try_retry(request.entry->service) &&
               process.shares->may_attempt_again(request);
    };
    services.record_completed = [&process](const requests::caller_request& request,
                                           const membership::peer& agent, absl::Duration,
                                           absl::Duration, std::uint32_t) {
        process.router->record_completion(request, agent);
    };
    return services;
}

// Returns the catalogue in force, or null until this process has learned the highest catalogue
// number since it started: a peer that answers before the platform may have an older catalogue than
// the one in force here before the restart.
std::shared_ptr<const catalogue::catalogue_snapshot> current_catalogue(entry_process& process)
{
    if (!process.has_catalogue && !process.catalogue->ready()) {
        return nullptr;
    }
    process.has_catalogue = true;
    return process.catalogue->state().current();
}

absl::Status start_front(entry_process& process)
{
    process.front = std::make_unique<requests::http_front>(
        [&process] { return current_catalogue(process); }, make_services(process));
    http_server_options options;
    options.local = process.settings.listen;
    options.max_connections = process.settings.max_connections;
    options.refuse_request = [](const httplib::Request& http, httplib::Response& answer) {
        requests::answer_refusal(requests::refuse_unread(http, refusal_code::too_many_connections,
                                                         "accept", retry_when_full),
                                 "", answer);
    };
    options.before_routes = [&process](const httplib::Request&, httplib::Response& answer) {
        if (!process.refusing) {
            return false;
        }
        answer.set_header("Connection", "close");
        requests::answer_refusal(
            requests::refuse_not_run(refusal_code::draining, "accept", "", retry_when_full), "",
            answer);
        return true;
    };
    absl::StatusOr<std::unique_ptr<http_server>> http = http_server::create(std::move(options));
    if (!http.ok()) {
        return http.status();
    }
    process.http = *std::move(http);
    process.front->add_routes(process.http->routes());
    process.http->start();
    return absl::OkStatus();
}

absl::Status start_ops(entry_process& process)
{
    ops_hooks hooks;
    hooks.is_ready = [&process] { return !process.leaving && process.catalogue->ready(); };
    hooks.status_json = [&process] {
        return catalogue::status_json(process.catalogue->state(), process.catalogue->ready());
    };
    hooks.status_html = [&process] {
        return catalogue::status_html(process.catalogue->state(), process.catalogue->ready());
    };
    hooks.update_gauges = [&process] {
        set_gauge("sardine_in_flight", {}, process.front->in_flight());
        set_gauge("sardine_connections", {}, process.http->connections());
    };
    absl::StatusOr<std::unique_ptr<ops_server>> ops =
        ops_server::create(process.settings.ops_listen, std::move(hooks));
    if (!ops.ok()) {
        return ops.status();
    }
    process.ops = *std::move(ops);
    return absl::OkStatus();
}

// Waits until no request is being read, handled or answered, or until `deadline`. Stopping the
// server earlier would truncate streamed responses. A request whose first byte is just arriving is
// not counted yet, so two consecutive polls must find no request.
void wait_until_idle(entry_process& process, std::chrono::steady_clock::time_point deadline)
{
    constexpr absl::Duration poll_interval = absl::Milliseconds(50);
    int idle_polls = 0;
    while (idle_polls < 2 && std::chrono::steady_clock::now() < deadline) {
        absl::SleepFor(poll_interval);
        idle_polls = process.http->requests() == 0 ? idle_polls + 1 : 0;
    }
}

// Fails the readiness check, waits for the platform's load balancer to notice, then refuses new
// requests and waits for those in progress. The times count from the receipt of the signal.
void drain(entry_process& process, std::chrono::steady_clock::time_point received)
{
    log_event("drain_started", {{"in_flight", process.front->in_flight()}});
    process.leaving = true;
    absl::SleepFor(process.settings.drain_delay);
    process.refusing = true;
    const auto deadline = received + absl::ToChronoMilliseconds(process.settings.drain_delay +
                                                                process.settings.drain_timeout);
    wait_until_idle(process, deadline);
    process.front->end_streams();
    wait_until_idle(process, deadline + time_for_final_events);
    const bool closed =
        process.http->stop_accepting(std::chrono::steady_clock::now() + max_close_time);
    log_event("drain_ended",
              {{"in_flight", process.front->in_flight()}, {"closed", closed ? "true" : "false"}});
    process.shares->stop();
    process.store->cancel_watches();
}

absl::Status run(entry_process& process, shutdown_signal& signal)
{
    SARDINE_RETURN_IF_ERROR(create_store(process));
    create_catalogue(process);
    SARDINE_RETURN_IF_ERROR(create_directory(process));
    SARDINE_RETURN_IF_ERROR(create_keys(process));
    create_orders(process);
    SARDINE_RETURN_IF_ERROR(start_front(process));
    SARDINE_RETURN_IF_ERROR(start_ops(process));
    log_event("started", {{"incarnation", process.incarnation},
                          {"listen", process.http->local().to_string()},
                          {"ops_listen", process.ops->local().to_string()}});
    std::printf("listening=%s\nops=%s\n", process.http->local().to_string().c_str(),
                process.ops->local().to_string().c_str());
    std::fflush(stdout);
    const auto received =
        signal.wait({.on_repeat =
                         [&process] {
                             log_event("still_open", {{"in_flight", process.front->in_flight()}});
                         },
                     .on_reload = {}});
    drain(process, received);
    // What is still open is a caller that sends or reads too slowly.
    exit_process(0);
}

} // namespace
} // namespace sardinestream::entry

int main(int argc, char** argv)
{
    using namespace sardinestream;
    shutdown_signal signal = shutdown_signal::install();
    const int status = run_instance<entry::entry_settings>(
        "sardine-entry", entry::load_entry_settings(&argc, &argv),
        [&signal](const entry::entry_settings& settings) {
            entry::entry_process process;
            process.settings = settings;
            return entry::run(process, signal);
        });
    // Threads that still end may log: the log must not be destroyed under them.
    exit_process(status);
}
