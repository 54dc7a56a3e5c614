#include <gtest/gtest.h>

#include "sardinestream/base/metrics.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/catalogue/catalogue_test_node.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::catalogue {
namespace {

using sardinestream::testing::outage_mode;
using sardinestream::testing::platform_standin;

absl::Time soon()
{
    return absl::Now() + absl::Seconds(60);
}

int in_force(catalogue_node& one, const std::string& key)
{
    const auto snapshot = one.state().current();
    const catalogue_entry* entry = snapshot->find(sha256_hex(key), "assistant");
    return entry == nullptr ? 0 : static_cast<int>(entry->limits.max_in_flight);
}

bool wait_until(const std::function<bool()>& condition)
{
    const absl::Time deadline = soon();
    while (!condition() && absl::Now() < deadline) {
        absl::SleepFor(absl::Milliseconds(5));
    }
    return condition();
}

class catalogue_service_test : public ::testing::Test {
protected:
    // Of a node that watches the platform's store and decides on its entries.
    [[nodiscard]] catalogue_node_options watching(const std::string& id) const
    {
        return {.id = id,
                .platform_server = this->standin->local(),
                .accept = true,
                .store_timeout = absl::Seconds(1),
                .longest_watch = absl::Seconds(1)};
    }

    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
};

TEST_F(catalogue_service_test, an_edit_reaches_processes_that_do_not_watch_over_links_alone)
{
    catalogue_node watcher(this->watching("watcher"));
    catalogue_node middle({.id = "middle"});
    catalogue_node far({.id = "far"});
    middle.dial(watcher);
    far.dial(middle);
    this->standin->put_entry("till", make_entry("key", 3));
    EXPECT_TRUE(wait_until([&] { return in_force(far, "key") == 3; }));
    this->standin->put_entry("till", make_entry("key", 4));
    EXPECT_TRUE(wait_until([&] { return in_force(far, "key") == 4; }));
    EXPECT_EQ(far.state().number(), watcher.state().number());
    EXPECT_TRUE(far.service->ready());
}

TEST_F(catalogue_service_test, a_start_during_an_outage_takes_the_catalogue_from_peers)
{
    catalogue_node old(this->watching("old"));
    this->standin->put_entry("till", make_entry("key", 3));
    ASSERT_TRUE(wait_until([&] { return in_force(old, "key") == 3; }));
    this->standin->set_outage(outage_mode::hang);
    catalogue_node fresh(this->watching("fresh"));
    EXPECT_FALSE(fresh.service->ready());
    fresh.dial(old);
    EXPECT_TRUE(wait_until([&] { return fresh.service->ready(); }));
    EXPECT_EQ(in_force(fresh, "key"), 3);
    EXPECT_EQ(in_force(old, "key"), 3);
    this->standin->set_outage(outage_mode::none);
    this->standin->put_entry("till", make_entry("key", 4));
    EXPECT_TRUE(
        wait_until([&] { return in_force(old, "key") == 4 && in_force(fresh, "key") == 4; }));
}

TEST_F(catalogue_service_test, a_start_takes_the_higher_number_of_the_platform_and_a_stale_peer)
{
    catalogue_node current(this->watching("current"));
    catalogue_node stale({.id = "stale"});
    stale.dial(current);
    this->standin->put_entry("till", make_entry("key", 3));
    ASSERT_TRUE(wait_until([&] { return in_force(stale, "key") == 3; }));
    stale.dialers.clear();
    this->standin->put_entry("till", make_entry("key", 4));
    ASSERT_TRUE(wait_until([&] { return in_force(current, "key") == 4; }));
    EXPECT_EQ(in_force(stale, "key"), 3);
    catalogue_node_options fresh_options = this->watching("fresh");
    fresh_options.accept = false;
    catalogue_node fresh(fresh_options);
    fresh.dial(stale);
    EXPECT_TRUE(wait_until([&] { return fresh.service->ready(); }));
    EXPECT_EQ(in_force(fresh, "key"), 4);
    // The stale node in turn gets the catalogue from the fresh one.
    EXPECT_TRUE(wait_until([&] { return in_force(stale, "key") == 4; }));
}

TEST_F(catalogue_service_test, a_peer_that_lacks_a_few_shards_pulls_only_those)
{
    catalogue_node watcher(this->watching("watcher"));
    catalogue_node peer({.id = "peer"});
    peer.dial(watcher);
    for (int i = 0; i < 50; ++i) {
        this->standin->put_entry(absl::StrCat("e", i), make_entry(absl::StrCat("key-", i)));
    }
    ASSERT_TRUE(wait_until([&] { return peer.state().current()->entries().size() == 50; }));
    const metric_labels from_peer = {{"from", "peer"}};
    const std::uint64_t before = counter_value("sardine_catalogue_shards_read_total", from_peer);
    this->standin->put_entry("e7", make_entry("key-7", 9));
    ASSERT_TRUE(wait_until([&] { return in_force(peer, "key-7") == 9; }));
    EXPECT_EQ(counter_value("sardine_catalogue_shards_read_total", from_peer), before + 1);
}

TEST_F(catalogue_service_test, a_gap_in_the_watch_is_recovered)
{
    catalogue_node watcher(this->watching("watcher"));
    this->standin->put_entry("till", make_entry("key", 3));
    ASSERT_TRUE(wait_until([&] { return in_force(watcher, "key") == 3; }));
    // A change of another kind raises the platform version above what the watches have seen, so
    // that the compaction ends them.
    ASSERT_TRUE(this->standin->store().create("instances", "i", "{}").ok());
    this->standin->store().compact();
    this->standin->put_entry("till", make_entry("key", 4));
    EXPECT_TRUE(wait_until([&] { return in_force(watcher, "key") == 4; }));
}

} // namespace
} // namespace sardinestream::catalogue
