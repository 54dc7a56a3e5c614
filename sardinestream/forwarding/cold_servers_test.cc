// Tests the complete request path with a server that is cold.

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

TEST_F(frontend_test, a_request_for_a_cold_server_waits_until_a_second_after_the_last_one)
{
    absl::Mutex mutex;
    std::vector<steady_time> arrivals;
    scripted_server cold([&](scripted_connection& connection) {
        if (connection.read_request()) {
            {
                const absl::MutexLock lock(&mutex);
                arrivals.push_back(steady_clock::now());
            }
            connection.write(answer_to(connection, "served"));
        }
    });
    // This process knows no other one and takes a 32nd: one request a second.
    service_policies declared;
    declared["service"].cold_rate = 32;
    declared["service"].cold_period = std::chrono::seconds(60);
    this->servers.set_policies(declared);
    this->use({&cold});
    EXPECT_EQ(this->call("/read/", "r1").body, "served");
    EXPECT_EQ(this->call("/read/", "r2").body, "served");
    const absl::MutexLock lock(&mutex);
    ASSERT_EQ(arrivals.size(), 2U);
    // The first was written before it arrived.
    EXPECT_GT(arrivals[1] - arrivals[0], std::chrono::milliseconds(900));
}

} // namespace
} // namespace sardinestream
