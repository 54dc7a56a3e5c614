#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "sardinestream/catalogue/acceptor.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/catalogue/store_sync.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::catalogue {
namespace {

using sardinestream::testing::platform_standin;
using sardinestream::testing::recorded_change;

// Forwards to a real store and runs `interrupt` once before a chosen call, so that a test can place
// writes of others between two calls.
class interrupted_store : public platform::object_store {
public:
    explicit interrupted_store(const address& server)
        : inner(platform::object_store::create({.servers = {server}}).value())
    {
    }

    void interrupt_before(int call, std::function<void()> action)
    {
        this->calls_left = call;
        this->interrupt = std::move(action);
    }

    absl::StatusOr<platform::object> get(absl::string_view kind, absl::string_view name) override
    {
        this->step();
        return this->inner->get(kind, name);
    }
    absl::StatusOr<platform::object_list> list(absl::string_view kind) override
    {
        this->step();
        return this->inner->list(kind);
    }
    absl::StatusOr<platform::object> create_object(absl::string_view kind, absl::string_view name,
                                                   absl::string_view spec) override
    {
        this->step();
        return this->inner->create_object(kind, name, spec);
    }
    absl::StatusOr<platform::object> update(absl::string_view kind, absl::string_view name,
                                            absl::string_view spec, std::uint64_t version) override
    {
        this->step();
        return this->inner->update(kind, name, spec, version);
    }
    absl::Status update_status(absl::string_view kind, absl::string_view name,
                               absl::string_view status) override
    {
        this->step();
        return this->inner->update_status(kind, name, status);
    }
    absl::Status remove(absl::string_view kind, absl::string_view name) override
    {
        this->step();
        return this->inner->remove(kind, name);
    }
    absl::Status
    watch(absl::string_view kind, std::uint64_t version, absl::Duration longest,
          const std::function<bool(const platform::object_change&)>& on_change) override
    {
        return this->inner->watch(kind, version, longest, on_change);
    }
    void cancel_watches() override { this->inner->cancel_watches(); }

private:
    void step()
    {
        if (this->interrupt && this->calls_left-- <= 0) {
            const std::function<void()> action = std::move(this->interrupt);
            this->interrupt = nullptr;
            action();
        }
    }

    const std::unique_ptr<platform::object_store> inner;
    int calls_left = 0;
    std::function<void()> interrupt;
};

// One process: an acceptor's options, its connection to the platform and its catalogue state.
struct process {
    process(const std::string& id, const address& server) : options{.id = id}, store(server)
    {
        this->state.on_change([this](const std::shared_ptr<const catalogue_snapshot>& snapshot) {
            this->numbers.push_back(snapshot->number());
        });
    }

    absl::Status decide() { return acceptor::decide_once(this->options, this->store, this->state); }

    absl::Status read()
    {
        const absl::StatusOr<stored_index> stored = read_index(this->store);
        return stored.ok() ? load_index(this->store, this->state, stored->index) : stored.status();
    }

    acceptor_options options;
    interrupted_store store;
    catalogue_state state;
    std::vector<std::uint64_t> numbers;
};

std::string entry_name(int entry)
{
    return absl::StrCat("entry-", entry);
}

// Variants 0 to 2 use keys shared between entries and so conflict, 3 and 4 use the entry's own
// keys, 5 is invalid.
std::string entry_spec(int entry, int variant)
{
    if (variant == 5) {
        return R"({"owner":7})";
    }
    const std::string key =
        variant < 3 ? absl::StrCat("shared-", variant) : absl::StrCat("own-", entry, "-", variant);
    return make_entry(key, 1 + variant);
}

class acceptor_test : public ::testing::Test {
protected:
    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
};

TEST_F(acceptor_test, the_first_index_has_number_one_though_there_is_no_entry)
{
    process one("a", this->standin->local());
    ASSERT_TRUE(one.decide().ok());
    EXPECT_EQ(one.state.number(), 1U);
}

TEST_F(acceptor_test, an_accepted_entry_is_in_force_and_its_status_says_so)
{
    process one("a", this->standin->local());
    this->standin->put_entry("till", make_entry("key", 7));
    ASSERT_TRUE(one.decide().ok());
    const catalogue_entry* entry = one.state.current()->find(sha256_hex("key"), "assistant");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->limits.max_in_flight, 7U);
    const std::string status = this->standin->store().get(entry_kind, "till")->status;
    EXPECT_NE(status.find(R"("state":"accepted")"), std::string::npos) << status;
    EXPECT_NE(status.find(R"("number":1)"), std::string::npos) << status;
}

