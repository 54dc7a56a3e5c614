#include "sardinestream/testing/matrix_faults.h"

#include <algorithm>

#include "absl/strings/str_split.h"

namespace sardinestream::testing {
namespace {

constexpr absl::Duration message_delay = absl::Milliseconds(400);

fault_kind link_fault_of(const std::string& fault)
{
    if (has_part(fault, "cut_before") || has_part(fault, "cut_after")) {
        return fault_kind::cut;
    }
    if (has_part(fault, "black_hole")) {
        return fault_kind::black_hole;
    }
    if (has_part(fault, "delay")) {
        return fault_kind::delay;
    }
    return has_part(fault, "lost_answer") ? fault_kind::lose_answer : fault_kind::none;
}

// Makes the platform's list stale: it names an instance that is gone, shows an earlier life of a
// live one as leaving, and shows no change for a long time.
void make_list_stale(fleet& target)
{
    const agent_node& first = *target.agents().front();
    const port_reservation nowhere;
    target.list_instance("ghost-agent", R"({"role":"agent","address":")" +
                                            nowhere.reserved().to_string() +
                                            R"(","data_centre":"fi/kuopio","leaving":false})");
    target.list_instance(first.id, fleet::instance_spec(first, true));
    target.order_platform("/admin/instance_lag?lag_ms=60000");
}

void inject_processes(const std::string& fault, const injection_point& point)
{
    const bool kills_back = has_part(fault, "kill_back") || has_part(fault, "kill_back_after");
    if (has_part(fault, "kill_front") && point.front != nullptr) {
        point.front->kill();
    }
    if (kills_back && point.back != nullptr) {
        point.back->kill();
    }
    if (has_part(fault, "freeze_front") && point.front != nullptr) {
        point.front->freeze();
    }
    if (has_part(fault, "freeze_back") && point.back != nullptr) {
        point.back->freeze();
    }
}

void inject_platform(const std::string& fault, fleet& target)
{
    if (has_part(fault, "store_outage")) {
        target.order_platform("/admin/outage?mode=drop");
    }
    if (has_part(fault, "store_slow")) {
        target.order_platform("/admin/slow?delay_ms=400");
    }
    if (has_part(fault, "stale_list")) {
        make_list_stale(target);
    }
}

} // namespace

bool has_part(const std::string& fault, absl::string_view part)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(fault, '+');
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

fault_injection::fault_injection(fleet& target, const std::vector<injection_point>& points,
                                 const std::string& fault)
{
    const auto matches = std::make_shared<std::atomic<int>>(0);
    const bool after = has_part(fault, "cut_after") || has_part(fault, "kill_back_after");
    for (const injection_point& point : points) {
        fault_rule rule;
        rule.at = point.at;
        rule.nth = point.nth;
        rule.when = after ? fault_time::after : fault_time::before;
        rule.fault = link_fault_of(fault);
        rule.delay = message_delay;
        rule.matches = matches;
        rule.hook = [&target, point, fault] {
            inject_processes(fault, point);
            inject_platform(fault, target);
        };
        this->rules.push_back(point.proxy->add(std::move(rule)));
    }
}

bool fault_injection::fired() const
{
    return std::any_of(this->rules.begin(), this->rules.end(),
                       [](const auto& rule) { return rule->fired(); });
}

bool fault_injection::has_fired() const
{
    return std::any_of(this->rules.begin(), this->rules.end(),
                       [](const auto& armed) { return *armed->rule.matches >= armed->rule.nth; });
}

bool fault_injection::wait_until_fired(const std::function<bool()>& or_else) const
{
    static_cast<void>(wait_until([&] { return this->fired() || or_else(); }));
    // The exchange may end while the fault still takes effect.
    return this->has_fired() && wait_until([this] { return this->fired(); });
}

const std::vector<std::string>& request_faults()
{
    static const auto* const names = new std::vector<std::string>{
        "kill_front",
        "kill_back",
        "kill_back_after",
        "freeze_front",
        "freeze_back",
        "cut_before",
        "cut_after",
        "black_hole",
        "delay",
        "lost_answer",
        "store_outage",
        "store_slow",
        "stale_list",
        "resend",
        "lost_answer+resend",
        "freeze_back+resend",
        "kill_back_after+resend",
        "cut_after+store_outage",
    };
    return *names;
}

} // namespace sardinestream::testing
