#include <gtest/gtest.h>

#include "sardinestream/base/metrics.h"
#include "sardinestream/catalogue/catalogue_service.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/testing/platform_standin.h"
#include "sardinestream/wire/link_server.h"

namespace sardinestream::catalogue {
namespace {

using sardinestream::testing::outage_mode;
using sardinestream::testing::platform_standin;

absl::Time soon()
{
    return absl::Now() + absl::Seconds(60);
}

// The catalogue part of one process: a service, a link server and links to other nodes.
class node {
public:
    // If `platform_server` is null, the node has no connection to the platform.
    node(const std::string& id, const platform_standin* platform_server, bool accept)
    {
        if (platform_server != nullptr) {
            this->store = platform::object_store::create(
                              {.servers = {platform_server->local()}, .timeout = absl::Seconds(1)})
                              .value();
        }
        catalogue_service_options options{.id = id, .watch_store = accept, .accept = accept};
        options.sync.longest_watch = absl::Seconds(1);
        options.deciding.longest_watch = absl::Seconds(1);
        this->service = catalogue_service::create(options, this->store.get());
        this->links = std::make_shared<wire::link_options>();
        this->links->tls = wire::tls_context::create("a key for this test only").value();
        this->links->local_hello = [id] {
            wire::helloT said;
            said.id = id;
            return said;
        };
        this->service->attach(this->links->hooks);
        this->server = wire::link_server::create(this->links, {"127.0.0.1", 0}).value();
    }

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    ~node()
    {
        if (this->store != nullptr) {
            this->store->cancel_watches();
        }
        this->dialers.clear();
        this->server.reset();
    }

    void dial(const node& other)
    {
        this->dialers.push_back(
            std::make_unique<wire::link_dialer>(this->links, other.server->local()));
    }

    catalogue_state& state() { return this->service->state(); }

    std::unique_ptr<platform::object_store> store;
    std::unique_ptr<catalogue_service> service;
    std::shared_ptr<wire::link_options> links;
    std::unique_ptr<wire::link_server> server;
    std::vector<std::unique_ptr<wire::link_dialer>> dialers;
};

int in_force(node& one, const std::string& key)
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
    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
};

TEST_F(catalogue_service_test, an_edit_reaches_processes_that_do_not_watch_over_links_alone)
{
    node watcher("watcher", this->standin.get(), true);
    node middle("middle", nullptr, false);
    node far("far", nullptr, false);
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
    node old("old", this->standin.get(), true);
    this->standin->put_entry("till", make_entry("key", 3));
    ASSERT_TRUE(wait_until([&] { return in_force(old, "key") == 3; }));
    this->standin->set_outage(outage_mode::hang);
    node fresh("fresh", this->standin.get(), true);
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
    node current("current", this->standin.get(), true);
    node stale("stale", nullptr, false);
    stale.dial(current);
    this->standin->put_entry("till", make_entry("key", 3));
    ASSERT_TRUE(wait_until([&] { return in_force(stale, "key") == 3; }));
    stale.dialers.clear();
    this->standin->put_entry("till", make_entry("key", 4));
    ASSERT_TRUE(wait_until([&] { return in_force(current, "key") == 4; }));
    EXPECT_EQ(in_force(stale, "key"), 3);
    node fresh("fresh", this->standin.get(), false);
    fresh.dial(stale);
    EXPECT_TRUE(wait_until([&] { return fresh.service->ready(); }));
    EXPECT_EQ(in_force(fresh, "key"), 4);
    // The stale node in turn gets the catalogue from the fresh one.
    EXPECT_TRUE(wait_until([&] { return in_force(stale, "key") == 4; }));
}

TEST_F(catalogue_service_test, a_peer_that_lacks_a_few_shards_pulls_only_those)
{
    node watcher("watcher", this->standin.get(), true);
    node peer("peer", nullptr, false);
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
    node watcher("watcher", this->standin.get(), true);
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
