// Defines a caller's request independently of the platform's wire format: the fields that the
// platform adapter decoded from the headers, and the headers and body that are forwarded unchanged.

#ifndef SARDINESTREAM_FORWARDING_CALLER_REQUEST_H_
#define SARDINESTREAM_FORWARDING_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/backends/server_notice.h"
#include "sardinestream/http/message.h"

#include "absl/status/statusor.h"
#include "absl/strings/str_join.h"

namespace sardinestream {

struct caller_request {
    // Identifies this attempt of the caller; empty if it gave none.
    std::string id;
    std::string method;
    // Path and query, as received.
    std::string target;
    std::string host;
    // API key; empty if there is none.
    std::string key;
    // How long the caller waits from the arrival of the request, if stated.
    std::optional<std::chrono::milliseconds> time_limit;
    // Id of the last event that the caller received of an interrupted stream.
    std::string resume_after;
    // Only servers whose weights have a version that the headers name may run the request.
    bool expects_version = false;
    int prompt_tokens = 0;
    // Maximum number of tokens in the response; 0 if unknown.
    int max_response_tokens = 0;
    // The caller's estimate of the number of tokens in the response; 0 if unknown.
    double expected_response_tokens = 0;
    // Ids of the parts of its prompt that other requests may share, in order and without
    // duplicates. Opaque text of any length.
    std::vector<std::string> prompt_parts;
    bool keep_alive = true;
    // Whether the caller's protocol version allows a chunked response.
    bool accepts_chunked = true;
    // Headers to forward, without key and team.
    http_headers headers;
    std::string body;

    // Returns the ids of the prompt's parts for the log, cut off after a few.
    [[nodiscard]] std::string parts_for_log() const
    {
        constexpr std::size_t max_text_bytes = 200;
        return absl::StrJoin(this->prompt_parts, ",").substr(0, max_text_bytes);
    }

    [[nodiscard]] absl::string_view path() const
    {
        const absl::string_view whole = this->target;
        return whole.substr(0, whole.find('?'));
    }
};

// What an attempt adds to the request's headers.
struct attempt_details {
    std::string server_id;
    // Empty if the request carried no key.
    std::string team;
    // Time until the request's deadline.
    std::optional<std::chrono::milliseconds> remaining_time;
    // Id of the last event relayed to the caller; replaces the id that the caller sent.
    std::string resume_after;
    // Priority that the server is told, 0 first; replaces what the caller sent. Empty if requests
    // of the service do not differ in urgency.
    std::optional<int> priority;
};

// What the adapter decodes from the head of a server's response.
struct response_marks {
    // Id of the request that the response belongs to; empty if not stated.
    std::string request_id;
    // The response carries the server's signature.
    bool is_signed = false;
    // The server states that it did not run the request.
    bool not_executed = false;
    // The server did not run the request because it was meant for another instance or another
    // version of the weights.
    bool misdirected = false;
    // Id of the instance that responds; empty if not stated.
    std::string instance_id;
    // What the server states about itself.
    server_notice notice;
    // The rate, in requests per second, that the server accepts from all processes together; empty
    // if it names none.
    std::optional<double> max_rate;
    // A header of this kind is malformed, exceeds its bound, or is not allowed in a response with
    // this status.
    bool invalid_leaving = false;
    bool invalid_hold_off = false;
    bool invalid_max_rate = false;
};

// Encodes and decodes headers for a platform's wire format; provided by the platform adapter.
struct wire_protocol {
    // Returns kInvalidArgument for a request that must not be forwarded.
    std::function<absl::StatusOr<caller_request>(const http_request_head&)> decode_request;
    // Returns the headers for a server, without those that frame the body.
    std::function<http_headers(const caller_request&, const attempt_details&)> encode_headers;
    std::function<response_marks(const http_response_head&)> decode_response;
    // Returns the headers of a locally generated response.
    std::function<http_headers(const caller_request&)> local_response_headers;
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_CALLER_REQUEST_H_
