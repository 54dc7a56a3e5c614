#include "sardinestream/programs/entry_program.h"

#include <map>
#include <set>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/rendezvous.h"
#include "sardinestream/programs/operator_pages.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{200};
constexpr int ticks_per_sweep = 5;
// The load balancer checks readiness every second and stops sending callers after two failed
// checks.
constexpr milliseconds balancer_notice_time{3500};
// Within this time nearly all of its callers have gone elsewhere.
constexpr milliseconds deregistration_delay{2500};
// The part of the grace period that is reserved for terminating the process itself. A short one
// has at least so many of each, so that most of it is left for open requests.
constexpr milliseconds max_exit_margin{700};
constexpr int exit_margins_per_grace = 4;
// Time before that in which requests that are still open get their final answer.
constexpr milliseconds max_final_answer_time{300};
constexpr int final_answer_times_per_grace = 10;
// Unfinished requests that a stop logs one by one.
constexpr std::size_t max_logged_requests = 200;

// Number of entries assumed to share the retry budget until this one learns the actual number. The
// budget starts with no tokens, since those that the entry had before a crash may have been spent.
constexpr double assumed_entries_at_start = 32;
// Share of the fleet's retry budget that the entries use together. The rest covers requests that no
// entry counts, such as those of an entry that has just ended.
constexpr double usable_budget_share = 0.9;
// Limit on all answers together that are buffered to be forwarded whole.
// Shares of the process's memory. The rest is for connections, small messages, the process's own
// calls and what the allocator keeps.
constexpr double request_memory_share = 0.25;
constexpr double response_memory_share = 0.25;
// Share of the memory for responses that the unfinished ones of one server may take.
constexpr double server_share = 0.5;

std::size_t share_of(double share, std::size_t bytes)
{
    return static_cast<std::size_t>(share * static_cast<double>(bytes));
}
// Maximum time that a starting entry waits for the list of evacuations.
constexpr milliseconds evacuations_wait{3000};
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

// Returns the services that the operator declares or sends requests to.
std::set<std::string> services_of(const desired_state& state)
{
    std::set<std::string> names;
    for (const auto& [name, declared] : state.services) {
        names.insert(name);
    }
    for (const route& each : state.routes) {
        for (const weighted_service& target : each.services) {
            names.insert(target.service);
        }
    }
    return names;
}

routing::retry_budget_options budget_options(const entry_options& options)
{
    return {options.retries_per_request * usable_budget_share,
            options.max_retry_burst * usable_budget_share / assumed_entries_at_start, 0};
}

} // namespace

absl::StatusOr<std::unique_ptr<entry_program>> entry_program::start(const entry_options& options,
                                                                    wire_protocol protocol,
                                                                    desired_state_decoder decoder)
{
    std::unique_ptr<entry_program> program(
        new entry_program(options, std::move(protocol), std::move(decoder)));
    SARDINE_RETURN_IF_ERROR(program->open());
    return program;
}

entry_program::entry_program(const entry_options& chosen, wire_protocol spoken,
                             desired_state_decoder decoder)
    : options(chosen), protocol(std::move(spoken)), state(std::move(decoder)),
      directory(chosen.server_entry_lifetime, chosen.server_heartbeat),
      servers(dispatcher_options{options.data_centre, 0, options.cold}),
      suspects(
          suspects::suspect_registry::create(shared_server_suspects([this](const digest128& trait) {
              const absl::MutexLock lock(&this->mutex);
              return rendezvous_rank(trait.high, this->entries.own, this->entries.others);
          }))),
      crashes(*suspects, {refuses_connections, [this] { this->send_suspect_report(); }}),
      request_memory(share_of(request_memory_share, options.memory_bytes)),
      response_memory(share_of(response_memory_share, options.memory_bytes),
                      share_of(server_share * response_memory_share, options.memory_bytes)),
      retries(budget_options(chosen))
{
}

entry_program::~entry_program()
{
    this->ticking = false;
    if (this->ticker.joinable()) {
        this->ticker.join();
        this->fetcher.join();
    }
}

