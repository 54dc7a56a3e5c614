#include <algorithm>
#include <array>
#include <optional>

#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/http/message.h"
#include "sardinestream/testing/relay.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace sardinestream::testing {
namespace {

constexpr std::size_t read_bytes = 16U << 10;
constexpr absl::string_view head_end = "\r\n\r\n";
constexpr absl::string_view event_prefix = "data: ";

// Reads what there is; returns false at the end of the stream.
bool read_some(int descriptor, std::string& buffer)
{
    std::array<char, read_bytes> bytes{};
    const ssize_t count = recv(descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool write_all(int descriptor, absl::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

// Returns the size of the whole request at the front of `buffer`, or nothing where more is needed.
std::optional<std::size_t> request_size(absl::string_view buffer)
{
    const std::size_t end = buffer.find(head_end);
    if (end == absl::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t body = end + head_end.size();
    std::size_t length = 0;
    for (absl::string_view line : absl::StrSplit(buffer.substr(0, end), "\r\n")) {
        const std::pair<absl::string_view, absl::string_view> field =
            absl::StrSplit(line, absl::MaxSplits(':', 1));
        const absl::string_view value = absl::StripAsciiWhitespace(field.second);
        if (absl::EqualsIgnoreCase(field.first, "content-length")) {
            static_cast<void>(absl::SimpleAtoi(value, &length));
        }
        if (absl::EqualsIgnoreCase(field.first, "transfer-encoding")) {
            const std::size_t last = buffer.find(last_chunk, body);
            return last == absl::string_view::npos
                       ? std::nullopt
                       : std::optional<std::size_t>(last + last_chunk.size());
        }
    }
    return buffer.size() >= body + length ? std::optional<std::size_t>(body + length)
                                          : std::nullopt;
}

// Returns "METHOD /path?query".
std::string request_line(absl::string_view request)
{
    const std::vector<std::string> parts =
        absl::StrSplit(request.substr(0, request.find("\r\n")), ' ');
    return parts.size() < 2 ? "" : parts[0] + " " + parts[1];
}

// Closes a descriptor at the end of its life.
struct owned_descriptor {
    explicit owned_descriptor(int taken) : number(taken) {}
    ~owned_descriptor() { close(this->number); }
    owned_descriptor(const owned_descriptor&) = delete;
    owned_descriptor& operator=(const owned_descriptor&) = delete;

    const int number;
};

class http_relay : public relay {
public:
    http_relay(fault_proxy& owner, int client_end, int server_end, absl::Duration delay)
        : relay(owner), client(client_end), server(server_end),
          to_client(
              delay,
              [this](absl::string_view bytes) { return write_all(this->client.number, bytes); }),
          to_server(delay, [this](absl::string_view bytes) {
              return write_all(this->server.number, bytes);
          })
    {
    }

    void cut() override
    {
        shutdown(this->client.number, SHUT_RDWR);
        shutdown(this->server.number, SHUT_RDWR);
    }

    [[nodiscard]] bool is_link_from(absl::string_view /*client_id*/) const override
    {
        return false;
    }

protected:
    void relay_to_server() override
    {
        this->relay_requests();
        this->to_server.drain();
    }

    void relay_to_client() override
    {
        std::string buffer;
        while (read_some(this->server.number, buffer) &&
               this->pass_answer(std::exchange(buffer, ""))) {
        }
        this->to_client.drain();
    }

private:
    void relay_requests()
    {
        std::string buffer;
        while (read_some(this->client.number, buffer)) {
            while (const std::optional<std::size_t> size = request_size(buffer)) {
                std::string request = buffer.substr(0, *size);
                buffer.erase(0, *size);
                if (!this->pass_request(std::move(request))) {
                    return;
                }
            }
        }
    }

    bool pass_request(std::string request)
    {
        message_info message{.kind = message_kind::http_request,
                             .direction = toward::server,
                             .line = request_line(request),
                             .opening = request};
        std::uint64_t exchange = 0;
        {
            const absl::MutexLock lock(&this->mutex);
            this->opening = std::make_shared<const std::string>(request);
            this->answer_begins = true;
            exchange = ++this->requests;
        }
        return this->pass(message, exchange, [&] { return this->to_server.write(request); });
    }

    // Cuts the bytes of an answer before each event, so that a rule can fire between two.
    bool pass_answer(absl::string_view bytes)
    {
        std::size_t begin = 0;
        while (begin < bytes.size()) {
            const std::size_t after =
                begin +
                (absl::StartsWith(bytes.substr(begin), event_prefix) ? event_prefix.size() : 0);
            const std::size_t next = std::min(bytes.find(event_prefix, after), bytes.size());
            if (!this->pass_part(bytes.substr(begin, next - begin))) {
                return false;
            }
            begin = next;
        }
        return true;
    }

    bool pass_part(absl::string_view part)
    {
        std::shared_ptr<const std::string> request;
        std::uint64_t exchange = 0;
        message_kind kind = message_kind::http_rest;
        {
            const absl::MutexLock lock(&this->mutex);
            request = this->opening;
            exchange = this->requests;
            if (std::exchange(this->answer_begins, false)) {
                kind = message_kind::http_answer;
            }
            else if (absl::StartsWith(part, event_prefix)) {
                kind = message_kind::http_event;
            }
        }
        const message_info message{.kind = kind,
                                   .direction = toward::client,
                                   .line = request_line(*request),
                                   .opening = *request};
        return this->pass(message, exchange,
                          [&] { return this->to_client.write(std::string(part)); });
    }

    // Outlive the writers.
    const owned_descriptor client;
    const owned_descriptor server;
    delayed_writer to_client;
    delayed_writer to_server;
    absl::Mutex mutex;
    // The latest request; what arrives from the server belongs to it.
    std::shared_ptr<const std::string>
        opening ABSL_GUARDED_BY(mutex) = std::make_shared<const std::string>();
    bool answer_begins ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t requests ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace

std::unique_ptr<relay> make_http_relay(fault_proxy& owner, int client, int server,
                                       absl::Duration delay)
{
    return std::make_unique<http_relay>(owner, client, server, delay);
}

} // namespace sardinestream::testing
