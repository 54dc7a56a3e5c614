#include "sardinestream/catalogue/acceptance.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"

namespace sardinestream::catalogue {
namespace {

using platform::object;

constexpr char time_format[] = "%Y-%m-%dT%H:%M:%E3SZ";

// Computes one `acceptance_plan`.
class planner {
public:
    planner(const catalogue_image& catalogue, const entry_view& seen, std::uint64_t next_number,
            absl::Time now)
        : image(catalogue), view(seen), number(next_number), time_unix_ms(absl::ToUnixMillis(now))
    {
    }

    acceptance_plan run()
    {
        std::vector<const object*> open = this->undecided_objects();
        const std::vector<const entry_record*> absent = this->absent_records();
        if (open.empty() && absent.empty()) {
            return {};
        }
        this->claim_all_keys();
        for (const entry_record* record : absent) {
            this->remove(*record);
        }
        // Accepting a later entry of the same round may resolve an earlier conflict.
        bool progress = true;
        while (progress && !open.empty()) {
            progress = false;
            std::vector<const object*> clashing;
            for (const object* candidate : open) {
                const entry_refusal refusal = this->examine(*candidate);
                if (refusal.code == entry_code::duplicate_key) {
                    clashing.push_back(candidate);
                    continue;
                }
                progress = progress || refusal.code == entry_code::none;
            }
            open = std::move(clashing);
        }
        this->drop_unchanged();
        return std::move(this->plan);
    }

private:
    using key_and_service = std::pair<std::string, std::string>;

    std::vector<entry_record>& records_of(std::size_t id)
    {
        auto [at, inserted] = this->plan.changed.try_emplace(id);
        if (inserted && this->image.shards()[id] != nullptr) {
            at->second = this->image.shards()[id]->records;
        }
        return at->second;
    }

    const entry_record* find(absl::string_view name)
    {
        auto changed = this->plan.changed.find(shard_of(name));
        if (changed == this->plan.changed.end()) {
            return this->image.find(name);
        }
        for (const entry_record& record : changed->second) {
            if (record.name == name) {
                return &record;
            }
        }
        return nullptr;
    }

    void put(entry_record record)
    {
        std::vector<entry_record>& records = this->records_of(shard_of(record.name));
        auto at = std::lower_bound(
            records.begin(), records.end(), record.name,
            [](const entry_record& one, const std::string& name) { return one.name < name; });
        if (at != records.end() && at->name == record.name) {
            *at = std::move(record);
            return;
        }
        records.insert(at, std::move(record));
    }

    // Returns what at most one entry of a service may hold, with the field that claims it: each
    // bearer key and the engine target.
    static std::vector<std::pair<std::string, std::string>> claims_of(const catalogue_entry& entry)
    {
        std::vector<std::pair<std::string, std::string>> claims;
        for (std::size_t i = 0; i < entry.key_digests.size(); ++i) {
            claims.emplace_back(entry.key_digests[i], "key_digests[" + std::to_string(i) + "]");
        }
        if (entry.engine.has_value()) {
            claims.emplace_back("engine", "engine");
        }
        return claims;
    }

    void claim_keys(const entry_record& record)
    {
        if (!record.entry.has_value()) {
            return;
        }
        for (const auto& [key, field] : claims_of(*record.entry)) {
            this->holders[{key, record.entry->service}] = record.name;
        }
    }

    void release_keys(const entry_record& record)
    {
        if (!record.entry.has_value()) {
            return;
        }
        for (const auto& [key, field] : claims_of(*record.entry)) {
            this->holders.erase({key, record.entry->service});
        }
    }

    void claim_all_keys()
    {
        for (const shard_pointer& part : this->image.shards()) {
            if (part == nullptr) {
                continue;
            }
            for (const entry_record& record : part->records) {
                this->claim_keys(record);
            }
        }
    }

    std::vector<const entry_record*> absent_records() const
    {
        std::vector<const entry_record*> absent;
        for (const shard_pointer& part : this->image.shards()) {
            if (part == nullptr) {
                continue;
            }
            for (const entry_record& record : part->records) {
                if (!this->view.objects.contains(record.name)) {
                    absent.push_back(&record);
                }
            }
        }
        return absent;
    }

    void remove(const entry_record& record)
    {
        this->release_keys(record);
        std::erase_if(this->records_of(shard_of(record.name)),
                      [&record](const entry_record& one) { return one.name == record.name; });
        ++this->plan.removed;
    }

    static bool is_decided(const entry_record& record, const object& candidate)
    {
        if (record.refusal.code == entry_code::duplicate_key ||
            record.last_decision().generation != candidate.generation) {
            return false;
        }
        // An object that was removed and created again may have the same generation, so the spec
        // is compared as well.
        return record.refusal.code == entry_code::none
                   ? record.accepted_spec == candidate.spec
                   : record.examined_digest == sha256_hex(candidate.spec);
    }

