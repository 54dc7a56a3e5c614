#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/agent/token_sequencer.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::agent {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

std::string event(absl::string_view id, int index)
{
    return absl::StrCat(R"({"id":")", id, R"(","token_index":)", index, "}");
}

std::string line(absl::string_view id, int index)
{
    return absl::StrCat("data: ", event(id, index), "\n\n");
}

TEST(token_sequencer_test, events_come_out_in_order_and_once)
{
    token_sequencer sequencer("r", 0);
    EXPECT_THAT(sequencer.feed(line("r", 1)), IsEmpty());
    EXPECT_THAT(sequencer.feed(line("r", 0)), ElementsAre(event("r", 0), event("r", 1)));
    EXPECT_THAT(sequencer.feed(line("r", 0)), IsEmpty());
}

TEST(token_sequencer_test, events_of_another_request_are_dropped)
{
    token_sequencer sequencer("r", 0);
    EXPECT_THAT(sequencer.feed(line("other", 0)), IsEmpty());
    EXPECT_THAT(sequencer.feed(line("r", 0)), ElementsAre(event("r", 0)));
}

TEST(token_sequencer_test, lines_may_be_split_anywhere)
{
    token_sequencer sequencer("r", 5);
    const std::string whole = line("r", 5);
    EXPECT_THAT(sequencer.feed(absl::string_view(whole).substr(0, 9)), IsEmpty());
    EXPECT_THAT(sequencer.feed(absl::string_view(whole).substr(9)), ElementsAre(event("r", 5)));
}

TEST(token_sequencer_test, done_with_a_missing_token_is_not_complete)
{
    token_sequencer sequencer("r", 0);
    EXPECT_THAT(sequencer.feed(line("r", 1)), IsEmpty());
    EXPECT_THAT(sequencer.feed("data: [DONE]\n\n"), IsEmpty());
    EXPECT_FALSE(sequencer.complete());
}

TEST(token_sequencer_test, an_event_that_is_not_json_breaks_the_stream)
{
    token_sequencer sequencer("r", 0);
    EXPECT_THAT(sequencer.feed("data: {oops\n"), IsEmpty());
    EXPECT_TRUE(sequencer.broken());
}

} // namespace
} // namespace sardinestream::agent
