#include "sardinestream/check/finding.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace sardinestream::check {
namespace {

constexpr int indent = 2;

nlohmann::json to_object(const finding& found)
{
    return {{"kind", std::string(name_of(found.kind))},
            {"place", found.place},
            {"code", found.code},
            {"value", found.value},
            {"allowed", found.allowed}};
}

// Quotes the text, so that a line stays one line whatever a name contains.
std::string quoted(const std::string& text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

absl::string_view name_of(finding_kind kind)
{
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::unreachable:
        return "unreachable";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::difference:
        return "difference";
    }
    return "unknown";
}

std::string to_line(const finding& found)
{
    return absl::StrCat("kind=", name_of(found.kind), " place=", quoted(found.place),
                        " code=", found.code, " value=", quoted(found.value),
                        " allowed=", quoted(found.allowed));
}

std::string to_json(const findings& all)
{
    nlohmann::json list = nlohmann::json::array();
    for (const finding& found : all) {
        list.push_back(to_object(found));
    }
    return list.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace sardinestream::check
