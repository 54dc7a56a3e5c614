#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/service_availability.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

class service_availability_test : public testing::Test {
protected:
    [[nodiscard]] server_outage refuses(milliseconds since, milliseconds seen) const
    {
        return {this->start + since, this->start + seen, false};
    }
    [[nodiscard]] server_outage broken(milliseconds since, milliseconds seen) const
    {
        return {this->start + since, this->start + seen, true};
    }
    [[nodiscard]] service_condition
    condition_of(const std::vector<std::optional<server_outage>>& servers, milliseconds at) const
    {
        return availability_of(servers, this->start + at).condition;
    }

    const steady_time start = steady_clock::now();
};

TEST_F(service_availability_test, serves_while_one_server_may)
{
    EXPECT_EQ(
        this->condition_of({this->refuses(milliseconds(0), milliseconds(60000)), std::nullopt},
                           milliseconds(60000)),
        service_condition::serving);
}

TEST_F(service_availability_test,
       is_down_once_a_refusal_follows_one_second_after_the_last_server_failed)
{
    const auto condition_when_seen = [this](milliseconds seen) {
        return this->condition_of({this->refuses(milliseconds(0), seen),
                                   this->refuses(milliseconds(700), milliseconds(900))},
                                  milliseconds(5000));
    };
    EXPECT_EQ(condition_when_seen(milliseconds(1600)), service_condition::recovering);
    EXPECT_EQ(condition_when_seen(milliseconds(1700)), service_condition::down);
}

// Without a further attempt nothing shows that the service still does not serve.
TEST_F(service_availability_test, does_not_become_down_without_a_further_refusal)
{
    EXPECT_EQ(this->condition_of({this->refuses(milliseconds(0), milliseconds(100))},
                                 milliseconds(60000)),
              service_condition::recovering);
}

TEST_F(service_availability_test, gives_a_group_of_ranks_the_time_to_form)
{
    const auto condition_when_seen = [this](milliseconds seen) {
        return this->condition_of({this->broken(milliseconds(0), seen),
                                   this->refuses(milliseconds(0), milliseconds(100))},
                                  seen);
    };
    EXPECT_EQ(condition_when_seen(milliseconds(1400)), service_condition::recovering);
    EXPECT_EQ(condition_when_seen(milliseconds(1500)), service_condition::down);
}

TEST_F(service_availability_test, without_servers_is_down)
{
    EXPECT_EQ(this->condition_of({}, milliseconds(0)), service_condition::down);
}

TEST_F(service_availability_test, retry_delay_grows_with_the_length_of_the_outage)
{
    const auto retry_delay = [](int unserved_ms, double draw) {
        return retry_after_for({service_condition::down, milliseconds(unserved_ms)}, draw);
    };
    EXPECT_LT(retry_delay(1000, 0.5), retry_delay(3000, 0.5));
    EXPECT_LT(retry_delay(3000, 0.0), retry_delay(3000, 0.9));
    EXPECT_LE(retry_delay(3600000, 0.99), milliseconds(5000));
    EXPECT_GE(retry_delay(0, 0.0), milliseconds(300));
}

TEST_F(service_availability_test, is_probed_often_enough_by_any_number_of_processes)
{
    EXPECT_EQ(probe_interval(1), milliseconds(200));
    EXPECT_LE(probe_interval(20), milliseconds(500));
}

} // namespace
} // namespace sardinestream
