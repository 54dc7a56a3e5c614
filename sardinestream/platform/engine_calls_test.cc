#include <gtest/gtest.h>

#include "sardinestream/platform/engine_calls.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

constexpr char report[] =
    R"({"stage":"colocated","group":{"name":"g0","epoch":2,"rank":3,"state":"open"},"size":8,)"
    R"("waiting":1,"running":9,"pace":1.5,"step":63,"map":4,"prepared":5,)"
    R"("armed":{"version":5,"step":70},"held":null})";

TEST(decode_engine_report, reads_load_group_and_maps)
{
    const absl::StatusOr<engine_report> decoded = decode_engine_report(report);
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(decoded->running, 9);
    EXPECT_EQ(decoded->waiting, 1);
    EXPECT_EQ(decoded->slowness, 1.5);
    EXPECT_EQ(decoded->group, "g0");
    EXPECT_EQ(decoded->rank, 3);
    EXPECT_FALSE(decoded->broken);
    EXPECT_EQ(decoded->map_report.epoch, 2);
    EXPECT_EQ(decoded->map_report.map_version, 4);
    EXPECT_EQ(decoded->map_report.armed, (armed_switch{5, 70}));
    EXPECT_FALSE(decoded->map_report.held_step.has_value());
}

TEST(decode_engine_report, refuses_malformed_reports)
{
    EXPECT_TRUE(absl::IsInvalidArgument(decode_engine_report("{").status()));
    EXPECT_TRUE(absl::IsInvalidArgument(decode_engine_report("{\"running\":\"x\"}").status()));
}

TEST(engine_interface, distinguishes_a_refused_order_from_an_unanswered_one)
{
    scripted_server server([](scripted_connection& connection) {
        while (connection.read_request()) {
            if (connection.body.find("\"hold\"") != std::string::npos) {
                connection.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (connection.body.find("\"go\"") != std::string::npos) {
                connection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            // Sends no response.
            (void)connection.wait_for_end(std::chrono::milliseconds(1000));
            return;
        }
    });
    {
        const engine_interface engine = connect_engine(server.local());
        engine_order order;
        order.kind = order_kind::hold;
        EXPECT_EQ(engine.send_order(order), order_outcome::refused);
        order.kind = order_kind::release;
        EXPECT_EQ(engine.send_order(order), order_outcome::accepted);
        order.kind = order_kind::arm;
        EXPECT_EQ(engine.send_order(order), order_outcome::no_answer);
    }
}

// Such an order may have been carried out.
TEST(engine_interface, an_order_answered_with_an_invalid_status_is_unanswered)
{
    for (const char* const status : {"000", "099", "101", "600", "999"}) {
        scripted_server server([status](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(
                    absl::StrCat("HTTP/1.1 ", status, " Odd\r\nContent-Length: 0\r\n\r\n"));
            }
        });
        engine_order order;
        order.kind = order_kind::hold;
        EXPECT_EQ(connect_engine(server.local()).send_order(order), order_outcome::no_answer)
            << status;
    }
}

} // namespace
} // namespace sardinestream::platform
