// Tests the catalogue on real processes: accepted versions come into force on every process and
// never revert.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/store/object_store.h"
#include "sardinestream/testing/fleet.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using catalogue::make_entry;
using nlohmann::json;

// Returns the status page of one process.
json status_of(const address& ops)
{
    return json::parse(fleet::get_page(ops, "/status"), nullptr, false);
}

std::uint64_t number_of(const address& ops)
{
    const json status = status_of(ops);
    return status.is_object() ? status.value("number", std::uint64_t{0}) : 0;
}

// Returns the decision on an entry as one process shows it, or null.
json entry_on(const address& ops, const std::string& name)
{
    const json status = status_of(ops);
    if (!status.is_object()) {
        return nullptr;
    }
    for (const json& entry : status["entries"]) {
        if (entry["name"] == name) {
            return entry;
        }
    }
    return nullptr;
}

int max_in_flight_on(const address& ops, const std::string& name)
{
    const json entry = entry_on(ops, name);
    if (entry.is_null() || entry["in_force"].is_null()) {
        return 0;
    }
    return entry["in_force"]["spec"]["limits"]["max_in_flight"];
}

// Polls the number of every process and counts decreases. Zero is ignored, because a restarted
// process shows it until it has a catalogue.
class number_watch {
public:
    explicit number_watch(std::vector<address> watched)
        : pages(std::move(watched)), watching([this] { this->watch(); })
    {
    }
    ~number_watch()
    {
        this->stopping = true;
        this->watching.join();
    }
    number_watch(const number_watch&) = delete;
    number_watch& operator=(const number_watch&) = delete;

    [[nodiscard]] int falls() const { return this->fallen; }
    [[nodiscard]] int readings() const { return this->read; }

private:
    void watch()
    {
        std::map<address, std::uint64_t> highest;
        while (!this->stopping) {
            for (const address& page : this->pages) {
                const std::uint64_t number = number_of(page);
                if (number == 0) {
                    continue;
                }
                ++this->read;
                this->fallen += number < highest[page] ? 1 : 0;
                highest[page] = std::max(highest[page], number);
            }
            absl::SleepFor(absl::Milliseconds(5));
        }
    }

    const std::vector<address> pages;
    std::atomic<bool> stopping{false};
    std::atomic<int> fallen{0};
    std::atomic<int> read{0};
    std::thread watching;
};

class catalogue_fleet_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        absl::StatusOr<std::unique_ptr<fleet>> made = fleet::create({.entries = 3,
                                                                     .model_agents = 1,
                                                                     .plain_agents = 2,
                                                                     .entry_flags = {},
                                                                     .agent_flags = {},
                                                                     .engine_flags = {}});
        ASSERT_TRUE(made.ok()) << made.status();
        this->servers = *std::move(made);
        for (int i = 0; i < this->servers->entries(); ++i) {
            this->pages.push_back(this->servers->entry(i).ops.reserved());
        }
        for (const auto& agent : this->servers->agents()) {
            this->pages.push_back(agent->ops.reserved());
        }
    }

    bool edit(const std::string& name, int max_in_flight)
    {
        return this->servers->put_entry(name,
                                        make_entry(absl::StrCat("key of ", name), max_in_flight));
    }

    // Waits until every process shows the value.
    bool in_force_everywhere(const std::string& name, int max_in_flight)
    {
        return std::all_of(this->pages.begin(), this->pages.end(), [&](const address& page) {
            return wait_until([&] { return max_in_flight_on(page, name) == max_in_flight; });
        });
    }

    void set_outage(const std::string& mode)
    {
        EXPECT_TRUE(this->servers->order_platform("/admin/outage?mode=" + mode));
    }

    static void restart(process& run)
    {
        ASSERT_TRUE(run.restart().ok());
        ASSERT_TRUE(run.wait_until_listening().ok());
    }

    std::unique_ptr<fleet> servers;
    std::vector<address> pages;
};

TEST_F(catalogue_fleet_test, each_edit_is_in_force_on_every_process)
{
    const number_watch numbers(this->pages);
    absl::Duration longest;
    for (int value = 1; value <= 10; ++value) {
        const absl::Time edited = absl::Now();
        ASSERT_TRUE(this->edit("press", value));
        ASSERT_TRUE(this->in_force_everywhere("press", value));
        longest = std::max(longest, absl::Now() - edited);
    }
    std::printf("longest from edit to in force everywhere: %.0f ms\n",
                absl::ToDoubleMilliseconds(longest));
    EXPECT_EQ(numbers.falls(), 0);
    EXPECT_GT(numbers.readings(), 0);
}

