#include <atomic>
#include <optional>

#include <gtest/gtest.h>

#include "sardinestream/backends/cold_limits.h"
#include "sardinestream/platform/object_watcher.h"
#include "sardinestream/platform/store_prober.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::platform {
namespace {

using std::chrono::milliseconds;

std::string answer(int status, absl::string_view body)
{
    return absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: ", body.size(), "\r\n\r\n",
                        body);
}

std::string object(absl::string_view name, int revision)
{
    return absl::StrCat(R"({"metadata":{"name":")", name, R"(","revision":)", revision,
                        R"(},"specification":{"v":)", revision, "}}");
}

bool eventually(const std::function<bool()>& holds, milliseconds longest = milliseconds(5000))
{
    const steady_time end = steady_clock::now() + longest;
    while (!holds() && steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return holds();
}

// Guards against a store that never ends a list: the objects of all pages were kept.
// A watch goes on from its position after a pause; the history is not lost.
TEST(store_client, an_invalid_status_is_an_unavailable_store)
{
    for (const int status : {99, 101, 600, 999}) {
        scripted_server store([status](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(absl::StrCat("HTTP/1.1 ", absl::Dec(status, absl::kZeroPad3),
                                              " Odd\r\nContent-Length: 2\r\n\r\n{}"));
            }
        });
        store_client client(store.local());
        const milliseconds time{2000};
        EXPECT_TRUE(absl::IsUnavailable(client.list("servers", time).status())) << status;
        EXPECT_TRUE(absl::IsUnavailable(client.watch("servers", {5, 1}, time, time).status()))
            << status;
    }
}

TEST(store_client, a_list_without_end_fails_within_its_memory)
{
    std::atomic<int> pages = 0;
    std::atomic<std::size_t> largest = 0;
    scripted_server store([&](scripted_connection& connection) {
        while (connection.read_request()) {
            std::string items;
            constexpr int objects_a_page = 400;
            for (int i = 0; i < objects_a_page; ++i) {
                absl::StrAppend(&items, i == 0 ? "" : ",",
                                object(absl::StrCat("o", pages * objects_a_page + i), 1));
            }
            ++pages;
            largest = std::max<std::size_t>(largest, own_call_memory().reserved());
            connection.write(
                answer(200, absl::StrCat(R"({"items":[)", items, R"(],"has-more":true,"at":5})")));
        }
    });
    {
        store_client client(store.local());
        EXPECT_TRUE(absl::IsResourceExhausted(client.list("servers", milliseconds(2000)).status()));
    }
    constexpr int max_pages = 200;
    EXPECT_LE(pages, max_pages);
    EXPECT_GT(largest, 0U);
    EXPECT_EQ(own_call_memory().reserved(), 0U);
}

TEST(object_watcher, reads_all_pages_of_a_list)
{
    std::atomic<int> objects = 0;
    scripted_server store([](scripted_connection& connection) {
        while (connection.read_request()) {
            if (absl::StrContains(connection.head.target, "watch")) {
                (void)connection.wait_for_end(milliseconds(500));
                return;
            }
            const bool second = absl::StrContains(connection.head.target, "after=a");
            connection.write(answer(200, second ? absl::StrCat(R"({"items":[)", object("b", 2),
                                                               R"(],"has-more":false,"at":9})")
                                                : absl::StrCat(R"({"items":[)", object("a", 1),
                                                               R"(],"has-more":true,"at":5})")));
        }
    });
    const object_watcher follower(store.local(), "servers",
                                  {[&](const object_list& list, const store_outage&) {
                                       EXPECT_EQ(list.position.revision, 5);
                                       objects = static_cast<int>(list.objects.size());
                                   },
                                   [](const change_list&, const store_outage&) {}});
    EXPECT_TRUE(eventually([&] { return objects == 2; }));
}

