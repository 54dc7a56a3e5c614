#include "sardinestream/programs/status_command.h"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/http/http_client.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr std::chrono::seconds status_timeout{2};
constexpr int http_ok = 200;
constexpr int indent = 2;

} // namespace

absl::StatusOr<std::string> read_status(const address& ops)
{
    http_client process(ops);
    const absl::StatusOr<http_answer> answer =
        process.call("GET", "/status", "", steady_clock::now() + status_timeout);
    if (!answer.ok()) {
        return with_origin(answer.status(), "read_status", ops.to_string());
    }
    const nlohmann::json status = nlohmann::json::parse(answer->body, nullptr, false);
    if (answer->status != http_ok || status.is_discarded()) {
        return make_error(absl::StatusCode::kUnavailable, "read_status", ops.to_string(),
                          absl::StrCat("HTTP status ", answer->status, " without a JSON document"));
    }
    return status.dump(indent);
}

int print_status(const address& ops)
{
    const absl::StatusOr<std::string> status = read_status(ops);
    if (!status.ok()) {
        std::fprintf(stderr, "%s: %s\n", ops.to_string().c_str(),
                     std::string(status.status().message()).c_str());
        return 1;
    }
    std::printf("%s\n", status->c_str());
    return 0;
}

} // namespace sardinestream