absl::Status entry_program::open()
{
    absl::StatusOr<std::unique_ptr<http_service>> ready =
        http_service::start(this->options.ready_listen,
                            [this](const http_request_head&) { return this->answer_readiness(); });
    if (!ready.ok()) {
        return ready.status();
    }
    this->readiness_service = *std::move(ready);
    absl::StatusOr<std::unique_ptr<http_service>> ops =
        http_service::start(this->options.ops_listen, [this](const http_request_head& head) {
            return answer_operator(
                head, {[this] { this->update_gauges(); }, [this] { return this->status_json(); }});
        });
    if (!ops.ok()) {
        return ops.status();
    }
    this->ops_service = *std::move(ops);
    forwarding_services shared{
        this->protocol,
        this->servers,
        this->connections,
        [this](const std::string& service) { return this->retries.try_retry(service); },
        [this](const std::string& service) { return this->retries.has_retry(service); },
        [this] { return this->stopping.load(); },
        [this] { return this->stop_deadline.load(); },
        [this] { return this->deregistered_at.load(); },
        this->request_memory,
        this->response_memory,
        this->crashes,
        this->in_progress,
        this->answer_durations,
        [this] { this->gossip->announce(); },
        [this](const backend_server& server) {
            if (this->directory.note_replaced(server, steady_clock::now())) {
                this->publish_servers();
            }
        },
        this->answer_sizes};
    frontend_options front_options;
    front_options.current_state = [this] { return this->state.get(); };
    front_options.on_admitted = [this](const std::string& service) {
        this->retries.on_request(service);
    };
    front_options.max_connections = this->options.max_connections;
    absl::StatusOr<std::unique_ptr<frontend>> opened =
        frontend::start(this->options.front_listen, std::move(shared), std::move(front_options));
    if (!opened.ok()) {
        return opened.status();
    }
    this->caller_frontend = *std::move(opened);
    SARDINE_RETURN_IF_ERROR(this->open_peers());
    this->fetcher = std::thread([this] { this->fetch_from_peers(); });
    this->ticker = std::thread([this] { this->tick(); });
    return absl::OkStatus();
}

state_age entry_program::own_age() const
{
    state_age age;
    age.config_version = this->state.version();
    age.servers = this->directory.position();
    age.departed_digest = this->directory.departed_digest(steady_clock::now());
    if (this->options.watches_evacuations) {
        age.evacuations = this->evacuations.position();
        age.evacuations_changed = this->evacuations.changed();
    }
    return age;
}

void entry_program::apply_entries(const process_group& alive, int known)
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->entries = alive;
    }
    this->entries_alive = static_cast<int>(alive.others.size()) + 1;
    this->entries_known = known;
    this->servers.set_processes(alive);
    // An entry that is merely unreachable still spends its share.
    this->retries.set_max_tokens(this->options.max_retry_burst * usable_budget_share / known);
}

void entry_program::tick()
{
    int ticks = 0;
    while (this->ticking) {
        // A server that is gone leaves at the end of its grace period, not a tick later.
        std::this_thread::sleep_until(
            std::min(steady_clock::now() + tick_interval, this->directory.next_expiry()));
        if (this->directory.drop_vanished(steady_clock::now())) {
            this->publish_servers();
        }
        if (this->evacuations.drop_expired(steady_clock::now())) {
            this->publish_evacuations();
        }
        this->log_changed_conditions();
        this->log_changed_suspects();
        if (++ticks % ticks_per_sweep == 0) {
            this->connections.close_stale(this->directory.usable());
        }
    }
}

void entry_program::log_changed_suspects()
{
    const suspects::refused_combinations refused = this->suspects->blamed();
    if (refused.all != this->logged_suspects) {
        this->logged_suspects = refused.all;
        log_event("crash_suspects", {{"refused", refused.all},
                                     {"undecided", refused.undecided},
                                     {"crashes", this->suspects->size()}});
    }
}

void entry_program::log_changed_conditions()
{
    const std::map<std::string, service_availability> outlooks = this->servers.availabilities();
    for (const auto& [service, outlook] : outlooks) {
        service_condition& known = this->logged_conditions[service];
        if (known == outlook.condition) {
            continue;
        }
        known = outlook.condition;
        std::map<std::string, int> servers_by_use;
        for (const dispatcher::server_summary& one : this->servers.summary()) {
            servers_by_use[one.use] += one.server.service == service ? 1 : 0;
        }
        std::string uses;
        for (const auto& [use, number] : servers_by_use) {
            if (number > 0) {
                absl::StrAppend(&uses, uses.empty() ? "" : "; ", use, ": ", number);
            }
        }
        log_event("service_condition", {{"service", service},
                                        {"condition", name_of(outlook.condition)},
                                        {"unserved_ms", outlook.unserved_time.count()},
                                        {"servers", uses}});
    }
    std::erase_if(this->logged_conditions,
                  [&](const auto& named) { return outlooks.count(named.first) == 0; });
}

void entry_program::publish_servers()
{
    const absl::MutexLock lock(&this->publish_mutex);
    const std::vector<backend_server> usable = this->directory.usable();
    this->servers.set_servers(usable);
    this->gossip->announce();
    this->connections.close_stale(usable);
    int leaving = 0;
    for (const backend_server& server : usable) {
        leaving += server.draining ? 1 : 0;
    }
    const store_position position = this->directory.position();
    log_event("servers_known", {{"revision", position.revision},
                                {"era", position.era},
                                {"servers", usable.size()},
                                {"leaving", leaving},
                                {"vanished", this->directory.vanished()}});
}

