#include <algorithm>
#include <array>
#include <random>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/http/message_reader.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

steady_time soon()
{
    return steady_clock::now() + std::chrono::seconds(5);
}

// Holds both ends of a connection: the test writes to `far` and reads messages from `near`.
class message_reader_test : public testing::Test {
protected:
    message_reader_test()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
        this->near = tcp_socket(ends[0]);
        this->far = tcp_socket(ends[1]);
    }

    void send(absl::string_view bytes) { ASSERT_TRUE(this->far.write_all(bytes, soon(), {}).ok()); }

    absl::Status request_error(absl::string_view bytes)
    {
        this->send(bytes);
        message_reader reader(this->near);
        absl::StatusOr<http_request_head> head = reader.read_request_head(limits, soon());
        if (!head.ok()) {
            return head.status();
        }
        std::string body;
        return reader.read_body(limits.body_bytes, body, soon(), {});
    }

    const message_limits limits = {2048, 1000};
    tcp_socket near;
    tcp_socket far;
};

// Drawn status lines: a head is read exactly if its status is three digits from 100 to 599, and no
// upgrade, which nobody asks for.
TEST_F(message_reader_test, reads_a_response_head_only_with_a_status)
{
    std::minstd_rand random(1);
    const std::string letters = "0123456789 +-.xA";
    for (int line = 0; line < 3000; ++line) {
        std::string status = absl::StrCat(absl::Dec(random() % 1000, absl::kZeroPad3));
        if (line % 3 == 0) {
            status.resize(random() % 5);
            for (char& letter : status) {
                letter = letters[random() % letters.size()];
            }
        }
        std::array<int, 2> ends{};
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
        tcp_socket reading(ends[0]);
        tcp_socket writing(ends[1]);
        ASSERT_TRUE(
            writing.write_all(absl::StrCat("HTTP/1.1 ", status, " R\r\n\r\n"), soon(), {}).ok());
        message_reader reader(reading);
        const absl::StatusOr<http_response_head> head =
            reader.read_response_head(limits, false, soon(), {});
        int number = 0;
        // The reason phrase may begin with a space.
        const std::string token = status.substr(0, status.find(' '));
        const bool is_status =
            token.size() == 3 && std::all_of(token.begin(), token.end(), absl::ascii_isdigit) &&
            absl::SimpleAtoi(token, &number) && number >= 100 && number <= 599 && number != 101;
        ASSERT_EQ(head.ok(), is_status) << "status '" << status << "': " << head.status();
        if (is_status) {
            ASSERT_EQ(head->status, number);
        }
    }
}

TEST_F(message_reader_test, reads_a_request_with_a_length)
{
    this->send("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET");
    message_reader reader(this->near);
    absl::StatusOr<http_request_head> head = reader.read_request_head(limits, soon());
    ASSERT_TRUE(head.ok());
    EXPECT_EQ(head->method, "POST");
    EXPECT_EQ(head->target, "/a?b=1");
    std::string body;
    ASSERT_TRUE(reader.read_body(limits.body_bytes, body, soon(), {}).ok());
    EXPECT_EQ(body, "abc");
    EXPECT_TRUE(reader.has_surplus());
}