TEST(object_watcher, lists_again_if_the_history_is_gone)
{
    std::atomic<int> lists = 0;
    scripted_server store([](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(absl::StrContains(connection.head.target, "watch")
                                 ? answer(410, "")
                                 : answer(200, R"({"items":[],"has-more":false,"at":5})"));
        }
    });
    const object_watcher follower(store.local(), "config",
                                  {[&](const object_list&, const store_outage&) { ++lists; },
                                   [](const change_list&, const store_outage&) {}});
    EXPECT_TRUE(eventually([&] { return lists >= 2; }));
}

// The store stops answering and recovers. The first change after its recovery must be reported
// promptly, not after the end of a long watch that started during the outage.
TEST(object_watcher, reports_a_change_soon_after_an_outage)
{
    // At least the wait of the first watch.
    constexpr milliseconds silent_time{1750};
    std::atomic<bool> silent = true;
    std::atomic<int> seen = 0;
    scripted_server store([&](scripted_connection& connection) {
        while (connection.read_request()) {
            if (!absl::StrContains(connection.head.target, "watch")) {
                connection.write(answer(200, R"({"items":[],"has-more":false,"at":5})"));
                continue;
            }
            if (silent) {
                (void)connection.wait_for_end(milliseconds(8000));
                return;
            }
            connection.write(answer(200, absl::StrCat(R"({"events":[{"removed":false,"object":)",
                                                      object("main", 6), R"(}],"at":6})")));
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    const object_watcher follower(store.local(), "config",
                                  {[](const object_list&, const store_outage&) {},
                                   [&](const change_list& changes, const store_outage& outage) {
                                       EXPECT_GE(outage.ended - outage.begun, silent_time);
                                       seen = static_cast<int>(changes.position.revision);
                                   }});
    // The first watch fails, and then some shorter ones.
    ASSERT_TRUE(eventually([&] { return store.connections() >= 3; }, milliseconds(9000)));
    silent = false;
    EXPECT_TRUE(eventually([&] { return seen == 6; }, milliseconds(2500)));
}

// Guards against a watch that is cut off and passes for an outage in which entries expire: servers
// that had left were kept for the grace period. The store refuses or ends calls in several ways.
TEST(object_watcher, a_watch_that_is_cut_off_is_an_outage_of_no_length)
{
    constexpr milliseconds time_before_cut{1500};
    // A heartbeat of the users' servers: a longer outage lets entries expire.
    constexpr milliseconds longest{1200};
    for (const int refusals : {0, 1}) {
        for (const char* const refusal : {"", "429", "503"}) {
            std::atomic<int> watches = 0;
            absl::Mutex mutex;
            std::optional<store_outage> seen;
            scripted_server store([&](scripted_connection& connection) {
                while (connection.read_request()) {
                    if (!absl::StrContains(connection.head.target, "watch")) {
                        connection.write(answer(200, R"({"items":[],"has-more":false,"at":5})"));
                        continue;
                    }
                    const int number = watches++;
                    if (number == 0) {
                        (void)connection.wait_for_end(time_before_cut);
                    }
                    if (number <= refusals) {
                        int status = 0;
                        if (!absl::SimpleAtoi(refusal, &status)) {
                            return;
                        }
                        connection.write(answer(status, ""));
                        continue;
                    }
                    connection.write(answer(200, R"({"events":[],"at":6})"));
                    std::this_thread::sleep_for(milliseconds(50));
                }
            });
            std::atomic<int> begun = 0;
            std::atomic<int> ended = 0;
            const auto contact = std::make_shared<store_contact>([&](const store_outage& outage) {
                ++(outage.ended == steady_time{} ? begun : ended);
            });
            const object_watcher follower(store.local(), "servers",
                                          {[](const object_list&, const store_outage&) {},
                                           [&](const change_list&, const store_outage& outage) {
                                               const absl::MutexLock lock(&mutex);
                                               seen = seen.value_or(outage);
                                           }},
                                          any_size, contact);
            EXPECT_TRUE(eventually([&] {
                const absl::MutexLock lock(&mutex);
                return seen.has_value();
            }));
            const absl::MutexLock lock(&mutex);
            ASSERT_TRUE(seen.has_value());
            EXPECT_NE(seen->begun, steady_time{}) << refusal;
            EXPECT_LT(seen->ended - seen->begun, longest) << refusal;
            EXPECT_EQ(begun, 1) << refusal;
            EXPECT_EQ(ended, 1) << refusal;
        }
    }
}

// Guards against a machine that follows an older desired state for seconds because the connection
// of its watch has gone silent.
TEST(object_watcher, a_watch_whose_connection_goes_silent_is_replaced_within_three_seconds)
{
    constexpr milliseconds longest{3000};
    std::atomic<int> seen = 0;
    std::atomic<steady_time> silent_since = steady_time{};
    scripted_server store([&](scripted_connection& connection) {
        while (connection.read_request()) {
            if (!absl::StrContains(connection.head.target, "watch")) {
                connection.write(answer(200, R"({"items":[],"has-more":false,"at":5})"));
                continue;
            }
            if (silent_since.load() == steady_time{}) {
                silent_since = steady_clock::now();
                (void)connection.wait_for_end(milliseconds(8000));
                return;
            }
            connection.write(answer(200, absl::StrCat(R"({"events":[{"removed":false,"object":)",
                                                      object("main", 6), R"(}],"at":6})")));
            (void)connection.wait_for_end(milliseconds(200));
        }
    });
    const object_watcher follower(store.local(), "config",
                                  {[](const object_list&, const store_outage&) {},
                                   [&](const change_list& changes, const store_outage&) {
                                       seen = static_cast<int>(changes.position.revision);
                                   }});
    ASSERT_TRUE(eventually([&] { return seen == 6; }, milliseconds(8000)));
    EXPECT_LT(steady_clock::now() - silent_since.load(), longest);
}

// A store of which one connection, or the whole, can go silent.
class muted_store {
public:
    // `watched_kind` is of the watches that go silent with `mute_watches`.
    explicit muted_store(std::string watched_kind)
        : kind(std::move(watched_kind)), server([this](scripted_connection& connection) {
              const int opened_in = this->generation;
              while (connection.read_request()) {
                  if (!this->serve(connection, opened_in)) {
                      return;
                  }
              }
          })
    {
    }

    // Open connections answer no more watches of the kind; new ones work.
    void mute_watches() { ++this->generation; }
    void set_away(bool wanted) { this->away = wanted; }
    [[nodiscard]] address local() const { return this->server.local(); }

private:
    bool serve(scripted_connection& connection, int opened_in)
    {
        constexpr milliseconds step{10};
        constexpr absl::string_view wait_name = "wait-ms=";
        const absl::string_view target = connection.head.target;
        const std::size_t wait_at = target.find(wait_name);
        const bool is_watch = wait_at != absl::string_view::npos;
        int wait_ms = 0;
        EXPECT_TRUE(!is_watch ||
                    absl::SimpleAtoi(target.substr(wait_at + wait_name.size()), &wait_ms))
            << target;
        const steady_time end = steady_clock::now() + milliseconds(wait_ms);
        const bool can_fall_silent = is_watch && absl::StrContains(target, this->kind);
        while (steady_clock::now() < end && !this->away) {
            if (connection.wait_for_end(step)) {
                return false;
            }
        }
        if (this->away || (can_fall_silent && opened_in != this->generation)) {
            (void)connection.wait_for_end(milliseconds(20000));
            return false;
        }
        connection.write(answer(200, R"({"items":[],"events":[],"has-more":false,"at":5})"));
        return true;
    }

    const std::string kind;
    std::atomic<int> generation = 0;
    std::atomic<bool> away = false;
    scripted_server server;
};

// Follows two kinds of objects as an entry does, and keeps the longest outage.
class two_watches {
public:
    explicit two_watches(const address& store)
        : prober(store, probe_interval(heartbeat), contact),
          config(store, "config", hooks(), any_size, contact),
          servers(store, "servers", hooks(), any_size, contact)
    {
    }

    [[nodiscard]] milliseconds longest_outage()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->longest;
    }
    [[nodiscard]] int outages()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->ended;
    }

    static constexpr milliseconds heartbeat{1200};

private:
    static watcher_callbacks hooks()
    {
        return {[](const object_list&, const store_outage&) {},
                [](const change_list&, const store_outage&) {}};
    }

    void note(const store_outage& outage)
    {
        const absl::MutexLock lock(&this->mutex);
        if (outage.ended == steady_time{}) {
            return;
        }
        ++this->ended;
        this->longest = std::max(
            this->longest, std::chrono::duration_cast<milliseconds>(outage.ended - outage.begun));
    }

    absl::Mutex mutex;
    milliseconds longest ABSL_GUARDED_BY(mutex){0};
    int ended ABSL_GUARDED_BY(mutex) = 0;
    std::shared_ptr<store_contact> contact =
        std::make_shared<store_contact>([this](const store_outage& outage) { this->note(outage); });
    const store_prober prober;
    const object_watcher config;
    const object_watcher servers;
};

// Guards against a connection that has gone silent being taken for an outage of the store in which
// entries of servers expire (review 13), whether it is that of one watch or of all.
TEST(object_watcher, a_silent_connection_is_no_outage_while_the_store_answers_others)
{
    for (const char* const kind : {"servers", "config", ""}) {
        muted_store store(kind);
        two_watches watches(store.local());
        std::this_thread::sleep_for(milliseconds(900));
        store.mute_watches();
        ASSERT_TRUE(eventually([&] { return watches.outages() > 0; })) << kind;
        std::this_thread::sleep_for(milliseconds(500));
        EXPECT_LT(watches.longest_outage(), two_watches::heartbeat) << kind;
    }
}

// Guards against the opposite: a store that answers nobody for as long as one watch lasts, and then
// each new connection at once.
TEST(object_watcher, a_store_that_is_silent_for_everybody_is_away)
{
    constexpr milliseconds length{2300};
    muted_store store("");
    two_watches watches(store.local());
    std::this_thread::sleep_for(milliseconds(300));
    store.mute_watches();
    store.set_away(true);
    std::this_thread::sleep_for(length);
    store.set_away(false);
    ASSERT_TRUE(eventually([&] { return watches.outages() > 0; }));
    EXPECT_GE(watches.longest_outage(), length);
}

// Guards against servers that all count as perhaps cold, and get fewer requests for it, because one
// connection has gone silent.
TEST(object_watcher, a_silent_connection_is_replaced_before_the_servers_count_as_perhaps_cold)
{
    EXPECT_LT(batch_interval + watch_wait + initial_timeout, max_silence);
    EXPECT_LT(max_silence, list_answer_time);
}

// Guards against probes of the store, which the operator pays for, while its watches are answered:
// two watches that begin together are answered in turn.
TEST(object_watcher, watches_of_one_process_are_answered_at_even_intervals)
{
    const auto contact = std::make_shared<store_contact>();
    const steady_time start = steady_clock::now();
    steady_time config = start;
    steady_time servers = start;
    // The answers come somewhat late.
    constexpr milliseconds late{10};
    milliseconds longest{0};
    steady_time last_answer = start;
    for (int i = 0; i < 20; ++i) {
        const bool is_config = config <= servers;
        steady_time& next = is_config ? config : servers;
        const steady_time now = next;
        if (i > 4) {
            longest =
                std::max(longest, std::chrono::duration_cast<milliseconds>(now - last_answer));
        }
        last_answer = now;
        next = now + contact->plan_wait(is_config ? "config" : "servers", watch_wait, now) + late;
    }
    EXPECT_LT(longest, probe_interval(two_watches::heartbeat));
}

// Servers register in quick succession. Changes must share watch calls instead of costing one each.
TEST(object_watcher, batches_changes_in_quick_succession)
{
    const steady_time begun = steady_clock::now();
    constexpr milliseconds time_of_a_change{10};
    constexpr int last_change = 100;
    std::atomic<int> calls = 0;
    std::atomic<int> seen = 0;
    scripted_server store([&](scripted_connection& connection) {
        while (connection.read_request()) {
            ++calls;
            if (!absl::StrContains(connection.head.target, "watch")) {
                connection.write(answer(200, R"({"items":[],"has-more":false,"at":0})"));
                continue;
            }
            std::this_thread::sleep_for(time_of_a_change);
            const auto revision = static_cast<int>(std::min<std::int64_t>(
                last_change, (steady_clock::now() - begun) / time_of_a_change));
            connection.write(
                answer(200, absl::StrCat(R"({"events":[{"removed":false,"object":)",
                                         object("main", revision), R"(}],"at":)", revision, "}")));
        }
    });
    const object_watcher follower(store.local(), "servers",
                                  {[](const object_list&, const store_outage&) {},
                                   [&](const change_list& changes, const store_outage&) {
                                       seen = static_cast<int>(changes.position.revision);
                                   }});
    ASSERT_TRUE(eventually([&] { return seen == last_change; }));
    EXPECT_LT(calls, last_change / 5);
}

// Lists with the era and revision that it was configured with, and answers watches in the same way.
class restorable_store {
public:
    explicit restorable_store(std::string first_era)
        : era(std::move(first_era)), server([this](scripted_connection& connection) {
              while (connection.read_request()) {
                  const bool is_watch = absl::StrContains(connection.head.target, "watch");
                  this->lists += is_watch ? 0 : 1;
                  connection.write(this->answer_now());
                  std::this_thread::sleep_for(milliseconds(10));
              }
          })
    {
    }

    void restore(const std::string& next_era, int next_revision)
    {
        const absl::MutexLock lock(&this->mutex);
        this->era = next_era;
        this->revision = next_revision;
    }

    [[nodiscard]] address local() const { return this->server.local(); }

    std::atomic<int> lists = 0;

private:
    [[nodiscard]] std::string answer_now()
    {
        const absl::MutexLock lock(&this->mutex);
        const std::string body =
            absl::StrCat(R"({"items":[],"has-more":false,"events":[],"at":)", this->revision, "}");
        return absl::StrCat("HTTP/1.1 200 X\r\n", this->era, "Content-Length: ", body.size(),
                            "\r\n\r\n", body);
    }

    absl::Mutex mutex;
    // The header line, or nothing.
    std::string era;
    int revision = 40;
    scripted_server server;
};

// Returns the lists that a watcher has read once the store has been restored and has settled.
int lists_after_restoring(restorable_store& store, const std::string& era, int revision)
{
    const object_watcher follower(store.local(), "servers",
                                  {[](const object_list&, const store_outage&) {},
                                   [](const change_list&, const store_outage&) {}});
    EXPECT_TRUE(eventually([&] { return store.lists == 1; }));
    std::this_thread::sleep_for(milliseconds(50));
    store.restore(era, revision);
    std::this_thread::sleep_for(milliseconds(300));
    return store.lists;
}

TEST(object_watcher, lists_again_when_a_watch_is_answered_in_another_era)
{
    restorable_store store("Store-Era: 1\r\n");
    EXPECT_EQ(lists_after_restoring(store, "Store-Era: 2\r\n", 41), 2);
}

TEST(object_watcher, lists_again_when_the_era_falls)
{
    restorable_store store("Store-Era: 3\r\n");
    EXPECT_EQ(lists_after_restoring(store, "Store-Era: 2\r\n", 41), 2);
}

TEST(object_watcher, lists_again_when_the_revision_of_a_store_without_eras_falls)
{
    restorable_store store("");
    EXPECT_EQ(lists_after_restoring(store, "", 39), 2);
}

TEST(object_watcher, goes_on_where_an_era_is_missing_or_malformed)
{
    restorable_store missing("Store-Era: 7\r\n");
    EXPECT_EQ(lists_after_restoring(missing, "", 41), 1);
    for (const char* const era : {"x7", "", "-1", "7.5", "99999999999999999999"}) {
        restorable_store malformed("Store-Era: 7\r\n");
        EXPECT_EQ(lists_after_restoring(malformed, absl::StrCat("Store-Era: ", era, "\r\n"), 41), 1)
            << era;
    }
}

// What another writer may leave among the objects of a kind.
std::vector<std::string> odd_objects()
{
    constexpr std::size_t depth = 300000;
    const std::string metadata = R"({"metadata":{"name":"odd","revision":3},"specification":)";
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    return {metadata + deep + "}",
            metadata + R"({"slots":1e999}})",
            metadata + "{\"zone\":\"\xff\xfe\"}}",
            metadata + R"({"zone":"\ud800"}})",
            metadata + "tru}",
            R"({"metadata":{"name":7,"revision":3},"specification":{}})",
            R"({"metadata":{"name":"odd","revision":1e400},"specification":{}})",
            R"({"metadata":)" + deep + "}",
            "17",
            "null"};
}

TEST(object_watcher, an_odd_object_in_a_list_costs_only_itself)
{
    for (const std::string& odd : odd_objects()) {
        std::atomic<int> seen = 0;
        scripted_server store([&](scripted_connection& connection) {
            while (connection.read_request()) {
                if (absl::StrContains(connection.head.target, "watch")) {
                    (void)connection.wait_for_end(milliseconds(300));
                    return;
                }
                connection.write(answer(200, absl::StrCat(R"({"items":[)", object("a", 1), ",", odd,
                                                          ",", object("b", 2), R"(],"at":9})")));
            }
        });
        const object_watcher follower(store.local(), "servers",
                                      {[&](const object_list& list, const store_outage&) {
                                           for (const stored_object& listed : list.objects) {
                                               seen +=
                                                   listed.name == "a" || listed.name == "b" ? 1 : 0;
                                           }
                                       },
                                       [](const change_list&, const store_outage&) {}});
        EXPECT_TRUE(eventually([&] { return seen == 2; }, milliseconds(1000)))
            << odd.substr(0, 100);
    }
}

TEST(object_watcher, an_odd_object_in_a_watch_costs_only_itself)
{
    for (const std::string& odd : odd_objects()) {
        std::atomic<int> seen = 0;
        std::atomic<int> lists = 0;
        scripted_server store([&](scripted_connection& connection) {
            while (connection.read_request()) {
                if (!absl::StrContains(connection.head.target, "watch")) {
                    ++lists;
                    connection.write(answer(200, R"({"items":[],"at":5})"));
                    continue;
                }
                connection.write(
                    answer(200, absl::StrCat(R"({"events":[{"removed":false,"object":)", odd,
                                             R"(},{"removed":false,"object":)", object("b", 6),
                                             R"(}],"at":6})")));
                std::this_thread::sleep_for(milliseconds(50));
            }
        });
        const object_watcher follower(store.local(), "servers",
                                      {[](const object_list&, const store_outage&) {},
                                       [&](const change_list& changes, const store_outage&) {
                                           for (const object_change& change : changes.changes) {
                                               seen += change.object.name == "b" ? 1 : 0;
                                           }
                                       }});
        EXPECT_TRUE(eventually([&] { return seen >= 1; }, milliseconds(1000)))
            << odd.substr(0, 100);
        EXPECT_EQ(lists, 1) << odd.substr(0, 100);
    }
}

TEST(object_watcher, continues_after_malformed_responses)
{
    std::atomic<int> asked = 0;
    std::atomic<int> lists = 0;
    scripted_server store([&](scripted_connection& connection) {
        while (connection.read_request()) {
            connection.write(asked++ < 2 ? answer(200, "not JSON")
                                         : answer(200, R"({"items":[],"has-more":false,"at":5,)"
                                                       R"("events":[]})"));
            std::this_thread::sleep_for(milliseconds(20));
        }
    });
    const object_watcher follower(store.local(), "config",
                                  {[&](const object_list&, const store_outage&) { ++lists; },
                                   [](const change_list&, const store_outage&) {}});
    EXPECT_TRUE(eventually([&] { return lists >= 1; }));
}

} // namespace
} // namespace sardinestream::platform
