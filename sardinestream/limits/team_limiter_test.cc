#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/limits/share_exchange.h"
#include "sardinestream/limits/team_limiter.h"

namespace sardinestream::limits {
namespace {

constexpr absl::Duration long_time = absl::Seconds(30);

catalogue::catalogue_entry make_entry(std::uint32_t in_flight, std::uint32_t rate)
{
    catalogue::catalogue_entry entry;
    entry.name = "bottling";
    entry.limits.max_in_flight = in_flight;
    entry.limits.requests_per_s = rate;
    return entry;
}

// Entries in one process that exchange units through function calls.
class limiter_fleet {
public:
    limiter_fleet(std::size_t size, const catalogue::catalogue_entry& entry)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->limiters.push_back(std::make_unique<team_limiter>(
                team_limiter_options{.entry_id = std::to_string(i), .max_share_wait = long_time}));
            this->limiters[i]->set_slot(
                entry_slot{static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(size)});
            this->limiters[i]->set_catalogue(catalogue::catalogue_snapshot(1, {entry}));
        }
        for (std::size_t i = 0; i < size; ++i) {
            this->exchanges.push_back(share_exchange::create(
                {.peers = [this, i] { return this->peers_of(i); },
                 .send =
                     [this](const std::string& peer, const std::string& request, absl::Time) {
                         return answer_share_request(*this->limiters[std::stoul(peer)], request);
                     }},
                *this->limiters[i]));
        }
    }
    ~limiter_fleet() { this->exchanges.clear(); }
    limiter_fleet(const limiter_fleet&) = delete;
    limiter_fleet& operator=(const limiter_fleet&) = delete;

    [[nodiscard]] team_limiter& at(std::size_t index) { return *this->limiters[index]; }

private:
    [[nodiscard]] std::vector<std::string> peers_of(std::size_t index) const
    {
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < this->limiters.size(); ++i) {
            if (i != index) {
                peers.push_back(std::to_string(i));
            }
        }
        return peers;
    }

    std::vector<std::unique_ptr<team_limiter>> limiters;
    std::vector<std::unique_ptr<share_exchange>> exchanges;
};

TEST(team_limiter_test, without_peers_an_entry_keeps_to_its_root_share)
{
    const auto entry = make_entry(4, 1000);
    team_limiter limiter({.entry_id = "0"});
    limiter.set_slot(entry_slot{0, 2});
    std::vector<team_permit> held;
    for (int i = 0; i < 2; ++i) {
        auto permitted = limiter.acquire(entry, absl::Seconds(1));
        ASSERT_TRUE(std::holds_alternative<team_permit>(permitted));
        held.push_back(std::get<team_permit>(permitted));
    }
    const auto refused = limiter.acquire(entry, absl::Seconds(1));
    ASSERT_TRUE(std::holds_alternative<refusal>(refused));
    EXPECT_EQ(std::get<refusal>(refused).code, refusal_code::team_limit);
    EXPECT_EQ(std::get<refusal>(refused).outcome, run_outcome::not_run);
    EXPECT_GT(std::get<refusal>(refused).retry_after, absl::ZeroDuration());
    held.clear();
    EXPECT_TRUE(std::holds_alternative<team_permit>(limiter.acquire(entry, absl::Seconds(1))));
}

TEST(team_limiter_test, without_a_slot_an_entry_has_no_share)
{
    team_limiter limiter({.entry_id = "0"});
    EXPECT_TRUE(
        std::holds_alternative<refusal>(limiter.acquire(make_entry(4, 1000), absl::Seconds(1))));
}

TEST(team_limiter_test, only_the_reserve_of_a_slot_that_was_taken_over_is_used_at_once)
{
    const auto entry = make_entry(4, 1000);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    team_limiter limiter({.entry_id = "0", .now = [&] { return now; }});
    limiter.set_slot(entry_slot{0, 1, now});
    const auto first = limiter.acquire(entry, absl::Seconds(1));
    const auto second = limiter.acquire(entry, absl::Seconds(1));
    EXPECT_TRUE(std::holds_alternative<team_permit>(first));
    EXPECT_TRUE(std::holds_alternative<team_permit>(second));
    EXPECT_TRUE(std::holds_alternative<refusal>(limiter.acquire(entry, absl::Seconds(1))));
    now += absl::Minutes(4);
    EXPECT_TRUE(std::holds_alternative<team_permit>(limiter.acquire(entry, absl::Seconds(1))));
}

