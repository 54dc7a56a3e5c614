#include "sardinestream/http/http_client.h"

#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/http_status.h"
#include "sardinestream/base/json_parts.h"
#include "sardinestream/http/message_body.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

constexpr std::chrono::milliseconds connect_timeout{1000};
// A page of the store has about 1 MB.
constexpr std::size_t max_answer_bytes = 4 << 20;
constexpr std::size_t max_all_answers_bytes = 24 << 20;
constexpr std::size_t max_answer_head_bytes = 32 << 10;

} // namespace

message_memory& own_call_memory()
{
    static message_memory memory(max_all_answers_bytes);
    return memory;
}

bool http_answer::reserve_parsed() const
{
    return this->memory == nullptr ||
           this->memory->resize(this->body.capacity() + parsed_json_bytes(this->body));
}

http_client::http_client(address server) : peer(std::move(server)) {}

void http_client::reset()
{
    this->reader.reset();
    this->socket.close();
}

absl::Status http_client::ensure_connected(steady_time deadline)
{
    if (this->socket.is_open() && !this->socket.has_input_or_end()) {
        return absl::OkStatus();
    }
    this->reset();
    absl::StatusOr<tcp_socket> opened = tcp_socket::connect(
        this->peer, std::min(deadline, steady_clock::now() + connect_timeout), hangup_watch());
    if (!opened.ok()) {
        return with_origin(opened.status(), "connect", this->peer.to_string());
    }
    this->socket = *std::move(opened);
    this->reader = std::make_unique<message_reader>(this->socket);
    return absl::OkStatus();
}

absl::StatusOr<http_response_head> http_client::read_final_head(steady_time deadline)
{
    const message_limits limits = {max_answer_head_bytes, max_answer_bytes};
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        absl::StatusOr<http_response_head> head =
            this->reader->read_response_head(limits, false, deadline, hangup_watch());
        if (!head.ok() || is_final_status(head->status)) {
            return head;
        }
    }
    return make_error(absl::StatusCode::kDataLoss, "read", "",
                      "too many interim responses without a final one");
}

absl::StatusOr<http_answer> http_client::exchange(absl::string_view method,
                                                  absl::string_view target,
                                                  absl::string_view json_body, steady_time deadline)
{
    std::string text = absl::StrCat(method, " ", target, " HTTP/1.1\r\n");
    append_header(text, "Host", this->peer.to_string());
    if (!json_body.empty()) {
        append_header(text, "Content-Type", "application/json");
        append_header(text, "Content-Length", absl::StrCat(json_body.size()));
    }
    absl::StrAppend(&text, "\r\n", json_body);
    SARDINE_RETURN_IF_ERROR(this->socket.write_all(text, deadline, hangup_watch()));
    const absl::StatusOr<http_response_head> head = this->read_final_head(deadline);
    if (!head.ok()) {
        return head.status();
    }
    http_answer answer = {head->status, head->headers, ""};
    answer.memory =
        std::make_shared<message_memory_reservation>(own_call_memory(), this->peer.to_string());
    SARDINE_RETURN_IF_ERROR(read_body_within(*this->reader, max_answer_bytes, *answer.memory,
                                             answer.body, deadline, hangup_watch()));
    if (!head->keeps_alive() || this->reader->has_surplus()) {
        this->reset();
    }
    return answer;
}

absl::StatusOr<http_answer> http_client::call(absl::string_view method, absl::string_view target,
                                              absl::string_view json_body, steady_time deadline)
{
    SARDINE_RETURN_IF_ERROR(this->ensure_connected(deadline));
    absl::StatusOr<http_answer> answer = this->exchange(method, target, json_body, deadline);
    if (!answer.ok()) {
        this->reset();
        return with_origin(answer.status(), "call", this->peer.to_string());
    }
    return answer;
}

} // namespace sardinestream
