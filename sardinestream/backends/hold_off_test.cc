#include <gtest/gtest.h>

#include "sardinestream/backends/hold_off.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

class hold_off_test : public testing::Test {
protected:
    hold_off tested;
    const steady_time start = steady_clock::now();
};

TEST_F(hold_off_test, allows_everything_before_the_first_one)
{
    EXPECT_FALSE(this->tested.is_active(this->start));
    EXPECT_TRUE(this->tested.allows(100, this->start));
    this->tested.note_refusal(this->start);
    EXPECT_TRUE(this->tested.allows(100, this->start));
}

TEST_F(hold_off_test, allows_nothing_until_its_end)
{
    this->tested.begin(this->start + milliseconds(2000), milliseconds(0));
    EXPECT_TRUE(this->tested.is_active(this->start + milliseconds(1999)));
    EXPECT_FALSE(this->tested.allows(0, this->start + milliseconds(1999)));
    EXPECT_TRUE(this->tested.allows(0, this->start + milliseconds(2000)));
}

TEST_F(hold_off_test, a_shorter_one_does_not_end_a_longer_one)
{
    this->tested.begin(this->start + milliseconds(2000), milliseconds(0));
    this->tested.begin(this->start + milliseconds(500), milliseconds(0));
    EXPECT_FALSE(this->tested.allows(0, this->start + milliseconds(1500)));
}

TEST_F(hold_off_test, is_delayed_once_for_each_requested_end)
{
    this->tested.begin(this->start + milliseconds(1000), milliseconds(40));
    this->tested.begin(this->start + milliseconds(1000), milliseconds(90));
    EXPECT_EQ(this->tested.ends(), this->start + milliseconds(1040));
    this->tested.begin(this->start + milliseconds(1001), milliseconds(0));
    EXPECT_EQ(this->tested.ends(), this->start + milliseconds(1040));
}

TEST_F(hold_off_test, a_single_process_returns_at_once_and_many_at_random_delays)
{
    EXPECT_EQ(return_delay_for(1, 0.9), milliseconds(0));
    EXPECT_LE(return_delay_for(4, 0.9), milliseconds(50));
    EXPECT_GE(return_delay_for(20, 0.9), milliseconds(200));
    EXPECT_EQ(return_delay_for(20, 0), milliseconds(0));
}

TEST_F(hold_off_test, limit_grows_from_one_request_after_the_end)
{
    this->tested.begin(this->start + milliseconds(1000), milliseconds(0));
    const steady_time ended_at = this->start + milliseconds(1000);
    EXPECT_TRUE(this->tested.allows(0, ended_at));
    EXPECT_FALSE(this->tested.allows(1, ended_at));
    EXPECT_TRUE(this->tested.allows(3, ended_at + milliseconds(300)));
    EXPECT_FALSE(this->tested.allows(4, ended_at + milliseconds(300)));
    EXPECT_TRUE(this->tested.allows(1000, ended_at + milliseconds(3000)));
}

TEST_F(hold_off_test, a_refusal_resets_the_limit_to_one_request)
{
    this->tested.begin(this->start + milliseconds(1000), milliseconds(0));
    const steady_time refused_at = this->start + milliseconds(1500);
    this->tested.note_refusal(refused_at);
    EXPECT_TRUE(this->tested.allows(0, refused_at));
    EXPECT_FALSE(this->tested.allows(1, refused_at));
}

} // namespace
} // namespace sardinestream