    // Returns the objects that need a decision, earliest edit first.
    std::vector<const object*> undecided_objects()
    {
        std::vector<const object*> found;
        for (const auto& [name, candidate] : this->view.objects) {
            const entry_record* record = this->find(name);
            if (record == nullptr || !is_decided(*record, candidate)) {
                found.push_back(&candidate);
            }
        }
        std::sort(found.begin(), found.end(), [](const object* left, const object* right) {
            return left->version < right->version;
        });
        return found;
    }

    entry_refusal examine(const object& candidate)
    {
        entry_record record;
        if (const entry_record* known = this->find(candidate.name); known != nullptr) {
            record = *known;
        }
        record.name = candidate.name;
        entry_verdict verdict = validate_entry(candidate.name, candidate.spec);
        entry_refusal refusal;
        if (const auto* refused = std::get_if<entry_refusal>(&verdict)) {
            refusal = *refused;
        }
        else {
            refusal = this->check_against_others(std::get<catalogue_entry>(verdict));
        }
        const std::string digest = sha256_hex(candidate.spec);
        if (refusal.code != entry_code::none) {
            this->refuse(std::move(record), candidate, refusal, digest);
            return refusal;
        }
        this->accept(std::move(record), candidate, std::get<catalogue_entry>(std::move(verdict)),
                     digest);
        return refusal;
    }

    entry_refusal check_against_others(const catalogue_entry& entry) const
    {
        for (const auto& [key, field] : claims_of(entry)) {
            auto holder = this->holders.find({key, entry.service});
            if (holder != this->holders.end() && holder->second != entry.name) {
                return {entry_code::duplicate_key, field, "", holder->second};
            }
        }
        return this->check_room(entry);
    }

    entry_refusal check_room(const catalogue_entry& entry) const
    {
        std::size_t bytes = max_entry_bytes;
        auto changed = this->plan.changed.find(shard_of(entry.name));
        if (changed != this->plan.changed.end()) {
            for (const entry_record& record : changed->second) {
                bytes += record.accepted_spec.size();
            }
        }
        else if (const shard_pointer& part = this->image.shards()[shard_of(entry.name)]) {
            bytes += part->content.size();
        }
        if (bytes <= max_shard_bytes) {
            return {};
        }
        return {entry_code::catalogue_full, "", "0.." + std::to_string(max_shard_bytes), ""};
    }

    void accept(entry_record record, const object& candidate, catalogue_entry entry,
                const std::string& digest)
    {
        this->release_keys(record);
        entry.object_version = candidate.generation;
        record.accepted_spec = candidate.spec;
        record.entry = std::move(entry);
        record.accepted = {candidate.generation, this->number, this->time_unix_ms};
        record.refusal = {};
        record.refused = {};
        record.examined_digest = digest;
        this->claim_keys(record);
        this->put(std::move(record));
        ++this->plan.accepted;
    }

    void refuse(entry_record record, const object& candidate, const entry_refusal& refusal,
                const std::string& digest)
    {
        if (record.refusal == refusal && record.refused.generation == candidate.generation &&
            record.examined_digest == digest) {
            return;
        }
        record.refusal = refusal;
        record.refused = {candidate.generation, this->number, this->time_unix_ms};
        record.examined_digest = digest;
        this->put(std::move(record));
        ++this->plan.refused;
    }

    // Removes shards whose content is unchanged from the plan; they need no new version.
    void drop_unchanged()
    {
        std::erase_if(this->plan.changed, [this](const auto& one) {
            const shard_pointer& before = this->image.shards()[one.first];
            if (before == nullptr) {
                return one.second.empty();
            }
            const shard_pointer after =
                make_shard(one.first, before->number, before->object_name, one.second);
            return after->content == before->content;
        });
    }

    const catalogue_image& image;
    const entry_view& view;
    const std::uint64_t number;
    const std::int64_t time_unix_ms;
    acceptance_plan plan;
    // Name of the entry in force that holds each (key, service).
    std::map<key_and_service, std::string> holders;
};

} // namespace

acceptance_plan plan_acceptance(const catalogue_image& image, const entry_view& view,
                                std::uint64_t next_number, absl::Time now)
{
    return planner(image, view, next_number, now).run();
}

std::string format_entry_status(const entry_record& record)
{
    const bool refused = record.refusal.code != entry_code::none;
    const entry_decision& decision = record.last_decision();
    const absl::Time time = absl::FromUnixMillis(decision.time_unix_ms);
    // Every field is always present, so that a merge patch replaces the previous status completely.
    return nlohmann::json({{"state", refused ? "refused" : "accepted"},
                           {"code", std::string(to_string(record.refusal.code))},
                           {"field", record.refusal.field},
                           {"allowed", record.refusal.allowed},
                           {"other", record.refusal.other},
                           {"generation", decision.generation},
                           {"accepted_generation", record.accepted.generation},
                           {"number", decision.number},
                           {"time", absl::FormatTime(time_format, time, absl::UTCTimeZone())}})
        .dump();
}

} // namespace sardinestream::catalogue
