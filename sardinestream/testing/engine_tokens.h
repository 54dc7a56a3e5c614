// The tokens that the stand-in engine produces: a pure function of prompt and index, so that a test
// knows the whole right answer to its own request and recognises any part of another's.
//
//     EXPECT_EQ(answer, expected_text("juice is too sweet", 0, 20));
//
// All functions are pure and thread-safe.

#ifndef SARDINESTREAM_TESTING_ENGINE_TOKENS_H_
#define SARDINESTREAM_TESTING_ENGINE_TOKENS_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "absl/strings/string_view.h"

namespace sardinestream::testing {

// Returns the token at `index` (from 0) of the answer to `prompt`, such as "t3-5f2a90cc ".
[[nodiscard]] std::string token_text(absl::string_view prompt, int index);

// Returns the tokens from `begin` up to but not including `end`.
[[nodiscard]] std::string expected_text(absl::string_view prompt, int begin, int end);

// Returns the prompt of a completion body, or the messages of a chat body as lines "role: content".
// Empty where there is neither.
[[nodiscard]] std::string prompt_of(const nlohmann::json& body);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_ENGINE_TOKENS_H_
