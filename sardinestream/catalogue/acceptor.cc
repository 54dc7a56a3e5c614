#include "sardinestream/catalogue/acceptor.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/catalogue/store_sync.h"

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::catalogue {
namespace {

constexpr absl::Duration shortest_pause = absl::Milliseconds(100);
constexpr absl::Duration longest_pause = absl::Seconds(2);
constexpr absl::Duration search_interval = absl::Hours(1);
constexpr int nonce_bytes = 6;

absl::Duration with_jitter(absl::Duration time)
{
    absl::BitGen random;
    return time * absl::Uniform(random, 1.0, 1.5);
}

void count_retry(absl::string_view step, const absl::Status& status)
{
    count("sardine_catalogue_retries_total",
          {{"from", std::string(step)}, {"reason", absl::StatusCodeToString(status.code())}});
}

} // namespace

std::unique_ptr<acceptor> acceptor::create(acceptor_options options, platform::object_store& store,
                                           catalogue_state& state)
{
    std::unique_ptr<acceptor> made(new acceptor(std::move(options), store, state));
    made->watching = std::thread([one = made.get()] { one->watch_entries(); });
    made->deciding = std::thread([one = made.get()] { one->run_decision_rounds(); });
    return made;
}

acceptor::acceptor(acceptor_options options, platform::object_store& platform_store,
                   catalogue_state& catalogue)
    : settings(std::move(options)), store(platform_store), state(catalogue)
{
}

acceptor::~acceptor()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->watching.joinable()) {
        this->watching.join();
        this->deciding.join();
    }
}

void acceptor::wake()
{
    const absl::MutexLock lock(&this->mutex);
    this->changed = true;
}

absl::Status acceptor::decide_once(const acceptor_options& options, platform::object_store& store,
                                   catalogue_state& state)
{
    acceptor once(options, store, state);
    SARDINE_RETURN_IF_ERROR(once.list_entries());
    SARDINE_RETURN_IF_ERROR(once.decide());
    once.write_statuses();
    once.remove_unreferenced_shards();
    return absl::OkStatus();
}

void acceptor::watch_entries()
{
    absl::Duration next_pause = shortest_pause;
    while (!this->pause(absl::ZeroDuration())) {
        absl::Status followed = this->list_entries();
        while (followed.ok()) {
            std::uint64_t version = 0;
            {
                const absl::MutexLock lock(&this->mutex);
                version = this->view.version;
                if (this->stopping) {
                    return;
                }
            }
            next_pause = shortest_pause;
            followed = this->watch_from(version);
        }
        count_retry("entries", followed);
        this->pause(with_jitter(next_pause));
        next_pause = std::min(2 * next_pause, longest_pause);
    }
}

absl::Status acceptor::list_entries()
{
    absl::StatusOr<platform::object_list> listed = this->store.list(entry_kind);
    if (!listed.ok()) {
        return listed.status();
    }
    entry_view complete;
    complete.version = listed->version;
    for (platform::object& one : listed->objects) {
        std::string name = one.name;
        complete.objects.emplace(std::move(name), std::move(one));
    }
    const absl::MutexLock lock(&this->mutex);
    this->view = std::move(complete);
    this->view_is_complete = true;
    this->changed = true;
    return absl::OkStatus();
}

absl::Status acceptor::watch_from(std::uint64_t version)
{
    return this->store.watch(entry_kind, version, this->settings.longest_watch,
                             [this](const platform::object_change& change) {
                                 this->note_change(change);
                                 return true;
                             });
}

void acceptor::note_change(const platform::object_change& change)
{
    const absl::MutexLock lock(&this->mutex);
    this->view.version = std::max(this->view.version, change.changed.version);
    this->changed = true;
    if (change.change == platform::change_kind::removed) {
        this->view.objects.erase(change.changed.name);
        return;
    }
    this->view.objects.insert_or_assign(change.changed.name, change.changed);
}

bool acceptor::wrote_last() const
{
    return this->state.image()->index().writer == this->settings.id;
}

bool acceptor::has_pending_decisions()
{
    const std::shared_ptr<const catalogue_image> base = this->state.image();
    const absl::MutexLock lock(&this->mutex);
    if (!this->view_is_complete) {
        return false;
    }
    return base->number() == 0 ||
           !plan_acceptance(*base, this->view, base->number() + 1, absl::Now()).changed.empty();
}

