#include "sardinestream/http/message_reader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/http_status.h"

#include "absl/cleanup/cleanup.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

namespace beast = boost::beast;

constexpr std::size_t read_bytes = 8192;
// How often a read that waits looks for its `reading_end`.
constexpr std::chrono::milliseconds end_check_interval{200};
constexpr std::uint32_t largest_header_limit = 1 << 20;
// Maximum size of an incomplete line (chunk header, trailer or head). The parser consumes a line
// only when it is complete, so without this limit an endless line would fill the buffer.
constexpr std::size_t largest_unparsed = 32 << 10;
// An empty buffer that has grown larger than this is released.
constexpr std::size_t max_idle_buffer = 2 * read_bytes;
// Larger responses are rejected. Requests are limited by `message_limits`.
constexpr std::uint64_t largest_response_bytes = 64ULL << 20;

absl::Status bad_message(absl::string_view reason)
{
    return make_error(absl::StatusCode::kInvalidArgument, "parse", "", reason);
}

absl::Status truncated_message_error()
{
    return make_error(absl::StatusCode::kDataLoss, "read", "",
                      "connection closed before the message was complete");
}

absl::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

// Rejects body framing that Beast and another parser could interpret differently, which would allow
// request smuggling.
absl::Status check_framing(const http_headers& headers, int version)
{
    const int codings = count_header(headers, "transfer-encoding");
    const int lengths = count_header(headers, "content-length");
    if (codings > 1 || lengths > 1 || (codings == 1 && lengths == 1)) {
        return bad_message(
            "ambiguous body framing: several Content-Length or Transfer-Encoding headers");
    }
    if (codings == 0) {
        return absl::OkStatus();
    }
    const absl::string_view coding =
        absl::StripAsciiWhitespace(*find_header(headers, "transfer-encoding"));
    if (version < 11 || !absl::EqualsIgnoreCase(coding, "chunked")) {
        return bad_message("unsupported transfer coding");
    }
    return absl::OkStatus();
}

} // namespace

// Collects the head of one message and the parts of its body that have not been delivered yet.
template <bool IsRequest>
class message_reader::parser : public beast::http::basic_parser<IsRequest> {
public:
    using head_type = std::conditional_t<IsRequest, http_request_head, http_response_head>;

    head_type head;
    std::string body;

private:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target,
                         int version, beast::error_code&) override
    {
        if constexpr (IsRequest) {
            this->head.method = std::string(view(method));
            this->head.target = std::string(view(target));
            this->head.version = version;
        }
    }
    void on_response_impl(int code, beast::string_view reason, int version,
                          beast::error_code&) override
    {
        if constexpr (!IsRequest) {
            this->head.status = code;
            this->head.reason = std::string(view(reason));
            this->head.version = version;
        }
    }
    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value,
                       beast::error_code&) override
    {
        this->head.headers.push_back({std::string(view(name)), std::string(view(value))});
    }
    void on_header_impl(beast::error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override {}
    std::size_t on_body_impl(beast::string_view part, beast::error_code&) override
    {
        this->body.append(part.data(), part.size());
        return part.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view part,
                                   beast::error_code&) override
    {
        this->body.append(part.data(), part.size());
        return part.size();
    }
    void on_finish_impl(beast::error_code&) override {}
};

message_reader::message_reader(tcp_socket& source, reading_end until)
    : socket(source), end(std::move(until))
{
}

message_reader::~message_reader() = default;

absl::StatusOr<std::size_t> message_reader::read_until_end(absl::Span<char> bytes,
                                                           steady_time deadline,
                                                           const hangup_watch& caller)
{
    while (true) {
        const steady_time next_check = steady_clock::now() + end_check_interval;
        const steady_time until = std::min({deadline, this->end(), next_check});
        absl::StatusOr<std::size_t> length = this->socket.read_some(bytes, until, caller);
        if (!absl::IsDeadlineExceeded(length.status()) || until == deadline) {
            return length;
        }
        if (until != next_check) {
            return make_error(absl::StatusCode::kFailedPrecondition, "read", "",
                              "reading has ended");
        }
    }
}

absl::StatusOr<std::size_t> message_reader::fill(steady_time deadline, const hangup_watch& caller)
{
    char bytes[read_bytes];
    absl::StatusOr<std::size_t> length =
        this->end == nullptr ? this->socket.read_some(absl::MakeSpan(bytes), deadline, caller)
                             : this->read_until_end(absl::MakeSpan(bytes), deadline, caller);
    if (length.ok()) {
        this->buffered.append(bytes, *length);
    }
    return length;
}

template <bool IsRequest>
absl::Status message_reader::parse_buffered(parser<IsRequest>& into)
{
    std::size_t parsed = 0;
    // Removes what was parsed at once: one removal for each of many short chunks would be costly.
    const absl::Cleanup remove_parsed = [this, &parsed] { this->remove_buffered(parsed); };
    while (parsed < this->buffered.size() && !into.is_done()) {
        beast::error_code error;
        const std::size_t used = into.put(
            boost::asio::buffer(this->buffered.data() + parsed, this->buffered.size() - parsed),
            error);
        parsed += used;
        if (error == beast::http::error::need_more) {
            return absl::OkStatus();
        }
        if (error == beast::http::error::header_limit) {
            return make_error(absl::StatusCode::kResourceExhausted, "parse", "", "head too large");
        }
        if (error == beast::http::error::body_limit) {
            return make_error(absl::StatusCode::kOutOfRange, "parse", "", "body too large");
        }
        if (error) {
            return bad_message(error.message());
        }
        if (used == 0) {
            return absl::OkStatus();
        }
    }
    return absl::OkStatus();
}

