#include "sardinestream/catalogue/store_sync.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/random/random.h"

namespace sardinestream::catalogue {
namespace {

constexpr absl::Duration shortest_pause = absl::Milliseconds(100);
constexpr absl::Duration longest_pause_at_start = absl::Seconds(2);
constexpr absl::Duration longest_pause = absl::Seconds(15);
// If more shards than this are missing, one list call reads them all.
constexpr std::size_t max_single_reads = 16;

// Adds jitter, so that many processes do not call the platform at the same time.
absl::Duration jittered(absl::Duration time)
{
    absl::BitGen random;
    return time * absl::Uniform(random, 0.75, 1.25);
}

// Returns the shards that `index` references and `base` does not hold; none if `base` is not older.
std::vector<shard_reference> missing_shards(const catalogue_image& base,
                                            const catalogue_index& index)
{
    std::vector<shard_reference> missing;
    if (index.number <= base.number()) {
        return missing;
    }
    for (std::size_t id = 0; id < shard_count; ++id) {
        const shard_reference& reference = index.shards[id];
        const shard_pointer& held = base.shards()[id];
        if (reference.number == 0 ||
            (held != nullptr && held->object_name == reference.object_name)) {
            continue;
        }
        missing.push_back(reference);
    }
    return missing;
}

absl::StatusOr<std::vector<shard_pointer>> read_singly(platform::object_store& store,
                                                       const std::vector<shard_reference>& missing)
{
    std::vector<shard_pointer> parts;
    for (const shard_reference& reference : missing) {
        absl::StatusOr<platform::object> read = store.get(shard_kind, reference.object_name);
        if (!read.ok()) {
            return read.status();
        }
        absl::StatusOr<shard_pointer> part =
            parse_shard(reference.object_name, std::move(read->spec));
        if (!part.ok()) {
            return part.status();
        }
        parts.push_back(*std::move(part));
    }
    return parts;
}

absl::StatusOr<std::vector<shard_pointer>>
read_together(platform::object_store& store, const std::vector<shard_reference>& missing)
{
    absl::StatusOr<platform::object_list> listed = store.list(shard_kind);
    if (!listed.ok()) {
        return listed.status();
    }
    std::set<std::string> wanted;
    for (const shard_reference& reference : missing) {
        wanted.insert(reference.object_name);
    }
    std::vector<shard_pointer> parts;
    for (platform::object& one : listed->objects) {
        if (!wanted.contains(one.name)) {
            continue;
        }
        absl::StatusOr<shard_pointer> part = parse_shard(one.name, std::move(one.spec));
        if (!part.ok()) {
            return part.status();
        }
        parts.push_back(*std::move(part));
    }
    if (parts.size() < wanted.size()) {
        return make_error(absl::StatusCode::kNotFound, "read_shards", "platform",
                          "a shard that the index references no longer exists");
    }
    return parts;
}

} // namespace

absl::StatusOr<stored_index> read_index(platform::object_store& store)
{
    const absl::StatusOr<platform::object> read = store.get(index_kind, index_name);
    if (!read.ok()) {
        return read.status();
    }
    absl::StatusOr<catalogue_index> index = parse_index(read->spec);
    if (!index.ok()) {
        return index.status();
    }
    return stored_index{*std::move(index), read->version};
}

absl::Status load_index(platform::object_store& store, catalogue_state& state,
                        const catalogue_index& index, absl::Duration max_peer_wait)
{
    state.record_known_number(index.number);
    std::vector<shard_reference> missing = missing_shards(*state.image(), index);
    if (missing.size() > max_single_reads) {
        if (state.wait_until_number(index.number, absl::Now() + jittered(max_peer_wait))) {
            return absl::OkStatus();
        }
        missing = missing_shards(*state.image(), index);
    }
    absl::StatusOr<std::vector<shard_pointer>> read = missing.size() > max_single_reads
                                                          ? read_together(store, missing)
                                                          : read_singly(store, missing);
    if (!read.ok()) {
        return read.status();
    }
    count("sardine_catalogue_shards_read_total", {{"from", "store"}}, read->size());
    return state.apply_changes(index, *read);
}

std::unique_ptr<store_sync> store_sync::create(store_sync_options options,
                                               platform::object_store& store,
                                               catalogue_state& state)
{
    std::unique_ptr<store_sync> made(new store_sync(std::move(options), store, state));
    made->following = std::thread([sync = made.get()] { sync->follow_store(); });
    return made;
}

store_sync::store_sync(store_sync_options options, platform::object_store& platform_store,
                       catalogue_state& catalogue)
    : settings(std::move(options)), store(platform_store), state(catalogue)
{
}

store_sync::~store_sync()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->following.join();
}

