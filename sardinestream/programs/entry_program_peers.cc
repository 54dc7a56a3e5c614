// Implements the part of entry_program that exchanges state with the other entries: desired state,
// server lists, evacuations, limits of servers and requests that crash them.

#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/peers/suspect_report.h"
#include "sardinestream/programs/entry_program.h"
#include "sardinestream/programs/peer_state.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Time limit of a call to another entry.
constexpr milliseconds fetch_timeout{800};
constexpr char config_path[] = "/state/config";
constexpr char servers_path[] = "/state/servers";
constexpr char evacuations_path[] = "/state/evacuations";
constexpr char suspects_path[] = "/state/suspects";
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int nothing_newer = 204;

// What an entry says of the servers that it knows when it asks another one for more.
std::string servers_age_text(const state_age& age)
{
    return absl::StrCat(age.servers.era, ".", age.servers.revision, ".", age.departed_digest);
}

// Reads the output of `servers_age_text`.
std::optional<state_age> parse_servers_age(absl::string_view text)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(text, '.');
    state_age age;
    const bool is_readable = parts.size() == 3 && absl::SimpleAtoi(parts[0], &age.servers.era) &&
                             absl::SimpleAtoi(parts[1], &age.servers.revision) &&
                             absl::SimpleAtoi(parts[2], &age.departed_digest);
    return is_readable ? std::optional<state_age>(age) : std::nullopt;
}

std::string position_text(const store_position& position)
{
    return absl::StrCat(position.era, ".", position.revision);
}

// Reads the output of `position_text`.
std::optional<store_position> parse_position(absl::string_view text)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(text, '.');
    store_position position;
    const bool is_readable = parts.size() == 2 && absl::SimpleAtoi(parts[0], &position.era) &&
                             absl::SimpleAtoi(parts[1], &position.revision);
    return is_readable ? std::optional<store_position>(position) : std::nullopt;
}

// Asks another entry. Fails with kResourceExhausted if there is no memory to parse its answer.
absl::StatusOr<http_answer> get_from_peer(http_client& peer, absl::string_view target)
{
    absl::StatusOr<http_answer> answer =
        peer.call("GET", target, "", steady_clock::now() + fetch_timeout);
    if (answer.ok() && !answer->reserve_parsed()) {
        return make_error(absl::StatusCode::kResourceExhausted, "decode", "entry",
                          "answer too large to be parsed");
    }
    return answer;
}

} // namespace

absl::Status entry_program::open_peers()
{
    const address local = {this->options.ip, this->options.gossip_port};
    absl::StatusOr<std::unique_ptr<http_service>> service = http_service::start(
        local, [this](const http_request_head& head) { return this->answer_peer(head); });
    if (!service.ok()) {
        return service.status();
    }
    this->peer_service = *std::move(service);
    entry_gossip_hooks hooks;
    hooks.age = [this] { return this->own_age(); };
    hooks.vanished_servers = [this] { return this->directory.vanished(); };
    hooks.on_no_outage = [this] { this->drop_vanished_servers(); };
    hooks.servers = [this] { return this->directory.usable(); };
    hooks.state = [this] { return this->state.get(); };
    hooks.on_report = [this](const std::string& ip, const server_report& report) {
        this->servers.apply_report(ip, report);
    };
    hooks.on_newer_state = [this](const std::string& ip, const state_age& newer) {
        const absl::MutexLock lock(&this->mutex);
        const steady_time since =
            this->newer_peer.has_value() ? this->newer_peer->since : steady_clock::now();
        this->newer_peer = {ip, newer, since};
        if (!this->options.watches_evacuations) {
            // Without the store nobody could tell this entry that they have ended.
            this->newer_peer->age.evacuations_changed = {};
        }
    };
    hooks.on_entries = [this](const process_group& alive, int known) {
        this->apply_entries(alive, known);
    };
    hooks.on_report_interval = [this](milliseconds interval) {
        this->servers.set_report_interval(interval);
    };
    hooks.limits = [this] { return this->servers.own_limit_statements(); };
    hooks.on_limits = [this](absl::Span<const limit_statement> heard) {
        this->servers.note_limits(heard);
    };
    hooks.suspects_digest = [this] { return this->suspects->digest(); };
    hooks.suspect_reports = [this] {
        return this->suspects->split_report(0, max_suspect_report_bytes);
    };
    hooks.on_suspect_report = [this](absl::string_view report) {
        const absl::StatusOr<bool> merged = this->suspects->merge(report);
        if (!merged.ok()) {
            log_failure("suspect_news_unread", merged.status());
        }
    };
    hooks.on_other_suspects = [this](const std::string& ip) {
        const absl::MutexLock lock(&this->mutex);
        this->peer_with_other_suspects = ip;
    };
    absl::StatusOr<std::unique_ptr<entry_gossip>> started = entry_gossip::start(
        this->options.ip, this->options.gossip_port, this->options.seeds, std::move(hooks));
    if (!started.ok()) {
        return started.status();
    }
    this->gossip = *std::move(started);
    return absl::OkStatus();
}

