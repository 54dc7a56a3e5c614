// Tests acceptors under random schedules of edits, races and lost answers, drawn by RapidCheck.

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "sardinestream/catalogue/acceptor_process.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::catalogue {
namespace {

using sardinestream::testing::platform_standin;
using sardinestream::testing::recorded_change;

struct schedule_step {
    int action = 0;
    int actor = 0;
    int entry = 0;
    int variant = 0;
    int before_call = 0;
};

constexpr int actors = 3;
constexpr int entries = 4;

rc::Gen<schedule_step> any_step()
{
    return rc::gen::build<schedule_step>(
        rc::gen::set(&schedule_step::action, rc::gen::inRange(0, 10)),
        rc::gen::set(&schedule_step::actor, rc::gen::inRange(0, actors)),
        rc::gen::set(&schedule_step::entry, rc::gen::inRange(0, entries)),
        rc::gen::set(&schedule_step::variant, rc::gen::inRange(0, 6)),
        rc::gen::set(&schedule_step::before_call, rc::gen::inRange(0, 7)));
}

// Several processes on one platform, and the invariants that they must keep.
class race {
public:
    race()
    {
        for (int i = 0; i < actors; ++i) {
            this->processes.push_back(
                std::make_unique<process>(absl::StrCat("p", i), this->standin->local()));
        }
    }

    void take(const schedule_step& step)
    {
        process& actor = *this->processes[step.actor];
        switch (step.action) {
        case 0:
        case 1:
        case 2:
            return this->standin->put_entry(entry_name(step.entry),
                                            entry_spec(step.entry, step.variant));
        case 3:
            return this->standin->store().remove(entry_kind, entry_name(step.entry)).IgnoreError();
        case 4: {
            const std::array<std::pair<const char*, absl::string_view>, 4> targets = {
                std::pair("PUT", index_kind), std::pair("POST", index_kind),
                std::pair("POST", shard_kind), std::pair("PATCH", entry_kind)};
            const auto& [method, kind] = targets[step.variant % targets.size()];
            return this->standin->lose_answers(method, kind, 1);
        }
        case 5:
        case 6: {
            // During this actor's round, an operator edits and another actor decides.
            schedule_step edit = step;
            edit.action = step.variant % 3 == 0 ? 3 : 0;
            schedule_step decision = step;
            decision.action = 8;
            decision.actor = (step.actor + 1) % actors;
            actor.store.interrupt_before(step.before_call, [this, edit, decision] {
                this->take(edit);
                this->take(decision);
            });
            break;
        }
        case 7:
            return actor.read().IgnoreError();
        default:
            break;
        }
        actor.decide().IgnoreError();
    }

    void settle()
    {
        this->standin->lose_answers("PUT", index_kind, 0);
        this->standin->lose_answers("POST", index_kind, 0);
        this->standin->lose_answers("POST", shard_kind, 0);
        this->standin->lose_answers("PATCH", entry_kind, 0);
        for (int round = 0; round < 3; ++round) {
            for (const auto& one : this->processes) {
                one->store.interrupt_before(0, nullptr);
                RC_ASSERT(one->decide().ok());
            }
        }
        for (const auto& one : this->processes) {
            RC_ASSERT(one->read().ok());
        }
    }

    // Checks that each index write increases the number by exactly one.
    void check_ledger() const
    {
        std::uint64_t last = 0;
        for (const recorded_change& change : this->standin->store().ledger()) {
            if (change.changed.kind != index_kind) {
                continue;
            }
            const std::uint64_t number = parse_index(change.changed.spec)->number;
            RC_ASSERT(number == last + 1);
            last = number;
        }
    }

    // Checks that the catalogue never reverts: from one index to the next, no entry returns to an
    // earlier edit and no removed entry is restored.
    void check_no_revert() const
    {
        std::map<std::string, shard_pointer> shards;
        std::map<std::string, std::uint64_t> lowest_edit;
        const std::vector<recorded_change> ledger = this->standin->store().ledger();
        for (const recorded_change& change : ledger) {
            if (change.changed.kind == shard_kind && change.method == "create") {
                shards[change.changed.name] =
                    parse_shard(change.changed.name, change.changed.spec).value();
            }
            if (change.changed.kind != index_kind) {
                continue;
            }
            const catalogue_index index = parse_index(change.changed.spec).value();
            for (int entry = 0; entry < entries; ++entry) {
                const entry_record* record = find_record(index, shards, entry_name(entry));
                std::uint64_t& lowest = lowest_edit[entry_name(entry)];
                if (record == nullptr) {
                    lowest = index.seen_version + 1;
                }
                else if (record->entry.has_value()) {
                    const std::uint64_t edit = edit_of(*record, index.seen_version, ledger);
                    RC_ASSERT(edit >= lowest);
                    lowest = edit;
                }
            }
        }
    }

