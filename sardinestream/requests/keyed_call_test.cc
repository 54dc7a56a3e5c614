#include <gtest/gtest.h>

#include "sardinestream/requests/keyed_call.h"

namespace sardinestream::requests {
namespace {

using find_result = std::variant<std::optional<key_owner>, refusal>;

catalogue::catalogue_entry till_entry()
{
    catalogue::catalogue_entry entry;
    entry.name = "mehulaakso-till";
    entry.owner = "mehulaakso";
    entry.service = "till";
    entry.work = catalogue::work_class::plain;
    entry.repeat = catalogue::repeat_rule::none;
    return entry;
}

const catalogue::catalogue_entry till = till_entry();

caller_request deposit()
{
    caller_request request;
    request.entry = &till;
    request.method = "POST";
    request.path = "/deposits";
    request.idempotency_key = "deposit-7";
    request.deadline = deadline_after(absl::Seconds(30));
    return request;
}

refusal over_limit()
{
    return refuse_not_run(refusal_code::team_limit, "acquire_permit", "", absl::Seconds(1));
}

// Returns the services of an entry whose store returns `found` for every key and which can reach no
// agent.
request_services services_that_find(find_result found)
{
    request_services services;
    services.find_binding = [found = std::move(found)](digest128) { return found; };
    services.find_owner = [](const key_owner& owner, steady_deadline) {
        refusal unreachable;
        unreachable.code = refusal_code::bound_agent_unreachable;
        unreachable.peer = owner.agent_id;
        return unreachable;
    };
    return services;
}

refusal refused(const caller_request& request, const request_services& services)
{
    call_result result = refuse_at_most_once(request, services, over_limit());
    EXPECT_TRUE(std::holds_alternative<refusal>(result));
    return std::get<refusal>(std::move(result));
}

TEST(keyed_call, reports_not_run_for_a_key_without_binding)
{
    const refusal said = refused(deposit(), services_that_find(std::nullopt));
    EXPECT_EQ(said.code, refusal_code::team_limit);
    EXPECT_EQ(said.outcome, run_outcome::not_run);
}

TEST(keyed_call, reports_unknown_for_a_key_whose_binding_cannot_be_read)
{
    refusal store_out;
    store_out.code = refusal_code::store_unavailable;
    const refusal said = refused(deposit(), services_that_find(store_out));
    EXPECT_EQ(said.code, refusal_code::team_limit);
    EXPECT_EQ(said.outcome, run_outcome::unknown);
}

TEST(keyed_call, reports_unknown_for_a_key_whose_agent_cannot_be_reached)
{
    const refusal said = refused(deposit(), services_that_find(key_owner{"agent-7", 41}));
    EXPECT_EQ(said.code, refusal_code::bound_agent_unreachable);
    EXPECT_EQ(said.outcome, run_outcome::unknown);
}

TEST(keyed_call, reports_not_run_for_a_first_sending_whatever_the_store_returns)
{
    caller_request first = deposit();
    first.first_sending = true;
    refusal store_out;
    store_out.code = refusal_code::store_unavailable;
    EXPECT_EQ(refused(first, services_that_find(store_out)).outcome, run_outcome::not_run);
}

TEST(keyed_call, requires_a_key)
{
    caller_request without_key = deposit();
    without_key.idempotency_key.clear();
    const call_result result = call_at_most_once(without_key, {});
    EXPECT_EQ(std::get<refusal>(result).code, refusal_code::idempotency_key_required);
}

} // namespace
} // namespace sardinestream::requests
