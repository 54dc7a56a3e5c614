#include <algorithm>
#include <map>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "sardinestream/base/metrics.h"
#include "sardinestream/once/key_bindings.h"
#include "sardinestream/once/outcome_rules.h"
#include "sardinestream/once/request_key.h"

#include "absl/synchronization/notification.h"

namespace sardinestream::once {
namespace {

using platform::object;

// Keeps objects in memory and injects the faults that the test sets.
class fake_store : public platform::object_store {
public:
    enum class fault { none, unavailable, lost_before, lost_after };

    absl::StatusOr<object> get(absl::string_view, absl::string_view name) override
    {
        absl::MutexLock lock(&this->mutex);
        if (this->next_read_fault() != fault::none) {
            return absl::UnavailableError("store out");
        }
        const auto found = this->objects.find(std::string(name));
        if (found == this->objects.end()) {
            return absl::NotFoundError(name);
        }
        return found->second;
    }

    absl::StatusOr<object> create_object(absl::string_view kind, absl::string_view name,
                                         absl::string_view spec) override
    {
        return this->put(kind, name, spec, 0);
    }

    absl::StatusOr<object> update(absl::string_view kind, absl::string_view name,
                                  absl::string_view spec, std::uint64_t version) override
    {
        return this->put(kind, name, spec, version);
    }

    absl::StatusOr<platform::object_list> list(absl::string_view) override { return unused(); }
    absl::Status update_status(absl::string_view, absl::string_view, absl::string_view) override
    {
        return unused();
    }
    absl::Status remove(absl::string_view, absl::string_view) override { return unused(); }
    absl::Status watch(absl::string_view, std::uint64_t, absl::Duration,
                       const std::function<bool(const platform::object_change&)>&) override
    {
        return unused();
    }

    void cancel_watches() override {}

    std::function<fault()> read_fault;
    std::function<fault()> write_fault;
    absl::Duration write_time;
    int writes = 0;

private:
    static absl::Status unused() { return absl::UnimplementedError("not used here"); }

    fault next_read_fault() { return this->read_fault ? this->read_fault() : fault::none; }

    absl::StatusOr<object> put(absl::string_view kind, absl::string_view name,
                               absl::string_view spec, std::uint64_t version)
    {
        absl::SleepFor(this->write_time);
        absl::MutexLock lock(&this->mutex);
        ++this->writes;
        const fault now = this->write_fault ? this->write_fault() : fault::none;
        if (now == fault::unavailable) {
            return absl::UnavailableError("store out");
        }
        if (now == fault::lost_before) {
            return absl::UnknownError("answer lost");
        }
        object& stored = this->objects[std::string(name)];
        if (stored.version != version) {
            return version == 0 ? absl::AlreadyExistsError(name) : absl::AbortedError(name);
        }
        stored = {std::string(kind), std::string(name), ++this->last_version, std::string(spec),
                  "{}"};
        if (now == fault::lost_after) {
            return absl::UnknownError("answer lost");
        }
        return stored;
    }

