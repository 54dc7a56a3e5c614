#include "sardinestream/testing/platform_standin_store.h"

#include <algorithm>

#include "sardinestream/base/error.h"

namespace sardinestream::testing {
namespace {

using platform::change_kind;
using platform::object;
using platform::object_change;
using platform::object_list;

constexpr std::size_t value_limit_bytes = 1U << 20;
constexpr std::size_t longest_log = 20000;

absl::Status failure(absl::StatusCode code)
{
    return make_error(code, "standin", "platform", absl::StatusCodeToString(code));
}

} // namespace

absl::StatusOr<object> platform_standin_store::get(absl::string_view kind,
                                                   absl::string_view name) const
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->objects.find({std::string(kind), std::string(name)});
    if (found == this->objects.end()) {
        return failure(absl::StatusCode::kNotFound);
    }
    return found->second;
}

object_list platform_standin_store::list(absl::string_view kind) const
{
    const absl::MutexLock lock(&this->mutex);
    object_list listed;
    listed.version = this->last_version;
    for (auto at = this->objects.lower_bound({std::string(kind), std::string()});
         at != this->objects.end() && at->first.first == kind; ++at) {
        listed.objects.push_back(at->second);
    }
    return listed;
}

object& platform_standin_store::record(absl::string_view method, object changed, change_kind change)
{
    changed.version = ++this->last_version;
    this->last_changes[changed.kind] = changed.version;
    this->log.push_back({changed.version, {change, changed}});
    if (this->log.size() > longest_log) {
        this->compacted_version = this->log.front().version;
        this->log.pop_front();
    }
    this->recorded.push_back({changed.version, std::string(method), changed, absl::Now()});
    object& stored = this->objects[{changed.kind, changed.name}];
    stored = std::move(changed);
    return stored;
}

absl::StatusOr<object> platform_standin_store::create(absl::string_view kind,
                                                      absl::string_view name,
                                                      absl::string_view spec)
{
    if (spec.size() > value_limit_bytes) {
        return failure(absl::StatusCode::kResourceExhausted);
    }
    const absl::MutexLock lock(&this->mutex);
    if (this->objects.contains({std::string(kind), std::string(name)})) {
        return failure(absl::StatusCode::kAlreadyExists);
    }
    object made;
    made.kind = std::string(kind);
    made.name = std::string(name);
    made.spec = std::string(spec);
    made.status = "{}";
    made.generation = 1;
    return this->record("create", std::move(made), change_kind::put);
}

absl::StatusOr<object> platform_standin_store::update(absl::string_view kind,
                                                      absl::string_view name,
                                                      absl::string_view spec, std::uint64_t version)
{
    if (spec.size() > value_limit_bytes) {
        return failure(absl::StatusCode::kResourceExhausted);
    }
    const absl::MutexLock lock(&this->mutex);
    auto found = this->objects.find({std::string(kind), std::string(name)});
    if (found == this->objects.end()) {
        return failure(absl::StatusCode::kNotFound);
    }
    if (found->second.version != version) {
        return failure(absl::StatusCode::kAborted);
    }
    if (found->second.spec == spec) {
        return found->second;
    }
    object changed = found->second;
    changed.spec = std::string(spec);
    ++changed.generation;
    return this->record("update", std::move(changed), change_kind::put);
}

absl::StatusOr<object> platform_standin_store::update_status(absl::string_view kind,
                                                             absl::string_view name,
                                                             absl::string_view status)
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->objects.find({std::string(kind), std::string(name)});
    if (found == this->objects.end()) {
        return failure(absl::StatusCode::kNotFound);
    }
    if (found->second.status == status) {
        return found->second;
    }
    object changed = found->second;
    changed.status = std::string(status);
    return this->record("status", std::move(changed), change_kind::put);
}

absl::Status platform_standin_store::remove(absl::string_view kind, absl::string_view name)
{
    const absl::MutexLock lock(&this->mutex);
    const object_key key(kind, name);
    auto found = this->objects.find(key);
    if (found == this->objects.end()) {
        return failure(absl::StatusCode::kNotFound);
    }
    this->record("remove", found->second, change_kind::removed);
    this->objects.erase(key);
    return absl::OkStatus();
}

std::uint64_t platform_standin_store::last_change_of(absl::string_view kind) const
{
    auto found = this->last_changes.find(std::string(kind));
    return found == this->last_changes.end() ? 0 : found->second;
}

std::vector<object_change> platform_standin_store::logged_after(absl::string_view kind,
                                                                std::uint64_t version) const
{
    std::vector<object_change> changes;
    for (auto at = this->log.rbegin(); at != this->log.rend() && at->version > version; ++at) {
        if (at->change.changed.kind == kind) {
            changes.push_back(at->change);
        }
    }
    return {changes.rbegin(), changes.rend()};
}

absl::StatusOr<std::vector<object_change>>
platform_standin_store::changes_after(absl::string_view kind, std::uint64_t version,
                                      absl::Time deadline) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto is_over = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->woken || version < this->compacted_version ||
               this->last_change_of(kind) > version;
    };
    this->mutex.AwaitWithDeadline(absl::Condition(&is_over), deadline);
    if (version < this->compacted_version) {
        return failure(absl::StatusCode::kOutOfRange);
    }
    return this->logged_after(kind, version);
}

void platform_standin_store::take_copy()
{
    const absl::MutexLock lock(&this->mutex);
    this->kept = copy{this->objects, this->last_version};
}

void platform_standin_store::restore_copy()
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->kept.has_value()) {
        return;
    }
    this->objects = this->kept->objects;
    this->last_version = this->kept->last_version;
    std::erase_if(this->log,
                  [this](const logged_change& lost) { return lost.version > this->last_version; });
    for (auto& [kind, version] : this->last_changes) {
        version = std::min(version, this->last_version);
    }
}

void platform_standin_store::compact()
{
    const absl::MutexLock lock(&this->mutex);
    this->compacted_version = this->last_version;
    this->log.clear();
}

void platform_standin_store::wake()
{
    const absl::MutexLock lock(&this->mutex);
    this->woken = true;
}

std::vector<recorded_change> platform_standin_store::ledger() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->recorded;
}

} // namespace sardinestream::testing
