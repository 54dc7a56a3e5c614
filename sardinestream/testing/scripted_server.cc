#include "sardinestream/testing/scripted_server.h"

#include <utility>

namespace sardinestream {
namespace {

constexpr std::chrono::seconds script_timeout{10};
constexpr std::chrono::milliseconds accept_interval{20};

} // namespace

scripted_connection::scripted_connection(tcp_socket accepted)
    : socket(std::move(accepted)), reader(socket)
{
}

bool scripted_connection::read_request()
{
    const steady_time deadline = steady_clock::now() + script_timeout;
    const message_limits limits;
    absl::StatusOr<http_request_head> read = this->reader.read_request_head(limits, deadline);
    if (!read.ok()) {
        return false;
    }
    this->head = *std::move(read);
    this->body.clear();
    return this->reader.read_body(limits.body_bytes, this->body, deadline, {}).ok();
}

void scripted_connection::write(absl::string_view bytes)
{
    (void)this->socket.write_all(bytes, steady_clock::now() + script_timeout, {});
}

void scripted_connection::reset()
{
    this->socket.abort();
}

bool scripted_connection::wait_for_end(std::chrono::milliseconds longest)
{
    const steady_time end = steady_clock::now() + longest;
    char ignored[256];
    while (steady_clock::now() < end) {
        const absl::StatusOr<std::size_t> length =
            this->socket.read_some(absl::MakeSpan(ignored), end, {});
        if (!length.ok()) {
            return !absl::IsDeadlineExceeded(length.status());
        }
        if (*length == 0) {
            return true;
        }
    }
    return false;
}

scripted_server::scripted_server(script to_play, const std::string& ip) : played(std::move(to_play))
{
    this->listener = std::make_unique<tcp_listener>(*tcp_listener::bind({ip, 0}));
    this->acceptor = std::thread([this] { this->accept_connections(); });
}

scripted_server::~scripted_server()
{
    this->stopping = true;
    this->acceptor.join();
    for (std::thread& thread : this->threads) {
        thread.join();
    }
}

void scripted_server::accept_connections()
{
    while (!this->stopping) {
        absl::StatusOr<tcp_socket> connection =
            this->listener->accept(steady_clock::now() + accept_interval);
        if (!connection.ok()) {
            continue;
        }
        auto scripted = std::make_shared<scripted_connection>(*std::move(connection));
        scripted->number = this->accepted++;
        this->threads.emplace_back([this, scripted] { this->played(*scripted); });
    }
}

} // namespace sardinestream
