#include "sardinestream/peers/entry_gossip.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/peers/home_entries.h"
#include "sardinestream/peers/suspect_report.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds hello_interval{400};
// Longest delay of an urgent announcement, such as that of a server that leaves.
constexpr milliseconds announce_interval{20};
// An entry that has been silent for this long no longer counts as alive.
constexpr milliseconds entry_lifetime{2500};
// A silent entry still receives hellos for this long, and keeps its share of the retry budget: it
// may only be paused or cut off, and spend its share when it returns.
constexpr std::chrono::minutes entry_memory{10};
// Shortest interval between two messages with the group's endpoints to one agent, which may not
// have received the first yet.
constexpr milliseconds min_endpoints_interval{300};
// A sequence number that is lower by this much or more comes from a restarted agent.
constexpr std::uint64_t reordering_window = 64;

// The interval grows with the number of agents, so that the rate of reports at an entry stays about
// constant from some thirty agents on.
milliseconds report_interval_for(std::size_t agents)
{
    constexpr milliseconds shortest{100};
    constexpr milliseconds longest{1000};
    constexpr milliseconds per_agent{3};
    return std::clamp(per_agent * static_cast<int>(agents), shortest, longest);
}

// Agents forget an entry only after seconds, so hellos can be less frequent when there are many of
// them.
milliseconds agent_hello_interval_for(std::size_t agents)
{
    constexpr milliseconds per_agent{5};
    constexpr milliseconds longest{1000};
    return std::clamp(per_agent * static_cast<int>(agents), hello_interval, longest);
}

} // namespace

absl::StatusOr<std::unique_ptr<entry_gossip>>
entry_gossip::start(const std::string& ip, int port, const std::vector<std::string>& seeds,
                    entry_gossip_hooks hooks)
{
    absl::StatusOr<datagram_socket> bound = datagram_socket::bind({ip, port});
    if (!bound.ok()) {
        return bound.status();
    }
    std::unique_ptr<entry_gossip> made(new entry_gossip(*std::move(bound), ip, std::move(hooks)));
    made->add_seeds(seeds);
    made->thread = std::thread([raw = made.get()] { raw->run(); });
    return made;
}

entry_gossip::entry_gossip(datagram_socket bound, std::string own, entry_gossip_hooks callbacks)
    : socket(std::move(bound)), own_ip(std::move(own)), hooks(std::move(callbacks))
{
}

void entry_gossip::add_seeds(const std::vector<std::string>& seeds)
{
    const absl::MutexLock lock(&this->mutex);
    this->pending_seeds.insert(this->pending_seeds.end(), seeds.begin(), seeds.end());
}

void entry_gossip::add_pending_seeds()
{
    std::vector<std::string> seeds;
    {
        const absl::MutexLock lock(&this->mutex);
        seeds.swap(this->pending_seeds);
    }
    for (const std::string& seed : seeds) {
        this->add_entry(ip_to_number(seed));
        this->seeds.insert(ip_to_number(seed));
    }
}

entry_gossip::~entry_gossip()
{
    this->stopping = true;
    this->thread.join();
}

void entry_gossip::announce()
{
    this->announce_now = true;
}

void entry_gossip::send_suspects(absl::Span<const std::string> reports)
{
    std::vector<std::uint32_t> others;
    {
        const absl::MutexLock lock(&this->mutex);
        others = this->receivers;
    }
    for (const std::string& report : reports) {
        this->socket.send(make_suspect_report(report), others);
    }
}

void entry_gossip::run()
{
    steady_time next_hello = steady_clock::now();
    steady_time next_agent_hello = next_hello;
    while (!this->stopping) {
        const steady_time now = steady_clock::now();
        if (this->announce_now.exchange(false) || now >= next_hello) {
            next_hello = now + hello_interval;
            this->add_pending_seeds();
            this->send_hello_to_entries();
        }
        if (now >= next_agent_hello) {
            next_agent_hello = now + agent_hello_interval_for(this->report_sequences.size());
            this->send_hello_to_agents();
        }
        const std::unique_ptr<gossip::MessageT> message =
            this->socket.receive(std::min(next_hello, steady_clock::now() + announce_interval));
        if (message != nullptr) {
            this->handle_message(*message);
        }
    }
}

void entry_gossip::handle_message(const gossip::MessageT& message)
{
    if (const gossip::EntryHelloT* const hello = message.body.AsEntryHello(); hello != nullptr) {
        this->handle_hello(*hello);
    }
    if (const gossip::ServerReportT* const report = message.body.AsServerReport();
        report != nullptr) {
        this->handle_report(*report);
    }
    if (const gossip::SuspectReportT* const suspects = message.body.AsSuspectReport();
        suspects != nullptr) {
        this->hooks.on_suspect_report(report_in(*suspects));
    }
}

void entry_gossip::add_entry(std::uint32_t ip)
{
    if (ip != 0 && ip != ip_to_number(this->own_ip) && this->entries.count(ip) == 0) {
        this->entries[ip] = {steady_clock::now() - entry_lifetime, {}};
    }
}

