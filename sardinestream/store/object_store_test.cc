#include <atomic>
#include <functional>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/store/object_store.h"
#include "sardinestream/testing/platform_standin.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

using sardinestream::testing::outage_mode;
using sardinestream::testing::platform_standin;

constexpr char kind[] = "catalogueentries";

class object_store_test : public ::testing::Test {
protected:
    static std::unique_ptr<object_store> connect(std::vector<address> servers)
    {
        return object_store::create({.servers = std::move(servers), .timeout = absl::Seconds(1)})
            .value();
    }

    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
    std::unique_ptr<object_store> store = connect({this->standin->local()});
};

TEST_F(object_store_test, an_object_is_created_once)
{
    const object made = this->store->create_object(kind, "a", R"({"x":1})").value();
    EXPECT_EQ(made.spec, R"({"x":1})");
    EXPECT_EQ(made.generation, 1U);
    EXPECT_TRUE(absl::IsAlreadyExists(this->store->create_object(kind, "a", "{}").status()));
    EXPECT_EQ(this->store->get(kind, "a")->version, made.version);
    EXPECT_TRUE(absl::IsNotFound(this->store->get(kind, "b").status()));
}

TEST_F(object_store_test, an_update_at_an_old_version_conflicts)
{
    const object first = this->store->create_object(kind, "a", R"({"x":1})").value();
    const object second = this->store->update(kind, "a", R"({"x":2})", first.version).value();
    EXPECT_GT(second.version, first.version);
    EXPECT_TRUE(
        absl::IsAborted(this->store->update(kind, "a", R"({"x":3})", first.version).status()));
    EXPECT_EQ(this->store->get(kind, "a")->spec, R"({"x":2})");
}

TEST_F(object_store_test, a_status_update_keeps_spec_and_generation)
{
    const object made = this->store->create_object(kind, "a", R"({"x":1})").value();
    ASSERT_TRUE(this->store->update_status(kind, "a", R"({"code":"none"})").ok());
    const object read = this->store->get(kind, "a").value();
    EXPECT_EQ(read.status, R"({"code":"none"})");
    EXPECT_EQ(read.spec, R"({"x":1})");
    EXPECT_EQ(read.generation, 1U);
    EXPECT_GT(read.version, made.version);
}

TEST_F(object_store_test, a_change_with_a_lost_response_is_unknown_and_takes_effect)
{
    this->standin->lose_answers("POST", kind, 1);
    EXPECT_TRUE(absl::IsUnknown(this->store->create_object(kind, "a", "{}").status()));
    EXPECT_TRUE(this->store->get(kind, "a").ok());
}

TEST_F(object_store_test, a_hanging_platform_leaves_changes_unknown_and_reads_unavailable)
{
    this->standin->set_outage(outage_mode::hang);
    EXPECT_TRUE(absl::IsUnknown(this->store->create_object(kind, "a", "{}").status()));
    EXPECT_TRUE(absl::IsUnavailable(this->store->get(kind, "a").status()));
    this->standin->set_outage(outage_mode::none);
    EXPECT_TRUE(absl::IsNotFound(this->store->get(kind, "a").status()));
}

TEST_F(object_store_test, an_invalid_status_leaves_changes_unknown_and_reads_unavailable)
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        scripted_server odd([&status](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(
                    absl::StrCat("HTTP/1.1 ", status, " Odd\r\nContent-Length: 2\r\n\r\n{}"));
            }
        });
        const std::unique_ptr<object_store> asked = connect({odd.local()});
        EXPECT_TRUE(absl::IsUnknown(asked->create_object(kind, "a", "{}").status())) << status;
        EXPECT_TRUE(absl::IsUnavailable(asked->get(kind, "a").status())) << status;
    }
}

TEST_F(object_store_test, a_refused_connection_is_unavailable_and_retried_elsewhere)
{
    const address gone = platform_standin::create({"127.0.0.1", 0}).value()->local();
    auto lonely = connect({gone});
    EXPECT_TRUE(absl::IsUnavailable(lonely->create_object(kind, "a", "{}").status()));
    auto with_second = connect({gone, this->standin->local()});
    EXPECT_TRUE(with_second->create_object(kind, "a", "{}").ok());
}

TEST_F(object_store_test, a_change_with_a_lost_response_is_not_sent_to_a_second_server)
{
    auto second = platform_standin::create({"127.0.0.1", 0}).value();
    auto both = connect({this->standin->local(), second->local()});
    this->standin->lose_answers("POST", kind, 1);
    EXPECT_TRUE(absl::IsUnknown(both->create_object(kind, "a", "{}").status()));
    EXPECT_TRUE(second->store().list(kind).objects.empty());
}