    void check_processes() const
    {
        const auto& image = *this->processes[0]->state.image();
        for (const auto& one : this->processes) {
            RC_ASSERT(std::adjacent_find(one->numbers.begin(), one->numbers.end(),
                                         std::greater_equal<>()) == one->numbers.end());
            RC_ASSERT(one->state.number() == image.number());
            RC_ASSERT(format_index(one->state.image()->index()) == format_index(image.index()));
        }
    }

    // Checks that each entry's newest version is in force or that its status shows the refusal.
    void check_entries() const
    {
        const auto& image = *this->processes[0]->state.image();
        std::size_t in_force = 0;
        std::set<std::string> keys;
        const auto listed = this->processes[0]->store.list(entry_kind);
        for (const platform::object& object : listed->objects) {
            const entry_record* record = image.find(object.name);
            RC_ASSERT(record != nullptr);
            RC_ASSERT(record->last_decision().generation == object.generation);
            RC_ASSERT(format_entry_status(*record) == object.status);
            const bool valid =
                std::holds_alternative<catalogue_entry>(validate_entry(object.name, object.spec));
            if (record->refusal.code == entry_code::none) {
                RC_ASSERT(valid && record->accepted_spec == object.spec);
            }
            else {
                RC_ASSERT(!valid || record->refusal.code == entry_code::duplicate_key);
            }
            if (record->entry.has_value()) {
                ++in_force;
                RC_ASSERT(keys.insert(record->entry->key_digests[0]).second);
            }
        }
        RC_ASSERT(image.snapshot()->entries().size() == in_force);
    }

    // Checks that every shard object is referenced by the index.
    void check_shards() const
    {
        std::size_t named = 0;
        for (const shard_reference& reference : this->processes[0]->state.image()->index().shards) {
            named += reference.number != 0 ? 1 : 0;
        }
        RC_ASSERT(this->standin->store().list(shard_kind).objects.size() == named);
    }

private:
    static const entry_record* find_record(const catalogue_index& index,
                                           const std::map<std::string, shard_pointer>& shards,
                                           const std::string& name)
    {
        const shard_reference& reference = index.shards[shard_of(name)];
        if (reference.number == 0) {
            return nullptr;
        }
        for (const entry_record& record : shards.at(reference.object_name)->records) {
            if (record.name == name) {
                return &record;
            }
        }
        return nullptr;
    }

    // Returns the platform version at which an operator wrote the spec that the record has
    // accepted, considering only writes up to `seen_version`, as the deciding acceptor did.
    static std::uint64_t edit_of(const entry_record& record, std::uint64_t seen_version,
                                 const std::vector<recorded_change>& ledger)
    {
        std::uint64_t version = 0;
        for (const recorded_change& change : ledger) {
            const bool edit = change.method == "create" || change.method == "update";
            if (edit && change.version <= seen_version && change.changed.kind == entry_kind &&
                change.changed.name == record.name &&
                change.changed.generation == record.accepted.generation &&
                nlohmann::json::parse(change.changed.spec) ==
                    nlohmann::json::parse(record.accepted_spec)) {
                version = change.version;
            }
        }
        return version;
    }

    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
    std::vector<std::unique_ptr<process>> processes;
};

TEST(acceptor_race_test, any_schedule_of_edits_races_and_lost_answers_ends_in_one_catalogue)
{
    const bool held = rc::check("acceptors agree", [] {
        const auto schedule = *rc::gen::container<std::vector<schedule_step>>(any_step());
        race run;
        for (const schedule_step& step : schedule) {
            run.take(step);
        }
        run.settle();
        run.check_ledger();
        run.check_no_revert();
        run.check_processes();
        run.check_entries();
        run.check_shards();
    });
    EXPECT_TRUE(held);
}

} // namespace
} // namespace sardinestream::catalogue