void acceptor::run_decision_rounds()
{
    absl::Time statuses_due = absl::InfiniteFuture();
    while (!this->wait_for_change(
        std::min(absl::Now() + this->settings.check_interval, statuses_due))) {
        if (!this->decide_pending()) {
            continue;
        }
        if (this->wrote_last() || absl::Now() >= statuses_due) {
            this->write_statuses();
            this->remove_unreferenced_shards();
            statuses_due = absl::InfiniteFuture();
        }
        else if (statuses_due == absl::InfiniteFuture()) {
            statuses_due = absl::Now() + this->settings.non_writer_status_delay;
        }
        this->pause(this->settings.round_interval);
    }
}

bool acceptor::decide_pending()
{
    if (!this->has_pending_decisions()) {
        return true;
    }
    if (!this->wrote_last()) {
        this->pause(with_jitter(this->settings.non_writer_delay));
        if (!this->has_pending_decisions()) {
            return true;
        }
    }
    const absl::Status decided = this->decide();
    if (decided.ok()) {
        this->decision_pause = shortest_decision_pause;
        return true;
    }
    count_retry("decide", decided);
    if (!absl::IsAborted(decided)) {
        log_failure("catalogue_decision_failed", decided);
    }
    this->wake();
    this->pause(with_jitter(this->decision_pause));
    this->decision_pause = std::min(2 * this->decision_pause, longest_pause);
    return false;
}

absl::StatusOr<std::uint64_t> acceptor::catch_up()
{
    const absl::StatusOr<stored_index> stored = read_index(this->store);
    if (absl::IsNotFound(stored.status()) && this->state.number() == 0) {
        return 0;
    }
    if (!stored.ok()) {
        return stored.status();
    }
    if (stored->index.number < this->state.number()) {
        count("sardine_catalogue_store_behind_total");
        return make_error(absl::StatusCode::kFailedPrecondition, "catch_up", "platform",
                          "the platform's index is older than the catalogue in force");
    }
    SARDINE_RETURN_IF_ERROR(load_index(this->store, this->state, stored->index));
    if (this->state.number() != stored->index.number) {
        return make_error(absl::StatusCode::kAborted, "catch_up", "platform",
                          "the index changed during the read");
    }
    return stored->object_version;
}

absl::Status acceptor::decide()
{
    const absl::StatusOr<std::uint64_t> object_version = this->catch_up();
    if (!object_version.ok()) {
        return object_version.status();
    }
    const std::shared_ptr<const catalogue_image> base = this->state.image();
    acceptance_plan plan;
    std::uint64_t seen_version = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        seen_version = this->view.version;
        if (seen_version < base->index().seen_version) {
            return make_error(absl::StatusCode::kFailedPrecondition, "decide", "platform",
                              "the view of the entries is older than the index");
        }
        plan = plan_acceptance(*base, this->view, base->number() + 1, absl::Now());
    }
    if (plan.changed.empty() && base->number() != 0) {
        return absl::OkStatus();
    }
    return this->move_index(plan, *base, *object_version, seen_version);
}

absl::Status acceptor::move_index(const acceptance_plan& plan, const catalogue_image& base,
                                  std::uint64_t base_object_version, std::uint64_t seen_version)
{
    catalogue_index next = base.index();
    next.number = base.number() + 1;
    next.seen_version = seen_version;
    next.writer = this->settings.id;
    next.nonce = random_hex(nonce_bytes);
    std::vector<shard_pointer> changed;
    for (const auto& [id, records] : plan.changed) {
        const shard_reference written{next.number,
                                      absl::StrCat(id, "-", next.number, "-", next.nonce)};
        changed.push_back(make_shard(id, next.number, written.object_name, records));
        this->removal_candidates.push_back(written);
        SARDINE_RETURN_IF_ERROR(this->write_shard(*changed.back()));
        if (next.shards[id].number != 0) {
            // The replaced shard is removed once the index no longer references it.
            this->removal_candidates.push_back({next.number, next.shards[id].object_name});
        }
        next.shards[id] = written;
    }
    SARDINE_RETURN_IF_ERROR(this->write_index(next, base_object_version));
    count("sardine_catalogue_decisions_total", {{"state", "accepted"}}, plan.accepted);
    count("sardine_catalogue_decisions_total", {{"state", "refused"}}, plan.refused);
    count("sardine_catalogue_decisions_total", {{"state", "removed"}}, plan.removed);
    log_event("catalogue_index_moved", {{"number", next.number},
                                        {"accepted", plan.accepted},
                                        {"refused", plan.refused},
                                        {"removed", plan.removed}});
    return this->state.apply_changes(next, changed);
}

