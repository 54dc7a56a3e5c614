// Tests responses with an invalid status code: outside 100 to 599, or 101 though no upgrade was
// asked for. The attempt has failed at once, as with bytes that are no response: what may be
// repeated is repeated, what may not is answered 502, and nothing of the response reaches the
// caller.

#include <array>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr std::array odd_statuses = {"000", "001", "099",  "101", "600", "999",
                                     "1",   "20",  "2000", "2x0", "-20", "+20"};
// A request that waits for another response has no answer by the time that the test waits for one.
constexpr std::chrono::seconds route_timeout{60};

class response_status_test : public frontend_test {
protected:
    // A response to the request that is sound but for its status.
    static std::string odd_answer(const scripted_connection& connection, absl::string_view status)
    {
        return absl::StrCat("HTTP/1.1 ", status, " Odd\r\nSigned: 1\r\nId: ",
                            find_header(connection.head.headers, "Id").value_or(""),
                            "\r\nContent-Length: 3\r\n\r\nodd");
    }

    // The end of the connection would tell that no other answer comes.
    static void wait_for_end(scripted_connection& connection)
    {
        EXPECT_TRUE(connection.wait_for_end(milliseconds(6000)));
    }

    // Sends a request to two servers. The first one asked writes what `write_odd` does; the
    // other one is sound. Sets `asked` to the number of attempts.
    caller_answer call_with(const std::function<void(scripted_connection&)>& write_odd,
                            const std::string& target, int& asked)
    {
        const std::shared_ptr<desired_state> patient = make_state();
        for (route& one : patient->routes) {
            one.timeout = route_timeout;
        }
        patient->index_routes();
        this->state = patient;
        this->stopping = false;
        this->budget = 100;
        this->open();
        std::atomic<int> arrivals = 0;
        const auto script = [&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            if (arrivals++ > 0) {
                connection.write(target == "/tell/"
                                     ? stream_head(connection) + chunk("id: 1\ndata: a\n\n") +
                                           chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"
                                     : answer_to(connection, "sound"));
                return;
            }
            write_odd(connection);
        };
        scripted_server first(script);
        scripted_server second(script);
        this->use({&first, &second});
        caller_answer answer = this->call(target, "r1");
        this->stop();
        this->servers.set_servers({});
        asked = arrivals;
        return answer;
    }
};

TEST_F(response_status_test, that_is_invalid_fails_the_attempt_at_once)
{
    for (const char* const status : odd_statuses) {
        for (const std::string target : {"/read/", "/tell/", "/pay/"}) {
            int asked = 0;
            const caller_answer answer = this->call_with(
                [status](scripted_connection& connection) {
                    connection.write(odd_answer(connection, status));
                    wait_for_end(connection);
                },
                target, asked);
            const std::string row = absl::StrCat(status, " ", target);
            const bool repeats = target != "/pay/";
            EXPECT_EQ(answer.head.status, repeats ? 200 : 502) << row;
            EXPECT_FALSE(find_header(answer.head.headers, "Signed").has_value() && !repeats) << row;
            EXPECT_EQ(asked, repeats ? 2 : 1) << row;
        }
    }
}

TEST_F(response_status_test, that_is_invalid_behind_an_interim_response_fails_the_attempt)
{
    for (const char* const status : {"000", "600"}) {
        int asked = 0;
        const caller_answer answer = this->call_with(
            [status](scripted_connection& connection) {
                connection.write("HTTP/1.1 102 Wait\r\n\r\n" + odd_answer(connection, status));
                wait_for_end(connection);
            },
            "/pay/", asked);
        EXPECT_EQ(answer.head.status, 502) << status;
    }
}

TEST_F(response_status_test, that_is_invalid_to_the_rest_of_a_stream_does_not_enter_it)
{
    std::atomic<int> asked = 0;
    const auto script = [&](scripted_connection& connection) {
        ASSERT_TRUE(connection.read_request());
        const int number = asked++;
        if (number == 0) {
            connection.write(stream_head(connection) + chunk("id: 1\ndata: a\n\n"));
            connection.reset();
            return;
        }
        connection.write(odd_answer(connection, "600"));
    };
    scripted_server first(script);
    scripted_server second(script);
    this->use({&first, &second});
    const caller_answer answer = this->call("/tell/", "r1");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, "id: 1\ndata: a\n\n");
    EXPECT_FALSE(answer.end.ok());
}

// The whole range is passed on as before.
TEST_F(response_status_test, of_any_final_answer_reaches_the_caller)
{
    for (const std::string status : {"200", "299", "404", "499", "500", "599"}) {
        int asked = 0;
        const caller_answer answer = this->call_with(
            [&status](scripted_connection& connection) {
                connection.write("HTTP/1.1 103 Hints\r\n\r\n" + odd_answer(connection, status));
            },
            "/pay/", asked);
        EXPECT_EQ(absl::StrCat(answer.head.status), status);
        EXPECT_EQ(answer.body, "odd") << status;
        EXPECT_EQ(asked, 1) << status;
    }
}

} // namespace
} // namespace sardinestream
