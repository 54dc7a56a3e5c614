#include "sardinestream/testing/emulator/connection_server.h"

#include <optional>
#include <utility>

#include <sys/socket.h>

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

// A server that is stopped ends at once.
constexpr milliseconds accept_interval{50};
constexpr milliseconds work_step{5};
// A peer that sends or takes nothing for so long is abandoned.
constexpr std::chrono::seconds longest_exchange{20};
constexpr int http_bad_request = 400;
constexpr int http_head_too_large = 431;
constexpr std::size_t largest_body = 8U << 20U;

acceptor_options make_options()
{
    acceptor_options options;
    options.poll_interval = accept_interval;
    return options;
}

} // namespace

std::string emulated_request::header(absl::string_view name) const
{
    return header_or_empty(this->head.headers, name);
}

std::string emulated_request::parameter(const std::string& name) const
{
    const auto found = this->target.parameters.find(name);
    return found == this->target.parameters.end() ? "" : found->second;
}

served_connection::served_connection(tcp_socket accepted)
    : socket(std::move(accepted)), reader(socket)
{
}

bool served_connection::read(emulated_request& request)
{
    if (this->finished) {
        return false;
    }
    const steady_time deadline = steady_clock::now() + longest_exchange;
    absl::StatusOr<http_request_head> head =
        this->reader.read_request_head(message_limits{}, deadline);
    std::optional<request_target> target =
        head.ok() ? parse_target(head->target) : std::optional<request_target>();
    if (absl::IsInvalidArgument(head.status()) || (head.ok() && !target.has_value())) {
        this->refuse(http_bad_request);
        return false;
    }
    if (absl::IsResourceExhausted(head.status())) {
        this->refuse(http_head_too_large);
        return false;
    }
    if (!head.ok()) {
        return false;
    }
    request.head = *std::move(head);
    request.target = *std::move(target);
    request.body.clear();
    return this->reader.read_body(largest_body, request.body, deadline, hangup_watch()).ok();
}

void served_connection::refuse(int status)
{
    this->answer(status, {{"Connection", "close"}}, "");
    this->finish();
}

bool served_connection::write(absl::string_view bytes)
{
    return !this->finished &&
           this->socket.write_all(bytes, steady_clock::now() + longest_exchange, hangup_watch())
               .ok();
}

bool served_connection::answer(int status, const http_headers& headers, absl::string_view body)
{
    const answer_head head = {status, "", headers, body.size()};
    return this->write(encode_answer_head(head) + std::string(body));
}

bool served_connection::has_hung_up() const
{
    return this->finished || hangup_watch(this->socket.descriptor()).has_hung_up();
}

bool served_connection::work_for(milliseconds duration)
{
    const steady_time end = steady_clock::now() + duration;
    while (steady_clock::now() < end) {
        if (this->has_hung_up()) {
            return false;
        }
        std::this_thread::sleep_until(std::min(end, steady_clock::now() + work_step));
    }
    return !this->has_hung_up();
}

void served_connection::reset()
{
    const linger abrupt = {1, 0};
    ::setsockopt(this->socket.descriptor(), SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
    this->finished = true;
}

absl::StatusOr<std::unique_ptr<connection_server>> connection_server::start(const address& local,
                                                                            handler served)
{
    absl::StatusOr<tcp_listener> bound = tcp_listener::bind(local);
    if (!bound.ok()) {
        return bound.status();
    }
    return std::unique_ptr<connection_server>(
        new connection_server(*std::move(bound), std::move(served)));
}

connection_server::connection_server(tcp_listener bound, handler handle)
    : served(std::move(handle)),
      acceptor(std::move(bound), make_options(),
               [this](tcp_socket accepted) { this->serve(std::move(accepted)); })
{
}

connection_server::~connection_server()
{
    this->stopping = true;
    this->acceptor.stop_accepting();
    const absl::MutexLock lock(&this->mutex);
    for (const int descriptor : this->open) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void connection_server::serve(tcp_socket accepted)
{
    const int descriptor = accepted.descriptor();
    served_connection connection(std::move(accepted));
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->stopping) {
            return;
        }
        this->open.insert(descriptor);
    }
    this->served(connection);
    // The descriptor is closed after it has left the set, so its next owner is not shut down.
    const absl::MutexLock lock(&this->mutex);
    this->open.erase(descriptor);
}

} // namespace sardinestream::testing