void message_reader::remove_buffered(std::size_t length)
{
    this->buffered.erase(0, length);
    if (this->buffered.empty() && this->buffered.capacity() > max_idle_buffer) {
        std::string().swap(this->buffered);
    }
}

absl::Status message_reader::check_unparsed() const
{
    return this->buffered.size() <= largest_unparsed
               ? absl::OkStatus()
               : make_error(absl::StatusCode::kResourceExhausted, "parse", "",
                            "unterminated line too long");
}

template <bool IsRequest>
absl::Status message_reader::read_head(parser<IsRequest>& into, steady_time deadline,
                                       const hangup_watch& caller)
{
    bool started = !this->buffered.empty();
    while (true) {
        absl::Status parsed = this->parse_buffered(into);
        if (!IsRequest && into.is_header_done()) {
            // An error in the body does not take back the head and what came before the error.
            this->body_error = std::exchange(parsed, absl::OkStatus());
        }
        SARDINE_RETURN_IF_ERROR(parsed);
        if (into.is_header_done()) {
            return check_framing(into.head.headers, into.head.version);
        }
        SARDINE_RETURN_IF_ERROR(this->check_unparsed());
        absl::StatusOr<std::size_t> length = this->fill(deadline, caller);
        if (!length.ok()) {
            return length.status();
        }
        if (*length == 0) {
            return started ? truncated_message_error()
                           : make_error(absl::StatusCode::kNotFound, "read", "", "ended");
        }
        started = true;
    }
}

absl::Status message_reader::wait_for_message(steady_time deadline)
{
    this->request.reset();
    this->response.reset();
    if (!this->buffered.empty()) {
        return absl::OkStatus();
    }
    absl::StatusOr<std::size_t> length = this->fill(deadline, hangup_watch());
    if (!length.ok()) {
        return length.status();
    }
    return *length > 0 ? absl::OkStatus()
                       : make_error(absl::StatusCode::kNotFound, "read", "", "ended");
}

absl::StatusOr<http_request_head> message_reader::read_request_head(const message_limits& limits,
                                                                    steady_time deadline)
{
    this->request = std::make_unique<parser<true>>();
    this->body_error = absl::OkStatus();
    this->request->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    this->request->body_limit(static_cast<std::uint64_t>(limits.body_bytes));
    SARDINE_RETURN_IF_ERROR(this->read_head(*this->request, deadline, hangup_watch()));
    return this->request->head;
}

absl::StatusOr<http_response_head> message_reader::read_response_head(const message_limits& limits,
                                                                      bool to_head,
                                                                      steady_time deadline,
                                                                      const hangup_watch& caller)
{
    this->response = std::make_unique<parser<false>>();
    this->body_error = absl::OkStatus();
    this->response->header_limit(
        std::min(static_cast<std::uint32_t>(limits.header_bytes), largest_header_limit));
    this->response->body_limit(largest_response_bytes);
    this->response->skip(to_head);
    SARDINE_RETURN_IF_ERROR(this->read_head(*this->response, deadline, caller));
    const int status = this->response->head.status;
    if (!is_final_status(status) && !is_interim_status(status)) {
        return bad_message(absl::StrCat("invalid status code ", status));
    }
    http_response_head head = this->response->head;
    if (this->response->chunked()) {
        head.framing = body_framing::chunked;
    }
    else if (this->response->content_length().has_value()) {
        head.framing = body_framing::length;
    }
    else if (!this->response->is_done()) {
        head.framing = body_framing::until_close;
    }
    return head;
}

template <bool IsRequest>
absl::StatusOr<bool> message_reader::read_part(parser<IsRequest>& from, std::string& body,
                                               steady_time deadline, const hangup_watch& caller)
{
    if (!from.is_done() && from.body.empty()) {
        SARDINE_RETURN_IF_ERROR(this->body_error);
        absl::StatusOr<std::size_t> length = this->fill(deadline, caller);
        if (!length.ok()) {
            return length.status();
        }
        if (*length == 0) {
            beast::error_code error;
            from.put_eof(error);
            if (error || !from.is_done()) {
                return truncated_message_error();
            }
        }
        this->body_error = this->parse_buffered(from);
        if (this->body_error.ok() && !from.is_done()) {
            this->body_error = this->check_unparsed();
        }
    }
    if (from.body.empty()) {
        SARDINE_RETURN_IF_ERROR(this->body_error);
    }
    body.append(from.body);
    from.body.clear();
    return from.is_done();
}

absl::StatusOr<bool> message_reader::read_body_part(std::string& body, steady_time deadline,
                                                    const hangup_watch& caller)
{
    return this->request != nullptr ? this->read_part(*this->request, body, deadline, caller)
                                    : this->read_part(*this->response, body, deadline, caller);
}

absl::Status message_reader::read_body(std::size_t most_bytes, std::string& body,
                                       steady_time deadline, const hangup_watch& caller)
{
    while (true) {
        absl::StatusOr<bool> done = this->read_body_part(body, deadline, caller);
        if (!done.ok()) {
            return done.status();
        }
        if (body.size() > most_bytes) {
            return make_error(absl::StatusCode::kOutOfRange, "read", "", "body too large");
        }
        if (*done) {
            return absl::OkStatus();
        }
    }
}

} // namespace sardinestream
