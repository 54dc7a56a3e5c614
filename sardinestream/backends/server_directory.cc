#include "sardinestream/backends/server_directory.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// How long departed servers are remembered: longer than any copy is old from which the store may
// come back, and than an entry may be away.
constexpr std::chrono::minutes departure_memory{5};
// Those departed for longer are left out of the digest, so that entries which forget at slightly
// different times do not differ by it.
constexpr std::chrono::minutes digest_memory{4};
constexpr std::size_t max_departed = 4096;
// Several times the largest fleet. A writer of entries without end must not exhaust the memory.
constexpr std::size_t max_servers = 8192;

enum class presence : std::uint8_t { in_use, draining, departed };

presence presence_of(const listed_server& listed)
{
    return listed.server.draining ? presence::draining : presence::in_use;
}

// What a server counts itself, in the order in which it comes about.
std::tuple<std::int64_t, std::int64_t, presence> age_of(const listed_server& listed, presence state)
{
    return {listed.server.born_ms, listed.sequence, state};
}

// Returns true if `listed` is newer than the known fact, or the same one of the same era.
bool supersedes(const listed_server& listed, presence listed_state, const listed_server& known,
                presence known_state)
{
    const bool same_era = listed.position.era == known.position.era;
    if (same_era && listed.position.revision != known.position.revision) {
        return listed.position.revision > known.position.revision;
    }
    const auto listed_age = age_of(listed, listed_state);
    const auto known_age = age_of(known, known_state);
    return same_era ? listed_age >= known_age : listed_age > known_age;
}

// Returns when a server that now states that it stays cold for `remaining` will be warm. Returns
// `known`, the end by its previous statement, if the two differ only by the delays of messages.
steady_time newer_cold_end(steady_time known, milliseconds remaining, steady_time now)
{
    constexpr milliseconds message_delay{250};
    const steady_time stated = now + std::max(remaining, milliseconds(0));
    const bool both_passed = stated <= now && known <= now;
    const bool is_same = stated <= known + message_delay && known <= stated + message_delay;
    return both_passed || is_same ? known : stated;
}

} // namespace

server_directory::server_directory(milliseconds lifetime, milliseconds heartbeat)
    : entry_lifetime(lifetime), shortest_expiring_outage(heartbeat)
{
}

void server_directory::note_outage(const store_outage& outage, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    this->extend_grace(outage, now);
}

void server_directory::extend_grace(const store_outage& outage, steady_time now)
{
    const steady_time end = outage.end(now);
    if (outage.begun != steady_time{} && end - outage.begun >= this->shortest_expiring_outage) {
        this->relisted_by = std::max(this->relisted_by, end + relist_grace_period);
    }
}

bool server_directory::upsert(const listed_server& listed, steady_time now)
{
    const auto left = this->departed.find(listed.server.id);
    if (left != this->departed.end()) {
        if (!supersedes(listed, presence_of(listed), left->second.last, presence::departed)) {
            return false;
        }
        this->departed.erase(left);
    }
    const bool is_full =
        this->entries.size() >= max_servers && this->entries.count(listed.server.id) == 0;
    if (is_full && !(this->is_declared(listed.server) && this->evict_undeclared())) {
        count("sardine_servers_beyond_limit_total");
        return false;
    }
    const auto [found, is_new] = this->entries.try_emplace(listed.server.id);
    entry& known = found->second;
    if (!is_new &&
        !supersedes(listed, presence_of(listed), known.listed, presence_of(known.listed))) {
        return false;
    }
    listed_server newer = listed;
    const steady_time known_end = known.listed.server.cold_until;
    // The same fact, heard again, may be older or come from an entry that passes on no cold times.
    const bool is_repeated =
        !is_new && listed.position == known.listed.position && known_end != steady_time{};
    newer.server.cold_until =
        is_repeated ? known_end : newer_cold_end(known_end, listed.cold_remaining, now);
    const backend_server& before = known.listed.server;
    const bool changed = !(before == newer.server) || known.expires_at != steady_time{} || is_new;
    if (before.born_ms != newer.server.born_ms || before.endpoint != newer.server.endpoint) {
        known.was_ready = false;
        known.is_replaced = false;
    }
    known.was_ready = known.was_ready || !newer.server.draining;
    known.listed = std::move(newer);
    known.expires_at = {};
    return changed;
}