TEST_F(object_store_test, a_watch_delivers_changes_after_the_list)
{
    ASSERT_TRUE(this->store->create_object(kind, "a", "{}").ok());
    const object_list listed = this->store->list(kind).value();
    ASSERT_EQ(listed.objects.size(), 1U);
    ASSERT_TRUE(this->store->create_object("instances", "i", "{}").ok());
    ASSERT_TRUE(this->store->create_object(kind, "b", "{}").ok());
    ASSERT_TRUE(this->store->remove(kind, "a").ok());
    std::vector<std::string> seen;
    const absl::Status watched = this->store->watch(
        kind, listed.version, absl::Seconds(30), [&](const object_change& change) {
            const bool removed = change.change == change_kind::removed;
            seen.push_back((removed ? "-" : "+") + change.changed.name);
            return !removed;
        });
    EXPECT_TRUE(watched.ok()) << watched;
    EXPECT_EQ(seen, (std::vector<std::string>{"+b", "-a"}));
}

TEST_F(object_store_test, a_watch_waits_for_a_change)
{
    std::thread writer;
    ASSERT_TRUE(this->store->create_object(kind, "first", "{}").ok());
    const absl::Status watched =
        this->store->watch(kind, 0, absl::Seconds(30), [&](const object_change& change) {
            if (change.changed.name == "first") {
                writer = std::thread(
                    [this] { EXPECT_TRUE(this->store->create_object(kind, "later", "{}").ok()); });
            }
            return change.changed.name != "later";
        });
    EXPECT_TRUE(watched.ok()) << watched;
    writer.join();
}

TEST_F(object_store_test, a_watch_from_before_a_compaction_is_out_of_range)
{
    ASSERT_TRUE(this->store->create_object(kind, "a", "{}").ok());
    this->standin->store().compact();
    const absl::Status watched =
        this->store->watch(kind, 0, absl::Seconds(30), [](const object_change&) { return true; });
    EXPECT_TRUE(absl::IsOutOfRange(watched)) << watched;
}

TEST_F(object_store_test, a_waiting_watch_is_cancelled)
{
    std::thread canceller;
    ASSERT_TRUE(this->store->create_object(kind, "a", "{}").ok());
    const absl::Status watched =
        this->store->watch(kind, 0, absl::Seconds(30), [&](const object_change&) {
            canceller = std::thread([this] { this->store->cancel_watches(); });
            return true;
        });
    EXPECT_TRUE(absl::IsCancelled(watched)) << watched;
    canceller.join();
}

TEST_F(object_store_test, a_value_over_the_limit_is_refused)
{
    const std::string large = "\"" + std::string(1U << 20, 'x') + "\"";
    EXPECT_TRUE(absl::IsResourceExhausted(this->store->create_object(kind, "a", large).status()));
}

TEST_F(object_store_test, the_instance_list_shows_a_change_after_its_lag)
{
    this->standin->set_instance_lag(absl::Milliseconds(300));
    const absl::Time changed = absl::Now();
    this->standin->change_instance("e1", R"({"role":"entry"})");
    EXPECT_TRUE(this->store->list("instances")->objects.empty());
    const absl::Status watched = this->store->watch("instances", 0, absl::Seconds(30),
                                                    [](const object_change&) { return false; });
    EXPECT_TRUE(watched.ok()) << watched;
    EXPECT_GE(absl::Now() - changed, absl::Milliseconds(300));
}

// Guards against names that are put into a path as they are.
TEST_F(object_store_test, an_object_may_have_any_name)
{
    for (const std::string name : {"a&b", "a+b", "a#b", "a%b", "a%41b", "a b", "a?b=c", "a\"b",
                                   "a\\b", "caf\xc3\xa9", "a;b,c'd"}) {
        ASSERT_TRUE(this->store->create_object(kind, name, R"({"x":1})").ok()) << name;
        const absl::StatusOr<object> read = this->store->get(kind, name);
        ASSERT_TRUE(read.ok()) << name << read.status();
        EXPECT_EQ(read->name, name);
        EXPECT_TRUE(this->store->update(kind, name, R"({"x":2})", read->version).ok()) << name;
        EXPECT_TRUE(this->store->update_status(kind, name, R"({"code":"none"})").ok()) << name;
        EXPECT_TRUE(this->store->remove(kind, name).ok()) << name;
        EXPECT_TRUE(absl::IsNotFound(this->store->get(kind, name).status())) << name;
    }
}