TEST_F(catalogue_fleet_test, a_refused_edit_is_shown_on_every_process_and_changes_nothing)
{
    ASSERT_TRUE(this->edit("press", 3));
    ASSERT_TRUE(this->in_force_everywhere("press", 3));
    ASSERT_TRUE(this->edit("press", 0));
    for (const address& page : this->pages) {
        EXPECT_TRUE(wait_until([&] { return entry_on(page, "press")["state"] == "refused"; }));
        const json entry = entry_on(page, "press");
        EXPECT_EQ(entry["refused"]["code"], "out_of_range");
        EXPECT_EQ(entry["refused"]["field"], "limits.max_in_flight");
        EXPECT_EQ(entry["refused"]["allowed"], "1..100000");
        EXPECT_EQ(entry["in_force"]["spec"]["limits"]["max_in_flight"], 3);
    }
}

TEST_F(catalogue_fleet_test, an_outage_leaves_what_is_in_force_and_the_edit_follows_it)
{
    for (const char* mode : {"drop", "hang", "refuse"}) {
        const int before = max_in_flight_on(this->pages[0], "press");
        const number_watch numbers(this->pages);
        this->set_outage(mode);
        ASSERT_TRUE(this->edit("press", before + 1));
        ASSERT_TRUE(wait_until([&] { return numbers.readings() > 100; }));
        EXPECT_EQ(max_in_flight_on(this->pages[0], "press"), before);
        this->set_outage("none");
        EXPECT_TRUE(this->in_force_everywhere("press", before + 1)) << mode;
        EXPECT_EQ(numbers.falls(), 0) << mode;
    }
}

TEST_F(catalogue_fleet_test, processes_replaced_during_an_outage_take_the_catalogue_from_peers)
{
    ASSERT_TRUE(this->edit("press", 7));
    ASSERT_TRUE(this->in_force_everywhere("press", 7));
    const std::uint64_t number = number_of(this->pages[0]);
    const number_watch numbers(this->pages);
    this->set_outage("hang");
    // Restart all but the last entry and then the last one, so that no process remains that has
    // read the platform.
    for (int i = 0; i + 1 < this->servers->entries(); ++i) {
        this->restart(*this->servers->entry(i).run);
    }
    for (const auto& agent : this->servers->agents()) {
        this->restart(*agent->run);
    }
    EXPECT_TRUE(this->in_force_everywhere("press", 7));
    this->restart(*this->servers->entry(this->servers->entries() - 1).run);
    EXPECT_TRUE(this->in_force_everywhere("press", 7));
    for (const address& page : this->pages) {
        EXPECT_EQ(number_of(page), number);
    }
    this->set_outage("none");
    ASSERT_TRUE(this->edit("press", 8));
    EXPECT_TRUE(this->in_force_everywhere("press", 8));
    EXPECT_EQ(numbers.falls(), 0);
}

TEST_F(catalogue_fleet_test, a_restart_of_everything_during_an_outage_is_not_ready_before_it_ends)
{
    ASSERT_TRUE(this->edit("press", 7));
    ASSERT_TRUE(this->in_force_everywhere("press", 7));
    const std::uint64_t number = number_of(this->pages[0]);
    for (int i = 0; i < this->servers->entries(); ++i) {
        EXPECT_NE(fleet::get_page(this->pages[i], "/readyz"), "");
    }
    this->set_outage("drop");
    for (const auto& agent : this->servers->agents()) {
        agent->run->kill();
    }
    for (int i = 0; i < this->servers->entries(); ++i) {
        this->servers->entry(i).run->kill();
    }
    for (const auto& agent : this->servers->agents()) {
        this->restart(*agent->run);
    }
    for (int i = 0; i < this->servers->entries(); ++i) {
        this->restart(*this->servers->entry(i).run);
    }
    for (int i = 0; i < this->servers->entries(); ++i) {
        EXPECT_EQ(status_of(this->pages[i])["ready"], false);
        EXPECT_EQ(fleet::get_page(this->pages[i], "/readyz"), "");
    }
    this->set_outage("none");
    EXPECT_TRUE(this->in_force_everywhere("press", 7));
    for (const address& page : this->pages) {
        EXPECT_EQ(number_of(page), number);
    }
}

