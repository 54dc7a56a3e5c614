// Tests which answers of servers show that a request does not crash them.

#include "sardinestream/base/metrics.h"
#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using suspects::suspect_verdict;

class crash_evidence_test : public frontend_test {
protected:
    // Records that a server crashed under a request with this part.
    void crash_with(const std::string& part, const std::string& server_id = "crashed")
    {
        caller_request request;
        request.prompt_parts = {part};
        request.body = server_id;
        backend_server server;
        server.id = server_id;
        server.service = "service";
        this->servers_have_crashed = true;
        this->crashes.note_lost(server, request);
        this->servers_have_crashed = false;
    }

    // Sends a request with this part to a server that answers as the script says.
    void call_with(const std::string& part, const std::function<void(scripted_connection&)>& script)
    {
        scripted_server server([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            script(connection);
        });
        this->use({&server});
        tcp_socket socket = this->connect();
        ASSERT_TRUE(
            socket
                .write_all(absl::StrCat("POST /pay/ HTTP/1.1\r\nHost: shop\r\nId: r1\r\nKey: "
                                        "k\r\nPart: ",
                                        part, "\r\nContent-Length: 2\r\n\r\n{}"),
                           soon(), {})
                .ok());
        message_reader reader(socket);
        static_cast<void>(read_answer(reader));
        this->stop();
    }

    [[nodiscard]] bool is_suspected(const std::string& part)
    {
        return this->registry->assess({suspects::prompt_part_trait("service", part)}).verdict !=
               suspect_verdict::clear;
    }
};

TEST_F(crash_evidence_test, a_failure_that_a_server_answers_clears_no_part)
{
    this->crash_with("bad");
    this->call_with("bad", [](scripted_connection& connection) {
        connection.write(
            "HTTP/1.1 504 Late\r\nSigned: 1\r\nId: r1\r\nContent-Length: 4\r\n\r\nlate");
    });
    EXPECT_TRUE(this->is_suspected("bad"));
}

// Guards against a count of refused suspects that grows while the server of one is silent.
TEST_F(crash_evidence_test, a_blamed_request_whose_server_is_silent_counts_as_refused_once)
{
    const metric_labels labels = {{"service", "service"}};
    const auto counted = [&labels] {
        return counter_value("sardine_crash_suspects_refused_total", labels);
    };
    constexpr int enough_crashes = 6;
    const std::uint64_t before = counted();
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        ++asked;
        for (int i = 0; i < enough_crashes; ++i) {
            this->crash_with("bad", absl::StrCat("crashed", i));
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2000));
        connection.write(stream_head(connection) + chunk("id: 1\ndata: late\n\n") + "0\r\n\r\n");
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    tcp_socket socket = this->connect();
    ASSERT_TRUE(socket
                    .write_all(absl::StrCat("POST /tell/ HTTP/1.1\r\nHost: shop\r\nId: r1\r\n"
                                            "Key: k\r\nPart: bad\r\nContent-Length: 2\r\n"
                                            "\r\n{}"),
                               soon(), {})
                    .ok());
    message_reader reader(socket);
    EXPECT_EQ(read_answer(reader).body, "id: 1\ndata: late\n\n");
    EXPECT_EQ(asked, 1);
    EXPECT_LE(counted() - before, 1U);
    EXPECT_EQ(this->budget, 100);
    this->channels.close_stale({});
}

TEST_F(crash_evidence_test, a_success_clears_the_parts_of_its_request)
{
    this->crash_with("sound");
    this->call_with("sound", [](scripted_connection& connection) {
        connection.write(answer_to(connection, "done"));
    });
    EXPECT_FALSE(this->is_suspected("sound"));
}

} // namespace
} // namespace sardinestream
