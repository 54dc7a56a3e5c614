#include "sardinestream/forwarding/event_splitter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "sardinestream/base/digest.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace sardinestream {
namespace {

// Events that come again are recognized among so many of the latest.
constexpr std::size_t max_recent_events = 256;

// Returns the length of the first event including its blank line, or npos if it is incomplete.
std::size_t event_length(absl::string_view text)
{
    const std::size_t unix_end = text.find("\n\n");
    const std::size_t dos_end = text.find("\r\n\r\n");
    if (unix_end == absl::string_view::npos && dos_end == absl::string_view::npos) {
        return absl::string_view::npos;
    }
    constexpr std::size_t unix_length = 2;
    constexpr std::size_t dos_length = 4;
    return unix_end < dos_end ? unix_end + unix_length : dos_end + dos_length;
}

// Returns the values of the event's id lines.
std::vector<absl::string_view> event_ids(absl::string_view event)
{
    std::vector<absl::string_view> ids;
    for (absl::string_view line : absl::StrSplit(event, '\n')) {
        if (absl::ConsumePrefix(&line, "id:")) {
            ids.push_back(absl::StripAsciiWhitespace(line));
        }
    }
    return ids;
}

// Returns nothing if the id is not a whole number.
std::optional<absl::int128> number_of(absl::string_view id)
{
    absl::int128 number = 0;
    return absl::SimpleAtoi(id, &number) ? std::optional(number) : std::nullopt;
}

} // namespace

event_splitter::event_splitter(absl::string_view resume_after)
{
    this->returned.number = number_of(resume_after);
    this->delivered.number = this->returned.number;
    this->unknown_until = this->returned.number;
}

std::string event_splitter::take_events()
{
    batch taken;
    absl::string_view rest = this->pending;
    while (!this->malformed) {
        const std::size_t length = event_length(rest);
        if (length == absl::string_view::npos) {
            break;
        }
        this->append_event(rest.substr(0, length), taken);
        rest.remove_prefix(length);
    }
    this->pending = std::string(rest);
    return std::move(taken.complete);
}

void event_splitter::append_event(absl::string_view event, batch& taken)
{
    const std::vector<absl::string_view> ids = event_ids(event);
    // The end of one event and the beginning of the next are missing.
    this->malformed = ids.size() > 1;
    if (this->malformed) {
        return;
    }
    const std::string id(ids.empty() ? "" : ids.front());
    const std::optional<absl::int128> number = number_of(id);
    if (number.has_value() && !this->append_number({*number, stable_hash(event)}, taken)) {
        return;
    }
    if (!id.empty()) {
        this->returned.id = id;
    }
    ++this->returned.events;
    taken.complete.append(event.data(), event.size());
}

bool event_splitter::append_number(const numbered_event& event, batch& taken)
{
    const relation found = this->relation_of(event);
    if (!this->last_sent.has_value() || event.number > *this->last_sent) {
        this->last_sent = event.number;
    }
    if (found == relation::next) {
        taken.numbered.push_back({event.number, this->returned, taken.complete.size()});
        this->returned.number = event.number;
        this->remember(event);
        return true;
    }
    this->malformed = found != relation::repeated;
    if (found == relation::overtaken) {
        this->take_back(event.number, taken);
    }
    return false;
}

event_splitter::relation event_splitter::relation_of(const numbered_event& event) const
{
    const bool goes_back = this->last_sent.has_value() && event.number <= *this->last_sent;
    const bool is_new = !this->returned.number.has_value() || event.number > *this->returned.number;
    if (!goes_back && is_new) {
        return relation::next;
    }
    if (this->unknown_until.has_value() && event.number <= *this->unknown_until) {
        return goes_back ? relation::contradictory : relation::repeated;
    }
    const auto known = std::lower_bound(
        this->recent.begin(), this->recent.end(), event.number,
        [](const numbered_event& each, absl::int128 number) { return each.number < number; });
    if (known == this->recent.end() || known->number != event.number) {
        return relation::overtaken;
    }
    return goes_back && known->digest != event.digest ? relation::contradictory
                                                      : relation::repeated;
}

void event_splitter::remember(const numbered_event& event)
{
    this->recent.push_back(event);
    if (this->recent.size() > max_recent_events) {
        this->unknown_until = this->recent.front().number;
        this->recent.pop_front();
    }
}

void event_splitter::take_back(absl::int128 overtaken, batch& taken)
{
    if (this->delivered.number.has_value() && overtaken < *this->delivered.number) {
        this->event_lacking = true;
        return;
    }
    for (const batch::numbered_place& each : taken.numbered) {
        if (each.number > overtaken) {
            this->returned = each.before;
            taken.complete.resize(each.length_before);
            return;
        }
    }
}

void event_splitter::drop_undelivered()
{
    this->pending.clear();
    this->returned = this->delivered;
    const std::optional<absl::int128> last = this->delivered.number;
    while (!this->recent.empty() && (!last.has_value() || this->recent.back().number > *last)) {
        this->recent.pop_back();
    }
    this->last_sent.reset();
    this->malformed = false;
}

} // namespace sardinestream
