#include "sardinestream/agent/token_sequencer.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/metrics.h"

#include "absl/strings/strip.h"

namespace sardinestream::agent {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_pending_events = 4096;
constexpr std::size_t max_line_bytes = 1 << 20;

} // namespace

token_sequencer::token_sequencer(std::string request_id, std::uint32_t first_index)
    : expected_id(std::move(request_id)), next(first_index)
{
}

std::vector<std::string> token_sequencer::feed(absl::string_view bytes)
{
    while (!bytes.empty() && !this->malformed) {
        const std::size_t line_end = bytes.find('\n');
        if (line_end == absl::string_view::npos) {
            this->partial_line.append(bytes.data(), bytes.size());
            this->malformed = this->partial_line.size() > max_line_bytes;
            break;
        }
        this->partial_line.append(bytes.data(), line_end);
        bytes.remove_prefix(line_end + 1);
        const std::string line = std::exchange(this->partial_line, std::string());
        this->process_line(absl::StripSuffix(line, "\r"));
    }
    std::vector<std::string> ready;
    for (auto it = this->pending_events.begin();
         it != this->pending_events.end() && it->first == this->next;
         it = this->pending_events.erase(it)) {
        ready.push_back(std::move(it->second));
        ++this->next;
    }
    return ready;
}

void token_sequencer::process_line(absl::string_view line)
{
    if (!absl::ConsumePrefix(&line, "data:")) {
        return; // a comment, an event name or the blank line between events
    }
    absl::ConsumePrefix(&line, " ");
    if (line == "[DONE]") {
        this->done = true;
        return;
    }
    const json event = json::parse(line.begin(), line.end(), nullptr, false);
    if (!event.is_object() || !event.contains("token_index") ||
        !event["token_index"].is_number_unsigned()) {
        this->malformed = true;
        return;
    }
    if (!event.contains("id") || event["id"] != this->expected_id) {
        count("sardine_foreign_events_total");
        return;
    }
    const auto index = event["token_index"].get<std::uint32_t>();
    if (index < this->next) {
        return;
    }
    this->pending_events.emplace(index, std::string(line));
    this->malformed = this->pending_events.size() > max_pending_events;
}

} // namespace sardinestream::agent
