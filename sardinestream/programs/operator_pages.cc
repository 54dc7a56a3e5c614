#include "sardinestream/programs/operator_pages.h"

#include "sardinestream/base/metrics.h"

#include "absl/strings/match.h"

namespace sardinestream {

http_answer answer_operator(const http_request_head& head, const operator_pages& pages)
{
    constexpr int http_ok = 200;
    constexpr int http_not_found = 404;
    if (absl::StartsWith(head.target, "/metrics")) {
        pages.set_gauges();
        return {http_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, render_metrics()};
    }
    if (absl::StartsWith(head.target, "/status")) {
        return {http_ok, {{"Content-Type", "application/json"}}, pages.status_json()};
    }
    return {http_not_found, {}, ""};
}

} // namespace sardinestream
