#include "sardinestream/catalogue/catalogue_state.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::catalogue {
namespace {

shard_reference reference_of(const shard_pointer& part)
{
    return part == nullptr ? shard_reference{} : shard_reference{part->number, part->object_name};
}

} // namespace

catalogue_state::catalogue_state() : in_force(std::make_shared<catalogue_image>()) {}

void catalogue_state::on_change(change_hook hook)
{
    const absl::MutexLock lock(&this->change_mutex);
    this->hooks.push_back(std::move(hook));
}

std::shared_ptr<const catalogue_snapshot> catalogue_state::current() const
{
    const absl::ReaderMutexLock lock(&this->mutex);
    return this->in_force->snapshot();
}

std::shared_ptr<const catalogue_image> catalogue_state::image() const
{
    const absl::ReaderMutexLock lock(&this->mutex);
    return this->in_force;
}

std::uint64_t catalogue_state::number() const
{
    const absl::ReaderMutexLock lock(&this->mutex);
    return this->in_force->number();
}

bool catalogue_state::apply(std::shared_ptr<const catalogue_image> next)
{
    const absl::MutexLock change_lock(&this->change_mutex);
    const std::uint64_t number = next->number();
    std::shared_ptr<const catalogue_snapshot> snapshot = next->snapshot();
    {
        const absl::MutexLock lock(&this->mutex);
        if (number <= this->in_force->number()) {
            count("sardine_catalogue_stale_total");
            return false;
        }
        this->in_force = std::move(next);
        this->heard = std::max(this->heard, number);
        this->last_change = absl::Now();
    }
    set_gauge("sardine_catalogue_number", {}, static_cast<double>(number));
    set_gauge("sardine_catalogue_entries", {}, static_cast<double>(snapshot->entries().size()));
    log_event("catalogue_in_force", {{"number", number}, {"entries", snapshot->entries().size()}});
    for (const change_hook& hook : this->hooks) {
        hook(snapshot);
    }
    return true;
}

absl::Status catalogue_state::apply_changes(const catalogue_index& index,
                                            const std::vector<shard_pointer>& changed)
{
    const std::shared_ptr<const catalogue_image> base = this->image();
    if (index.number <= base->number()) {
        count("sardine_catalogue_stale_total");
        return absl::OkStatus();
    }
    catalogue_image::shard_array shards = base->shards();
    for (const shard_pointer& part : changed) {
        shard_pointer& target = shards[part->id];
        if (target == nullptr || part->number > target->number) {
            target = part;
        }
    }
    for (std::size_t id = 0; id < shard_count; ++id) {
        if (reference_of(shards[id]) != index.shards[id]) {
            return make_error(absl::StatusCode::kFailedPrecondition, "apply_catalogue", "",
                              "a shard that the index references is missing");
        }
    }
    this->apply(std::make_shared<catalogue_image>(index, std::move(shards)));
    return absl::OkStatus();
}

void catalogue_state::record_known_number(std::uint64_t number)
{
    const absl::MutexLock lock(&this->mutex);
    this->heard = std::max(this->heard, number);
}

std::uint64_t catalogue_state::highest_heard() const
{
    const absl::ReaderMutexLock lock(&this->mutex);
    return this->heard;
}

bool catalogue_state::wait_until_number(std::uint64_t number, absl::Time deadline) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto is_in_force = [this, number]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
        return this->in_force->number() >= number;
    };
    return this->mutex.AwaitWithDeadline(absl::Condition(&is_in_force), deadline);
}

absl::Time catalogue_state::changed_at() const
{
    const absl::ReaderMutexLock lock(&this->mutex);
    return this->last_change;
}

} // namespace sardinestream::catalogue
