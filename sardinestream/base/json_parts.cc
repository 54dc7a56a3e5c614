#include "sardinestream/base/json_parts.h"

#include <algorithm>

#include "absl/strings/ascii.h"

namespace sardinestream {
namespace {

absl::Status malformed()
{
    return absl::InvalidArgumentError("malformed JSON structure");
}

bool opens(char letter)
{
    return letter == '{' || letter == '[';
}

bool closes(char letter)
{
    return letter == '}' || letter == ']';
}

// Reads tokens from the front of a text.
class scanner {
public:
    explicit scanner(absl::string_view text) : rest(text) {}

    // Removes space and then `letter`; returns false if another one comes.
    bool consume(char letter)
    {
        this->skip_space();
        if (this->rest.empty() || this->rest.front() != letter) {
            return false;
        }
        this->rest.remove_prefix(1);
        return true;
    }

    // Removes space and then a value, and returns the value; empty if there is none.
    absl::string_view consume_value()
    {
        this->skip_space();
        const absl::string_view from_here = this->rest;
        if (!this->rest.empty() && this->rest.front() == '"') {
            this->skip_string();
        }
        else if (!this->rest.empty() && opens(this->rest.front())) {
            this->skip_nested();
        }
        else {
            this->rest.remove_prefix(
                std::min(this->rest.find_first_of(",:]}\" \t\r\n"), this->rest.size()));
        }
        return from_here.substr(0, from_here.size() - this->rest.size());
    }

    [[nodiscard]] bool at_end()
    {
        this->skip_space();
        return this->rest.empty();
    }

    // Removes a string; the text must begin with its opening quote.
    void skip_string()
    {
        std::size_t position = 1;
        while (position < this->rest.size() && this->rest[position] != '"') {
            position += this->rest[position] == '\\' ? 2 : 1;
        }
        this->rest.remove_prefix(std::min(position + 1, this->rest.size()));
    }

    [[nodiscard]] absl::string_view left() const { return this->rest; }
    void skip_letter() { this->rest.remove_prefix(1); }

private:
    void skip_space() { this->rest = absl::StripLeadingAsciiWhitespace(this->rest); }

    // Removes an object or array; to the end of the text if it does not close.
    void skip_nested()
    {
        int depth = 0;
        while (!this->rest.empty()) {
            const char letter = this->rest.front();
            if (letter == '"') {
                this->skip_string();
                continue;
            }
            this->rest.remove_prefix(1);
            depth += opens(letter) ? 1 : 0;
            depth -= closes(letter) ? 1 : 0;
            if (depth == 0) {
                return;
            }
        }
    }

    absl::string_view rest;
};

} // namespace

absl::StatusOr<std::vector<json_member>> split_json_object(absl::string_view text)
{
    std::vector<json_member> members;
    scanner scan(text);
    if (!scan.consume('{')) {
        return malformed();
    }
    while (!scan.consume('}')) {
        if (!members.empty() && !scan.consume(',')) {
            return malformed();
        }
        absl::string_view name = scan.consume_value();
        if (name.size() < 2 || name.front() != '"' || name.back() != '"' || !scan.consume(':')) {
            return malformed();
        }
        name.remove_prefix(1);
        name.remove_suffix(1);
        const absl::string_view value = scan.consume_value();
        if (value.empty() || members.size() == max_json_parts) {
            return malformed();
        }
        members.push_back({name, value});
    }
    return scan.at_end() ? absl::StatusOr<std::vector<json_member>>(std::move(members))
                         : malformed();
}

absl::StatusOr<std::vector<absl::string_view>> split_json_array(absl::string_view text)
{
    std::vector<absl::string_view> elements;
    scanner scan(text);
    if (!scan.consume('[')) {
        return malformed();
    }
    while (!scan.consume(']')) {
        if (!elements.empty() && !scan.consume(',')) {
            return malformed();
        }
        const absl::string_view element = scan.consume_value();
        if (element.empty() || elements.size() == max_json_parts) {
            return malformed();
        }
        elements.push_back(element);
    }
    return scan.at_end() ? absl::StatusOr<std::vector<absl::string_view>>(std::move(elements))
                         : malformed();
}

absl::string_view find_member(absl::Span<const json_member> members, absl::string_view name)
{
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [name](const json_member& member) { return member.name == name; });
    return found == members.end() ? absl::string_view() : found->value;
}

std::size_t parsed_json_bytes(absl::string_view text)
{
    // A member of an object costs two of these: its colon, and the comma before it.
    constexpr std::size_t bytes_per_value = 96;
    std::size_t values = 1;
    for (const char letter : text) {
        const bool begins_value = letter == ',' || letter == ':' || letter == '[' || letter == '{';
        values += begins_value ? 1 : 0;
    }
    return text.size() + values * bytes_per_value;
}

int json_depth(absl::string_view text)
{
    int depth = 0;
    int deepest = 0;
    scanner scan(text);
    while (!scan.left().empty()) {
        const char letter = scan.left().front();
        if (letter == '"') {
            scan.skip_string();
            continue;
        }
        scan.skip_letter();
        depth += opens(letter) ? 1 : 0;
        depth -= closes(letter) ? 1 : 0;
        deepest = std::max(deepest, depth);
    }
    return deepest;
}

} // namespace sardinestream
