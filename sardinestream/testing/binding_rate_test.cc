// Bindings against the platform's stand-in over HTTP: how many writes each costs.

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/once/key_bindings.h"
#include "sardinestream/once/request_key.h"
#include "sardinestream/testing/platform_standin.h"

namespace sardinestream::testing {
namespace {

constexpr int entry_count = 3;

struct binding_load {
    int callers_per_entry = 1;
    int keys_per_caller = 1;
    absl::Duration store_time = absl::ZeroDuration();
};

struct binding_cost {
    int bindings = 0;
    double writes_each = 0;
    double reads_each = 0;
    double bindings_per_s = 0;
};

// Binds keys of their own through several entries at once.
binding_cost measure(const binding_load& load)
{
    const auto standin = *platform_standin::create({"127.0.0.1", 0});
    standin->set_delay(load.store_time);
    std::vector<std::unique_ptr<platform::object_store>> stores;
    std::vector<std::unique_ptr<once::key_bindings>> entries;
    for (int entry = 0; entry < entry_count; ++entry) {
        stores.push_back(*platform::object_store::create({.servers = {standin->local()}}));
        entries.push_back(once::key_bindings::create(stores.back().get()));
    }
    std::atomic<int> bound = 0;
    std::vector<std::thread> callers;
    const int caller_count = entry_count * load.callers_per_entry;
    callers.reserve(caller_count);
    const absl::Time start = absl::Now();
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&entries, &bound, &load, caller] {
            for (int number = 0; number < load.keys_per_caller; ++number) {
                const digest128 key = once::digest_of_caller_key("orders", std::to_string(caller),
                                                                 std::to_string(number));
                bound += entries[caller % entry_count]
                             ->bind(key, {"agent", 1}, absl::Now() + absl::Seconds(60))
                             .ok();
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
    std::map<std::string, std::uint64_t> calls = standin->call_counts();
    const double writes = static_cast<double>(calls["POST keybindings"] + calls["PUT keybindings"]);
    return {bound, writes / bound, static_cast<double>(calls["GET keybindings"]) / bound,
            bound / seconds};
}

void print(const char* name, const binding_cost& cost)
{
    std::printf("binding_cost scenario=%s bindings=%d writes_each=%.3f reads_each=%.3f "
                "bindings_per_s=%.0f\n",
                name, cost.bindings, cost.writes_each, cost.reads_each, cost.bindings_per_s);
}

TEST(binding_rate, costs_about_one_write_each_when_few_callers_bind)
{
    const binding_cost cost = measure({.callers_per_entry = 2, .keys_per_caller = 30});
    print("few", cost);
    EXPECT_EQ(cost.bindings, 180);
    EXPECT_LT(cost.writes_each, 1.5);
}

TEST(binding_rate, costs_less_than_one_write_each_when_the_store_is_slow)
{
    const binding_cost cost = measure(
        {.callers_per_entry = 400, .keys_per_caller = 3, .store_time = absl::Milliseconds(50)});
    print("crowd", cost);
    EXPECT_EQ(cost.bindings, 3600);
    EXPECT_LT(cost.writes_each, 1);
}

} // namespace
} // namespace sardinestream::testing