std::optional<entry_program::peer_with_newer_state> entry_program::next_fetch_source()
{
    // The store's own update mostly arrives within this time, which makes the fetch unnecessary.
    constexpr milliseconds store_update_wait{350};
    constexpr milliseconds departed_fetch_interval{1000};
    const state_age own = this->own_age();
    const absl::MutexLock lock(&this->mutex);
    if (!this->newer_peer.has_value()) {
        return std::nullopt;
    }
    if (!own.lacks(this->newer_peer->age)) {
        this->newer_peer.reset();
        return std::nullopt;
    }
    const bool lacks_evacuations = own.evacuations == store_position{} &&
                                   this->newer_peer->age.evacuations_changed > own.evacuations;
    const bool has_no_state =
        own.config_version == 0 || own.servers == store_position{} || lacks_evacuations;
    const steady_time now = steady_clock::now();
    if (!has_no_state && now - this->newer_peer->since < store_update_wait) {
        return std::nullopt;
    }
    if (!own.is_older_than(this->newer_peer->age)) {
        // Only departed servers differ: perhaps the peer is the one that lacks some.
        if (now - this->departed_fetched < departed_fetch_interval) {
            return std::nullopt;
        }
        this->departed_fetched = now;
    }
    return std::exchange(this->newer_peer, std::nullopt);
}

void entry_program::fetch_from_peers()
{
    constexpr milliseconds fetch_interval{150};
    while (this->ticking) {
        std::this_thread::sleep_for(fetch_interval);
        const std::optional<peer_with_newer_state> source = this->next_fetch_source();
        if (source.has_value()) {
            this->fetch_from(source->ip, source->age);
        }
        this->fetch_suspects();
    }
}

void entry_program::fetch_suspects()
{
    std::optional<std::string> source;
    {
        const absl::MutexLock lock(&this->mutex);
        source.swap(this->peer_with_other_suspects);
    }
    if (!source.has_value()) {
        return;
    }
    http_client peer({*source, this->options.gossip_port});
    const absl::StatusOr<http_answer> answer = get_from_peer(peer, suspects_path);
    const absl::StatusOr<bool> merged =
        answer.ok() ? this->suspects->merge(answer->body) : answer.status();
    if (!merged.ok()) {
        log_failure("peer_suspects_unread", merged.status(), {{"entry", *source}});
    }
}

void entry_program::send_suspect_report()
{
    const absl::MutexLock lock(&this->suspect_report_mutex);
    const std::uint64_t sequence = this->suspects->sequence();
    this->gossip->send_suspects(
        this->suspects->split_report(this->suspects_sent, max_suspect_report_bytes));
    this->suspects_sent = sequence;
}

void entry_program::merge_servers(const shared_servers& servers)
{
    const steady_time now = steady_clock::now();
    store_outage outage;
    {
        const absl::MutexLock lock(&this->mutex);
        outage = this->last_outage;
    }
    const bool changed = this->directory.merge(servers, outage, now);
    this->servers_known = true;
    if (changed) {
        this->publish_servers();
    }
}

