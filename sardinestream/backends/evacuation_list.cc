#include "sardinestream/backends/evacuation_list.h"

#include <algorithm>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Returns whether `list` belongs to another history than what is known up to `known`.
bool begins_history(const evacuation_snapshot& list, const store_position& known)
{
    if (known == store_position{}) {
        return false;
    }
    // A store that names no era tells only by `restored` that its revisions begin anew.
    const bool is_unnamed = list.position.era == 0 && known.era == 0;
    return list.position.era > known.era ||
           (list.restored && (is_unnamed || list.position.era < known.era));
}

} // namespace

bool evacuation_list::add(const std::string& data_centre, const store_position& position,
                          steady_time expires_at, steady_time now, absl::string_view source)
{
    const auto found = this->entries.find(data_centre);
    if (found != this->entries.end()) {
        // Both the store and a peer may name it; what the store lists does not expire.
        found->second.expires_at = std::max(found->second.expires_at, expires_at);
        return false;
    }
    if (this->entries.size() >= max_evacuations) {
        count("sardine_evacuations_beyond_limit_total");
        return false;
    }
    this->entries[data_centre] = {position, now, std::string(source), expires_at};
    log_event("evacuation_begun", {{"data_centre", data_centre},
                                   {"revision", position.revision},
                                   {"era", position.era},
                                   {"source", source}});
    return true;
}

bool evacuation_list::end(const std::string& data_centre, const store_position& position,
                          absl::string_view reason)
{
    if (this->entries.erase(data_centre) == 0) {
        return false;
    }
    log_event("evacuation_ended", {{"data_centre", data_centre},
                                   {"revision", position.revision},
                                   {"era", position.era},
                                   {"source", reason}});
    return true;
}

bool evacuation_list::replace(const std::vector<std::string>& listed,
                              const store_position& position, steady_time keep_until,
                              steady_time now, absl::string_view source)
{
    const std::set<std::string> present(listed.begin(), listed.end());
    std::vector<std::string> gone;
    for (auto& [data_centre, known_entry] : this->entries) {
        if (present.count(data_centre) != 0 || known_entry.expires_at != steady_time::max()) {
            continue;
        }
        known_entry.expires_at = keep_until;
        if (keep_until <= now) {
            gone.push_back(data_centre);
        }
    }
    bool changed = false;
    for (const std::string& data_centre : gone) {
        changed = this->end(data_centre, position, source) || changed;
    }
    for (const std::string& data_centre : present) {
        changed = this->add(data_centre, position, steady_time::max(), now, source) || changed;
    }
    if (this->entries.size() >= max_evacuations && present.size() > max_evacuations) {
        log_event("evacuations_beyond_limit",
                  {{"listed", present.size()}, {"limit", max_evacuations}});
    }
    this->known = position;
    return changed;
}

bool evacuation_list::apply(const evacuation_snapshot& list, steady_time now,
                            absl::string_view source)
{
    const absl::MutexLock lock(&this->mutex);
    const bool is_other_history = begins_history(list, this->known);
    if (!is_other_history && list.position < this->known) {
        return false;
    }
    const bool is_first = this->known == store_position{};
    const bool changed =
        this->replace(list.data_centres, list.position,
                      is_other_history ? now + lost_history_memory : now, now, source);
    if (changed || is_first || is_other_history) {
        this->last_change = list.position;
    }
    return changed;
}

bool evacuation_list::apply(const evacuation_changes& received, steady_time now,
                            absl::string_view source)
{
    const absl::MutexLock lock(&this->mutex);
    // Another entry may have told of a newer history already.
    if (!continues(this->known, received.position)) {
        return false;
    }
    bool changed = false;
    for (const evacuation_change& change : received.changes) {
        if (change.revision <= this->known.revision) {
            continue;
        }
        const store_position at = {change.revision, received.position.era};
        changed =
            (change.ended ? this->end(change.data_centre, at, source)
                          : this->add(change.data_centre, at, steady_time::max(), now, source)) ||
            changed;
    }
    this->known = received.position;
    if (changed) {
        this->last_change = received.position;
    }
    return changed;
}

bool evacuation_list::merge(const shared_evacuations& peer, steady_time now,
                            absl::string_view source)
{
    const absl::MutexLock lock(&this->mutex);
    if (peer.position <= this->known) {
        return false;
    }
    const bool is_other_history =
        this->known != store_position{} && peer.position.era != this->known.era;
    this->last_change = std::min(peer.changed, peer.position);
    bool changed = this->replace(peer.data_centres, peer.position,
                                 is_other_history ? now + lost_history_memory : now, now, source);
    for (const shared_evacuations::kept_evacuation& kept : peer.kept) {
        const milliseconds remaining =
            std::clamp(kept.remaining, milliseconds(0), milliseconds(lost_history_memory));
        changed =
            this->add(kept.data_centre, peer.position, now + remaining, now, source) || changed;
    }
    return changed;
}

bool evacuation_list::drop_expired(steady_time now)
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> expired;
    for (const auto& [data_centre, known_entry] : this->entries) {
        if (known_entry.expires_at <= now) {
            expired.push_back(data_centre);
        }
    }
    for (const std::string& data_centre : expired) {
        this->end(data_centre, this->known, "lost history, not listed again");
    }
    return !expired.empty();
}

std::set<std::string> evacuation_list::in_force() const
{
    const absl::MutexLock lock(&this->mutex);
    std::set<std::string> names;
    for (const auto& [data_centre, known_entry] : this->entries) {
        names.insert(names.end(), data_centre);
    }
    return names;
}

std::vector<evacuation_list::evacuation> evacuation_list::list() const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<evacuation> all;
    for (const auto& [data_centre, known_entry] : this->entries) {
        all.push_back({data_centre, known_entry.position, known_entry.since, known_entry.source,
                       known_entry.expires_at != steady_time::max()});
    }
    return all;
}

shared_evacuations evacuation_list::shared(steady_time now) const
{
    const absl::MutexLock lock(&this->mutex);
    shared_evacuations copy;
    copy.position = this->known;
    copy.changed = this->last_change;
    for (const auto& [data_centre, known_entry] : this->entries) {
        if (known_entry.expires_at == steady_time::max()) {
            copy.data_centres.push_back(data_centre);
            continue;
        }
        copy.kept.push_back(
            {data_centre, std::chrono::duration_cast<milliseconds>(known_entry.expires_at - now)});
    }
    return copy;
}

store_position evacuation_list::position() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->known;
}

store_position evacuation_list::changed() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->last_change;
}

} // namespace sardinestream
