// Test fixture for several entries in one process, each on a loopback address of its own, in front
// of servers that the test emulates.

#ifndef SARDINESTREAM_TESTING_EMULATOR_ENTRY_FLEET_FIXTURE_H_
#define SARDINESTREAM_TESTING_EMULATOR_ENTRY_FLEET_FIXTURE_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/platform/caller_protocol.h"
#include "sardinestream/programs/entry_program.h"
#include "sardinestream/testing/emulator/connection_server.h"
#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {

inline constexpr char fleet_service[] = "assistant";
inline constexpr char fleet_server_ip[] = "127.0.8.1";

// The only desired state of the fleet: streams of one service.
inline absl::StatusOr<std::shared_ptr<const desired_state>> decode_fleet_state(absl::string_view)
{
    auto state = std::make_shared<desired_state>();
    state->version = 1;
    route made;
    made.name = "chat";
    made.host = "shop.example";
    made.path_prefix = "/chat/";
    made.kind = request_kind::streaming;
    made.resumable = true;
    made.services = {{fleet_service, 1}};
    made.timeout = std::chrono::milliseconds(4000);
    made.latency_target = std::chrono::milliseconds(300);
    made.max_attempts = 2;
    state->routes = {made};
    state->services[fleet_service].name = fleet_service;
    // An agent runs beside each server of an engine with experts.
    state->services[fleet_service].engine.layer_sets = 1;
    state->index_routes();
    return state;
}

// Writes the head of a stream, with further headers.
inline void write_stream_head(served_connection& connection, const emulated_request& request,
                              const http_headers& further)
{
    answer_head head;
    head.status = 200;
    head.headers = {{words::request_id, request.header(words::request_id)},
                    {words::signature, "signed"},
                    {"Content-Type", "text/event-stream"}};
    head.headers.insert(head.headers.end(), further.begin(), further.end());
    head.chunked = true;
    connection.write(encode_answer_head(head));
}

inline void write_whole_stream(served_connection& connection)
{
    connection.write(encode_chunk("id: 1\ndata: a\n\n") + encode_chunk("id: 2\ndata: b\n\n") +
                     "0\r\n\r\n");
}

class entry_fleet_test : public ::testing::Test {
protected:
    void TearDown() override { this->wait_for_answers(); }

    void wait_for_answers()
    {
        for (std::thread& call : this->calls) {
            call.join();
        }
        this->calls.clear();
    }

    void start_entry(const server_list& servers)
    {
        const std::string ip = entry_ip(this->entries.size());
        entry_options options;
        options.id = absl::StrCat("entry-", this->entries.size());
        options.ip = ip;
        options.front_listen = {ip, front_port};
        options.ready_listen = {ip, 0};
        options.ops_listen = {ip, 0};
        options.gossip_port = gossip_port;
        options.seeds = {entry_ip(0)};
        this->entries.push_back(
            *entry_program::start(options, platform::make_caller_protocol(), this->decoder));
        this->entries.back()->apply_desired_state("any", 1, "store");
        this->entries.back()->apply_server_list(servers, {});
    }

    void list_servers(const server_list& servers)
    {
        for (const std::unique_ptr<entry_program>& entry : this->entries) {
            entry->apply_server_list(servers, {});
        }
    }

    // Sends one request with these prompt parts to the next entry; counts it if it is served.
    void send(const std::string& parts, std::atomic<int>& served)
    {
        const int number = ++this->sent;
        const std::string ip = entry_ip(static_cast<std::size_t>(number) % this->entries.size());
        const std::string text =
            absl::StrCat("POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n",
                         words::request_id, ": r", number, "\r\n", words::prompt_parts, ": ", parts,
                         ",own", number, ":5\r\nContent-Length: 2\r\n\r\n{}");
        this->calls.emplace_back([ip, text, &served] {
            const steady_time end = steady_clock::now() + std::chrono::milliseconds(5000);
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

    static constexpr int front_port = 21801;
    static constexpr int gossip_port = 21802;

    static std::string entry_ip(std::size_t number) { return absl::StrCat("127.0.8.", 2 + number); }

    desired_state_decoder decoder = decode_fleet_state;
    std::vector<std::unique_ptr<entry_program>> entries;
    int sent = 0;

private:
    std::vector<std::thread> calls;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_ENTRY_FLEET_FIXTURE_H_
