#include <gtest/gtest.h>

#include "sardinestream/retries/retry_budget.h"

namespace sardinestream::routing {
namespace {

// The fleet's budget is divided among the entries that are known: more entries, smaller shares.
TEST(retry_budget, keeps_to_a_share_that_has_shrunk)
{
    retry_budget budget({0.0, 20, 20});
    EXPECT_TRUE(budget.try_retry("s"));
    budget.set_max_tokens(2);
    EXPECT_TRUE(budget.try_retry("s"));
    EXPECT_TRUE(budget.try_retry("s"));
    EXPECT_FALSE(budget.try_retry("s"));
    EXPECT_TRUE(budget.try_retry("other"));
    EXPECT_TRUE(budget.try_retry("other"));
    EXPECT_FALSE(budget.try_retry("other"));
}

} // namespace
} // namespace sardinestream::routing