void store_sync::follow_store()
{
    absl::Duration next_pause = shortest_pause;
    while (!this->pause(absl::ZeroDuration())) {
        const absl::Status followed = this->follow_once();
        if (!followed.ok()) {
            count("sardine_catalogue_retries_total",
                  {{"from", "store"}, {"reason", absl::StatusCodeToString(followed.code())}});
        }
        const bool has_catalogue = this->state.number() != 0;
        next_pause =
            followed.ok()
                ? shortest_pause
                : std::min(2 * next_pause, has_catalogue ? longest_pause : longest_pause_at_start);
        if (this->settings.watch) {
            if (!followed.ok()) {
                this->pause(jittered(std::min(next_pause, longest_pause_at_start)));
            }
            continue;
        }
        if (!has_catalogue) {
            this->pause(jittered(next_pause));
            continue;
        }
        this->wait_until_read_due(std::max(next_pause, this->settings.poll_interval));
    }
}

absl::Status store_sync::follow_once()
{
    const absl::StatusOr<std::uint64_t> version = this->refresh();
    if (!version.ok() || !this->settings.watch) {
        return version.status();
    }
    return this->watch_from(*version);
}

void store_sync::wait_until_read_due(absl::Duration interval)
{
    const absl::Time backup = absl::Now() + jittered(this->settings.backup_interval);
    do {
        if (this->pause(jittered(interval))) {
            return;
        }
    } while (this->answered && this->settings.has_peers() && absl::Now() < backup);
}

absl::StatusOr<std::uint64_t> store_sync::refresh()
{
    while (true) {
        const absl::StatusOr<stored_index> stored = read_index(this->store);
        if (absl::IsNotFound(stored.status())) {
            this->answered = true;
            return 0;
        }
        if (!stored.ok()) {
            return stored.status();
        }
        const absl::Status loaded =
            load_index(this->store, this->state, stored->index, this->settings.max_peer_wait);
        if (loaded.ok()) {
            this->answered = true;
            return stored->object_version;
        }
        if (!absl::IsNotFound(loaded)) {
            log_failure("catalogue_read_failed", loaded);
            return loaded;
        }
        // A newer index may have replaced this one and its shards been removed. If the number is
        // unchanged, the shard is really missing.
        const absl::StatusOr<stored_index> again = read_index(this->store);
        if (again.ok() && again->index.number == stored->index.number) {
            log_failure("catalogue_read_failed", loaded);
            return make_error(absl::StatusCode::kDataLoss, "load_index", "platform",
                              "a shard that the current index references is missing");
        }
    }
}

absl::Status store_sync::watch_from(std::uint64_t version)
{
    absl::Status applied;
    absl::Status watched = this->store.watch(
        index_kind, version, this->settings.longest_watch,
        [this, &applied](const platform::object_change& change) {
            if (change.change == platform::change_kind::removed ||
                change.changed.name != index_name) {
                return true;
            }
            const absl::StatusOr<catalogue_index> index = parse_index(change.changed.spec);
            applied = index.ok() ? load_index(this->store, this->state, *index) : index.status();
            return applied.ok();
        });
    // In both cases `refresh` reads the newest index next.
    if (absl::IsNotFound(applied) || absl::IsOutOfRange(watched)) {
        return absl::OkStatus();
    }
    return watched.ok() ? applied : watched;
}

bool store_sync::pause(absl::Duration time)
{
    const absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), time);
}

} // namespace sardinestream::catalogue
