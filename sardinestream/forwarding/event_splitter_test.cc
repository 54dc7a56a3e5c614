#include <string>

#include <gtest/gtest.h>

#include "sardinestream/forwarding/event_splitter.h"

#include "absl/strings/str_cat.h"

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
    EXPECT_FALSE(splitter.is_malformed());
}

// Guards against sound streams that are broken off (review 14): ids increase, and need not follow
// one another without gaps.
TEST(event_splitter, ids_may_rise_by_more_than_one)
{
    event_splitter splitter;
    const std::string sent = "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 21\ndata: c\n\n"
                             "id: 4611686018427387904000\ndata: d\n\n";
    splitter.add(sent);
    EXPECT_EQ(splitter.take_events(), sent);
    EXPECT_FALSE(splitter.is_malformed());
    splitter.mark_delivered();
    EXPECT_EQ(splitter.last_id(), "4611686018427387904000");
}

// Guards against events out of order: what came before the one that was overtaken, and behind it in
// the stream, is not returned if the caller has not got it yet.
TEST(event_splitter, detects_an_event_that_a_later_one_has_overtaken)
{
    event_splitter splitter;
    splitter.add("id: 10\ndata: a\n\nid: 30\ndata: c\n\nid: 20\ndata: b\n\n"
                 "id: 40\ndata: d\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 10\ndata: a\n\n");
    EXPECT_TRUE(splitter.is_malformed());
    EXPECT_FALSE(splitter.lacks_event());
    EXPECT_EQ(splitter.take_events(), "");
    splitter.mark_delivered();
    splitter.drop_undelivered();
    EXPECT_EQ(splitter.last_id(), "10");
    splitter.add("id: 20\ndata: b\n\nid: 30\ndata: c\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 20\ndata: b\n\nid: 30\ndata: c\n\n");
}

// Guards against a stream that lacks an event and is resumed, so that it looks whole.
TEST(event_splitter, detects_that_the_caller_lacks_an_event)
{
    event_splitter splitter;
    splitter.add("id: 10\ndata: a\n\nid: 30\ndata: c\n\n");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.add("id: 20\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "");
    EXPECT_TRUE(splitter.is_malformed());
    splitter.drop_undelivered();
    EXPECT_FALSE(splitter.is_malformed());
    EXPECT_TRUE(splitter.lacks_event());
}

// Guards against the same where it is the next server that shows it.
TEST(event_splitter, detects_that_the_caller_lacks_an_event_of_another_server)
{
    event_splitter splitter;
    splitter.add("id: 10\ndata: a\n\nid: 30\ndata: c\n\n");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.drop_undelivered();
    splitter.add("id: 20\ndata: b\n\nid: 30\ndata: c\n\nid: 40\ndata: d\n\n");
    EXPECT_EQ(splitter.take_events(), "");
    EXPECT_TRUE(splitter.lacks_event());
}

// Guards against a stream that is broken off because its server sends a part of it again.
TEST(event_splitter, leaves_out_what_comes_again)
{
    event_splitter splitter;
    const std::string first = "id: 10\ndata: a\n\nid: 20\ndata: b\n\n";
    splitter.add(first + "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 30\ndata: c\n\n");
    EXPECT_EQ(splitter.take_events(), first + "id: 30\ndata: c\n\n");
    EXPECT_FALSE(splitter.is_malformed());
}

// Events from before the ones that are remembered may come again from another server.
TEST(event_splitter, a_long_stream_that_begins_again_goes_on_behind_its_last_event)
{
    constexpr int last = 1000;
    std::string stream;
    for (int number = 1; number <= last; ++number) {
        absl::StrAppend(&stream, "id: ", 3 * number, "\ndata: x\n\n");
    }
    event_splitter splitter;
    splitter.add(stream);
    EXPECT_EQ(splitter.take_events(), stream);
    splitter.mark_delivered();
    splitter.drop_undelivered();
    const std::string next = absl::StrCat("id: ", 3 * last + 2, "\ndata: y\n\n");
    splitter.add(stream + next);
    EXPECT_EQ(splitter.take_events(), next);
    EXPECT_FALSE(splitter.is_malformed());
}

// Guards against the loss of an event whose id another one had.
TEST(event_splitter, detects_an_id_that_two_events_have)
{
    event_splitter splitter;
    splitter.add("id: 10\ndata: a\n\nid: 10\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 10\ndata: a\n\n");
    EXPECT_TRUE(splitter.is_malformed());
}

// Guards against two torn events that pass for a whole one.
TEST(event_splitter, detects_an_event_with_two_ids)
{
    event_splitter splitter;
    splitter.add("id: 1\ndata: a\n\nid: 2\ndata: b\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(splitter.is_malformed());
}

TEST(event_splitter, goes_on_behind_the_last_delivered_event_after_a_malformed_one)
{
    event_splitter splitter;
    splitter.add("id: 10\ndata: a\n\nid: 10\ndata: c\n\nid: 40\ndata: d\n\n");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.drop_undelivered();
    EXPECT_EQ(splitter.last_id(), "10");
    EXPECT_FALSE(splitter.is_malformed());
    splitter.add("id: 20\ndata: b\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 20\ndata: b\n\n");
    EXPECT_FALSE(splitter.is_malformed());
}

// Guards against events that come twice because a server resumes the stream too early.
TEST(event_splitter, leaves_out_what_another_server_sent_before)
{
    event_splitter splitter;
    splitter.add("id: 10\ndata: a\n\nid: 20\ndata: b\n\n");
    (void)splitter.take_events();
    splitter.mark_delivered();
    splitter.drop_undelivered();
    splitter.add("id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 30\ndata: c\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 30\ndata: c\n\n");
    EXPECT_FALSE(splitter.is_malformed());
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

TEST(event_splitter, resumes_behind_the_callers_position)
{
    event_splitter splitter("40");
    splitter.add("id: 60\ndata: f\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 60\ndata: f\n\n");
    splitter.drop_undelivered();
    splitter.add("id: 30\ndata: c\n\nid: 40\ndata: d\n\nid: 50\ndata: e\n\n");
    EXPECT_EQ(splitter.take_events(), "id: 50\ndata: e\n\n");
    EXPECT_FALSE(splitter.is_malformed());
    // Also before the caller's position, ids increase at one server.
    splitter.drop_undelivered();
    splitter.add("id: 30\ndata: c\n\nid: 20\ndata: b\n\nid: 50\ndata: e\n\n");
    EXPECT_EQ(splitter.take_events(), "");
    EXPECT_TRUE(splitter.is_malformed());
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
