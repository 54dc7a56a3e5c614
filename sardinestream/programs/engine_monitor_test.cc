#include <cstdint>
#include <utility>

#include <gtest/gtest.h>

#include "sardinestream/programs/engine_monitor.h"

#include "absl/status/status.h"

namespace sardinestream {
namespace {

class engine_monitor_test : public ::testing::Test {
protected:
    [[nodiscard]] engine_monitor make_monitor()
    {
        engine_interface engine;
        engine.read_report = [this]() -> absl::StatusOr<engine_report> {
            engine_report report;
            report.group = "g";
            report.group_size = 2;
            report.map_report.epoch = 1;
            report.map_report.map_version = this->version;
            return report;
        };
        engine.read_experts = [this]() -> absl::StatusOr<rank_experts> {
            if (this->loses_experts) {
                return absl::DeadlineExceededError("no answer");
            }
            return this->held;
        };
        return engine_monitor(std::move(engine));
    }

    std::int64_t version = 1;
    rank_experts held = {{0, 1}};
    bool loses_experts = false;
};

// Regression: a coordinator planned from the experts of the map before, and maps differed.
TEST_F(engine_monitor_test, experts_of_the_map_before_do_not_pass_for_those_of_a_new_one)
{
    engine_monitor monitor = this->make_monitor();
    ASSERT_TRUE(monitor.refresh());
    ASSERT_EQ(monitor.experts(), rank_experts({{0, 1}}));
    this->version = 2;
    this->held = {{2, 3}};
    this->loses_experts = true;
    ASSERT_TRUE(monitor.refresh());
    EXPECT_EQ(monitor.report()->map_report.map_version, 2);
    EXPECT_TRUE(monitor.experts().empty());
    this->loses_experts = false;
    ASSERT_TRUE(monitor.refresh());
    EXPECT_EQ(monitor.experts(), rank_experts({{2, 3}}));
}

} // namespace
} // namespace sardinestream
