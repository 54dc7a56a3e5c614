#include "sardinestream/once/key_bindings.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::once {
namespace {

using nlohmann::json;

// Limits the attempts that fail by a conflict with another entry or by a lost answer. Each further
// attempt reads the partition again.
constexpr int max_update_attempts = 40;
constexpr absl::Duration initial_backoff = absl::Milliseconds(5);
constexpr absl::Duration max_backoff = absl::Milliseconds(160);

std::uint64_t partition_of(digest128 key)
{
    return key.high % binding_partitions;
}

std::string object_name(std::uint64_t index)
{
    return absl::StrCat("partition-", index);
}

// Returns true if the update failed, or may have failed, in a way that reading the partition again
// resolves.
bool needs_reread(const absl::Status& status)
{
    return absl::IsAborted(status) || absl::IsAlreadyExists(status) || absl::IsNotFound(status) ||
           absl::IsUnknown(status);
}

absl::Status unavailable(absl::string_view step, const absl::Status& cause)
{
    return make_error(absl::StatusCode::kUnavailable, step, "platform", cause.message());
}

} // namespace

std::unique_ptr<key_bindings> key_bindings::create(platform::object_store* store,
                                                   key_bindings_options options)
{
    return std::unique_ptr<key_bindings>(new key_bindings(store, std::move(options)));
}

key_bindings::key_bindings(platform::object_store* object_store, key_bindings_options chosen)
    : store(object_store), options(std::move(chosen)),
      jitter(static_cast<std::minstd_rand::result_type>(random_u64()))
{
}

key_bindings::~key_bindings()
{
    this->updates.wait_until_empty();
}

absl::StatusOr<binding> key_bindings::bind(digest128 key, const binding& proposed,
                                           absl::Time deadline)
{
    if (const std::optional<stored_binding> known = this->cached(key)) {
        return this->check_retention(*known);
    }
    auto pending = std::make_shared<pending_bind>(pending_bind{key, proposed, std::nullopt});
    this->enqueue(pending);
    const absl::MutexLock lock(&this->mutex);
    const auto has_result = [&pending] { return pending->result.has_value(); };
    if (!this->mutex.AwaitWithDeadline(absl::Condition(&has_result), deadline)) {
        return make_error(absl::StatusCode::kDeadlineExceeded, "bind_key", "platform",
                          "no result before the deadline");
    }
    return *pending->result;
}

absl::StatusOr<binding> key_bindings::find(digest128 key)
{
    if (const std::optional<stored_binding> known = this->cached(key)) {
        return this->check_retention(*known);
    }
    absl::StatusOr<partition> current = this->read(partition_of(key));
    if (!current.ok()) {
        return current.status();
    }
    const auto found = current->rows.find(key.to_hex());
    if (found == current->rows.end()) {
        return make_error(absl::StatusCode::kNotFound, "find_binding", "platform",
                          "the key has no binding");
    }
    const absl::MutexLock lock(&this->mutex);
    this->add_to_cache(key, found->second);
    return this->check_retention(found->second);
}

absl::StatusOr<binding> key_bindings::check_retention(const stored_binding& row) const
{
    if (absl::FromUnixSeconds(row.bound_at_s) + this->options.retention < this->options.now()) {
        return make_error(absl::StatusCode::kFailedPrecondition, "bind_key", "platform",
                          "the binding of the key is past its retention");
    }
    return row.bound;
}

std::optional<key_bindings::stored_binding> key_bindings::cached(digest128 key) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->cache.find(key);
    if (found == this->cache.end()) {
        return std::nullopt;
    }
    return found->second;
}

void key_bindings::add_to_cache(digest128 key, const stored_binding& row)
{
    if (!this->cache.emplace(key, row).second) {
        return;
    }
    this->cached_oldest_first.push_back(key);
    if (this->cached_oldest_first.size() > this->options.max_cached) {
        this->cache.erase(this->cached_oldest_first.front());
        this->cached_oldest_first.pop_front();
    }
}

void key_bindings::enqueue(const std::shared_ptr<pending_bind>& pending)
{
    const std::uint64_t index = partition_of(pending->key);
    {
        const absl::MutexLock lock(&this->mutex);
        partition_queue& queue = this->queues[index];
        queue.waiting.push_back(pending);
        if (std::exchange(queue.updating, true)) {
            return;
        }
    }
    if (!this->updates.spawn([this, index] { this->process_queue(index); })) {
        this->process_queue(index);
    }
}

void key_bindings::process_queue(std::uint64_t index)
{
    while (true) {
        batch binds;
        this->append_waiting(index, binds);
        if (binds.empty()) {
            return;
        }
        const absl::StatusOr<partition_rows> rows = this->bind_in_store(index, binds);
        this->complete_binds(binds, rows);
    }
}

// Moves the waiting calls of the partition to the end of `binds`. If `binds` is empty even then,
// the partition is no longer marked as being updated.
void key_bindings::append_waiting(std::uint64_t index, batch& binds)
{
    const absl::MutexLock lock(&this->mutex);
    partition_queue& queue = this->queues[index];
    binds.insert(binds.end(), queue.waiting.begin(), queue.waiting.end());
    queue.waiting.clear();
    queue.updating = !binds.empty();
}

// Sleeps for a random time whose upper bound grows with the number of consecutive failed updates.
void key_bindings::back_off(int conflicts)
{
    const absl::Duration longest =
        std::min(max_backoff, initial_backoff * (1 << std::min(conflicts, 6)));
    double share = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        share = std::uniform_real_distribution<double>(0, 1)(this->jitter);
    }
    absl::SleepFor(share * longest);
}

