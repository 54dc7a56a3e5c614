// Tests that a list of several pages is read to its end or known not to be.

#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/platform/object_watcher.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/synchronization/notification.h"

namespace sardinestream::platform {
namespace {

using std::chrono::milliseconds;
using ::testing::ElementsAre;

constexpr milliseconds call_time{2000};

struct page {
    std::vector<std::string> items;
    std::string has_more = "true";
    int status = 200;
    int revision = 5;
};

// `name` is written as it is.
std::string named(absl::string_view name, absl::string_view revision = "1")
{
    return absl::StrCat(R"({"metadata":{"name":)", name, R"(,"revision":)", revision,
                        R"(},"specification":{}})");
}

std::string in_quotes(absl::string_view name)
{
    return absl::StrCat("\"", name, "\"");
}

class store_list_test : public ::testing::Test {
protected:
    // Lists from a store that has these pages, each after the name that stands in the call for it;
    // the first one after nothing. Any other call is answered with 404.
    absl::Status list(const std::vector<std::pair<std::string, page>>& pages)
    {
        const scripted_server store([&](scripted_connection& connection) {
            while (connection.read_request()) {
                this->answer(connection, pages);
            }
        });
        store_client client(store.local());
        const absl::StatusOr<object_list> listed =
            client.list("servers", call_time,
                        [this](const object_list& partial) { this->partial = names_of(partial); });
        if (listed.ok()) {
            this->whole = names_of(*listed);
        }
        return listed.status();
    }

    static std::vector<std::string> names_of(const object_list& list)
    {
        std::vector<std::string> names;
        for (const stored_object& object : list.objects) {
            names.push_back(object.name);
        }
        return names;
    }

