#include "sardinestream/peers/entry_news.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/peers/home_entries.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds hello_interval{400};
// News that must not wait, such as a server that leaves, goes out after this at the latest.
constexpr milliseconds announce_interval{20};
// An entry that was not heard for so long does not count as alive.
constexpr milliseconds entry_lifetime{2500};
// A seed, or an entry that fell silent, is told for so long, in case it returns.
constexpr std::chrono::seconds entry_memory{30};
// An agent that may not have heard yet is not told the places of its group again within this.
constexpr milliseconds places_interval{300};
// A sequence that lies further back is that of an agent that has started again.
constexpr std::uint64_t reordering_window = 64;

// What an entry takes in stays about the same from some thirty agents on.
milliseconds report_interval_for(std::size_t agents)
{
    constexpr milliseconds shortest{100};
    constexpr milliseconds longest{1000};
    constexpr milliseconds per_agent{3};
    return std::clamp(per_agent * static_cast<int>(agents), shortest, longest);
}

// Agents forget an entry after seconds, so many of them need not hear it as often.
milliseconds agent_hello_interval_for(std::size_t agents)
{
    constexpr milliseconds per_agent{5};
    constexpr milliseconds longest{1000};
    return std::clamp(per_agent * static_cast<int>(agents), hello_interval, longest);
}

} // namespace

absl::StatusOr<std::unique_ptr<entry_news>> entry_news::start(const std::string& ip, int port,
                                                              const std::vector<std::string>& seeds,
                                                              entry_news_hooks hooks)
{
    absl::StatusOr<datagram_socket> bound = datagram_socket::bind({ip, port});
    if (!bound.ok()) {
        return bound.status();
    }
    std::unique_ptr<entry_news> made(new entry_news(*std::move(bound), ip, std::move(hooks)));
    made->add_seeds(seeds);
    made->thread = std::thread([raw = made.get()] { raw->run(); });
    return made;
}

entry_news::entry_news(datagram_socket bound, std::string own, entry_news_hooks given)
    : socket(std::move(bound)), own_ip(std::move(own)), hooks(std::move(given))
{
}

void entry_news::add_seeds(const std::vector<std::string>& seeds)
{
    const absl::MutexLock lock(&this->mutex);
    this->new_seeds.insert(this->new_seeds.end(), seeds.begin(), seeds.end());
}

void entry_news::take_seeds()
{
    std::vector<std::string> seeds;
    {
        const absl::MutexLock lock(&this->mutex);
        seeds.swap(this->new_seeds);
    }
    for (const std::string& seed : seeds) {
        this->note_entry(ip_number(seed));
    }
}

entry_news::~entry_news()
{
    this->stopping = true;
    this->thread.join();
}

void entry_news::announce()
{
    this->announce_now = true;
}

void entry_news::run()
{
    steady_time next_hello = steady_clock::now();
    steady_time next_agent_hello = next_hello;
    while (!this->stopping) {
        const steady_time now = steady_clock::now();
        if (this->announce_now.exchange(false) || now >= next_hello) {
            next_hello = now + hello_interval;
            this->take_seeds();
            this->tell_entries();
        }
        if (now >= next_agent_hello) {
            next_agent_hello = now + agent_hello_interval_for(this->report_sequences.size());
            this->tell_agents();
        }
        const std::unique_ptr<news::NewsT> message =
            this->socket.receive(std::min(next_hello, steady_clock::now() + announce_interval));
        if (message != nullptr) {
            this->take(*message);
        }
    }
}

void entry_news::take(const news::NewsT& message)
{
    if (const news::EntryHelloT* const hello = message.body.AsEntryHello(); hello != nullptr) {
        this->take_hello(*hello);
    }
    if (const news::ServerReportT* const report = message.body.AsServerReport();
        report != nullptr) {
        this->take_report(*report);
    }
}

void entry_news::note_entry(std::uint32_t ip)
{
    if (ip != 0 && ip != ip_number(this->own_ip) && this->entries.count(ip) == 0) {
        this->entries[ip] = {steady_clock::now() - entry_lifetime, {}};
    }
}

void entry_news::note_revisions(std::uint32_t ip, const known_revisions& known)
{
    const known_revisions own = this->hooks.revisions();
    if (known.config > own.config || known.servers > own.servers) {
        this->hooks.on_newer(ip_text(ip), known);
    }
}

void entry_news::take_hello(const news::EntryHelloT& hello)
{
    if (hello.ip == ip_number(this->own_ip)) {
        return;
    }
    heard_entry& heard = this->entries[hello.ip];
    heard.last = steady_clock::now();
    heard.revisions = {hello.config_revision, hello.servers_revision};
    heard.vanished_servers = static_cast<std::size_t>(std::max(0, hello.vanished_servers));
    for (const std::uint32_t other : hello.entries) {
        this->note_entry(other);
    }
    this->note_revisions(hello.ip, heard.revisions);
    if (this->hooks.vanished_servers() > 0 && this->most_saw_no_outage()) {
        this->hooks.on_no_outage();
    }
}

