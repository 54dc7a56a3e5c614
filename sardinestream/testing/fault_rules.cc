#include "sardinestream/testing/fault_rules.h"

#include <utility>

#include "absl/strings/match.h"

namespace sardinestream::testing {
namespace {

message_pattern http_pattern(message_kind kind, absl::string_view line_prefix,
                             absl::string_view marker)
{
    message_pattern pattern;
    pattern.kind = kind;
    pattern.line_prefix = std::string(line_prefix);
    pattern.marker = std::string(marker);
    return pattern;
}

} // namespace

bool message_pattern::matches(const message_info& message) const
{
    if (message.kind != this->kind) {
        return false;
    }
    if (this->direction != toward::either && this->direction != message.direction) {
        return false;
    }
    if (this->kind == message_kind::frame ? message.type != this->type
                                          : !absl::StartsWith(message.line, this->line_prefix)) {
        return false;
    }
    if (!absl::StrContains(message.line, this->line_part)) {
        return false;
    }
    if (!this->client.empty() && this->client != message.client) {
        return false;
    }
    return absl::StrContains(message.opening, this->marker);
}

message_pattern request_pattern(absl::string_view line_prefix, absl::string_view marker)
{
    return http_pattern(message_kind::http_request, line_prefix, marker);
}

message_pattern answer_pattern(absl::string_view line_prefix, absl::string_view marker)
{
    return http_pattern(message_kind::http_answer, line_prefix, marker);
}

message_pattern event_pattern(absl::string_view line_prefix, absl::string_view marker)
{
    return http_pattern(message_kind::http_event, line_prefix, marker);
}

message_pattern frame_pattern(wire::frame_type type, absl::string_view marker)
{
    message_pattern pattern;
    pattern.type = type;
    pattern.marker = std::string(marker);
    return pattern;
}

bool armed_rule::inject(const message_info& message) const
{
    return this->rule.at.matches(message) && ++*this->rule.matches == this->rule.nth;
}

void armed_rule::mark_fired()
{
    const absl::MutexLock lock(&this->mutex);
    this->done = true;
}

bool armed_rule::fired() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->done;
}

bool armed_rule::wait_until_fired(absl::Duration timeout) const
{
    const absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->done), timeout);
}

std::shared_ptr<armed_rule> fault_rules::add(fault_rule rule)
{
    auto made = std::make_shared<armed_rule>(std::move(rule));
    const absl::MutexLock lock(&this->mutex);
    this->armed.push_back(made);
    return made;
}

void fault_rules::clear()
{
    const absl::MutexLock lock(&this->mutex);
    this->armed.clear();
}

std::shared_ptr<armed_rule> fault_rules::inject(const message_info& message)
{
    const absl::MutexLock lock(&this->mutex);
    for (const std::shared_ptr<armed_rule>& each : this->armed) {
        if (each->inject(message)) {
            return each;
        }
    }
    return nullptr;
}

} // namespace sardinestream::testing
