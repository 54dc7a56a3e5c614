#include <gtest/gtest.h>

#include "sardinestream/retries/retry_budget.h"
#include "sardinestream/routing/backoff.h"
#include "sardinestream/routing/speed_estimate.h"

namespace sardinestream::routing {
namespace {

TEST(retry_budget_test, retries_stay_below_a_tenth_of_the_requests)
{
    retry_budget budget({.initial_tokens = 0});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_request("assistant");
        retries += budget.try_retry("assistant") ? 1 : 0;
    }
    EXPECT_GE(retries, 99);
    EXPECT_LE(retries, 100);
}

TEST(retry_budget_test, services_do_not_share_a_budget)
{
    retry_budget budget({.initial_tokens = 1});
    EXPECT_TRUE(budget.try_retry("assistant"));
    EXPECT_FALSE(budget.try_retry("assistant"));
    EXPECT_TRUE(budget.try_retry("orders"));
}

TEST(backoff_test, the_delay_stays_below_its_bound)
{
    random_source random(1);
    for (int attempt = 0; attempt < 20; ++attempt) {
        EXPECT_LE(backoff_delay(attempt, random), absl::Seconds(1));
    }
}

TEST(retry_pacer_test, a_crowd_is_spread_at_the_drain_rate)
{
    random_source random(1);
    retry_pacer pacer;
    const absl::Time now = absl::UnixEpoch();
    absl::Duration last;
    for (int i = 0; i < 50; ++i) {
        last = pacer.next_retry_after(absl::Milliseconds(100), absl::Seconds(1), now, random);
    }
    EXPECT_GE(last, absl::Seconds(6));
    EXPECT_LE(last, absl::Seconds(7.5));
}

TEST(retry_pacer_test, the_wait_is_bounded)
{
    random_source random(1);
    retry_pacer pacer;
    for (int i = 0; i < 1000; ++i) {
        const absl::Duration wait =
            pacer.next_retry_after(absl::Seconds(1), absl::Seconds(100), absl::UnixEpoch(), random);
        EXPECT_LE(wait, absl::Seconds(30));
        EXPECT_GE(wait, absl::Milliseconds(50));
    }
}

TEST(speed_estimate_test, times_are_learned_from_completions)
{
    speed_estimate speed;
    speed.add({.service_time = absl::Milliseconds(300),
               .first_token_time = absl::Milliseconds(100),
               .uncached_tokens = 1000,
               .generated_tokens = 21},
              absl::UnixEpoch());
    const measured_speed current = speed.current(absl::UnixEpoch());
    // 100 ms minus one decode iteration of 10 ms, divided by 1000 tokens.
    EXPECT_EQ(current.prefill_token_time, absl::Microseconds(90));
    EXPECT_EQ(current.token_time, absl::Milliseconds(10));
}

TEST(speed_estimate_test, old_samples_are_dropped)
{
    speed_estimate speed;
    speed.add({.service_time = absl::Milliseconds(300)}, absl::UnixEpoch());
    EXPECT_EQ(speed.current(absl::UnixEpoch() + absl::Minutes(1)).service_time,
              absl::ZeroDuration());
}

} // namespace
} // namespace sardinestream::routing
