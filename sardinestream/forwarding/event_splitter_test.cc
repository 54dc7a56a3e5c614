#include <gtest/gtest.h>

#include "sardinestream/forwarding/event_splitter.h"

namespace sardinestream {
namespace {

TEST(event_splitter, returns_complete_events_only)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(splitter.take_events(), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(splitter.has_partial_event());
    splitter.add("ta: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(splitter.has_partial_event());
    splitter.mark_delivered();
    EXPECT_EQ(splitter.last_id(), "2");
    EXPECT_EQ(splitter.delivered_events(), 2);
}

TEST(event_splitter, accepts_lf_and_crlf_line_ends)
{
    event_splitter splitter;
    splitter.add("id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(splitter.take_events(), "id: 1\r\ndata: a\r\n\r\n");
}

TEST(event_splitter, drops_an_event_that_was_returned_before)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\n");
    (void)splitter.take_events();
    splitter.add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(splitter.has_gap());
}

TEST(event_splitter, detects_a_missing_event)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(splitter.has_gap());
}

TEST(event_splitter, goes_on_behind_the_last_delivered_event_after_a_missing_one)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.drop_undelivered();
    EXPECT_EQ(splitter.last_id(), "1");
    splitter.add("id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(splitter.has_gap());
}

// Guards against a position behind events that the caller never got.
TEST(event_splitter, an_event_that_was_returned_and_not_delivered_is_no_position_to_resume_at)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\n");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.add("id: 2\ndata: b\n\nid: 3\nda");
    (void)splitter.take_events();
    splitter.drop_undelivered();
    EXPECT_EQ(splitter.last_id(), "1");
    EXPECT_EQ(splitter.delivered_events(), 1);
    splitter.add("id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 2\ndata: b\n\n");
}

TEST(event_splitter, detects_that_the_event_behind_the_callers_position_is_missing)
{
    event_splitter splitter("4");
    splitter.add("id: 6\ndata: f\n\n");
    EXPECT_EQ(splitter.take_events(), "");
    EXPECT_TRUE(splitter.has_gap());
    splitter.drop_undelivered();
    splitter.add("id: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 5\ndata: e\n\n");
}

TEST(event_splitter, resumes_after_a_partial_event_of_another_server)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\nid: 2\nda");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.drop_undelivered();
    splitter.add("id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 2\ndata: b\n\n");
}

} // namespace
} // namespace sardinestream
