#include <map>
#include <set>

#include <gtest/gtest.h>

#include "sardinestream/limits/entry_slots.h"
#include "sardinestream/store/object_store.h"
#include "sardinestream/testing/platform_standin.h"
#include "sardinestream/testing/process.h"

namespace sardinestream::limits {
namespace {

// One platform, and the slot that was last reported to each entry.
class entry_slots_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        this->platform = std::move(testing::platform_standin::create({"127.0.0.1", 0})).value();
        platform::object_store_options options;
        options.servers = {this->platform->local()};
        this->store = std::move(platform::object_store::create(options)).value();
    }

    std::unique_ptr<entry_slots> start(const std::string& id, std::uint64_t incarnation,
                                       std::uint32_t count = 2)
    {
        entry_slots_options options;
        options.entry_id = id;
        options.incarnation = incarnation;
        options.count = count;
        options.claim_interval = absl::Milliseconds(10);
        options.is_removed = [this](const std::string& holder) {
            const absl::MutexLock lock(&this->mutex);
            return this->removed.contains(holder);
        };
        options.on_slot = [this, id](std::optional<entry_slot> slot) {
            const absl::MutexLock lock(&this->mutex);
            this->slots[id] = slot;
        };
        return entry_slots::create(std::move(options), *this->store);
    }

    std::optional<entry_slot> slot_of(const std::string& id)
    {
        const absl::MutexLock lock(&this->mutex);
        return this->slots[id];
    }

    bool wait_for_slot(const std::string& id)
    {
        return testing::wait_until([&] { return this->slot_of(id).has_value(); });
    }

    void remove(const std::string& id)
    {
        const absl::MutexLock lock(&this->mutex);
        this->removed.insert(id);
    }

    std::unique_ptr<testing::platform_standin> platform;
    std::unique_ptr<platform::object_store> store;
    absl::Mutex mutex;
    std::set<std::string> removed;
    std::map<std::string, std::optional<entry_slot>> slots;
};

TEST_F(entry_slots_test, each_entry_gets_a_slot_of_its_own)
{
    const auto first = this->start("a", 1);
    const auto second = this->start("b", 2);
    ASSERT_TRUE(this->wait_for_slot("a"));
    ASSERT_TRUE(this->wait_for_slot("b"));
    EXPECT_NE(this->slot_of("a")->index, this->slot_of("b")->index);
    EXPECT_EQ(this->slot_of("a")->taken_over_at, absl::InfinitePast());
}

TEST_F(entry_slots_test, a_slot_is_taken_over_only_once_its_holder_is_removed)
{
    const auto first = this->start("a", 1, 1);
    ASSERT_TRUE(this->wait_for_slot("a"));
    const auto second = this->start("b", 2, 1);
    EXPECT_FALSE(this->slot_of("b").has_value());
    this->remove("a");
    ASSERT_TRUE(this->wait_for_slot("b"));
    EXPECT_NE(this->slot_of("b")->taken_over_at, absl::InfinitePast());
}

TEST_F(entry_slots_test, a_slot_released_without_loans_is_usable_at_once)
{
    const auto first = this->start("a", 1, 1);
    ASSERT_TRUE(this->wait_for_slot("a"));
    first->release(absl::ZeroDuration());
    EXPECT_FALSE(this->slot_of("a").has_value());
    const auto second = this->start("b", 2, 1);
    ASSERT_TRUE(this->wait_for_slot("b"));
    EXPECT_EQ(this->slot_of("b")->taken_over_at, absl::InfinitePast());
}

TEST_F(entry_slots_test, a_slot_released_with_loans_outstanding_counts_as_taken_over)
{
    const auto first = this->start("a", 1, 1);
    ASSERT_TRUE(this->wait_for_slot("a"));
    first->release(absl::Seconds(30));
    const auto second = this->start("b", 2, 1);
    ASSERT_TRUE(this->wait_for_slot("b"));
    EXPECT_NE(this->slot_of("b")->taken_over_at, absl::InfinitePast());
}

TEST_F(entry_slots_test, a_restarted_entry_takes_its_own_slot_over)
{
    this->start("a", 1, 1)->release(absl::ZeroDuration());
    {
        const auto first = this->start("a", 2, 1);
        ASSERT_TRUE(this->wait_for_slot("a"));
    } // ends without releasing the slot, as a killed process does
    {
        const absl::MutexLock lock(&this->mutex);
        this->slots.clear();
    }
    const auto again = this->start("a", 3, 1);
    ASSERT_TRUE(this->wait_for_slot("a"));
    EXPECT_NE(this->slot_of("a")->taken_over_at, absl::InfinitePast());
}

} // namespace
} // namespace sardinestream::limits
