#include "sardinestream/testing/engine_tokens.h"

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {

std::string token_text(absl::string_view prompt, int index)
{
    const auto hash = static_cast<std::uint32_t>(stable_hash(prompt));
    return absl::StrCat("t", index, "-", absl::Hex(hash, absl::kZeroPad8), " ");
}

std::string expected_text(absl::string_view prompt, int begin, int end)
{
    std::string text;
    for (int index = begin; index < end; ++index) {
        text += token_text(prompt, index);
    }
    return text;
}

std::string prompt_of(const nlohmann::json& body)
{
    if (const auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string()) {
        return prompt->get<std::string>();
    }
    std::string lines;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return lines;
    }
    for (const nlohmann::json& message : *messages) {
        if (!message.is_object()) {
            continue;
        }
        absl::StrAppend(&lines, message.value("role", ""), ": ", message.value("content", ""),
                        "\n");
    }
    return lines;
}

} // namespace sardinestream::testing
