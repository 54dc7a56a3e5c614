// Tests that requests which crash backend servers are kept away from them by all entries, while
// other requests are served. Entries run in this process, each on a loopback address of its own.

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/platform/caller_protocol.h"
#include "sardinestream/programs/entry_program.h"
#include "sardinestream/testing/emulator/connection_server.h"
#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr char service_name[] = "assistant";
constexpr char bad_part[] = "badc0de";
// From the fifth crash until requests with its cause must be kept away.
constexpr milliseconds reaction_time{3000};
constexpr int crashes_to_react = 5;
constexpr int max_late_arrivals = 3;
constexpr milliseconds restart_time{600};
constexpr milliseconds send_interval{60};

absl::StatusOr<std::shared_ptr<const desired_state>> decode_state(absl::string_view)
{
    auto state = std::make_shared<desired_state>();
    state->version = 1;
    route made;
    made.name = "chat";
    made.host = "shop.example";
    made.path_prefix = "/chat/";
    made.kind = request_kind::streaming;
    made.resumable = true;
    made.services = {{service_name, 1}};
    made.timeout = milliseconds(4000);
    made.latency_target = milliseconds(300);
    made.max_attempts = 2;
    state->routes = {made};
    state->services[service_name].name = service_name;
    state->index_routes();
    return state;
}

// Backend servers that end as soon as they begin to answer a request with the bad part, and are
// back some time later under another id.
class crashing_servers {
public:
    explicit crashing_servers(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->nodes.push_back(std::make_unique<node>());
            this->start(*this->nodes.back());
        }
    }

    // Ends servers that have crashed and restarts those whose time has come. Returns whether the
    // list has changed.
    bool update()
    {
        bool changed = false;
        for (const std::unique_ptr<node>& one : this->nodes) {
            if (one->server != nullptr && one->crashes) {
                one->server.reset();
                one->returns_at = steady_clock::now() + restart_time;
                ++this->crash_count;
            }
            if (one->server == nullptr && steady_clock::now() >= one->returns_at) {
                this->start(*one);
                changed = true;
            }
        }
        return changed;
    }

    [[nodiscard]] server_list list() const
    {
        server_list all;
        all.revision = this->revision;
        for (const std::unique_ptr<node>& one : this->nodes) {
            all.servers.push_back({one->described, one->revision});
        }
        return all;
    }

    [[nodiscard]] int crashes() const { return this->crash_count; }
    [[nodiscard]] int bad_arrivals() const { return this->bad_count; }

private:
    struct node {
        std::atomic<bool> crashes = false;
        backend_server described;
        std::int64_t revision = 0;
        steady_time returns_at{};
        std::unique_ptr<connection_server> server;
    };

    void start(node& one)
    {
        one.crashes = false;
        one.revision = ++this->revision;
        one.server = *connection_server::start({"127.0.8.1", 0},
                                               [this, &one](served_connection& connection) {
                                                   emulated_request request;
                                                   while (connection.read(request)) {
                                                       this->answer(one, connection, request);
                                                   }
                                               });
        one.described.id = absl::StrCat("i-", one.revision);
        one.described.service = service_name;
        one.described.slots = 8;
        one.described.born_ms = one.revision;
        one.described.endpoint = one.server->local();
    }

    void answer(node& one, served_connection& connection, const emulated_request& request)
    {
        const std::string id = request.header(words::request_id);
        answer_head head;
        head.status = 200;
        head.headers = {{words::request_id, id},
                        {words::signature, "signed"},
                        {"Content-Type", "text/event-stream"}};
        head.chunked = true;
        connection.write(encode_answer_head(head));
        if (absl::StrContains(request.header(words::prompt_parts), bad_part)) {
            ++this->bad_count;
            one.crashes = true;
            static_cast<void>(connection.work_for(milliseconds(2000)));
            connection.finish();
            return;
        }
        connection.write(encode_chunk("id: 1\ndata: a\n\n") + encode_chunk("id: 2\ndata: b\n\n") +
                         "0\r\n\r\n");
    }

    std::vector<std::unique_ptr<node>> nodes;
    std::int64_t revision = 1;
    int crash_count = 0;
    std::atomic<int> bad_count = 0;
};

class crash_containment : public ::testing::Test {
protected:
    ~crash_containment() override
    {
        for (std::thread& call : this->calls) {
            call.join();
        }
    }