    absl::Mutex mutex;
    std::map<std::string, object> objects;
    std::uint64_t last_version = 0;
};

using fault = fake_store::fault;

const binding agent_a{"agent-a", 1};
const binding agent_b{"agent-b", 18'000'000'000'000'000'002U};

digest128 key_number(int number)
{
    return digest_of_caller_key("orders", "dispatch", std::to_string(number));
}

absl::Time soon()
{
    return absl::Now() + absl::Seconds(30);
}

TEST(key_bindings, bind_a_new_key_to_the_proposed_agent)
{
    fake_store store;
    EXPECT_EQ(*key_bindings::create(&store)->bind(key_number(1), agent_b, soon()), agent_b);
}

TEST(key_bindings, return_the_binding_made_through_another_entry)
{
    fake_store store;
    ASSERT_TRUE(key_bindings::create(&store)->bind(key_number(1), agent_a, soon()).ok());
    EXPECT_EQ(*key_bindings::create(&store)->bind(key_number(1), agent_b, soon()), agent_a);
}

TEST(key_bindings, read_a_binding_once)
{
    fake_store store;
    const auto bindings = key_bindings::create(&store);
    ASSERT_TRUE(bindings->bind(key_number(1), agent_a, soon()).ok());
    store.read_fault = [] { return fault::unavailable; };
    EXPECT_EQ(*bindings->bind(key_number(1), agent_b, soon()), agent_a);
    EXPECT_EQ(*bindings->find(key_number(1)), agent_a);
}

TEST(key_bindings, read_again_after_a_lost_answer)
{
    for (const fault lost : {fault::lost_before, fault::lost_after}) {
        fake_store store;
        store.write_fault = [&store, lost] { return store.writes == 1 ? lost : fault::none; };
        EXPECT_EQ(*key_bindings::create(&store)->bind(key_number(1), agent_a, soon()), agent_a);
    }
}

TEST(key_bindings, fail_as_unavailable_while_the_store_is_out)
{
    fake_store store;
    store.read_fault = [] { return fault::unavailable; };
    EXPECT_TRUE(absl::IsUnavailable(
        key_bindings::create(&store)->bind(key_number(1), agent_a, soon()).status()));
    EXPECT_TRUE(absl::IsUnavailable(key_bindings::create(&store)->find(key_number(1)).status()));
}

TEST(key_bindings, find_nothing_where_nothing_is_bound)
{
    fake_store store;
    EXPECT_TRUE(absl::IsNotFound(key_bindings::create(&store)->find(key_number(1)).status()));
}

TEST(key_bindings, answer_at_the_deadline_while_the_store_hangs)
{
    fake_store store;
    absl::Notification released;
    store.read_fault = [&released] {
        released.WaitForNotification();
        return fault::unavailable;
    };
    const auto bindings = key_bindings::create(&store);
    EXPECT_TRUE(absl::IsDeadlineExceeded(
        bindings->bind(key_number(1), agent_a, absl::Now() + absl::Milliseconds(5)).status()));
    released.Notify();
}

TEST(key_bindings, refuse_a_key_after_the_retention_and_forget_it_later)
{
    fake_store store;
    absl::Time now = absl::FromUnixSeconds(1'000'000);
    key_bindings_options options;
    options.retention = absl::Hours(48);
    options.now = [&now] { return now; };
    // Both keys are in the same partition: writing one removes expired bindings of the other.
    digest128 first{binding_partitions, 1};
    digest128 second{binding_partitions, 2};
    ASSERT_TRUE(key_bindings::create(&store, options)->bind(first, agent_a, soon()).ok());
    EXPECT_EQ(*key_bindings::create(&store, options)->find(first), agent_a);
    now += absl::Hours(48) + absl::Minutes(30);
    EXPECT_TRUE(absl::IsFailedPrecondition(
        key_bindings::create(&store, options)->bind(first, agent_b, soon()).status()));
    now += absl::Hours(1);
    ASSERT_TRUE(key_bindings::create(&store, options)->bind(second, agent_a, soon()).ok());
    EXPECT_TRUE(absl::IsNotFound(key_bindings::create(&store, options)->find(first).status()));
}

TEST(key_bindings, refuse_a_new_key_when_the_partition_is_full)
{
    fake_store store;
    key_bindings_options options;
    options.max_partition_bytes = 200;
    const auto bindings = key_bindings::create(&store, options);
    ASSERT_TRUE(bindings->bind({binding_partitions, 1}, agent_a, soon()).ok());
    ASSERT_TRUE(bindings->bind({binding_partitions, 2}, agent_a, soon()).ok());
    EXPECT_TRUE(absl::IsResourceExhausted(
        bindings->bind({binding_partitions, 3}, agent_a, soon()).status()));
    EXPECT_EQ(*bindings->find({binding_partitions, 1}), agent_a);
}

TEST(key_bindings, refuse_to_bind_beside_rows_that_cannot_be_read)
{
    fake_store store;
    ASSERT_TRUE(store.create_object("keybindings", "partition-0", R"({"keys":{"a":[1]}})").ok());
    EXPECT_TRUE(absl::IsUnavailable(
        key_bindings::create(&store)->bind({binding_partitions, 1}, agent_a, soon()).status()));
}

TEST(key_bindings, write_bindings_that_wait_for_one_partition_together)
{
    fake_store store;
    store.write_time = absl::Milliseconds(5);
    const auto bindings = key_bindings::create(&store);
    constexpr int callers = 64;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&bindings, caller] {
            const digest128 key{binding_partitions, static_cast<std::uint64_t>(caller)};
            EXPECT_EQ(*bindings->bind(key, agent_a, soon()), agent_a);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_LT(store.writes, callers / 2);
}

TEST(key_bindings, keep_old_bindings_that_share_an_update_with_new_ones)
{
    fake_store store;
    const auto first_entry = key_bindings::create(&store);
    constexpr std::uint64_t old_keys = 16;
    for (std::uint64_t number = 0; number < old_keys; ++number) {
        ASSERT_TRUE(first_entry->bind({binding_partitions, number}, agent_a, soon()).ok());
    }
    store.write_time = absl::Milliseconds(5);
    const auto second_entry = key_bindings::create(&store);
    std::vector<std::thread> threads;
    threads.reserve(2 * old_keys);
    // New keys are started first: while they are written, old and new keys queue for the next
    // update and share a batch.
    for (std::uint64_t number = 2 * old_keys; number-- > 0;) {
        threads.emplace_back([&second_entry, number] {
            EXPECT_EQ(*second_entry->bind({binding_partitions, number}, agent_b, soon()),
                      number < old_keys ? agent_a : agent_b);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

TEST(key_bindings, agree_between_entries_that_bind_concurrently)
{
    fake_store store;
    std::vector<std::unique_ptr<key_bindings>> entries;
    std::vector<std::thread> threads;
    std::map<int, std::vector<binding>> seen;
    for (int entry = 0; entry < 4; ++entry) {
        entries.push_back(key_bindings::create(&store));
        seen[entry].resize(40);
    }
    threads.reserve(entries.size());
    for (int entry = 0; entry < 4; ++entry) {
        threads.emplace_back([&entries, &seen, entry] {
            const binding own{"agent", static_cast<std::uint64_t>(entry)};
            for (int number = 0; number < 40; ++number) {
                const digest128 key{binding_partitions * (number % 2),
                                    static_cast<std::uint64_t>(number)};
                seen[entry][number] = *entries[entry]->bind(key, own, soon());
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    for (int entry = 1; entry < 4; ++entry) {
        EXPECT_EQ(seen[entry], seen[0]);
    }
}

// An agent slot. Each restart gives it a new incarnation and an empty table.
struct agent_slot {
    std::string id;
    std::uint64_t incarnation;
    std::shared_ptr<run_table> table;

    void restart()
    {
        ++this->incarnation;
        this->table = run_table::create();
    }
};

// Generates random schedules: callers send keys through any entry, entries restart and lose their
// caches, agents restart at any step, and the store loses answers before and after an update takes
// effect.
RC_GTEST_PROP(key_bindings, run_no_key_twice_and_report_true_outcomes_under_any_schedule, ())
{
    fake_store store;
    store.read_fault = [] {
        return *rc::gen::weightedElement<fault>({{9, fault::none}, {1, fault::unavailable}});
    };
    store.write_fault = [] {
        return *rc::gen::weightedElement<fault>({{6, fault::none},
                                                 {1, fault::unavailable},
                                                 {2, fault::lost_before},
                                                 {2, fault::lost_after}});
    };
    std::vector<agent_slot> agents;
    for (const char* id : {"agent-a", "agent-b", "agent-c"}) {
        agents.push_back({id, 1, run_table::create()});
    }
    std::vector<std::unique_ptr<key_bindings>> entries(3);
    std::map<int, int> runs;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
        agent_slot& proposed = agents[*rc::gen::inRange<int>(0, agents.size())];
        auto& entry = entries[*rc::gen::inRange<int>(0, entries.size())];
        if (entry == nullptr || *rc::gen::weightedElement<bool>({{4, false}, {1, true}})) {
            entry = key_bindings::create(&store);
        }
        const int number = *rc::gen::inRange(0, 3);
        const absl::StatusOr<binding> bound =
            entry->bind(key_number(number), {proposed.id, proposed.incarnation}, soon());
        if (!bound.ok()) {
            const bool first_sending = runs[number] == 0;
            const refusal refused = refusal_of_failed_bind(bound.status(), first_sending);
            RC_ASSERT(refused.outcome != run_outcome::not_run || runs[number] == 0);
            continue;
        }
        const auto agent =
            std::find_if(agents.begin(), agents.end(),
                         [&bound](const agent_slot& slot) { return slot.id == bound->agent; });
        if (*rc::gen::weightedElement<bool>({{4, false}, {1, true}})) {
            agent->restart(); // between binding the key and accepting it
        }
        const bound_agent_state state =
            state_of_bound_agent(*bound, {.live_incarnation = agent->incarnation});
        if (state == bound_agent_state::gone) {
            RC_ASSERT(refusal_of_bound_agent(*bound, state).outcome == run_outcome::unknown);
            continue;
        }
        run_admission admitted = agent->table->begin(key_number(number), {});
        if (admitted.decision == run_decision::replay) {
            RC_ASSERT(runs[number] == 1);
            continue;
        }
        if (admitted.decision != run_decision::run) {
            continue;
        }
        enum end {
            not_sent,
            restart_before_sent,
            sent_unknown,
            restart_after_sent,
            answered,
            ends
        };
        const int how = *rc::gen::inRange(0, static_cast<int>(ends));
        if (how == not_sent) {
            admitted.permit.fail_not_sent();
            RC_ASSERT(runs[number] == 0);
            continue;
        }
        if (how == restart_before_sent) {
            agent->restart();
            continue;
        }
        admitted.permit.mark_sent();
        ++runs[number];
        RC_ASSERT(runs[number] == 1);
        if (how == sent_unknown) {
            admitted.permit.fail_unknown();
        }
        if (how == restart_after_sent) {
            agent->restart();
        }
        if (how == answered) {
            admitted.permit.finish({200, {}, "done"});
        }
    }
}

} // namespace
} // namespace sardinestream::once
