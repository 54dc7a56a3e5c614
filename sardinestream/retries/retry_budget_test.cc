#include <gtest/gtest.h>

#include "sardinestream/retries/retry_budget.h"

namespace sardinestream::routing {
namespace {

// The retry budget of the fleet is divided among the known entries, so the share of one entry
// shrinks when entries join. Tokens above the smaller share must not be spent.
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
