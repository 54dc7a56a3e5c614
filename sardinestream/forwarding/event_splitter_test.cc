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
    EXPECT_EQ(splitter.last_id(), "2");
    EXPECT_EQ(splitter.taken(), 2);
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
    (void)splitter.take_events();
    EXPECT_TRUE(splitter.has_gap());
}

TEST(event_splitter, resumes_after_a_partial_event_of_another_server)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\nid: 2\nda");
    (void)splitter.take_events();
    splitter.drop_partial_event();
    splitter.add("id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 2\ndata: b\n\n");
}

} // namespace
} // namespace sardinestream
