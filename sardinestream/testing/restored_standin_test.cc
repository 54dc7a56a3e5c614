// Tests of the product's own interface with a platform that comes back from an older copy.

#include <gtest/gtest.h>

#include "sardinestream/base/digest.h"
#include "sardinestream/catalogue/acceptor.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/catalogue/store_sync.h"
#include "sardinestream/once/key_bindings.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::testing {
namespace {

class restored_standin_test : public ::testing::Test {
protected:
    [[nodiscard]] std::unique_ptr<platform::object_store> connect() const
    {
        return platform::object_store::create({.servers = {this->standin->local()}}).value();
    }

    const std::unique_ptr<platform_standin> standin =
        platform_standin::create({"127.0.0.1", 0}).value();
};

TEST_F(restored_standin_test, a_key_whose_binding_was_lost_is_not_bound_to_another_agent)
{
    const auto first_store = this->connect();
    const auto second_store = this->connect();
    const auto first = once::key_bindings::create(first_store.get());
    const auto second = once::key_bindings::create(second_store.get());
    const digest128 key = digest_of("test", {"key"});
    const absl::Time deadline = absl::Now() + absl::Seconds(5);
    this->standin->store().take_copy();
    ASSERT_TRUE(first->bind(key, {"agent-1", 7}, deadline).ok());
    this->standin->store().restore_copy();
    const absl::StatusOr<once::binding> bound = second->bind(key, {"agent-2", 8}, deadline);
    EXPECT_TRUE(!bound.ok() || bound->agent == "agent-1") << bound->agent;
}

TEST_F(restored_standin_test, an_entry_is_accepted_after_the_index_has_gone_back)
{
    const auto store = this->connect();
    catalogue::catalogue_state state;
    const auto decide = [&] {
        return catalogue::acceptor::decide_once({.id = "a"}, *store, state);
    };
    this->standin->put_entry("till", catalogue::make_entry("till-key"));
    ASSERT_TRUE(decide().ok());
    this->standin->store().take_copy();
    this->standin->put_entry("stock", catalogue::make_entry("stock-key"));
    ASSERT_TRUE(decide().ok());
    this->standin->store().restore_copy();
    this->standin->put_entry("stock", catalogue::make_entry("stock-key"));
    this->standin->put_entry("chat", catalogue::make_entry("chat-key"));
    EXPECT_TRUE(decide().ok());
    EXPECT_NE(state.current()->find(sha256_hex("chat-key"), "assistant"), nullptr);
}

} // namespace
} // namespace sardinestream::testing