server_directory::departure server_directory::make_departure(const listed_server& last,
                                                             steady_time since)
{
    return {last,
            since,
            stable_hash(absl::StrCat(last.server.id, " ", last.server.born_ms)),
            std::nullopt,
            {}};
}

server_directory::entry_iterator server_directory::depart(entry_iterator gone, steady_time now)
{
    this->departed[gone->first] = make_departure(gone->second.listed, now);
    return this->entries.erase(gone);
}

server_directory::entry_iterator server_directory::vanish(entry_iterator gone,
                                                          const store_position& position,
                                                          steady_time relist_until, steady_time now,
                                                          bool& changed)
{
    entry& vanished = gone->second;
    vanished.listed.position = position;
    if (relist_until <= now || vanished.listed.server.draining) {
        changed = true;
        return this->depart(gone, now);
    }
    if (vanished.expires_at == steady_time{}) {
        vanished.expires_at = relist_until;
    }
    return std::next(gone);
}

bool server_directory::remove_absent(const server_list& list, steady_time relist_until,
                                     steady_time now)
{
    std::set<std::string> present;
    for (const listed_server& listed : list.servers) {
        present.insert(listed.server.id);
    }
    bool changed = false;
    for (auto it = this->entries.begin(); it != this->entries.end();) {
        const store_position& position = it->second.listed.position;
        const bool is_newer = position.era == list.position.era && position > list.position;
        const bool in_grace = it->second.expires_at > now;
        if (present.count(it->first) > 0 || is_newer || in_grace) {
            ++it;
            continue;
        }
        it = this->vanish(it, list.position, relist_until, now, changed);
    }
    return changed;
}

bool server_directory::reconcile(const server_list& list, steady_time now)
{
    log_event("servers_reconciled", {{"era", list.position.era},
                                     {"revision", list.position.revision},
                                     {"known_era", this->known.era},
                                     {"known_revision", this->known.revision},
                                     {"listed", list.servers.size()}});
    // Revisions of the two histories cannot be compared, even if their eras do not differ.
    constexpr std::int64_t no_era = -1;
    bool changed = false;
    for (listed_server copy : list.servers) {
        copy.position.era = no_era;
        changed = this->upsert(copy, now) || changed;
    }
    for (auto& [id, kept] : this->entries) {
        kept.listed.position = list.position;
        kept.expires_at = {};
    }
    for (auto& [id, left] : this->departed) {
        left.last.position = list.position;
    }
    this->known = list.position;
    // What was written since the copy is gone, until the servers write it again.
    const steady_time rewritten = std::max(this->relisted_by, now + relist_grace_period);
    return this->remove_absent(list, rewritten, now) || changed;
}

bool server_directory::apply(const server_list& list, const store_outage& outage, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    this->extend_grace(outage, now);
    const bool is_first = this->known == store_position{};
    bool changed = false;
    if (!is_first && (list.restored || list.position.era != this->known.era)) {
        changed = this->reconcile(list, now);
    }
    else if (list.position < this->known) {
        return false;
    }
    else {
        changed = this->add_complete(list, now);
    }
    this->note_relisted(list, now);
    this->forget_departed(now);
    changed = this->readmit_renewed(now) || changed;
    return this->update_uses(now) || changed;
}

bool server_directory::apply_partial(const server_list& list, steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    const bool is_first = this->known == store_position{};
    if (!is_first && (list.restored || list.position.era != this->known.era)) {
        return false;
    }
    bool changed = false;
    for (const listed_server& listed : list.servers) {
        changed = this->upsert(listed, now) || changed;
    }
    return this->update_uses(now) || changed;
}

