// Serves the HTTP interface to callers.
//
// Maps between HTTP and requests: routes, server-sent events, the JSON form of refusals, and the
// detection of callers that have disconnected. It makes no decisions about routing or limits.
//
// Every answer that is not a success has the form
//
//     {"error": {"code": "team_limit", "outcome": "not_run", "request": "req-...",
//                "retry_after_ms": 250, "step": "acquire_permit", "peer": "", "message": "..."}}
//
// with a `Retry-After` header (whole seconds, rounded up) if a retry makes sense. In a stream that
// has begun, the same object is sent as the data of an `event: error`.

#ifndef SARDINESTREAM_REQUESTS_HTTP_FRONT_H_
#define SARDINESTREAM_REQUESTS_HTTP_FRONT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sardinestream/requests/services.h"

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace sardinestream::requests {

// Thread-safe.
class http_front {
public:
    // `snapshot` returns the current catalogue, or null before one has been received.
    http_front(std::function<std::shared_ptr<const catalogue::catalogue_snapshot>()> snapshot,
               request_services services);

    // Registers the routes for callers. This object must outlive `server`.
    void add_routes(httplib::Server& server);

    // From now on, refuses each request before it is passed on, and ends each stream with an error
    // event, which tells its caller that it isn't whole. Thread-safe.
    void end_streams() { this->ending = true; }

    // Returns the number of requests in progress.
    [[nodiscard]] int in_flight() const { return this->active; }

private:
    using request_parser = parsed_request (*)(const httplib::Request&,
                                              std::shared_ptr<const catalogue::catalogue_snapshot>);

    // Parses a request with `parse`. If it is refused, fills `answer` and returns no request.
    [[nodiscard]] std::optional<caller_request> read_request(request_parser parse,
                                                             const httplib::Request& http,
                                                             httplib::Response& answer) const;
    void serve_completion(const httplib::Request& http, httplib::Response& answer);
    void serve_call(const httplib::Request& http, httplib::Response& answer);
    void serve_ticket(const httplib::Request& http, httplib::Response& answer);

    const std::function<std::shared_ptr<const catalogue::catalogue_snapshot>()> current_snapshot;
    const request_services services;
    std::atomic<int> active{0};
    std::atomic<bool> ending{false};
};

// Returns the JSON form of a refusal.
[[nodiscard]] std::string refusal_json(const refusal& refused, absl::string_view request_id);

// Fills `answer` with a refusal, counts it and logs it.
void answer_refusal(const refusal& refused, absl::string_view request_id,
                    httplib::Response& answer);

} // namespace sardinestream::requests

#endif // SARDINESTREAM_REQUESTS_HTTP_FRONT_H_