void entry_gossip::compare_age(std::uint32_t ip, const state_age& known)
{
    if (this->hooks.age().lacks(known)) {
        this->hooks.on_newer_state(ip_to_string(ip), known);
    }
}

void entry_gossip::handle_hello(const gossip::EntryHelloT& hello)
{
    if (hello.ip == ip_to_number(this->own_ip)) {
        return;
    }
    known_entry& heard = this->entries[hello.ip];
    heard.last_heard = steady_clock::now();
    heard.age = {
        hello.config_version, {hello.servers_revision, hello.servers_era}, hello.departed_digest};
    heard.vanished_servers = static_cast<std::size_t>(std::max(0, hello.vanished_servers));
    for (const std::uint32_t other : hello.entries) {
        this->add_entry(other);
    }
    this->compare_age(hello.ip, heard.age);
    const bool knows_this_entry = std::find(hello.entries.begin(), hello.entries.end(),
                                            ip_to_number(this->own_ip)) != hello.entries.end();
    if (!knows_this_entry) {
        // It has just started and must soon know what this entry knows.
        this->socket.send(make_message(this->make_entry_hello()), {hello.ip});
    }
    this->handle_limits(hello);
    if (hello.suspects_digest != 0 && hello.suspects_digest != this->hooks.suspects_digest()) {
        this->hooks.on_other_suspects(ip_to_string(hello.ip));
    }
    if (this->hooks.vanished_servers() > 0 && this->majority_saw_no_outage()) {
        this->hooks.on_no_outage();
    }
}

void entry_gossip::handle_limits(const gossip::EntryHelloT& hello)
{
    if (hello.limits.empty()) {
        return;
    }
    const steady_time now = steady_clock::now();
    std::vector<limit_statement> heard;
    for (const gossip::ServerLimit& limit : hello.limits) {
        const bool is_limited = std::isfinite(limit.per_s()) && limit.per_s() >= 0;
        heard.push_back({limit.server(),
                         is_limited ? std::optional<double>(limit.per_s()) : std::nullopt,
                         now - milliseconds(limit.age_ms())});
    }
    this->hooks.on_limits(heard);
}

bool entry_gossip::majority_saw_no_outage() const
{
    const store_position own = this->hooks.age().servers;
    const steady_time now = steady_clock::now();
    int alive = 0;
    int saw_none = 0;
    for (const auto& [ip, heard] : this->entries) {
        if (now - heard.last_heard >= entry_lifetime) {
            continue;
        }
        ++alive;
        saw_none += heard.age.servers >= own && heard.vanished_servers == 0 ? 1 : 0;
    }
    return 2 * saw_none > alive;
}

void entry_gossip::handle_report(const gossip::ServerReportT& report)
{
    std::uint64_t& sequence = this->report_sequences[report.ip];
    if (report.sequence <= sequence && sequence - report.sequence < reordering_window) {
        return;
    }
    sequence = report.sequence;
    for (const std::uint32_t other : report.entries) {
        this->add_entry(other);
    }
    const std::string ip = ip_to_string(report.ip);
    server_report decoded;
    decoded.running = report.running;
    decoded.waiting = report.waiting;
    decoded.slowness = report.slowness;
    decoded.step_ms = report.pass_ms;
    decoded.group = report.group;
    decoded.group_broken = report.broken;
    this->hooks.on_report(ip, decoded);
    if (!report.group.empty()) {
        this->update_endpoint(report);
    }
    this->update_suspects_copy(report);
}

void entry_gossip::update_endpoint(const gossip::ServerReportT& report)
{
    known_group& group = this->groups[report.group];
    const rank_endpoint reported = {report.ip, report.engine_port};
    rank_endpoint& known = group.endpoints[report.rank];
    if (!(known == reported)) {
        known = reported;
        group.digest = digest_of(group.endpoints);
    }
    const steady_time now = steady_clock::now();
    steady_time& last_sent = this->endpoints_sent[report.ip];
    if (report.places_digest == group.digest || now - last_sent < min_endpoints_interval ||
        !is_home_of(report.ip, ip_to_number(this->own_ip), this->other_entries_alive())) {
        return;
    }
    last_sent = now;
    this->send_endpoints(report);
}

void entry_gossip::send_endpoints(const gossip::ServerReportT& report)
{
    const std::shared_ptr<const desired_state> state = this->hooks.state();
    if (state == nullptr) {
        return;
    }
    const std::string ip = ip_to_string(report.ip);
    for (const backend_server& server : this->hooks.servers()) {
        const auto declared = state->services.find(server.service);
        if (server.endpoint.ip != ip || declared == state->services.end() ||
            !declared->second.engine.has_experts()) {
            continue;
        }
        const engine_model& engine = declared->second.engine;
        gossip::GroupPlacesT message;
        message.group = report.group;
        for (const auto& [rank, place] : this->groups[report.group].endpoints) {
            message.ranks.emplace_back(rank, place.ip,
                                       static_cast<std::uint16_t>(place.engine_port));
        }
        message.sets = engine.layer_sets;
        message.experts = engine.experts;
        message.places = engine.places_per_rank;
        message.most_new_experts = engine.max_new_experts;
        message.copy_ms = static_cast<float>(engine.copy_ms());
        message.expert_share = static_cast<float>(engine.expert_share);
        this->socket.send(make_message(std::move(message)), {report.ip});
        return;
    }
}

