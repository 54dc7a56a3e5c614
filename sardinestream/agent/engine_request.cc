#include "sardinestream/agent/engine_request.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace sardinestream::agent {
namespace {

using json = nlohmann::json;
using requests::request_openT;

std::string prompt_text(const json& body)
{
    if (body.contains("prompt") && body["prompt"].is_string()) {
        return body["prompt"].get<std::string>();
    }
    std::string text;
    for (const json& message : body.value("messages", json::array())) {
        if (message.is_object() && message.contains("content") && message["content"].is_string()) {
            absl::StrAppend(&text, message["content"].get_ref<const std::string&>(), "\n");
        }
    }
    return text;
}

} // namespace

std::optional<engine_request> make_engine_request(const request_openT& request)
{
    json body = json::parse(request.body.begin(), request.body.end(), nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    body["stream"] = true;
    body["request_id"] = request.request_id;
    body["priority"] = request.priority;
    if (request.resume_from > 0) {
        body["resume_from"] = request.resume_from;
        body["resume_text"] = request.resume_text;
    }
    return engine_request{body.dump(-1, ' ', false, json::error_handler_t::replace),
                          prompt_text(body) + request.resume_text};
}

} // namespace sardinestream::agent