    void start_entry()
    {
        const std::string ip = absl::StrCat("127.0.8.", 2 + this->entries.size());
        entry_options options;
        options.id = absl::StrCat("entry-", this->entries.size());
        options.ip = ip;
        options.front_listen = {ip, front_port};
        options.ready_listen = {ip, 0};
        options.ops_listen = {ip, 0};
        options.news_port = news_port;
        options.seeds = {"127.0.8.2"};
        this->entries.push_back(
            *entry_program::start(options, platform::make_caller_protocol(), decode_state));
        this->entries.back()->apply_desired_state("any", 1, "store");
        this->entries.back()->apply_server_list(this->servers.list(), {});
    }

    // Sends one request with these prompt parts to the next entry; counts whether it is served.
    void send(const std::string& parts, std::atomic<int>& served)
    {
        const int number = ++this->sent;
        const std::string ip =
            absl::StrCat("127.0.8.", 2 + static_cast<std::size_t>(number) % this->entries.size());
        const std::string text =
            absl::StrCat("POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n",
                         words::request_id, ": r", number, "\r\n", words::prompt_parts, ": ", parts,
                         ",own", number, ":5\r\nContent-Length: 2\r\n\r\n{}");
        this->calls.emplace_back([ip, text, &served] {
            const steady_time end = steady_clock::now() + milliseconds(5000);
            absl::StatusOr<tcp_socket> socket =
                tcp_socket::connect({ip, front_port}, end, hangup_watch());
            if (!socket.ok() || !socket->write_all(text, end, hangup_watch()).ok()) {
                return;
            }
            message_reader reader(*socket);
            const absl::StatusOr<http_response_head> head =
                reader.read_response_head(message_limits(), false, end, hangup_watch());
            std::string body;
            const bool whole =
                head.ok() && reader.read_body(1U << 20U, body, end, hangup_watch()).ok();
            served += whole && head->status == 200 ? 1 : 0;
        });
    }

    void update_servers()
    {
        if (!this->servers.update()) {
            return;
        }
        for (const std::unique_ptr<entry_program>& entry : this->entries) {
            entry->apply_server_list(this->servers.list(), {});
        }
    }

    // Sends requests with and without the bad part for this time.
    void send_both_for(milliseconds duration)
    {
        const steady_time end = steady_clock::now() + duration;
        while (steady_clock::now() < end) {
            this->send(absl::StrCat("first:40,", bad_part, ":20"), this->bad_served);
            this->send(absl::StrCat("first:40,fine", this->sent % 3, ":20"), this->sound_served);
            ++this->sound_sent;
            this->update_servers();
            std::this_thread::sleep_for(send_interval);
        }
    }

    void send_both_until_reaction_is_due()
    {
        const steady_time give_up = steady_clock::now() + milliseconds(6000);
        while (this->servers.crashes() < crashes_to_react && steady_clock::now() < give_up) {
            this->send_both_for(send_interval);
        }
        this->send_both_for(reaction_time);
    }

    static constexpr int front_port = 21801;
    static constexpr int news_port = 21802;
    crashing_servers servers{8};
    std::vector<std::unique_ptr<entry_program>> entries;
    std::vector<std::thread> calls;
    int sent = 0;
    int sound_sent = 0;
    std::atomic<int> sound_served = 0;
    std::atomic<int> bad_served = 0;
};

TEST_F(crash_containment, a_prompt_part_that_crashes_servers_reaches_no_more_of_them_from_any_entry)
{
    this->start_entry();
    this->start_entry();
    this->send_both_until_reaction_is_due();
    const int before = this->servers.bad_arrivals();
    this->start_entry();
    this->send_both_for(milliseconds(3000));
    EXPECT_LE(this->servers.bad_arrivals() - before, max_late_arrivals);
}

TEST_F(crash_containment, requests_without_the_part_are_served)
{
    this->start_entry();
    this->start_entry();
    this->send_both_until_reaction_is_due();
    const int sent_before = this->sound_sent;
    const int served_before = this->sound_served;
    this->send_both_for(milliseconds(3000));
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_GE(2 * (this->sound_served - served_before), this->sound_sent - sent_before);
}

} // namespace
} // namespace sardinestream::testing