std::vector<std::uint32_t> entry_gossip::other_entries_alive() const
{
    std::vector<std::uint32_t> alive;
    const steady_time now = steady_clock::now();
    for (const auto& [ip, heard] : this->entries) {
        if (now - heard.last_heard < entry_lifetime) {
            alive.push_back(ip);
        }
    }
    return alive;
}

void entry_gossip::update_suspects_copy(const gossip::ServerReportT& report)
{
    if (report.suspects_digest == this->hooks.suspects_digest()) {
        return;
    }
    const steady_time now = steady_clock::now();
    steady_time& last_sent = this->suspects_sent[report.ip];
    if (now - last_sent < min_suspects_interval ||
        !is_home_of(report.ip, ip_to_number(this->own_ip), this->other_entries_alive())) {
        return;
    }
    last_sent = now;
    for (const std::string& known : this->hooks.suspect_reports()) {
        this->socket.send(make_suspect_report(known), {report.ip});
    }
}

gossip::EntryHelloT entry_gossip::make_hello() const
{
    gossip::EntryHelloT hello;
    const state_age own = this->hooks.age();
    hello.ip = ip_to_number(this->own_ip);
    hello.config_version = own.config_version;
    hello.servers_revision = own.servers.revision;
    hello.servers_era = own.servers.era;
    hello.departed_digest = own.departed_digest;
    hello.suspects_digest = this->hooks.suspects_digest();
    return hello;
}

void entry_gossip::send_hello_to_agents()
{
    const milliseconds interval = report_interval_for(this->report_sequences.size());
    this->hooks.on_report_interval(interval);
    const std::shared_ptr<const desired_state> state = this->hooks.state();
    if (state == nullptr) {
        return;
    }
    std::set<std::uint32_t> agents;
    for (const backend_server& server : this->hooks.servers()) {
        const auto declared = state->services.find(server.service);
        if (declared != state->services.end() && declared->second.engine.has_experts()) {
            agents.insert(ip_to_number(server.endpoint.ip));
        }
    }
    gossip::EntryHelloT hello = this->make_hello();
    hello.report_interval_ms = static_cast<int>(interval.count());
    this->socket.send(make_message(std::move(hello)),
                      std::vector<std::uint32_t>(agents.begin(), agents.end()));
}

gossip::EntryHelloT entry_gossip::make_entry_hello() const
{
    constexpr double no_limit = -1;
    gossip::EntryHelloT hello = this->make_hello();
    hello.entries = this->other_entries_alive();
    hello.vanished_servers = static_cast<int>(this->hooks.vanished_servers());
    const steady_time now = steady_clock::now();
    for (const limit_statement& limit : this->hooks.limits()) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - limit.heard).count();
        hello.limits.emplace_back(limit.server, limit.max_rate.value_or(no_limit),
                                  static_cast<std::uint32_t>(std::max<std::int64_t>(0, age)));
    }
    return hello;
}

void entry_gossip::send_hello_to_entries()
{
    const steady_time now = steady_clock::now();
    // Seeds stay, so that an entry finds the others again however long it was away.
    std::erase_if(this->entries, [&](const auto& named) {
        return now - named.second.last_heard > entry_memory && this->seeds.count(named.first) == 0;
    });
    gossip::EntryHelloT hello = this->make_entry_hello();
    const std::vector<std::uint32_t> alive = hello.entries;
    std::vector<std::uint32_t> others;
    std::vector<std::uint32_t> silent;
    int known = 1;
    for (const auto& [ip, heard] : this->entries) {
        others.push_back(ip);
        const milliseconds silence =
            std::chrono::duration_cast<milliseconds>(now - heard.last_heard);
        known += silence <= entry_memory ? 1 : 0;
        if (silence <= entry_memory && std::find(alive.begin(), alive.end(), ip) == alive.end()) {
            silent.push_back(ip);
        }
    }
    {
        const absl::MutexLock lock(&this->mutex);
        this->receivers = others;
    }
    this->socket.send(make_message(std::move(hello)), others);
    if (alive != this->announced_alive || known != this->announced_known) {
        this->announced_alive = alive;
        this->announced_known = known;
        log_event("entries_alive", {{"count", alive.size() + 1}, {"known", known}});
        this->hooks.on_entries({ip_to_number(this->own_ip), alive, silent}, known);
    }
}

} // namespace sardinestream
