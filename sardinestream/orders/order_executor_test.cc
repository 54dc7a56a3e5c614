#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sardinestream/orders/order_executor.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::orders {
namespace {

using catalogue::catalogue_entry;
using catalogue::catalogue_snapshot;
using testing::ElementsAre;
using testing::IsEmpty;

std::shared_ptr<const catalogue_snapshot> snapshot_with(std::uint64_t number,
                                                        const std::string& version)
{
    catalogue_entry entry;
    entry.name = "assistant-engines";
    entry.service = "assistant";
    entry.engine = catalogue::engine_target{version, {"labels"}, "mixed"};
    return std::make_shared<const catalogue_snapshot>(number, std::vector<catalogue_entry>{entry});
}

// An engine that records every call, and a catalogue that the test controls.
struct fixture {
    std::shared_ptr<const catalogue_snapshot> current;
    std::vector<std::string> calls;
    absl::Status answer;

    order_executor make()
    {
        order_executor_dependencies dependencies;
        dependencies.wait_for_catalogue = [this](std::uint64_t number, absl::Time) {
            return this->current->number() >= number ? this->current : nullptr;
        };
        dependencies.send = [this](const engine_call& call, absl::Time) {
            this->calls.push_back(
                absl::StrCat(call.name, " ", call.value, " ", call.fencing_number));
            return this->answer;
        };
        dependencies.run_while_idle = [](const std::function<absl::Status()>& change, absl::Time) {
            return change();
        };
        return order_executor(std::move(dependencies));
    }
};

TEST(order_executor_test, a_new_executor_sends_the_whole_target)
{
    fixture engine{snapshot_with(7, "v1"), {}, {}};
    order_executor executor = engine.make();
    const order_result result = executor.execute("assistant", 7, absl::InfiniteFuture());
    EXPECT_EQ(result.code, order_code::applied);
    EXPECT_EQ(result.applied_number, 7U);
    EXPECT_THAT(engine.calls, ElementsAre("load_adapter labels 7", "load_model v1 7",
                                          "set_version v1 7", "set_role mixed 7"));
}

TEST(order_executor_test, a_repeated_order_sends_nothing)
{
    fixture engine{snapshot_with(7, "v1"), {}, {}};
    order_executor executor = engine.make();
    EXPECT_EQ(executor.execute("assistant", 7, absl::InfiniteFuture()).code, order_code::applied);
    engine.calls.clear();
    EXPECT_EQ(executor.execute("assistant", 7, absl::InfiniteFuture()).code, order_code::applied);
    EXPECT_THAT(engine.calls, IsEmpty());
}

TEST(order_executor_test, a_late_order_applies_the_newest_target)
{
    fixture engine{snapshot_with(9, "v2"), {}, {}};
    order_executor executor = engine.make();
    EXPECT_EQ(executor.execute("assistant", 3, absl::InfiniteFuture()).applied_number, 9U);
    EXPECT_THAT(engine.calls, testing::Contains("set_version v2 9"));
}

TEST(order_executor_test, an_agent_that_is_behind_sends_nothing)
{
    fixture engine{snapshot_with(7, "v1"), {}, {}};
    order_executor executor = engine.make();
    EXPECT_EQ(executor.execute("assistant", 8, absl::InfiniteFuture()).code, order_code::behind);
    EXPECT_THAT(engine.calls, IsEmpty());
}

TEST(order_executor_test, a_lower_number_never_reaches_an_engine_that_ignores_fencing)
{
    fixture engine{snapshot_with(9, "v2"), {}, {}};
    order_executor executor = engine.make();
    EXPECT_EQ(executor.execute("assistant", 9, absl::InfiniteFuture()).code, order_code::applied);
    engine.calls.clear();
    engine.current = snapshot_with(7, "v1");
    EXPECT_EQ(executor.execute("assistant", 7, absl::InfiniteFuture()).code, order_code::behind);
    EXPECT_THAT(engine.calls, IsEmpty());
}

TEST(order_executor_test, a_failed_order_is_sent_again)
{
    fixture engine{snapshot_with(7, "v1"), {}, absl::UnavailableError("down")};
    order_executor executor = engine.make();
    EXPECT_EQ(executor.execute("assistant", 7, absl::InfiniteFuture()).code,
              order_code::engine_error);
    engine.answer = absl::OkStatus();
    EXPECT_EQ(executor.execute("assistant", 7, absl::InfiniteFuture()).code, order_code::applied);
}

} // namespace
} // namespace sardinestream::orders