    void answer(scripted_connection& connection,
                const std::vector<std::pair<std::string, page>>& pages)
    {
        ++this->calls;
        const std::string& target = connection.head.target;
        const std::size_t query = target.find("?after=");
        const std::string after = query == std::string::npos ? "" : target.substr(query + 7);
        page found = {{}, "false", 404};
        for (const auto& [name, one] : pages) {
            found = name == after ? one : found;
        }
        const std::string body =
            absl::StrCat(R"({"items":[)", absl::StrJoin(found.items, ","), R"(],"has-more":)",
                         found.has_more, R"(,"at":)", found.revision, "}");
        connection.write(absl::StrCat("HTTP/1.1 ", found.status,
                                      " X\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    }

    std::vector<std::string> whole;
    std::vector<std::string> partial;
    int calls = 0;
};

// Guards against a page that is read again, or ends the list, for its last object.
TEST_F(store_list_test, goes_on_after_an_object_that_is_unreadable_but_for_its_name)
{
    EXPECT_TRUE(this->list({{"", {{named(in_quotes("a")), named(in_quotes("b"), "[]")}}},
                            {"b", {{named(in_quotes("c"))}, "false"}}})
                    .ok());
    EXPECT_THAT(this->whole, ElementsAre("a", "c"));
}

// Guards against large objects of other writers that take the memory for a list.
TEST_F(store_list_test, leaves_out_what_is_larger_than_the_client_reads)
{
    const scripted_server store([](scripted_connection& connection) {
        while (connection.read_request()) {
            const std::string body = R"({"items":[{"metadata":{"name":"a","revision":1},)"
                                     R"("specification":{"x":12345}}],"has-more":false,"at":5})";
            connection.write(
                absl::StrCat("HTTP/1.1 200 X\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
        }
    });
    for (const auto& [limit, expected] :
         {std::pair<std::size_t, std::string>{11, R"({"x":12345})"}, {10, ""}}) {
        const auto listed = store_client(store.local(), limit).list("servers", call_time);
        ASSERT_TRUE(listed.ok()) << listed.status();
        EXPECT_EQ(listed->objects.at(0).specification, expected);
    }
}

// Guards against a list that is taken for whole because the names of a page are no UTF-8.
TEST_F(store_list_test, goes_on_after_a_name_of_any_bytes)
{
    EXPECT_TRUE(
        this->list({{"", {{named("\"\xff&\"")}}}, {"%ff%26", {{named(in_quotes("z"))}, "false"}}})
            .ok());
    EXPECT_THAT(this->whole, ElementsAre("z"));
}

// Guards against a list that is taken for whole because a page has overlong names alone.
TEST_F(store_list_test, goes_on_after_an_overlong_name_if_no_other_leads_on)
{
    const std::string overlong(2000, 'o');
    EXPECT_TRUE(this->list({{"", {{named(in_quotes("a")), named(in_quotes(overlong))}}},
                            {"a", {{named(in_quotes(overlong))}}},
                            {overlong, {{named(in_quotes("z"))}, "false"}}})
                    .ok());
    EXPECT_THAT(this->whole, ElementsAre("a", "z"));
}

// Guards against a list that is taken for whole because no name of a page can be read.
TEST_F(store_list_test, a_page_without_a_name_is_not_the_end)
{
    for (const std::string& item : {named("7"), named(R"("\ud800")"), std::string("{}")}) {
        this->partial.clear();
        EXPECT_TRUE(
            absl::IsDataLoss(this->list({{"", {{named(in_quotes("a"))}}}, {"a", {{item}}}})))
            << item;
        EXPECT_THAT(this->partial, ElementsAre("a"));
    }
    EXPECT_TRUE(absl::IsDataLoss(this->list({{"", {{}}}})));
}

// Guards against hundreds of calls for one page.
TEST_F(store_list_test, a_page_that_repeats_itself_ends_the_list)
{
    EXPECT_TRUE(absl::IsDataLoss(
        this->list({{"", {{named(in_quotes("a"))}}}, {"a", {{named(in_quotes("a"))}}}})));
    EXPECT_EQ(this->calls, 2);
}

// Guards against a list that is taken for whole though the store does not say so.
TEST_F(store_list_test, an_unreadable_has_more_is_not_the_end)
{
    for (const char* const odd : {"1", "\"true\"", "null", "[]"}) {
        EXPECT_TRUE(absl::IsInvalidArgument(this->list({{"", {{named(in_quotes("a"))}, odd}}})))
            << odd;
    }
    EXPECT_TRUE(this->whole.empty());
}

// Guards against a list that consists of two histories of the store.
TEST_F(store_list_test, a_page_of_an_older_history_fails)
{
    EXPECT_TRUE(absl::IsOutOfRange(this->list(
        {{"", {{named(in_quotes("a"))}}}, {"a", {{named(in_quotes("b"))}, "false", 200, 4}}})));
    EXPECT_TRUE(this->partial.empty());
}

// Guards against sound servers that are not used because a later page cannot be read, ever.
TEST_F(store_list_test, what_was_read_before_a_lasting_failure_is_reported)
{
    for (const int status : {400, 404, 414, 431}) {
        this->partial.clear();
        EXPECT_TRUE(absl::IsFailedPrecondition(
            this->list({{"", {{named(in_quotes("a"))}}}, {"a", {{}, "false", status}}})))
            << status;
        EXPECT_THAT(this->partial, ElementsAre("a")) << status;
    }
}

// Guards against a start with a part of the servers while the store is only busy.
TEST_F(store_list_test, a_failure_that_may_pass_reports_nothing)
{
    for (const int status : {408, 421, 429, 500, 503}) {
        EXPECT_TRUE(absl::IsUnavailable(
            this->list({{"", {{named(in_quotes("a"))}}}, {"a", {{}, "false", status}}})))
            << status;
    }
    EXPECT_TRUE(absl::IsOutOfRange(
        this->list({{"", {{named(in_quotes("a"))}}}, {"a", {{}, "false", 410}}})));
    EXPECT_TRUE(this->partial.empty());
}

// Guards against changes that are missed while a list cannot be read to its end.
TEST_F(store_list_test, a_watcher_passes_on_what_was_read_and_follows_the_changes)
{
    const std::vector<std::pair<std::string, page>> pages = {{"", {{named(in_quotes("a"))}}}};
    const scripted_server store([&](scripted_connection& connection) {
        while (connection.read_request()) {
            if (!absl::StrContains(connection.head.target, "watch=5&")) {
                this->answer(connection, pages);
                continue;
            }
            const std::string body =
                absl::StrCat(R"({"events":[{"object":)", named(in_quotes("z")), R"(}],"at":5})");
            connection.write(
                absl::StrCat("HTTP/1.1 200 X\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
        }
    });
    absl::Notification changed;
    bool was_whole = false;
    {
        const object_watcher follower(
            store.local(), "servers",
            {[&](const object_list&, const store_outage&) { was_whole = true; },
             [&](const change_list& changes, const store_outage&) {
                 const bool has_z = changes.changes.front().object.name == "z";
                 if (has_z && !changed.HasBeenNotified()) {
                     changed.Notify();
                 }
             },
             [&](const object_list& read) { this->partial = names_of(read); }});
        EXPECT_TRUE(changed.WaitForNotificationWithTimeout(absl::Seconds(5)));
    }
    EXPECT_THAT(this->partial, ElementsAre("a"));
    EXPECT_FALSE(was_whole);
}

} // namespace
} // namespace sardinestream::platform