bool server_directory::add_complete(const server_list& list, steady_time now)
{
    this->known = list.position;
    bool changed = false;
    for (const listed_server& listed : list.servers) {
        changed = this->upsert(listed, now) || changed;
    }
    return this->remove_absent(list, this->relisted_by, now) || changed;
}

void server_directory::note_relisted(const server_list& list, steady_time now)
{
    std::set<std::string> listed_ids;
    for (const listed_server& listed : list.servers) {
        listed_ids.insert(listed.server.id);
        const auto left = this->departed.find(listed.server.id);
        if (left != this->departed.end() && !left->second.relisted.has_value()) {
            left->second.relisted = listed;
            left->second.relisted_at = now;
        }
    }
    for (auto& [id, left] : this->departed) {
        if (listed_ids.count(id) == 0) {
            left.relisted.reset();
        }
    }
}

bool server_directory::apply(const server_changes& received, const store_outage& outage,
                             steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    this->extend_grace(outage, now);
    bool changed = false;
    for (const server_change& change : received.changes) {
        const auto found = this->entries.find(change.id);
        const bool is_known = found != this->entries.end();
        const bool same_era = change.position.era == this->known.era;
        if (change.server.has_value()) {
            // An entry of this age that is missing from the known list was removed in the meantime.
            const bool is_past = !is_known && same_era && change.position <= this->known;
            const listed_server listed = {*change.server, change.position, change.sequence,
                                          change.cold_remaining};
            changed = (!is_past && this->upsert(listed, now)) || changed;
            continue;
        }
        if (const auto left = this->departed.find(change.id); left != this->departed.end()) {
            left->second.relisted.reset();
        }
        if (!is_known) {
            continue;
        }
        listed_server removed;
        removed.server.born_ms = change.born_ms;
        removed.sequence = change.sequence;
        removed.position = change.position;
        const listed_server& known_entry = found->second.listed;
        if (supersedes(removed, presence::departed, known_entry, presence_of(known_entry))) {
            this->vanish(found, change.position, this->relisted_by, now, changed);
        }
    }
    const bool has_list = this->known != store_position{};
    if (has_list && !received.changes.empty() && continues(this->known, received.position)) {
        this->known = received.position;
    }
    this->forget_departed(now);
    changed = this->readmit_renewed(now) || changed;
    return this->update_uses(now) || changed;
}

bool server_directory::merge_departed(const departed_server& heard, steady_time now)
{
    listed_server last;
    last.server.id = heard.id;
    last.server.born_ms = heard.born_ms;
    last.sequence = heard.sequence;
    last.position = heard.position;
    const steady_time since = now - heard.age;
    if (const auto found = this->entries.find(heard.id); found != this->entries.end()) {
        const listed_server& known = found->second.listed;
        if (!supersedes(last, presence::departed, known, presence_of(known))) {
            return false;
        }
        departure left = make_departure(last, since);
        if (found->second.expires_at == steady_time{}) {
            left.relisted = known;
            left.relisted_at = now;
        }
        this->entries.erase(found);
        this->departed[heard.id] = std::move(left);
        return true;
    }
    const auto [left, is_new] = this->departed.try_emplace(heard.id);
    if (is_new) {
        left->second = make_departure(last, since);
    }
    else if (supersedes(last, presence::departed, left->second.last, presence::departed)) {
        left->second.last = last;
        left->second.departed_at = std::max(left->second.departed_at, since);
    }
    return false;
}

bool server_directory::merge(const shared_servers& peer, const store_outage& outage,
                             steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    this->extend_grace(outage, now);
    const store_position position = peer.listed.position;
    const bool is_first = this->known == store_position{};
    const bool is_newer = position > this->known;
    bool changed = false;
    for (const departed_server& heard : peer.departed) {
        if (heard.age < departure_memory) {
            changed = this->merge_departed(heard, now) || changed;
        }
    }
    this->forget_departed(now);
    if (is_newer) {
        const bool is_other_era = !is_first && position.era != this->known.era;
        changed = (is_other_era ? this->reconcile(peer.listed, now)
                                : this->add_complete(peer.listed, now)) ||
                  changed;
        return this->update_uses(now) || changed;
    }
    for (const listed_server& listed : peer.listed.servers) {
        const bool is_known =
            this->entries.count(listed.server.id) > 0 || this->departed.count(listed.server.id) > 0;
        changed = (is_known && this->upsert(listed, now)) || changed;
    }
    return this->update_uses(now) || changed;
}