void entry_program::apply_desired_state(const std::string& text, std::int64_t revision,
                                        absl::string_view source)
{
    if (!this->state.offer(text, revision, source)) {
        return;
    }
    bool changed = false;
    {
        const absl::MutexLock lock(&this->policy_mutex);
        const std::shared_ptr<const desired_state> newest = this->state.get();
        this->servers.set_policies(policies_of(*newest));
        changed = this->directory.add_services(services_of(*newest), steady_clock::now());
    }
    if (changed) {
        this->publish_servers();
    }
    this->gossip->announce();
}

void entry_program::note_store_outage(const store_outage& outage)
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->last_outage = outage;
    }
    this->directory.note_outage(outage, steady_clock::now());
}

void entry_program::apply_server_list(const server_list& list, const store_outage& outage)
{
    this->servers.note_list_answer();
    this->note_store_outage(outage);
    const bool changed = this->directory.apply(list, outage, steady_clock::now());
    this->servers_known = true;
    if (changed) {
        this->publish_servers();
    }
}

void entry_program::apply_partial_server_list(const server_list& list)
{
    const bool changed = this->directory.apply_partial(list, steady_clock::now());
    this->servers_known = true;
    if (changed) {
        this->publish_servers();
    }
}

void entry_program::apply_server_changes(const server_changes& changes, const store_outage& outage)
{
    this->servers.note_list_answer();
    this->note_store_outage(outage);
    if (this->directory.apply(changes, outage, steady_clock::now())) {
        this->publish_servers();
    }
}

void entry_program::publish_evacuations()
{
    const absl::MutexLock lock(&this->evacuation_mutex);
    this->servers.set_evacuated(this->evacuations.in_force());
}

void entry_program::apply_evacuation_list(const evacuation_snapshot& list)
{
    const store_position before = this->evacuations.changed();
    if (this->evacuations.apply(list, steady_clock::now())) {
        this->publish_evacuations();
    }
    if (this->evacuations.changed() != before) {
        this->gossip->announce();
    }
}

void entry_program::apply_evacuation_changes(const evacuation_changes& changes)
{
    if (this->evacuations.apply(changes, steady_clock::now())) {
        this->publish_evacuations();
        this->gossip->announce();
    }
}

void entry_program::drop_vanished_servers()
{
    const std::size_t dropped = this->directory.drop_all_vanished(steady_clock::now());
    if (dropped == 0) {
        return;
    }
    count("sardine_vanished_servers_dropped_total");
    log_event("servers_gone", {{"revision", this->directory.position().revision},
                               {"servers", dropped},
                               {"reason", "other entries saw no outage of the store"}});
    this->publish_servers();
}

bool entry_program::is_ready() const
{
    return !this->stopping && this->servers_known && this->state.get() != nullptr &&
           this->evacuations_settled();
}

bool entry_program::evacuations_settled() const
{
    return !this->options.watches_evacuations || this->evacuations.position() != store_position{} ||
           steady_clock::now() - this->started_at >= evacuations_wait;
}

http_answer entry_program::answer_readiness() const
{
    return this->is_ready() ? http_answer{http_ok, {}, "ready"}
                            : http_answer{http_unavailable, {}, "not ready"};
}

bool entry_program::apply_options(const entry_options& changed)
{
    this->gossip->add_seeds(changed.seeds);
    entry_options rest = changed;
    rest.seeds = this->options.seeds;
    return rest == this->options;
}

void entry_program::log_unfinished_requests() const
{
    const std::vector<open_request> unfinished = this->in_progress.list();
    count("sardine_requests_unfinished_total", {}, unfinished.size());
    for (const open_request& request : absl::MakeSpan(unfinished).subspan(0, max_logged_requests)) {
        log_event("request_unfinished", {{"request", request.id},
                                         {"service", request.service},
                                         {"phase", name_of(request.phase)},
                                         {"total_ms", milliseconds_since(request.arrival)}});
    }
}

void entry_program::stop(steady_time received, milliseconds grace)
{
    this->deregistered_at = received + std::min(deregistration_delay, grace / 2);
    const steady_time exit_at =
        received + grace - std::min(max_exit_margin, grace / exit_margins_per_grace);
    this->stop_deadline =
        exit_at - std::min(max_final_answer_time, grace / final_answer_times_per_grace);
    this->stopping = true;
    log_event("stopping", {{"delay_ms", milliseconds_since(received)},
                           {"connections", this->caller_frontend->connections()},
                           {"requests", this->in_progress.size()}});
    std::this_thread::sleep_until(received + std::min(balancer_notice_time, grace / 2));
    this->caller_frontend->stop_accepting();
    log_event("stopped_accepting", {{"after_ms", milliseconds_since(received)},
                                    {"connections", this->caller_frontend->connections()},
                                    {"requests", this->in_progress.size()}});
    const bool idle = this->caller_frontend->wait_until_idle(exit_at);
    this->log_unfinished_requests();
    log_last_event("stopped", {{"idle", idle ? "yes" : "no"},
                               {"after_ms", milliseconds_since(received)},
                               {"connections", this->caller_frontend->connections()},
                               {"requests", this->in_progress.size()}});
}

} // namespace sardinestream
