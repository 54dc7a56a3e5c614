#include "sardinestream/testing/engine_ledger.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace sardinestream::testing {
namespace {

std::string to_text(attempt_state state)
{
    switch (state) {
    case attempt_state::started:
        return "started";
    case attempt_state::cancelled:
        return "cancelled";
    case attempt_state::finished:
        break;
    }
    return "finished";
}

} // namespace

std::size_t engine_ledger::start(absl::string_view request_id, absl::string_view prompt,
                                 int priority, int resume_from, bool resume_text_right)
{
    const absl::MutexLock lock(&this->mutex);
    this->attempts.push_back({.request_id = std::string(request_id),
                              .prompt = std::string(prompt),
                              .priority = priority,
                              .resume_from = resume_from,
                              .resume_text_right = resume_text_right,
                              .next_index = resume_from});
    return this->attempts.size() - 1;
}

void engine_ledger::token(std::size_t attempt, int index)
{
    const absl::MutexLock lock(&this->mutex);
    this->attempts[attempt].next_index = index + 1;
}

void engine_ledger::end(std::size_t attempt, attempt_state state)
{
    const absl::MutexLock lock(&this->mutex);
    this->attempts[attempt].state = state;
}

bool engine_ledger::order(absl::string_view name, std::uint64_t fencing, absl::string_view body,
                          bool check_fencing)
{
    const absl::MutexLock lock(&this->mutex);
    std::uint64_t& highest = this->highest_fencing[std::string(name)];
    const bool applied = !check_fencing || fencing >= highest;
    highest = std::max(highest, fencing);
    this->orders.push_back({.name = std::string(name),
                            .fencing = fencing,
                            .body = std::string(body),
                            .applied = applied});
    return applied;
}

nlohmann::json engine_ledger::to_json() const
{
    const absl::MutexLock lock(&this->mutex);
    nlohmann::json all{{"attempts", nlohmann::json::array()}, {"orders", nlohmann::json::array()}};
    for (const attempt& each : this->attempts) {
        all["attempts"].push_back({{"request_id", each.request_id},
                                   {"prompt", each.prompt},
                                   {"priority", each.priority},
                                   {"resume_from", each.resume_from},
                                   {"resume_text_right", each.resume_text_right},
                                   {"next_index", each.next_index},
                                   {"state", to_text(each.state)}});
    }
    for (const order_record& each : this->orders) {
        all["orders"].push_back({{"name", each.name},
                                 {"fencing", each.fencing},
                                 {"body", each.body},
                                 {"applied", each.applied}});
    }
    return all;
}

} // namespace sardinestream::testing