bool server_directory::readmit_renewed(steady_time now)
{
    bool changed = false;
    for (auto it = this->departed.begin(); it != this->departed.end();) {
        const departure& left = it->second;
        if (!left.relisted.has_value() || now - left.relisted_at <= this->entry_lifetime) {
            ++it;
            continue;
        }
        entry renewed;
        renewed.listed = *left.relisted;
        renewed.was_ready = !renewed.listed.server.draining;
        renewed.listed.position = this->known;
        log_event("server_readmitted", {{"server", it->first}, {"reason", "entry is renewed"}});
        this->entries[it->first] = std::move(renewed);
        it = this->departed.erase(it);
        changed = true;
    }
    return changed;
}

void server_directory::forget_departed(steady_time now)
{
    std::erase_if(this->departed, [&](const auto& named) {
        return now - named.second.departed_at > departure_memory;
    });
    while (this->departed.size() > max_departed) {
        this->departed.erase(std::min_element(
            this->departed.begin(), this->departed.end(), [](const auto& a, const auto& b) {
                return a.second.departed_at < b.second.departed_at;
            }));
    }
}

bool server_directory::drop_vanished(steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    bool dropped = false;
    for (auto it = this->entries.begin(); it != this->entries.end();) {
        const steady_time expires_at = it->second.expires_at;
        if (expires_at == steady_time{} || expires_at > now) {
            ++it;
            continue;
        }
        it = this->depart(it, now);
        dropped = true;
    }
    if (dropped) {
        static_cast<void>(this->update_uses(now));
    }
    return dropped;
}

steady_time server_directory::next_expiry() const
{
    const absl::MutexLock lock(&this->mutex);
    steady_time next = steady_time::max();
    for (const auto& [id, known] : this->entries) {
        if (known.expires_at != steady_time{}) {
            next = std::min(next, known.expires_at);
        }
    }
    return next;
}

std::size_t server_directory::drop_all_vanished(steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    std::size_t dropped = 0;
    for (auto it = this->entries.begin(); it != this->entries.end();) {
        if (it->second.expires_at == steady_time{}) {
            ++it;
            continue;
        }
        it = this->depart(it, now);
        ++dropped;
    }
    static_cast<void>(this->update_uses(now));
    return dropped;
}

shared_servers server_directory::shared(steady_time now) const
{
    const absl::MutexLock lock(&this->mutex);
    shared_servers all;
    all.listed.position = this->known;
    for (const auto& [id, known] : this->entries) {
        if (known.expires_at == steady_time{}) {
            all.listed.servers.push_back(known.listed);
            all.listed.servers.back().cold_remaining = std::chrono::ceil<milliseconds>(
                std::max(known.listed.server.cold_until - now, steady_clock::duration(0)));
        }
    }
    for (const auto& [id, left] : this->departed) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - left.departed_at);
        all.departed.push_back(
            {id, left.last.server.born_ms, left.last.sequence, left.last.position, age});
    }
    return all;
}

std::size_t server_directory::vanished() const
{
    const absl::MutexLock lock(&this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& named) { return named.second.expires_at != steady_time{}; }));
}

std::uint64_t server_directory::departed_digest(steady_time now) const
{
    const absl::MutexLock lock(&this->mutex);
    std::uint64_t digest = 0;
    for (const auto& [id, left] : this->departed) {
        if (now - left.departed_at < digest_memory) {
            digest ^= left.digest;
        }
    }
    return digest;
}

store_position server_directory::position() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->known;
}

} // namespace sardinestream
