#include "sardinestream/testing/caller.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/testing/engine_tokens.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int http_ok = 200;
constexpr absl::Duration grace = absl::Seconds(2);

error_fields read_error(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
        return {};
    }
    const json& error = parsed["error"];
    return {.code = error.value("code", ""),
            .outcome = error.value("outcome", ""),
            .retry_after_ms = error.value("retry_after_ms", std::int64_t{0})};
}

httplib::Client make_client(const address& remote, absl::Duration timeout)
{
    httplib::Client client(remote.ip, remote.port);
    const absl::Duration longest = timeout + grace;
    client.set_connection_timeout(absl::ToInt64Seconds(longest));
    client.set_read_timeout(absl::ToInt64Seconds(longest));
    client.set_tcp_nodelay(true);
    return client;
}

httplib::Headers make_headers(const std::string& key, absl::Duration timeout,
                              const header_fields& more)
{
    httplib::Headers headers{
        {"Authorization", "Bearer " + key},
        {"Sardine-Timeout-Ms", absl::StrCat(absl::ToInt64Milliseconds(timeout))}};
    for (const auto& [name, value] : more) {
        headers.emplace(name, value);
    }
    return headers;
}

// Reads server-sent events as they arrive.
class event_reader {
public:
    explicit event_reader(stream_answer& filled) : answer(filled) {}

    // Returns false once the caller wants no more.
    bool read(absl::string_view bytes)
    {
        this->buffer.append(bytes.data(), bytes.size());
        std::size_t end = 0;
        while ((end = this->buffer.find('\n')) != std::string::npos) {
            const std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            if (!this->read_line(line)) {
                this->answer.end = stream_end::left;
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] const std::string& rest() const { return this->buffer; }

private:
    bool read_line(absl::string_view line)
    {
        if (absl::ConsumePrefix(&line, "event: ")) {
            this->is_error = line == "error";
            return true;
        }
        if (!absl::ConsumePrefix(&line, "data: ")) {
            return true;
        }
        if (line == "[DONE]") {
            this->answer.end = stream_end::done;
            return true;
        }
        if (this->is_error) {
            this->answer.end = stream_end::error;
            this->answer.error = read_error(std::string(line));
            return true;
        }
        return this->read_token(json::parse(line, nullptr, false));
    }

    bool read_token(const json& event)
    {
        if (!event.is_object() || !event.contains("choices")) {
            this->answer.indices.push_back(-1);
            return true;
        }
        const int index = event.value("token_index", -1);
        this->answer.indices.push_back(index);
        this->answer.text += event["choices"][0].value("text", "");
        return !this->answer.asked.on_token || this->answer.asked.on_token(index);
    }

    stream_answer& answer;
    std::string buffer;
    bool is_error = false;
};

std::string describe(const error_fields& error, int status)
{
    return error.code.empty() ? absl::StrCat(status) : absl::StrCat(error.code, "/", error.outcome);
}

} // namespace

std::string call_answer::summary() const
{
    return this->answered ? describe(this->error, this->status) : "connection_lost";
}

bool stream_answer::whole() const
{
    return this->end == stream_end::done && this->right_so_far() &&
           static_cast<int>(this->indices.size()) == this->asked.max_tokens;
}

bool stream_answer::right_so_far() const
{
    const int count = static_cast<int>(this->indices.size());
    for (int i = 0; i < count; ++i) {
        if (this->indices[i] != i) {
            return false;
        }
    }
    return this->text == expected_text(this->asked.prompt, 0, count);
}

std::string stream_answer::summary() const
{
    const std::string tokens =
        absl::StrCat(this->indices.size(), "/", this->asked.max_tokens, "_tokens_");
    switch (this->end) {
    case stream_end::done:
        return tokens + "done";
    case stream_end::left:
        return tokens + "left";
    case stream_end::lost:
        return tokens + "connection_lost";
    default:
        return tokens + describe(this->error, this->status);
    }
}

call_answer caller::call(const std::string& method, const std::string& path,
                         const std::string& body, const header_fields& headers) const
{
    httplib::Client client = make_client(this->remote, this->patience);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = make_headers(this->key, this->patience, headers);
    request.body = body;
    const httplib::Result result = client.send(request);
    call_answer answer;
    if (!result) {
        return answer;
    }
    answer.answered = true;
    answer.status = result->status;
    answer.body = result->body;
    answer.replayed = result->get_header_value("Sardine-Replayed") == "true";
    if (result->status != http_ok) {
        answer.error = read_error(result->body);
    }
    return answer;
}

stream_answer caller::stream(const completion_call& asked) const
{
    stream_answer answer;
    answer.asked = asked;
    header_fields more;
    if (!asked.request_id.empty()) {
        more.emplace_back("X-Request-Id", asked.request_id);
    }
    httplib::Client client = make_client(this->remote, this->patience);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = make_headers(this->key, this->patience, more);
    request.body = json({{"model", asked.model},
                         {"prompt", asked.prompt},
                         {"max_tokens", asked.max_tokens},
                         {"stream", true}})
                       .dump();
    event_reader events(answer);
    request.response_handler = [&answer](const httplib::Response& response) {
        answer.status = response.status;
        return true;
    };
    request.content_receiver = [&events](const char* data, std::size_t size, std::uint64_t,
                                         std::uint64_t) {
        return events.read({data, size});
    };
    static_cast<void>(client.send(request));
    if (answer.status != 0 && answer.status != http_ok) {
        answer.end = stream_end::refused;
        answer.error = read_error(events.rest());
    }
    return answer;
}

} // namespace sardinestream::testing