TEST_F(message_reader_test, reads_a_chunked_body_that_comes_in_parts)
{
    this->send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    message_reader reader(this->near);
    ASSERT_TRUE(reader.read_request_head(limits, soon()).ok());
    this->send("c\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    std::string body;
    ASSERT_TRUE(reader.read_body(limits.body_bytes, body, soon(), {}).ok());
    EXPECT_EQ(body, "abcde");
    EXPECT_FALSE(reader.has_surplus());
}

TEST_F(message_reader_test, refuses_length_and_chunked_together)
{
    EXPECT_TRUE(absl::IsInvalidArgument(
        this->request_error("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")));
}

TEST_F(message_reader_test, refuses_two_lengths)
{
    EXPECT_TRUE(absl::IsInvalidArgument(
        this->request_error("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                            "Content-Length: 3\r\n\r\nabc")));
}

TEST_F(message_reader_test, refuses_an_unknown_transfer_coding)
{
    EXPECT_TRUE(absl::IsInvalidArgument(this->request_error(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n")));
}

TEST_F(message_reader_test, refuses_chunked_from_an_old_version)
{
    EXPECT_TRUE(absl::IsInvalidArgument(this->request_error(
        "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")));
}

TEST_F(message_reader_test, refuses_space_before_the_colon)
{
    EXPECT_TRUE(absl::IsInvalidArgument(
        this->request_error("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc")));
}

// Guards against targets and headers that become others when they are written again.
TEST_F(message_reader_test, refuses_text_that_is_no_target_or_header_value)
{
    const std::string zero(1, '\0');
    for (const std::string& odd :
         std::vector<std::string>{" b", "\x01", "\r", "\n", "\x7f", zero}) {
        EXPECT_TRUE(absl::IsInvalidArgument(
            this->request_error(absl::StrCat("GET /a", odd, "b HTTP/1.1\r\nHost: h\r\n\r\n"))))
            << absl::CHexEscape(odd);
    }
    for (const std::string& odd : std::vector<std::string>{"\x01", "\r", "\nb", "\x7f", zero}) {
        EXPECT_TRUE(absl::IsInvalidArgument(this->request_error(
            absl::StrCat("GET / HTTP/1.1\r\nHost: h\r\nX: a", odd, "b\r\n\r\n"))))
            << absl::CHexEscape(odd);
    }
}

TEST_F(message_reader_test, refuses_bytes_that_are_not_http)
{
    EXPECT_TRUE(absl::IsInvalidArgument(this->request_error("\x16\x03\x01 hello\r\n\r\n")));
}

TEST_F(message_reader_test, rejects_a_head_beyond_the_limit)
{
    EXPECT_TRUE(absl::IsResourceExhausted(
        this->request_error("GET / HTTP/1.1\r\nX: " + std::string(4000, 'a') + "\r\n\r\n")));
}

TEST_F(message_reader_test, rejects_a_body_beyond_the_limit)
{
    EXPECT_TRUE(absl::IsOutOfRange(this->request_error(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'a'))));
}

TEST_F(message_reader_test, a_close_before_a_message_is_not_found)
{
    this->far.close();
    message_reader reader(this->near);
    EXPECT_TRUE(absl::IsNotFound(reader.wait_for_message(soon())));
}

TEST_F(message_reader_test, a_close_within_a_head_is_data_loss)
{
    this->send("GET / HT");
    this->far.close();
    message_reader reader(this->near);
    EXPECT_TRUE(absl::IsDataLoss(reader.read_request_head(limits, soon()).status()));
}

TEST_F(message_reader_test, a_response_without_a_length_ends_with_its_connection)
{
    this->send("HTTP/1.1 200 OK\r\n\r\nabc");
    message_reader reader(this->near);
    absl::StatusOr<http_response_head> head = reader.read_response_head(limits, false, soon(), {});
    ASSERT_TRUE(head.ok());
    EXPECT_EQ(head->framing, body_framing::until_close);
    EXPECT_FALSE(head->keeps_alive());
    this->far.close();
    std::string body;
    ASSERT_TRUE(reader.read_body(limits.body_bytes, body, soon(), {}).ok());
    EXPECT_EQ(body, "abc");
}

TEST_F(message_reader_test, a_response_shorter_than_its_content_length_is_data_loss)
{
    this->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    this->far.close();
    message_reader reader(this->near);
    ASSERT_TRUE(reader.read_response_head(limits, false, soon(), {}).ok());
    std::string body;
    EXPECT_TRUE(absl::IsDataLoss(reader.read_body(limits.body_bytes, body, soon(), {})));
}

// Guards against the loss of a body's part that was received before bytes that are not HTTP.
TEST_F(message_reader_test, a_part_before_a_malformed_one_is_returned_before_the_error)
{
    this->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nxyz\r\n");
    message_reader reader(this->near);
    ASSERT_TRUE(reader.read_response_head(limits, false, soon(), {}).ok());
    std::string body;
    const absl::StatusOr<bool> first = reader.read_body_part(body, soon(), {});
    ASSERT_TRUE(first.ok()) << first.status();
    EXPECT_FALSE(*first);
    EXPECT_EQ(body, "abc");
    const absl::StatusOr<bool> second = reader.read_body_part(body, soon(), {});
    EXPECT_TRUE(absl::IsInvalidArgument(second.status())) << second.status();
}

TEST_F(message_reader_test, times_out)
{
    message_reader reader(this->near);
    EXPECT_TRUE(
        absl::IsDeadlineExceeded(reader.wait_for_message(steady_clock::now() + milliseconds(10))));
}

TEST_F(message_reader_test, ends_a_read_when_the_watched_caller_hangs_up)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    tcp_socket caller(ends[0]);
    ::close(ends[1]);
    message_reader reader(this->near);
    EXPECT_TRUE(absl::IsCancelled(
        reader.read_response_head(limits, false, soon(), hangup_watch(caller.descriptor()))
            .status()));
}

TEST_F(message_reader_test, unread_data_from_the_caller_is_not_a_hang_up)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    tcp_socket caller(ends[0]);
    tcp_socket next_request(ends[1]);
    ASSERT_TRUE(next_request.write_all("GET", soon(), {}).ok());
    EXPECT_FALSE(hangup_watch(caller.descriptor()).has_hung_up());
    this->send("HTTP/1.1 204 No Content\r\n\r\n");
    message_reader reader(this->near);
    EXPECT_TRUE(
        reader.read_response_head(limits, false, soon(), hangup_watch(caller.descriptor())).ok());
}

} // namespace
} // namespace sardinestream
