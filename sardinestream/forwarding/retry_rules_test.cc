#include <gtest/gtest.h>

#include "sardinestream/forwarding/retry_rules.h"

namespace sardinestream {
namespace {

route of_kind(request_kind kind, bool resumable = false)
{
    route made;
    made.kind = kind;
    made.resumable = resumable;
    made.max_attempts = 2;
    return made;
}

TEST(may_retry, never_repeats_what_may_have_run)
{
    const route once = of_kind(request_kind::non_idempotent);
    EXPECT_FALSE(may_retry(once, attempt_state::possibly_executed, true, 1));
    EXPECT_FALSE(may_retry(once, attempt_state::execution_failed, true, 1));
    EXPECT_TRUE(may_retry(once, attempt_state::refused_by_server, false, 1));
    EXPECT_TRUE(may_retry(once, attempt_state::nothing_sent, false, 0));
}

TEST(may_retry, a_later_refusal_does_not_undo_an_earlier_run)
{
    const route once = of_kind(request_kind::non_idempotent);
    EXPECT_FALSE(may_retry(once, attempt_state::refused_by_server, true, 1));
}

TEST(may_retry, respects_the_attempt_limit_of_the_route)
{
    const route repeated = of_kind(request_kind::idempotent);
    EXPECT_TRUE(may_retry(repeated, attempt_state::possibly_executed, true, 1));
    EXPECT_FALSE(may_retry(repeated, attempt_state::possibly_executed, true, 2));
}

TEST(may_retry, a_stream_is_retried_only_if_resumable)
{
    EXPECT_FALSE(
        may_retry(of_kind(request_kind::streaming), attempt_state::possibly_executed, true, 1));
    EXPECT_TRUE(may_retry(of_kind(request_kind::streaming, true), attempt_state::possibly_executed,
                          true, 1));
}

TEST(final_status, reports_not_run_only_if_certain)
{
    EXPECT_EQ(final_status(false, false), 503);
    EXPECT_EQ(final_status(false, true), 503);
    EXPECT_EQ(final_status(true, false), 502);
    EXPECT_EQ(final_status(true, true), 504);
}

} // namespace
} // namespace sardinestream
