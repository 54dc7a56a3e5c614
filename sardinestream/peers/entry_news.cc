#include "sardinestream/peers/entry_news.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sardinestream/base/log.h"

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
constexpr std::chrono::seconds member_memory{5};
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

} // namespace

absl::StatusOr<std::unique_ptr<entry_news>> entry_news::start(const std::string& ip, int port,
                                                              const std::vector<std::string>& seeds,
                                                              entry_news_hooks hooks)
{
    absl::StatusOr<datagram_socket> bound = datagram_socket::bind({ip, port});
    if (!bound.ok()) {
        return bound.status();
    }
    std::unique_ptr<entry_news> made(new entry_news(*std::move(bound), ip, port, std::move(hooks)));
    made->add_seeds(seeds);
    made->thread = std::thread([raw = made.get()] { raw->run(); });
    return made;
}

entry_news::entry_news(datagram_socket bound, std::string own, int news_port,
                       entry_news_hooks given)
    : socket(std::move(bound)), own_ip(std::move(own)), port(news_port), hooks(std::move(given))
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
    while (!this->stopping) {
        if (this->announce_now.exchange(false) || steady_clock::now() >= next_hello) {
            next_hello = steady_clock::now() + hello_interval;
            this->take_seeds();
            this->tell_everyone();
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
    for (const std::uint32_t other : hello.entries) {
        this->note_entry(other);
    }
    this->note_revisions(hello.ip, heard.revisions);
}

void entry_news::take_report(const news::ServerReportT& report)
{
    const steady_time now = steady_clock::now();
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
    decoded.pass_ms = report.pass_ms;
    decoded.group = report.group;
    decoded.group_broken = report.broken;
    if (!report.group.empty()) {
        this->groups[report.group][report.rank] = {ip, now};
        this->group_of_ip[ip] = report.group;
    }
    this->hooks.on_report(ip, decoded);
}

news::EntryHelloT entry_news::make_hello() const
{
    news::EntryHelloT hello;
    const known_revisions own = this->hooks.revisions();
    hello.ip = ip_number(this->own_ip);
    hello.config_revision = own.config;
    hello.servers_revision = own.servers;
    const steady_time now = steady_clock::now();
    for (const auto& [ip, heard] : this->entries) {
        if (now - heard.last < entry_lifetime) {
            hello.entries.push_back(ip);
        }
    }
    return hello;
}

news::NewsT entry_news::make_group_hello(const engine_model& engine, const std::string& group,
                                         const std::map<std::string, int>& ports) const
{
    news::EntryHelloT hello = this->make_hello();
    hello.sets = engine.layer_sets;
    hello.experts = engine.experts;
    hello.places = engine.places_per_rank;
    hello.most_new_experts = engine.most_new_experts;
    hello.copy_ms = static_cast<float>(engine.copy_ms());
    hello.expert_share = static_cast<float>(engine.expert_share);
    hello.report_interval_ms =
        static_cast<int>(report_interval_for(this->report_sequences.size()).count());
    hello.group = group;
    const auto members = this->groups.find(group);
    if (members == this->groups.end()) {
        return make_news(std::move(hello));
    }
    const steady_time now = steady_clock::now();
    for (const auto& [rank, member] : members->second) {
        const auto port_found = ports.find(member.ip);
        if (now - member.last > member_memory || port_found == ports.end()) {
            continue;
        }
        auto place = std::make_unique<news::RankPlaceT>();
        place->rank = rank;
        place->ip = ip_number(member.ip);
        place->port = static_cast<std::uint16_t>(port_found->second);
        hello.ranks.push_back(std::move(place));
    }
    return make_news(std::move(hello));
}

void entry_news::tell_agents()
{
    const std::shared_ptr<const desired_state> state = this->hooks.state();
    if (state == nullptr) {
        return;
    }
    const std::vector<backend_server> servers = this->hooks.servers();
    std::map<std::string, int> ports;
    for (const backend_server& server : servers) {
        ports[server.endpoint.ip] = server.endpoint.port;
    }
    // All agents of one service and group are told the same.
    std::map<std::pair<std::string, std::string>, news::NewsT> hellos;
    std::set<std::string> told;
    for (const backend_server& server : servers) {
        const auto declared = state->services.find(server.service);
        if (declared == state->services.end() || !declared->second.engine.has_experts() ||
            !told.insert(server.endpoint.ip).second) {
            continue;
        }
        const auto named = this->group_of_ip.find(server.endpoint.ip);
        const std::string group = named == this->group_of_ip.end() ? "" : named->second;
        const std::pair<std::string, std::string> key = {server.service, group};
        auto hello = hellos.find(key);
        if (hello == hellos.end()) {
            hello =
                hellos.emplace(key, this->make_group_hello(declared->second.engine, group, ports))
                    .first;
        }
        this->socket.send(hello->second, {server.endpoint.ip, this->port});
    }
}

void entry_news::tell_everyone()
{
    const steady_time now = steady_clock::now();
    std::erase_if(this->entries,
                  [&](const auto& named) { return now - named.second.last > entry_memory; });
    int alive = 1;
    const news::NewsT plain = make_news(this->make_hello());
    for (const auto& [ip, heard] : this->entries) {
        alive += now - heard.last < entry_lifetime ? 1 : 0;
        this->socket.send(plain, {ip_text(ip), this->port});
    }
    const int known = static_cast<int>(this->entries.size()) + 1;
    if (alive != this->announced_alive || known != this->announced_known) {
        this->announced_alive = alive;
        this->announced_known = known;
        log_event("entries_alive", {{"count", alive}, {"known", known}});
        this->hooks.on_entries(alive, known);
    }
    this->hooks.on_report_interval(report_interval_for(this->report_sequences.size()));
    this->tell_agents();
}

} // namespace sardinestream
