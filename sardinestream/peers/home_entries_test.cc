#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/peers/home_entries.h"

namespace sardinestream {
namespace {

constexpr std::uint32_t first_entry = 0x0a010000;
constexpr std::uint32_t first_agent = 0x0a020000;

std::vector<std::uint32_t> entries_but(std::uint32_t left_out, int count)
{
    std::vector<std::uint32_t> others;
    for (int i = 0; i < count; ++i) {
        if (first_entry + static_cast<std::uint32_t>(i) != left_out) {
            others.push_back(first_entry + static_cast<std::uint32_t>(i));
        }
    }
    return others;
}

std::vector<std::uint32_t> homes_of(std::uint32_t agent, const std::vector<std::uint32_t>& entries)
{
    std::vector<std::uint32_t> homes;
    for (const std::uint32_t entry : entries) {
        std::vector<std::uint32_t> others = entries;
        std::erase(others, entry);
        if (is_home_of(agent, entry, others)) {
            homes.push_back(entry);
        }
    }
    return homes;
}

TEST(home_entries, every_agent_has_its_number_of_homes)
{
    const std::vector<std::uint32_t> entries = entries_but(0, 20);
    for (std::uint32_t agent = first_agent; agent < first_agent + 192; ++agent) {
        EXPECT_EQ(homes_of(agent, entries).size(), static_cast<std::size_t>(homes_per_agent));
    }
}

TEST(home_entries, a_lone_entry_is_home_to_all)
{
    EXPECT_TRUE(is_home_of(first_agent, first_entry, {}));
}

TEST(home_entries, a_dead_entry_moves_its_own_agents_only)
{
    const std::vector<std::uint32_t> before = entries_but(0, 20);
    const std::uint32_t dead = before[7];
    const std::vector<std::uint32_t> after = entries_but(dead, 20);
    for (std::uint32_t agent = first_agent; agent < first_agent + 192; ++agent) {
        std::vector<std::uint32_t> kept = homes_of(agent, before);
        std::erase(kept, dead);
        const std::vector<std::uint32_t> now = homes_of(agent, after);
        for (const std::uint32_t home : kept) {
            EXPECT_NE(std::find(now.begin(), now.end(), home), now.end());
        }
    }
}

TEST(home_entries, agents_are_spread_over_the_entries)
{
    const std::vector<std::uint32_t> entries = entries_but(0, 20);
    std::vector<int> agents_of(entries.size(), 0);
    constexpr std::uint32_t agents = 1000;
    for (std::uint32_t agent = first_agent; agent < first_agent + agents; ++agent) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            agents_of[i] += is_home_of(agent, entries[i], entries_but(entries[i], 20)) ? 1 : 0;
        }
    }
    // The mean is 100 agents per entry: 1000 agents with 2 homes each over 20 entries.
    for (const int count : agents_of) {
        EXPECT_GT(count, 50);
        EXPECT_LT(count, 200);
    }
}

} // namespace
} // namespace sardinestream