TEST_F(catalogue_fleet_test, a_resumed_entry_with_an_old_catalogue_reverts_no_process)
{
    ASSERT_TRUE(this->edit("press", 1));
    ASSERT_TRUE(this->in_force_everywhere("press", 1));
    const number_watch numbers({this->pages.begin() + 1, this->pages.end()});
    this->servers->entry(0).run->freeze();
    for (int value = 2; value <= 5; ++value) {
        ASSERT_TRUE(this->edit("press", value));
        ASSERT_TRUE(wait_until([&] { return max_in_flight_on(this->pages[1], "press") == value; }));
    }
    this->set_outage("drop");
    this->servers->entry(0).run->wake();
    // The resumed entry gets the catalogue from its peers, since the platform is unavailable.
    EXPECT_TRUE(this->in_force_everywhere("press", 5));
    EXPECT_EQ(numbers.falls(), 0);
    this->set_outage("none");
}

TEST_F(catalogue_fleet_test, concurrent_edits_by_two_operators_converge_to_one_catalogue)
{
    const number_watch numbers(this->pages);
    constexpr int edits = 15;
    ASSERT_TRUE(this->edit("both", 1));
    // Both catalogue entries claim the same key, so at most one of them may be in force. Each
    // operator uses the platform connection of a different entry instance.
    std::vector<std::thread> operators;
    operators.reserve(2);
    for (int i = 0; i < 2; ++i) {
        operators.emplace_back([this, i] {
            auto store = platform::object_store::create(
                             {.servers = {this->servers->entry(i).platform->local()}})
                             .value();
            const std::string name = absl::StrCat("claim-", i);
            for (int value = 1; value <= edits; ++value) {
                const std::string spec = make_entry("the key", 100 * (i + 1) + value);
                const auto current = store->get("catalogueentries", name);
                if (absl::IsNotFound(current.status())) {
                    EXPECT_TRUE(store->create_object("catalogueentries", name, spec).ok());
                    continue;
                }
                EXPECT_TRUE(store->update("catalogueentries", name, spec, current->version).ok() ||
                            store->get("catalogueentries", name).ok());
                // Both also update one object; an update that conflicts is not retried.
                const auto both = store->get("catalogueentries", "both");
                store
                    ->update("catalogueentries", "both", make_entry("both", 10 * value + i),
                             both->version)
                    .IgnoreError();
            }
        });
    }
    for (std::thread& one : operators) {
        one.join();
    }
    auto store =
        platform::object_store::create({.servers = {this->servers->entry(0).platform->local()}})
            .value();
    // Every newest generation has a decision, and every process shows the same entries.
    for (const char* name : {"claim-0", "claim-1", "both"}) {
        EXPECT_TRUE(wait_until([&] {
            const auto object = store->get("catalogueentries", name);
            const json status = json::parse(object->status, nullptr, false);
            return status.value("generation", std::uint64_t{0}) == object->generation;
        }));
    }
    const auto entries_on = [](const address& page) { return status_of(page)["entries"]; };
    for (const address& page : this->pages) {
        EXPECT_TRUE(wait_until([&] { return entries_on(page) == entries_on(this->pages[0]); }));
    }
    const bool first = max_in_flight_on(this->pages[0], "claim-0") != 0;
    const bool second = max_in_flight_on(this->pages[0], "claim-1") != 0;
    EXPECT_NE(first, second);
    EXPECT_EQ(numbers.falls(), 0);
}

// Guards against fleets that mix: an address that one had given up became another's, and processes
// that still dialled it joined that fleet and brought their own catalogue.
TEST_F(catalogue_fleet_test, a_process_of_another_fleet_is_refused)
{
    const absl::StatusOr<std::unique_ptr<fleet>> stranger = fleet::create({});
    ASSERT_TRUE(stranger.ok()) << stranger.status();
    entry_node& dialled = this->servers->entry(0);
    const json nobody{{"role", "agent"},
                      {"address", dialled.links.reserved().to_string()},
                      {"data_centre", "fi/kuopio"},
                      {"leaving", false}};
    ASSERT_TRUE((*stranger)->list_instance("ghost-agent", nobody.dump()));
    EXPECT_TRUE(dialled.run->wait_for_output("link_refused", absl::Seconds(10)));
}

} // namespace
} // namespace sardinestream::testing
