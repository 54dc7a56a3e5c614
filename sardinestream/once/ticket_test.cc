#include <gtest/gtest.h>

#include "sardinestream/once/request_key.h"
#include "sardinestream/once/ticket.h"

namespace sardinestream::once {
namespace {

const absl::Time noon = absl::FromUnixSeconds(1'700'000'000);

ticket sample()
{
    return {.agent = "agent-7",
            .incarnation = 18'000'000'000'000'000'001U,
            .agent_address = {"10.0.0.7", 7000},
            .team = "orders",
            .service = "dispatch",
            .random = "0123456789abcdef",
            .expiry = noon + absl::Minutes(5)};
}

ticket_signer signer()
{
    return *ticket_signer::create("a fleet key");
}

TEST(ticket, comes_back_as_it_was_issued)
{
    const ticket_check checked =
        signer().verify(signer().issue(sample()), "orders", "dispatch", noon);
    ASSERT_EQ(checked.error, ticket_error::none);
    EXPECT_EQ(checked.content.agent, "agent-7");
    EXPECT_EQ(checked.content.incarnation, 18'000'000'000'000'000'001U);
    EXPECT_EQ(checked.content.agent_address.to_string(), "10.0.0.7:7000");
    EXPECT_EQ(checked.content.key(), sample().key());
}

TEST(ticket, is_forged_when_any_character_changes)
{
    const std::string token = signer().issue(sample());
    for (std::size_t i = 0; i < token.size(); ++i) {
        std::string changed = token;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        EXPECT_EQ(signer().verify(changed, "orders", "dispatch", noon).error, ticket_error::forged)
            << "position " << i;
    }
}

TEST(ticket, is_forged_when_signed_by_another_fleet)
{
    const std::string token = ticket_signer::create("another key")->issue(sample());
    EXPECT_EQ(signer().verify(token, "orders", "dispatch", noon).error, ticket_error::forged);
}

TEST(ticket, is_forged_when_malformed)
{
    for (const char* token : {"", ".", "a.b", "no dot at all"}) {
        EXPECT_EQ(signer().verify(token, "orders", "dispatch", noon).error, ticket_error::forged)
            << token;
    }
}

TEST(ticket, expires)
{
    const std::string token = signer().issue(sample());
    EXPECT_EQ(signer().verify(token, "orders", "dispatch", noon + absl::Minutes(5)).error,
              ticket_error::expired);
}

TEST(ticket, belongs_to_one_team_and_service)
{
    const std::string token = signer().issue(sample());
    EXPECT_EQ(signer().verify(token, "till", "dispatch", noon).error, ticket_error::other_team);
    EXPECT_EQ(signer().verify(token, "orders", "stock", noon).error, ticket_error::other_service);
}

TEST(ticket, needs_a_fleet_key)
{
    EXPECT_TRUE(absl::IsInvalidArgument(ticket_signer::create("").status()));
}

} // namespace
} // namespace sardinestream::once
