#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/base/store_contact.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

class store_contact_test : public testing::Test {
protected:
    [[nodiscard]] store_contact::time_point at(int ms) const
    {
        return this->start + milliseconds(ms);
    }

    void expect_outage(int begun, int ended) const
    {
        EXPECT_EQ(this->contact.last_outage().begun, this->at(begun));
        EXPECT_EQ(this->contact.last_outage().ended, this->at(ended));
    }

    const store_contact::time_point start = std::chrono::steady_clock::now();
    std::vector<store_outage> reported;
    store_contact contact{[this](const store_outage& outage) { reported.push_back(outage); }};
};

TEST_F(store_contact_test, there_is_no_outage_without_a_failed_call)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_answer(this->at(60000));
    EXPECT_EQ(this->contact.last_outage().begun, store_contact::time_point{});
    EXPECT_TRUE(this->reported.empty());
    EXPECT_EQ(this->contact.last_answer(), this->at(60000));
}

// Guards against one silent connection that counts as an outage since its call was made.
TEST_F(store_contact_test, a_silent_call_is_an_outage_since_the_last_answer_to_another_one)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_answer(this->at(1600));
    this->contact.note_silence(this->at(10));
    this->contact.note_answer(this->at(2500));
    this->expect_outage(1600, 2500);
}

// Guards against an outage that is measured from a late call and passes for a short one.
TEST_F(store_contact_test, a_silent_call_is_an_outage_since_an_answer_before_it)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_silence(this->at(900));
    this->contact.note_answer(this->at(1600));
    this->expect_outage(0, 1600);
}

TEST_F(store_contact_test, before_the_first_answer_an_outage_begins_with_the_call)
{
    this->contact.note_silence(this->at(100));
    this->contact.note_answer(this->at(800));
    this->expect_outage(100, 800);
}

TEST_F(store_contact_test, a_refused_call_is_an_outage_since_the_refusal)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_refusal(this->at(1500));
    this->contact.note_answer(this->at(1600));
    this->expect_outage(1500, 1600);
}

TEST_F(store_contact_test, an_outage_lasts_until_the_first_answer)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_refusal(this->at(100));
    this->contact.note_silence(this->at(200));
    this->contact.note_refusal(this->at(4000));
    EXPECT_EQ(this->contact.last_outage().ended, store_contact::time_point{});
    this->contact.note_answer(this->at(5000));
    this->contact.note_answer(this->at(5100));
    this->expect_outage(100, 5000);
}

// Guards against an outage that counts only since another call was cut off in the middle of it.
TEST_F(store_contact_test, a_call_that_was_silent_before_a_refusal_moves_the_beginning_back)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_refusal(this->at(1500));
    this->contact.note_silence(this->at(200));
    this->contact.note_answer(this->at(2300));
    this->expect_outage(0, 2300);
}

TEST_F(store_contact_test, a_call_that_is_silent_behind_a_refusal_does_not)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_refusal(this->at(1500));
    this->contact.note_silence(this->at(1600));
    this->contact.note_answer(this->at(2300));
    this->expect_outage(1500, 2300);
}

// Guards against a long outage that nobody hears of, because a short one follows.
TEST_F(store_contact_test, each_outage_is_reported_as_it_begins_and_ends)
{
    this->contact.note_answer(this->at(0));
    this->contact.note_silence(this->at(10));
    this->contact.note_answer(this->at(5000));
    this->contact.note_silence(this->at(4000));
    this->contact.note_answer(this->at(5100));
    ASSERT_EQ(this->reported.size(), 4U);
    EXPECT_EQ(this->reported[0].ended, store_contact::time_point{});
    EXPECT_EQ(this->reported[1].begun, this->at(0));
    EXPECT_EQ(this->reported[1].ended, this->at(5000));
    EXPECT_EQ(this->reported[2].begun, this->at(5000));
    EXPECT_EQ(this->reported[3].ended, this->at(5100));
}

TEST_F(store_contact_test, a_single_watch_waits_as_long_as_it_may)
{
    constexpr milliseconds longest{1600};
    EXPECT_EQ(this->contact.plan_wait("servers", longest, this->at(0)), longest);
    EXPECT_EQ(this->contact.plan_wait("servers", longest, this->at(1610)), longest);
}

TEST_F(store_contact_test, a_second_watch_ends_in_the_middle_between_two_ends_of_the_first)
{
    constexpr milliseconds longest{1600};
    EXPECT_EQ(this->contact.plan_wait("config", longest, this->at(0)), longest);
    EXPECT_EQ(this->contact.plan_wait("servers", longest, this->at(0)), milliseconds(800));
    EXPECT_EQ(this->contact.plan_wait("servers", longest, this->at(800)), longest);
    EXPECT_EQ(this->contact.plan_wait("config", longest, this->at(1600)), longest);
    // After a change it waits for less, and is in its place again.
    EXPECT_EQ(this->contact.plan_wait("servers", longest, this->at(2000)), milliseconds(400));
    EXPECT_EQ(this->contact.plan_wait("servers", longest, this->at(2400)), longest);
}

TEST_F(store_contact_test, several_watches_share_the_time)
{
    constexpr milliseconds longest{1600};
    EXPECT_EQ(this->contact.plan_wait("a", longest, this->at(0)), longest);
    EXPECT_EQ(this->contact.plan_wait("b", longest, this->at(0)), longest / 2);
    EXPECT_EQ(this->contact.plan_wait("c", longest, this->at(0)), longest / 4);
}

} // namespace
} // namespace sardinestream
