// Tests responses of an engine with invalid status codes.

#include <gtest/gtest.h>

#include "sardinestream/experts/engine_client.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

// An order may have been carried out, as if its answer had been lost.
TEST(engine_client, an_invalid_status_is_no_answer)
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        scripted_server engine([&status](scripted_connection& connection) {
            while (connection.read_request()) {
                connection.write(
                    absl::StrCat("HTTP/1.1 ", status, " Odd\r\nContent-Length: 2\r\n\r\n{}"));
            }
        });
        const std::unique_ptr<engine_client> client =
            *engine_client::create(engine.local(), absl::Seconds(5));
        EXPECT_TRUE(absl::IsUnavailable(client->read_state().status())) << status;
        EXPECT_TRUE(absl::IsUnknown(client->release_hold("token"))) << status;
    }
}

} // namespace
} // namespace sardinestream::experts
