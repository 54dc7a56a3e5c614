// A request as it came from its caller, in the product's own terms: what the adapter decoded from
// the headers, and what is passed on unchanged.

#ifndef SARDINESTREAM_FORWARDING_CALLER_REQUEST_H_
#define SARDINESTREAM_FORWARDING_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "sardinestream/backends/server_notice.h"
#include "sardinestream/http/message.h"

#include "absl/status/statusor.h"

namespace sardinestream {

struct caller_request {
    // Of this attempt of the caller; empty where it gave none.
    std::string id;
    std::string method;
    // Path and query as sent.
    std::string target;
    std::string host;
    // Bearer key; empty where there is none.
    std::string key;
    // How long the caller will wait from now, where it said so.
    std::optional<std::chrono::milliseconds> patience;
    // The last event that the caller has seen of a stream that broke off.
    std::string resume_after;
    int prompt_tokens = 0;
    // The most tokens that the answer may have.
    int answer_tokens = 0;
    bool keeps_alive = true;
    // Whether the caller's protocol version allows an answer in chunks.
    bool takes_chunks = true;
    // Headers to pass on, without key and team.
    http_headers headers;
    std::string body;

    [[nodiscard]] absl::string_view path() const
    {
        const absl::string_view whole = this->target;
        return whole.substr(0, whole.find('?'));
    }
};

// What one attempt adds to the request.
struct attempt_details {
    std::string server_id;
    // Empty where no key was needed and none was given.
    std::string team;
    // What is left of the caller's patience; none where it set no bound.
    std::optional<std::chrono::milliseconds> time_left;
    // The last event that the caller has; replaces the caller's own.
    std::string resume_after;
};

// What the head of a server's answer says, beyond status and headers.
struct answer_marks {
    // The request that it answers; empty where it does not say.
    std::string request_id;
    // It carries the server's signature.
    bool is_signed = false;
    // The server states that it did not run the request.
    bool never_ran = false;
    // Another server than the expected one has the address.
    bool wrong_server = false;
    // What the server says of itself.
    server_notice notice;
    // It says something of the kind that cannot be read, is beyond its bound, or does not belong to
    // such an answer.
    bool bad_leaving = false;
    bool bad_hold_off = false;
};

// How requests and answers look on the wire: provided by the adapter of a platform.
struct wire_protocol {
    // kInvalidArgument for a request that must not be passed on.
    std::function<absl::StatusOr<caller_request>(const http_request_head&)> decode_request;
    // Returns the head for a server, without the framing of the body.
    std::function<http_headers(const caller_request&, const attempt_details&)> encode_headers;
    std::function<answer_marks(const http_response_head&)> decode_answer;
    // The headers of an answer of our own.
    std::function<http_headers(const caller_request&)> own_answer_headers;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_CALLER_REQUEST_H_