absl::Status acceptor::write_shard(const shard& written)
{
    const absl::Status made =
        this->store.create_object(shard_kind, written.object_name, written.content).status();
    if (!absl::IsUnknown(made)) {
        return made;
    }
    // The name holds this acceptor's nonce, so no other acceptor writes it: if the object exists,
    // this write took effect.
    return this->store.get(shard_kind, written.object_name).status();
}

absl::Status acceptor::write_index(const catalogue_index& next, std::uint64_t base_object_version)
{
    const std::string text = format_index(next);
    const absl::Status moved =
        base_object_version == 0
            ? this->store.create_object(index_kind, index_name, text).status()
            : this->store.update(index_kind, index_name, text, base_object_version).status();
    if (!absl::IsUnknown(moved)) {
        return moved;
    }
    count_retry("index_answer_lost", moved);
    const absl::StatusOr<stored_index> stored = read_index(this->store);
    if (!stored.ok()) {
        return stored.status();
    }
    const bool own = stored->index.number == next.number && stored->index.nonce == next.nonce;
    return own ? absl::OkStatus()
               : make_error(absl::StatusCode::kAborted, "write_index", "platform",
                            "the index does not hold this write");
}

void acceptor::find_unreferenced_shards()
{
    if (absl::Now() < this->next_search) {
        return;
    }
    const absl::StatusOr<platform::object_list> listed = this->store.list(shard_kind);
    if (!listed.ok()) {
        return;
    }
    this->next_search = absl::Now() + search_interval;
    for (const platform::object& one : listed->objects) {
        const absl::StatusOr<shard_pointer> part = parse_shard(one.name, one.spec);
        if (part.ok()) {
            this->removal_candidates.push_back({(*part)->number, one.name});
        }
    }
}

void acceptor::remove_unreferenced_shards()
{
    this->find_unreferenced_shards();
    const std::shared_ptr<const catalogue_image> image = this->state.image();
    std::vector<shard_reference> kept;
    for (shard_reference& leftover : this->removal_candidates) {
        // A shard written for a number that is not in force here yet may be referenced by a newer
        // index.
        if (leftover.number > image->number()) {
            kept.push_back(std::move(leftover));
            continue;
        }
        const auto& shards = image->index().shards;
        const bool in_force =
            std::any_of(shards.begin(), shards.end(), [&leftover](const shard_reference& one) {
                return one.object_name == leftover.object_name;
            });
        if (in_force) {
            continue;
        }
        const absl::Status removed = this->store.remove(shard_kind, leftover.object_name);
        if (!removed.ok() && !absl::IsNotFound(removed)) {
            kept.push_back(std::move(leftover));
        }
    }
    this->removal_candidates = std::move(kept);
}

void acceptor::write_statuses()
{
    const std::shared_ptr<const catalogue_image> image = this->state.image();
    std::vector<std::pair<std::string, std::string>> due;
    std::uint64_t view_version = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        view_version = this->view.version;
        for (const auto& [name, object] : this->view.objects) {
            const entry_record* record = image->find(name);
            if (record == nullptr || record->last_decision().generation != object.generation ||
                (object.version <= this->checked_view_version &&
                 record->last_decision().number <= this->checked_number)) {
                continue;
            }
            std::string status = format_entry_status(*record);
            if (status != object.status) {
                due.emplace_back(name, std::move(status));
            }
        }
    }
    for (const auto& [name, status] : due) {
        const absl::Status written = this->store.update_status(entry_kind, name, status);
        if (!written.ok() && !absl::IsNotFound(written)) {
            count_retry("entry_status", written);
            this->wake();
            return;
        }
    }
    this->checked_view_version = view_version;
    this->checked_number = image->number();
}

bool acceptor::pause(absl::Duration time)
{
    const absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), time);
}

bool acceptor::wait_for_change(absl::Time deadline)
{
    const absl::MutexLock lock(&this->mutex);
    const auto is_due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->changed || this->stopping;
    };
    this->mutex.AwaitWithDeadline(absl::Condition(&is_due), deadline);
    this->changed = false;
    return this->stopping;
}

} // namespace sardinestream::catalogue
