#include "sardinestream/limits/entry_slots.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::limits {
namespace {

using nlohmann::json;

struct slot_record {
    std::string holder; // empty if the slot was released
    std::uint64_t incarnation = 0;
    std::uint32_t count = 0;
    std::int64_t lent_ms = 0;
};

slot_record parse_record(const std::string& spec)
{
    const json body = json::parse(spec, nullptr, false);
    if (!body.is_object()) {
        return {};
    }
    return {body.value("holder", ""), body.value("incarnation", std::uint64_t{0}),
            body.value("count", std::uint32_t{0}), body.value("lent_ms", std::int64_t{0})};
}

} // namespace

std::unique_ptr<entry_slots> entry_slots::create(entry_slots_options options,
                                                 platform::object_store& store)
{
    return std::unique_ptr<entry_slots>(new entry_slots(std::move(options), store));
}

entry_slots::entry_slots(entry_slots_options chosen, platform::object_store& platform_store)
    : options(std::move(chosen)), store(platform_store)
{
    this->claim_thread = std::thread([this] { this->run(); });
}

entry_slots::~entry_slots()
{
    this->stop();
}

void entry_slots::stop()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->claim_thread.joinable()) {
        this->claim_thread.join();
    }
}

void entry_slots::release(absl::Duration lent_for)
{
    this->stop();
    std::optional<entry_slot> slot;
    {
        const absl::MutexLock lock(&this->mutex);
        slot = std::exchange(this->held, std::nullopt);
    }
    this->options.on_slot(std::nullopt);
    if (!slot) {
        return;
    }
    const std::string name = absl::StrCat(slot->index);
    absl::StatusOr<platform::object> seen = this->store.get(entry_slot_kind, name);
    if (!seen.ok() || parse_record(seen->spec).incarnation != this->options.incarnation) {
        return;
    }
    const absl::Status released =
        this->store.update(entry_slot_kind, name, this->spec("", lent_for), seen->version).status();
    if (!released.ok()) {
        log_failure("entry_slot_release_failed", released, {{"slot", name}});
    }
}

void entry_slots::run()
{
    while (true) {
        absl::StatusOr<std::optional<entry_slot>> claimed = this->claim();
        const absl::MutexLock lock(&this->mutex);
        if (claimed.ok() && claimed->has_value() != this->held.has_value()) {
            this->held = *claimed;
            this->options.on_slot(this->held);
            log_event("entry_slot",
                      {{"slot", this->held ? static_cast<int>(this->held->index) : -1}});
        }
        const absl::Duration pause =
            this->held ? this->options.check_interval : this->options.claim_interval;
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), pause)) {
            return;
        }
    }
}

absl::StatusOr<std::optional<entry_slot>> entry_slots::claim()
{
    absl::StatusOr<platform::object_list> listed = this->store.list(entry_slot_kind);
    if (!listed.ok()) {
        return listed.status();
    }
    std::map<std::string, platform::object> known;
    for (platform::object& one : listed->objects) {
        const slot_record record = parse_record(one.spec);
        if (record.holder == this->options.entry_id &&
            record.incarnation == this->options.incarnation) {
            // The slot is already held, or was claimed by an update whose response was lost. It may
            // have had an earlier holder, so it counts as taken over.
            return entry_slot{static_cast<std::uint32_t>(std::stoul(one.name)), this->options.count,
                              boot_time()};
        }
        if (!record.holder.empty() && record.count != this->options.count) {
            return make_error(
                absl::StatusCode::kFailedPrecondition, "claim_entry_slot", "platform",
                absl::StrCat("slot ", one.name,
                             " was claimed with a different slot count: ", record.count));
        }
        known.emplace(one.name, std::move(one));
    }
    for (std::uint32_t index = 0; index < this->options.count; ++index) {
        auto seen = known.find(absl::StrCat(index));
        std::optional<entry_slot> taken =
            seen == known.end() ? this->claim_new(index) : this->take_over(index, seen->second);
        if (taken) {
            return taken;
        }
    }
    return std::optional<entry_slot>();
}

std::optional<entry_slot> entry_slots::claim_new(std::uint32_t index)
{
    const absl::StatusOr<platform::object> made =
        this->store.create_object(entry_slot_kind, absl::StrCat(index),
                                  this->spec(this->options.entry_id, absl::ZeroDuration()));
    if (!made.ok()) {
        return std::nullopt;
    }
    return entry_slot{index, this->options.count, absl::InfinitePast()};
}

std::optional<entry_slot> entry_slots::take_over(std::uint32_t index, const platform::object& seen)
{
    const slot_record record = parse_record(seen.spec);
    const bool own_past = record.holder == this->options.entry_id;
    if (!record.holder.empty() && !own_past && !this->options.is_removed(record.holder)) {
        return std::nullopt;
    }
    const absl::StatusOr<platform::object> taken =
        this->store.update(entry_slot_kind, seen.name,
                           this->spec(this->options.entry_id, absl::ZeroDuration()), seen.version);
    if (!taken.ok()) {
        return std::nullopt;
    }
    const bool clean = record.holder.empty() && record.lent_ms == 0;
    return entry_slot{index, this->options.count, clean ? absl::InfinitePast() : boot_time()};
}

std::string entry_slots::spec(absl::string_view holder, absl::Duration lent_for) const
{
    return json({{"holder", std::string(holder)},
                 {"incarnation", this->options.incarnation},
                 {"count", this->options.count},
                 {"lent_ms", absl::ToInt64Milliseconds(lent_for)}})
        .dump();
}

} // namespace sardinestream::limits