void entry_program::fetch_from(const std::string& ip, const state_age& newer)
{
    http_client peer({ip, this->options.gossip_port});
    const absl::StatusOr<http_answer> config =
        get_from_peer(peer, absl::StrCat(config_path, "?after=", this->state.version()));
    if (config.ok() && config->status == http_ok) {
        const absl::StatusOr<stored_document> document = decode_document(config->body);
        if (document.ok()) {
            this->apply_desired_state(document->text, document->revision, ip);
        }
        else {
            log_failure("peer_state_unread", document.status(), {{"entry", ip}});
        }
    }
    const absl::StatusOr<http_answer> listed = get_from_peer(
        peer, absl::StrCat(servers_path, "?after=", servers_age_text(this->own_age())));
    if (listed.ok() && listed->status == http_ok) {
        const absl::StatusOr<shared_servers> servers = decode_servers(listed->body);
        if (servers.ok()) {
            this->merge_servers(*servers);
        }
        else {
            log_failure("peer_state_unread", servers.status(), {{"entry", ip}});
        }
    }
    if (this->options.watches_evacuations &&
        newer.evacuations_changed > this->evacuations.position()) {
        this->fetch_evacuations(peer, ip);
    }
    if (!config.ok() || !listed.ok()) {
        log_failure("peer_state_unread", config.ok() ? listed.status() : config.status(),
                    {{"entry", ip}});
    }
}

void entry_program::fetch_evacuations(http_client& peer, const std::string& ip)
{
    const absl::StatusOr<http_answer> answer =
        get_from_peer(peer, absl::StrCat(evacuations_path,
                                         "?after=", position_text(this->evacuations.position())));
    if (answer.ok() && answer->status != http_ok) {
        return;
    }
    const absl::StatusOr<shared_evacuations> copy =
        answer.ok() ? decode_evacuations(answer->body) : answer.status();
    if (!copy.ok()) {
        log_failure("peer_state_unread", copy.status(), {{"entry", ip}});
        return;
    }
    if (this->evacuations.merge(*copy, steady_clock::now(), ip)) {
        this->publish_evacuations();
    }
}

http_answer entry_program::answer_evacuations(const store_position& known) const
{
    return this->evacuations.changed() > known
               ? http_answer{http_ok,
                             {},
                             encode_evacuations(this->evacuations.shared(steady_clock::now()))}
               : http_answer{nothing_newer, {}, ""};
}

http_answer entry_program::answer_servers(const state_age& theirs) const
{
    const state_age own = this->own_age();
    const bool has_more =
        own.servers != store_position{} &&
        (own.servers > theirs.servers || own.departed_digest != theirs.departed_digest);
    return has_more ? http_answer{http_ok,
                                  {},
                                  encode_servers(this->directory.shared(steady_clock::now()))}
                    : http_answer{nothing_newer, {}, ""};
}

http_answer entry_program::answer_peer(const http_request_head& head) const
{
    if (head.target == suspects_path) {
        return {http_ok, {}, this->suspects->report()};
    }
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(absl::string_view(head.target), absl::MaxSplits("?after=", 1));
    if (parts.first == servers_path) {
        const std::optional<state_age> theirs = parse_servers_age(parts.second);
        return theirs.has_value() ? this->answer_servers(*theirs)
                                  : http_answer{http_not_found, {}, ""};
    }
    if (parts.first == evacuations_path) {
        const std::optional<store_position> theirs = parse_position(parts.second);
        return theirs.has_value() ? this->answer_evacuations(*theirs)
                                  : http_answer{http_not_found, {}, ""};
    }
    std::int64_t known = 0;
    if (!absl::SimpleAtoi(parts.second, &known)) {
        return {http_not_found, {}, ""};
    }
    if (parts.first == config_path) {
        return this->state.version() > known
                   ? http_answer{http_ok, {}, encode_document(this->state.document())}
                   : http_answer{nothing_newer, {}, ""};
    }
    return {http_not_found, {}, ""};
}

} // namespace sardinestream
