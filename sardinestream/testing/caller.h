// A caller of the system as tests see it: HTTP calls and streamed completions, with every answer
// read for code, outcome and completeness.
//
//     caller staff(entry_address, "key-of-the-team");
//     call_answer answer = staff.call("POST", "/services/till/deposits", "body",
//                                     {{"Idempotency-Key", "k"}});
//     stream_answer tokens = staff.stream({.prompt = "too sweet", .max_tokens = 20});
//     EXPECT_TRUE(tokens.whole());
//
// Thread-safe; each call opens a connection of its own.

#ifndef SARDINESTREAM_TESTING_CALLER_H_
#define SARDINESTREAM_TESTING_CALLER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/base/settings.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

using header_fields = std::vector<std::pair<std::string, std::string>>;

// What an answer that is not a success says.
struct error_fields {
    std::string code;
    std::string outcome;
    std::int64_t retry_after_ms = 0;
};

struct call_answer {
    // False where the connection ended or timed out before a whole answer.
    bool answered = false;
    int status = 0;
    std::string body;
    bool replayed = false;
    error_fields error;

    [[nodiscard]] bool success() const { return this->answered && this->status == 200; }
    // One word for verdicts: "200", "connection_lost", or code and outcome.
    [[nodiscard]] std::string summary() const;
};

struct completion_call {
    std::string prompt;
    std::string model = "assistant";
    int max_tokens = 16;
    std::string request_id = "";
    // Called after each token; returning false closes the connection.
    std::function<bool(int index)> on_token = nullptr;
};

enum class stream_end : std::uint8_t {
    done,    // data: [DONE]
    error,   // event: error
    refused, // an answer that is not a stream
    lost,    // the connection ended without an end
    left,    // the caller itself closed the connection
};

struct stream_answer {
    completion_call asked;
    stream_end end = stream_end::lost;
    int status = 0;
    // Of each event, in order of arrival.
    std::vector<int> indices;
    std::string text;
    error_fields error;

    // True where every token came once, in order, of this prompt, with an end.
    [[nodiscard]] bool whole() const;
    // True where what came is the beginning of the right answer, each token once and in order.
    [[nodiscard]] bool right_so_far() const;
    [[nodiscard]] std::string summary() const;
};

class caller {
public:
    caller(address entry, std::string bearer_key, absl::Duration timeout = absl::Seconds(60))
        : remote(std::move(entry)), key(std::move(bearer_key)), patience(timeout)
    {
    }

    [[nodiscard]] call_answer call(const std::string& method, const std::string& path,
                                   const std::string& body, const header_fields& headers) const;

    [[nodiscard]] stream_answer stream(const completion_call& asked) const;

private:
    const address remote;
    const std::string key;
    // Sent as the time that the caller will wait; the connection is abandoned somewhat later.
    const absl::Duration patience;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_CALLER_H_
