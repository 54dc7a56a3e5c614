#include "sardinestream/forwarding/event_splitter.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace sardinestream {
namespace {

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

std::string event_id(absl::string_view event)
{
    for (absl::string_view line : absl::StrSplit(event, '\n')) {
        if (absl::ConsumePrefix(&line, "id:")) {
            return std::string(absl::StripAsciiWhitespace(line));
        }
    }
    return "";
}

} // namespace

event_splitter::event_splitter(absl::string_view resume_after)
{
    std::int64_t number = 0;
    if (absl::SimpleAtoi(resume_after, &number)) {
        this->returned.number = number;
        this->delivered.number = number;
    }
}

std::string event_splitter::take_events()
{
    std::string complete;
    absl::string_view rest = this->pending;
    while (!this->gap) {
        const std::size_t length = event_length(rest);
        if (length == absl::string_view::npos) {
            break;
        }
        this->append_event(rest.substr(0, length), complete);
        rest.remove_prefix(length);
    }
    this->pending = std::string(rest);
    return complete;
}

void event_splitter::append_event(absl::string_view event, std::string& complete)
{
    const std::string id = event_id(event);
    std::int64_t number = 0;
    if (!id.empty() && absl::SimpleAtoi(id, &number)) {
        const std::optional<std::int64_t> last = this->returned.number;
        if (last.has_value() && number <= *last) {
            return;
        }
        this->gap = last.has_value() && number != *last + 1;
        if (this->gap) {
            return;
        }
        this->returned.number = number;
    }
    if (!id.empty()) {
        this->returned.id = id;
    }
    ++this->returned.events;
    complete.append(event.data(), event.size());
}

void event_splitter::drop_undelivered()
{
    this->pending.clear();
    this->returned = this->delivered;
    this->gap = false;
}

} // namespace sardinestream
