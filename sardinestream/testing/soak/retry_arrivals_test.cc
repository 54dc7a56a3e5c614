// Each term of the rule on retries is shown by arrivals on both sides of it.

#include <gtest/gtest.h>

#include "sardinestream/testing/soak/retry_arrivals.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

class retry_arrivals_test : public ::testing::Test {
protected:
    // The budget allows one arrival beyond the first, and one more for five requests.
    static constexpr retry_budget_terms terms{0.2, 1, milliseconds(1000)};

    void send(int requests, milliseconds after)
    {
        for (int i = 0; i < requests; ++i) {
            this->service.note_sent(this->start + after);
        }
    }

    void repeat(int arrivals, milliseconds after)
    {
        for (int i = 0; i < arrivals; ++i) {
            this->service.note_arrival(this->start + after, false);
        }
    }

    [[nodiscard]] int over() const { return this->service.greatest_excess(terms).over; }

    const steady_time start = steady_clock::now();
    retry_arrivals service;
};

TEST_F(retry_arrivals_test, first_arrivals_need_no_budget)
{
    for (int i = 0; i < 100; ++i) {
        this->service.note_arrival(this->start, true);
    }
    EXPECT_EQ(this->over(), 0);
}

TEST_F(retry_arrivals_test, finds_one_arrival_more_than_allowed)
{
    this->send(9, milliseconds(0));
    this->repeat(2, milliseconds(0));
    EXPECT_EQ(this->over(), 0);
    this->repeat(1, milliseconds(999));
    EXPECT_EQ(this->over(), 1);
    EXPECT_EQ(this->service.greatest_excess(terms).requests, 9);
}

// Guards against a rule that counts only requests that reached a server.
TEST_F(retry_arrivals_test, requests_count_even_if_none_arrives)
{
    this->send(10, milliseconds(0));
    this->repeat(3, milliseconds(500));
    EXPECT_EQ(this->over(), 0);
}

TEST_F(retry_arrivals_test, requests_count_from_the_window_before)
{
    this->send(10, milliseconds(0));
    this->repeat(3, milliseconds(1000));
    EXPECT_EQ(this->over(), 0);
}

TEST_F(retry_arrivals_test, requests_of_an_earlier_window_do_not_count)
{
    this->send(10, milliseconds(0));
    this->repeat(3, milliseconds(1001));
    EXPECT_EQ(this->over(), 2);
}

TEST_F(retry_arrivals_test, requests_count_from_the_window_half_a_window_before)
{
    this->repeat(3, milliseconds(1000));
    this->send(5, milliseconds(500));
    this->send(5, milliseconds(1499));
    EXPECT_EQ(this->over(), 0);
}

TEST_F(retry_arrivals_test, requests_of_two_windows_do_not_add_up)
{
    this->repeat(3, milliseconds(1000));
    this->send(5, milliseconds(499));
    this->send(5, milliseconds(1500));
    EXPECT_EQ(this->over(), 1);
}

TEST_F(retry_arrivals_test, requests_after_the_window_do_not_count)
{
    this->repeat(3, milliseconds(0));
    this->send(10, milliseconds(1000));
    EXPECT_EQ(this->over(), 2);
}

TEST_F(retry_arrivals_test, arrivals_further_apart_than_a_window_do_not_add_up)
{
    this->repeat(1, milliseconds(0));
    this->repeat(1, milliseconds(1000));
    EXPECT_EQ(this->over(), 0);
    this->repeat(1, milliseconds(1999));
    EXPECT_EQ(this->over(), 1);
}

} // namespace
} // namespace sardinestream::testing