void key_bindings::complete_binds(const batch& binds, const absl::StatusOr<partition_rows>& rows)
{
    const absl::MutexLock lock(&this->mutex);
    for (const std::shared_ptr<pending_bind>& pending : binds) {
        if (!rows.ok()) {
            pending->result = rows.status();
            continue;
        }
        const auto found = rows->find(pending->key.to_hex());
        if (found == rows->end()) {
            pending->result = make_error(absl::StatusCode::kResourceExhausted, "bind_key",
                                         "platform", "the partition of the key is full");
            continue;
        }
        this->add_to_cache(pending->key, found->second);
        pending->result = this->check_retention(found->second);
    }
}

// Binds the keys of the batch, which may grow meanwhile, and returns the rows of the partition as
// the store then holds them.
absl::StatusOr<key_bindings::partition_rows> key_bindings::bind_in_store(std::uint64_t index,
                                                                         batch& binds)
{
    for (int attempt = 0; attempt < max_update_attempts; ++attempt) {
        absl::StatusOr<partition> current = this->read(index);
        if (!current.ok()) {
            return current.status();
        }
        if (!this->add_missing(*current, binds)) {
            return std::move(current->rows);
        }
        const absl::Status written = this->write(index, *current);
        if (written.ok()) {
            count("sardine_bindings_written_total", {}, binds.size());
            return std::move(current->rows);
        }
        if (!needs_reread(written)) {
            return unavailable("bind_key", written);
        }
        count("sardine_binding_retries_total",
              {{"reason", absl::IsUnknown(written) ? "lost_answer" : "conflict"}});
        this->back_off(attempt);
        this->append_waiting(index, binds);
    }
    return make_error(absl::StatusCode::kUnavailable, "bind_key", "platform",
                      "too many conflicts or lost answers while updating the partition");
}

// Adds the bindings that `current` lacks, as far as they fit, and drops expired ones. Returns true
// if `current` must be written.
bool key_bindings::add_missing(partition& current, const batch& binds) const
{
    const auto is_bound = [&current](const std::shared_ptr<pending_bind>& pending) {
        return current.rows.count(pending->key.to_hex()) > 0;
    };
    if (std::all_of(binds.begin(), binds.end(), is_bound)) {
        return false;
    }
    this->drop_expired(current);
    const std::int64_t now_s = absl::ToUnixSeconds(this->options.now());
    bool changed = false;
    std::size_t bytes = encode(current.rows).size();
    for (const std::shared_ptr<pending_bind>& pending : binds) {
        constexpr std::size_t row_overhead_bytes = 96;
        const std::size_t row_bytes = row_overhead_bytes + pending->proposed.agent.size();
        if (bytes + row_bytes > this->options.max_partition_bytes) {
            continue;
        }
        // `emplace` keeps the first binding of a key, even within one batch.
        if (current.rows.emplace(pending->key.to_hex(), stored_binding{pending->proposed, now_s})
                .second) {
            bytes += row_bytes;
            changed = true;
        }
    }
    return changed;
}

void key_bindings::drop_expired(partition& current) const
{
    const std::int64_t oldest_s = absl::ToUnixSeconds(
        this->options.now() - this->options.retention - this->options.removal_grace);
    std::erase_if(current.rows,
                  [oldest_s](const auto& row) { return row.second.bound_at_s < oldest_s; });
}

absl::StatusOr<key_bindings::partition> key_bindings::read(std::uint64_t index)
{
    absl::StatusOr<platform::object> found = this->store->get(binding_kind, object_name(index));
    if (absl::IsNotFound(found.status())) {
        return partition{};
    }
    if (!found.ok()) {
        return unavailable("read_binding", found.status());
    }
    absl::StatusOr<partition_rows> rows = decode(found->spec);
    if (!rows.ok()) {
        return unavailable("read_binding", rows.status());
    }
    return partition{found->version, *std::move(rows)};
}

absl::Status key_bindings::write(std::uint64_t index, const partition& changed)
{
    const std::string spec = encode(changed.rows);
    count("sardine_binding_writes_total");
    if (changed.version == 0) {
        return this->store->create_object(binding_kind, object_name(index), spec).status();
    }
    return this->store->update(binding_kind, object_name(index), spec, changed.version).status();
}

std::string key_bindings::encode(const partition_rows& rows)
{
    json keys = json::object();
    for (const auto& [key, row] : rows) {
        keys[key] = {row.bound.agent, row.bound.incarnation, row.bound_at_s};
    }
    return json{{"keys", std::move(keys)}}.dump();
}

// Fails if the text was not written by `encode`. A row that cannot be read may be a binding, so no
// key of the partition may be bound then.
absl::StatusOr<key_bindings::partition_rows> key_bindings::decode(const std::string& spec)
{
    const absl::Status malformed = make_error(absl::StatusCode::kDataLoss, "read_binding",
                                              "platform", "the partition object is malformed");
    const json parsed = json::parse(spec, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("keys") || !parsed["keys"].is_object()) {
        return malformed;
    }
    partition_rows rows;
    for (const auto& [key, row] : parsed["keys"].items()) {
        if (!row.is_array() || row.size() != 3 || !row[0].is_string() ||
            !row[1].is_number_unsigned() || !row[2].is_number_integer()) {
            return malformed;
        }
        rows.emplace(key, stored_binding{{row[0].get<std::string>(), row[1].get<std::uint64_t>()},
                                         row[2].get<std::int64_t>()});
    }
    return rows;
}

} // namespace sardinestream::once