// A store that answers each call with the text that `answer` returns for its target.
class scripted_store_test : public ::testing::Test {
protected:
    static std::string named(absl::string_view name)
    {
        return absl::StrCat(R"({"metadata":{"name":")", name, R"(","resourceVersion":"3"}})");
    }

    std::unique_ptr<object_store> connect()
    {
        return object_store::create({.servers = {this->server.local()}}).value();
    }

    std::function<std::string(const std::string&)> answer;
    std::atomic<int> calls = 0;
    scripted_server server{[this](scripted_connection& connection) {
        while (connection.read_request()) {
            ++this->calls;
            const std::string body = this->answer(connection.head.target);
            connection.write(absl::StrCat(body.empty() ? "HTTP/1.1 410 Gone" : "HTTP/1.1 200 OK",
                                          "\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
        }
    }};
};

// Guards against one unreadable object that costs the whole list.
TEST_F(scripted_store_test, an_unreadable_object_costs_the_list_no_other)
{
    this->answer = [](const std::string&) {
        return absl::StrCat(R"({"metadata":{"resourceVersion":"7"},"items":[)", named("a"),
                            R"(,{},7,{"metadata":{"name":1}},{"metadata":{"name":")", "\xff",
                            R"("}},)", named("b"), "]}");
    };
    const absl::StatusOr<object_list> listed = this->connect()->list(kind);
    ASSERT_TRUE(listed.ok()) << listed.status();
    ASSERT_EQ(listed->objects.size(), 2U);
    EXPECT_EQ(listed->objects[1].name, "b");
    EXPECT_EQ(listed->version, 7U);
}

// Guards against the first page of a list that is taken for the whole list.
TEST_F(scripted_store_test, a_list_of_several_pages_is_read_whole)
{
    this->answer = [](const std::string& target) {
        const bool is_second = absl::EndsWith(target, "?continue=a%2bb%26c%3d");
        return absl::StrCat(R"({"metadata":{"resourceVersion":"7","continue":")",
                            is_second ? "" : "a+b&c=", R"("},"items":[)",
                            named(is_second ? "b" : "a"), "]}");
    };
    const absl::StatusOr<object_list> listed = this->connect()->list(kind);
    ASSERT_TRUE(listed.ok()) << listed.status();
    ASSERT_EQ(listed->objects.size(), 2U);
    EXPECT_EQ(listed->objects[0].name, "a");
    EXPECT_EQ(listed->objects[1].name, "b");
}

// Guards against a platform that repeats a page.
TEST_F(scripted_store_test, a_list_that_does_not_end_fails)
{
    this->answer = [](const std::string&) {
        return absl::StrCat(R"({"metadata":{"continue":"again"},"items":[)", named("a"), "]}");
    };
    EXPECT_TRUE(absl::IsDataLoss(this->connect()->list(kind).status()));
    EXPECT_EQ(this->calls, 2);
}

// Guards against a list without end that takes all memory.
TEST_F(scripted_store_test, a_list_of_too_many_bytes_fails)
{
    constexpr std::size_t page_bytes = 4 << 20;
    this->answer = [this](const std::string&) {
        return absl::StrCat(R"({"metadata":{"continue":"page-)", this->calls.load(), R"("},"x":")",
                            std::string(page_bytes, 'x'), R"(","items":[]})");
    };
    constexpr int most_calls = 17;
    EXPECT_TRUE(absl::IsDataLoss(this->connect()->list(kind).status()));
    EXPECT_LE(this->calls, most_calls);
}

// Guards against pages that are taken for the whole list because the rest has gone.
TEST_F(scripted_store_test, a_list_whose_next_page_has_gone_fails)
{
    this->answer = [](const std::string& target) {
        return absl::StrContains(target, "continue=")
                   ? ""
                   : R"({"metadata":{"continue":"next"},"items":[]})";
    };
    EXPECT_TRUE(absl::IsOutOfRange(this->connect()->list(kind).status()));
}

// Guards against one unreadable change that ends a watch.
TEST_F(scripted_store_test, an_unreadable_change_costs_a_watch_no_other)
{
    this->answer = [](const std::string&) {
        return absl::StrCat(R"({"type":"MODIFIED","object":{}})", "\n", "7\n", "{\n",
                            R"({"type":"MODIFIED","object":)", named("b"), "}\n");
    };
    std::vector<std::string> names;
    const absl::Status watched =
        this->connect()->watch(kind, 3, absl::Seconds(1), [&](const object_change& change) {
            names.push_back(change.changed.name);
            return true;
        });
    EXPECT_TRUE(watched.ok()) << watched;
    ASSERT_EQ(names.size(), 1U);
    EXPECT_EQ(names[0], "b");
}

} // namespace
} // namespace sardinestream::platform