TEST_F(acceptor_test, an_index_write_whose_answer_was_lost_is_recognized)
{
    process one("a", this->standin->local());
    ASSERT_TRUE(one.decide().ok());
    this->standin->put_entry("till", make_entry("key"));
    this->standin->lose_answers("PUT", index_kind, 1);
    ASSERT_TRUE(one.decide().ok());
    EXPECT_EQ(one.state.number(), 2U);
}

TEST_F(acceptor_test, an_acceptor_with_an_old_view_does_not_bring_back_what_was_removed)
{
    process slow("slow", this->standin->local());
    process quick("quick", this->standin->local());
    this->standin->put_entry("till", make_entry("key"));
    ASSERT_TRUE(quick.decide().ok());
    // After the slow acceptor has listed the entries and before it reads the index.
    slow.store.interrupt_before(1, [&] {
        ASSERT_TRUE(this->standin->store().remove(entry_kind, "till").ok());
        ASSERT_TRUE(quick.decide().ok());
    });
    EXPECT_EQ(slow.decide().code(), absl::StatusCode::kFailedPrecondition);
    ASSERT_TRUE(slow.read().ok());
    EXPECT_TRUE(slow.state.current()->entries().empty());
    EXPECT_EQ(slow.state.number(), 2U);
}

TEST_F(acceptor_test, of_two_acceptors_in_a_race_one_decides_again)
{
    process first("first", this->standin->local());
    process second("second", this->standin->local());
    ASSERT_TRUE(first.decide().ok());
    this->standin->put_entry("till", make_entry("key"));
    // After the first acceptor has written its shard and before it writes the index.
    first.store.interrupt_before(3, [&] { ASSERT_TRUE(second.decide().ok()); });
    EXPECT_EQ(first.decide().code(), absl::StatusCode::kAborted);
    ASSERT_TRUE(first.decide().ok());
    EXPECT_EQ(first.state.number(), 2U);
    EXPECT_EQ(this->standin->store().list(shard_kind).objects.size(), 1U);
}

TEST_F(acceptor_test, running_acceptors_put_each_edit_in_force_without_a_lease)
{
    process first("first", this->standin->local());
    process second("second", this->standin->local());
    const absl::Duration longest_watch = absl::Seconds(1);
    first.options.longest_watch = second.options.longest_watch = longest_watch;
    {
        auto sync_first = store_sync::create({.watch = true, .longest_watch = longest_watch},
                                             first.store, first.state);
        auto sync_second = store_sync::create({.watch = true, .longest_watch = longest_watch},
                                              second.store, second.state);
        auto one = acceptor::create(first.options, first.store, first.state);
        auto two = acceptor::create(second.options, second.store, second.state);
        first.state.on_change([&](const auto&) { one->wake(); });
        second.state.on_change([&](const auto&) { two->wake(); });
        for (int round = 0; round < 5; ++round) {
            this->standin->put_entry("till", make_entry("key", 10 + round));
            const std::uint64_t before = first.state.number();
            ASSERT_TRUE(first.state.wait_until_number(before + 1, absl::Now() + absl::Seconds(60)));
        }
        const std::uint64_t number = first.state.number();
        ASSERT_TRUE(second.state.wait_until_number(number, absl::Now() + absl::Seconds(60)));
        first.store.cancel_watches();
        second.store.cancel_watches();
    }
    EXPECT_EQ(second.state.current()->entries()[0].limits.max_in_flight, 14U);
}

// Random schedules, generated by RapidCheck.

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