TEST(team_limiter_test, a_single_unit_of_a_slot_that_was_taken_over_is_withheld_at_first)
{
    const auto entry = make_entry(1, 1000);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    team_limiter limiter({.entry_id = "0", .now = [&] { return now; }});
    limiter.set_slot(entry_slot{0, 1, now});
    EXPECT_TRUE(std::holds_alternative<refusal>(limiter.acquire(entry, absl::Seconds(1))));
    now += absl::Minutes(4);
    EXPECT_TRUE(std::holds_alternative<team_permit>(limiter.acquire(entry, absl::Seconds(1))));
}

TEST(team_limiter_test, the_rate_and_its_burst_are_bounded)
{
    const auto entry = make_entry(1000, 10);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    team_limiter limiter({.entry_id = "0", .now = [&] { return now; }});
    limiter.set_slot(entry_slot{0, 1});
    int admitted = 0;
    for (int i = 0; i < 5000; ++i) {
        now += absl::Milliseconds(1);
        admitted += std::holds_alternative<team_permit>(limiter.acquire(entry, long_time)) ? 1 : 0;
    }
    EXPECT_GE(admitted, 55);
    EXPECT_LE(admitted, 60); // 10 per second for 5 s, plus a burst of 10
}

TEST(team_limiter_test, retries_count_against_the_rate)
{
    const auto entry = make_entry(1000, 2);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    team_limiter limiter({.entry_id = "0", .now = [&] { return now; }});
    limiter.set_slot(entry_slot{0, 1});
    EXPECT_TRUE(std::holds_alternative<team_permit>(limiter.acquire(entry, long_time)));
    EXPECT_FALSE(limiter.charge_attempt(entry).has_value());
    EXPECT_TRUE(limiter.charge_attempt(entry).has_value());
}

// Acquires `wanted` permits; retries while units are in transit. Returns the number acquired.
int take(team_limiter& limiter, const catalogue::catalogue_entry& entry, int wanted,
         std::vector<team_permit>& held)
{
    int taken = 0;
    const absl::Time deadline = absl::Now() + long_time;
    while (taken < wanted && absl::Now() < deadline) {
        auto permitted = limiter.acquire(entry, long_time);
        if (std::holds_alternative<team_permit>(permitted)) {
            held.push_back(std::get<team_permit>(permitted));
            ++taken;
        }
    }
    return taken;
}

TEST(share_exchange_test, an_entry_gets_its_root_and_what_others_may_lend_up_to_the_limit)
{
    const auto entry = make_entry(9, 1000);
    limiter_fleet fleet(3, entry);
    std::vector<team_permit> held;
    EXPECT_EQ(take(fleet.at(1), entry, 5, held), 5); // 3 root units and 1 lent by each other entry
    EXPECT_EQ(take(fleet.at(0), entry, 2, held), 2);
    EXPECT_EQ(take(fleet.at(2), entry, 2, held), 2);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(std::holds_alternative<refusal>(fleet.at(i).acquire(entry, long_time))) << i;
    }
}

TEST(share_exchange_test, a_share_comes_back_to_where_the_demand_is)
{
    const auto entry = make_entry(6, 1000);
    limiter_fleet fleet(3, entry);
    for (std::size_t turn : {0U, 2U, 1U, 0U}) {
        std::vector<team_permit> held;
        // 2 root units and 1 lent by each other entry
        ASSERT_EQ(take(fleet.at(turn), entry, 4, held), 4) << turn;
    }
}

TEST(home_of_test, all_who_see_the_same_entries_agree)
{
    EXPECT_EQ(broker_of("rate/x", {"a", "b", "c"}), broker_of("rate/x", {"c", "a", "b"}));
}

} // namespace
} // namespace sardinestream::limits