bool entry_news::most_saw_no_outage() const
{
    const std::int64_t own = this->hooks.revisions().servers;
    const steady_time now = steady_clock::now();
    int alive = 0;
    int saw_none = 0;
    for (const auto& [ip, heard] : this->entries) {
        if (now - heard.last >= entry_lifetime) {
            continue;
        }
        ++alive;
        saw_none += heard.revisions.servers >= own && heard.vanished_servers == 0 ? 1 : 0;
    }
    return 2 * saw_none > alive;
}

void entry_news::take_report(const news::ServerReportT& report)
{
    std::uint64_t& sequence = this->report_sequences[report.ip];
    if (report.sequence <= sequence && sequence - report.sequence < reordering_window) {
        return;
    }
    sequence = report.sequence;
    for (const std::uint32_t other : report.entries) {
        this->note_entry(other);
    }
    const std::string ip = ip_text(report.ip);
    server_report decoded;
    decoded.running = report.running;
    decoded.waiting = report.waiting;
    decoded.slowness = report.slowness;
    decoded.step_ms = report.pass_ms;
    decoded.group = report.group;
    decoded.group_broken = report.broken;
    this->hooks.on_report(ip, decoded);
    if (!report.group.empty()) {
        this->take_place(report);
    }
}

void entry_news::take_place(const news::ServerReportT& report)
{
    known_group& group = this->groups[report.group];
    const group_place place = {report.ip, report.engine_port};
    group_place& known = group.places[report.rank];
    if (!(known == place)) {
        known = place;
        group.digest = digest_of(group.places);
    }
    const steady_time now = steady_clock::now();
    steady_time& told = this->places_told[report.ip];
    if (report.places_digest == group.digest || now - told < places_interval ||
        !is_home_of(report.ip, ip_number(this->own_ip), this->other_entries_alive())) {
        return;
    }
    told = now;
    this->tell_places(report);
}

void entry_news::tell_places(const news::ServerReportT& report)
{
    const std::shared_ptr<const desired_state> state = this->hooks.state();
    if (state == nullptr) {
        return;
    }
    const std::string ip = ip_text(report.ip);
    for (const backend_server& server : this->hooks.servers()) {
        const auto declared = state->services.find(server.service);
        if (server.endpoint.ip != ip || declared == state->services.end() ||
            !declared->second.engine.has_experts()) {
            continue;
        }
        const engine_model& engine = declared->second.engine;
        news::GroupPlacesT told;
        told.group = report.group;
        for (const auto& [rank, place] : this->groups[report.group].places) {
            told.ranks.emplace_back(rank, place.ip, static_cast<std::uint16_t>(place.engine_port));
        }
        told.sets = engine.layer_sets;
        told.experts = engine.experts;
        told.places = engine.places_per_rank;
        told.most_new_experts = engine.most_new_experts;
        told.copy_ms = static_cast<float>(engine.copy_ms());
        told.expert_share = static_cast<float>(engine.expert_share);
        this->socket.send(make_news(std::move(told)), {report.ip});
        return;
    }
}

std::vector<std::uint32_t> entry_news::other_entries_alive() const
{
    std::vector<std::uint32_t> alive;
    const steady_time now = steady_clock::now();
    for (const auto& [ip, heard] : this->entries) {
        if (now - heard.last < entry_lifetime) {
            alive.push_back(ip);
        }
    }
    return alive;
}

news::EntryHelloT entry_news::make_hello() const
{
    news::EntryHelloT hello;
    const known_revisions own = this->hooks.revisions();
    hello.ip = ip_number(this->own_ip);
    hello.config_revision = own.config;
    hello.servers_revision = own.servers;
    return hello;
}

void entry_news::tell_agents()
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
            agents.insert(ip_number(server.endpoint.ip));
        }
    }
    news::EntryHelloT hello = this->make_hello();
    hello.report_interval_ms = static_cast<int>(interval.count());
    this->socket.send(make_news(std::move(hello)),
                      std::vector<std::uint32_t>(agents.begin(), agents.end()));
}

void entry_news::tell_entries()
{
    const steady_time now = steady_clock::now();
    std::erase_if(this->entries,
                  [&](const auto& named) { return now - named.second.last > entry_memory; });
    news::EntryHelloT hello = this->make_hello();
    hello.entries = this->other_entries_alive();
    hello.vanished_servers = static_cast<int>(this->hooks.vanished_servers());
    const int alive = static_cast<int>(hello.entries.size()) + 1;
    std::vector<std::uint32_t> receivers;
    for (const auto& [ip, heard] : this->entries) {
        receivers.push_back(ip);
    }
    this->socket.send(make_news(std::move(hello)), receivers);
    const int known = static_cast<int>(this->entries.size()) + 1;
    if (alive != this->announced_alive || known != this->announced_known) {
        this->announced_alive = alive;
        this->announced_known = known;
        log_event("entries_alive", {{"count", alive}, {"known", known}});
        this->hooks.on_entries(alive, known);
    }
}

} // namespace sardinestream
