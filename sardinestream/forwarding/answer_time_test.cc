// Tests the estimate of how long answers take; times are passed in.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/answer_time.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds quick{200};
constexpr milliseconds slow{3000};

class answer_time_test : public testing::Test {
protected:
    static answer_shape stream_of(int response_tokens, int prompt_tokens = 0)
    {
        return {"service", request_kind::streaming, prompt_tokens, response_tokens};
    }

    // Records answers that end 10 ms apart, the last one at `now`.
    void add(int answers, milliseconds first_event, milliseconds duration,
             const answer_shape& shape = stream_of(0))
    {
        for (int i = 0; i < answers; ++i) {
            this->now += milliseconds(10);
            answer_times::measurement measured(this->times, shape, this->now - duration);
            measured.note_first_event(this->now - duration + first_event);
            measured.end(this->now, true);
        }
    }

    [[nodiscard]] milliseconds estimate(const answer_shape& shape = stream_of(0)) const
    {
        return this->times.estimate(shape, this->now).duration;
    }

    answer_times times;
    steady_time now = steady_clock::now();
};

TEST_F(answer_time_test, a_service_without_answers_gets_the_duration_of_its_kind)
{
    EXPECT_EQ(this->estimate(), milliseconds(4500));
    EXPECT_EQ(this->estimate({"service", request_kind::idempotent, 0, 0}), milliseconds(2000));
    EXPECT_EQ(this->times.estimate(stream_of(0), this->now).samples, 0U);
}

TEST_F(answer_time_test, few_quick_answers_do_not_lower_the_estimate)
{
    this->add(static_cast<int>(answer_times::min_samples) - 1, quick / 4, quick);
    EXPECT_EQ(this->estimate(), milliseconds(4500));
    this->add(1, quick / 4, quick);
    EXPECT_LT(this->estimate(), 2 * quick);
    EXPECT_GE(this->estimate(), quick);
}

TEST_F(answer_time_test, a_few_slow_answers_raise_the_estimate)
{
    this->add(3, slow, 2 * slow);
    EXPECT_GT(this->estimate(), 2 * slow);
}

TEST_F(answer_time_test, no_estimate_is_below_the_least_one)
{
    this->add(50, milliseconds(0), milliseconds(1));
    EXPECT_EQ(this->estimate(), answer_times::min_estimate);
}

TEST_F(answer_time_test, the_estimate_grows_under_load_and_falls_after_it)
{
    this->add(200, quick / 4, quick);
    EXPECT_LT(this->estimate(), slow);
    this->add(4, quick, slow);
    EXPECT_GT(this->estimate(), slow);
    this->add(200, quick / 4, quick);
    EXPECT_LT(this->estimate(), slow);
}

TEST_F(answer_time_test, old_answers_do_not_count)
{
    this->add(200, quick / 4, quick);
    this->now += answer_times::max_sample_age + seconds(1);
    EXPECT_EQ(this->estimate(), milliseconds(4500));
    EXPECT_EQ(this->times.estimate(stream_of(0), this->now).samples, 0U);
}

TEST_F(answer_time_test, longer_responses_take_longer)
{
    this->add(50, milliseconds(100), milliseconds(1100), stream_of(100));
    EXPECT_LT(this->estimate(stream_of(20)), milliseconds(800));
    EXPECT_GT(this->estimate(stream_of(200)), milliseconds(2000));
    EXPECT_LT(this->estimate(stream_of(200)), milliseconds(3000));
}

TEST_F(answer_time_test, sizes_that_were_not_seen_are_not_estimated_below_the_usual_duration)
{
    this->add(50, milliseconds(100), milliseconds(300), stream_of(100, 1000));
    EXPECT_LT(this->estimate(stream_of(100, 1000)), milliseconds(500));
    EXPECT_EQ(this->estimate(stream_of(300, 1000)), milliseconds(4500));
    EXPECT_EQ(this->estimate(stream_of(100, 3000)), milliseconds(4500));
}

// Guards against a stall that looks like speed because only quick answers have ended.
TEST_F(answer_time_test, answers_that_are_still_running_raise_the_estimate)
{
    this->add(200, quick / 4, quick);
    const answer_times::measurement silent(this->times, stream_of(0), this->now);
    this->now += quick / 2;
    const milliseconds before = this->estimate();
    EXPECT_LT(before, 2 * quick);
    this->now += slow;
    EXPECT_GT(this->estimate(), slow);
}

TEST_F(answer_time_test, a_stream_whose_first_event_is_late_raises_the_estimate_by_its_rest)
{
    this->add(200, quick, slow);
    const milliseconds usual = this->estimate();
    const answer_times::measurement silent(this->times, stream_of(0), this->now);
    this->now += slow / 2;
    EXPECT_GT(this->estimate(), usual + slow / 4);
}

// Guards against callers whose giving up hides that their answers took long.
TEST_F(answer_time_test, answers_that_were_broken_off_late_raise_the_estimate)
{
    this->add(200, quick / 4, quick);
    {
        answer_times::measurement measured(this->times, stream_of(0), this->now);
        this->now += slow;
        measured.end(this->now, false);
    }
    EXPECT_GT(this->estimate(), slow);
    this->now += answer_times::max_sample_age + seconds(1);
    this->add(20, quick / 4, quick);
    EXPECT_LT(this->estimate(), slow);
}

TEST_F(answer_time_test, answers_that_were_broken_off_early_change_nothing)
{
    this->add(100, quick / 4, quick);
    const milliseconds before = this->estimate();
    for (int i = 0; i < 50; ++i) {
        answer_times::measurement measured(this->times, stream_of(0), this->now);
        measured.end(this->now + milliseconds(1), false);
    }
    EXPECT_EQ(this->estimate(), before);
}

TEST_F(answer_time_test, one_server_that_hangs_does_not_raise_the_estimate_of_many)
{
    this->add(200, quick / 4, quick);
    const answer_times::measurement hangs(this->times, stream_of(0), this->now);
    this->now += slow;
    std::list<answer_times::measurement> others;
    for (int i = 0; i < 8; ++i) {
        others.emplace_back(this->times, stream_of(0), this->now);
    }
    EXPECT_LT(this->estimate(), 2 * quick);
}

TEST_F(answer_time_test, services_and_kinds_are_estimated_apart)
{
    this->add(200, quick / 4, quick);
    answer_shape other = stream_of(0);
    other.service = "other";
    EXPECT_EQ(this->estimate(other), milliseconds(4500));
    EXPECT_EQ(this->estimate({"service", request_kind::idempotent, 0, 0}), milliseconds(2000));
}

} // namespace
} // namespace sardinestream
