#include "sardinestream/http/connection_acceptor.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "sardinestream/base/log.h"

#include "absl/container/inlined_vector.h"

namespace sardinestream {
namespace {

// Limit on the time for which queued connections are accepted when the listener closes.
constexpr std::chrono::milliseconds max_drain_time{200};
// A handshake that has begun when the listener closes ends within this time.
constexpr std::chrono::milliseconds handshake_time{50};
// How long a refused connection stays open for its request, and then for its caller to close it.
constexpr std::chrono::milliseconds refused_time{500};
constexpr std::size_t max_refused = 64;
constexpr std::size_t discard_bytes = 16 << 10;

} // namespace

connection_acceptor::connection_acceptor(tcp_listener bound, acceptor_options chosen,
                                         handler handle)
    : listener(std::move(bound)), bound_to(listener.local()), options(std::move(chosen)),
      served(std::move(handle)), accepting([this] { this->run(); })
{
}

connection_acceptor::~connection_acceptor()
{
    this->stop_accepting();
}

void connection_acceptor::stop_accepting()
{
    this->stopping = true;
    if (this->accepting.joinable()) {
        this->accepting.join();
    }
}

void connection_acceptor::run()
{
    while (!this->stopping) {
        this->wait_for_event();
        this->serve_refused();
        absl::StatusOr<tcp_socket> accepted = this->listener.accept(steady_clock::now());
        if (absl::IsDeadlineExceeded(accepted.status())) {
            continue;
        }
        if (!accepted.ok()) {
            // The usual cause is a lack of file descriptors: wait for connections to close.
            log_failure("accept_failed", accepted.status());
            std::this_thread::sleep_for(this->options.poll_interval);
            continue;
        }
        this->start_connection(*std::move(accepted));
    }
    this->listener.ignore_new_connections();
    const steady_time closing = steady_clock::now();
    const steady_time end = closing + max_drain_time;
    this->accept_queued(closing + handshake_time, end);
    this->listener = tcp_listener();
    while (!this->refused.empty() && steady_clock::now() < end) {
        this->wait_for_event();
        this->serve_refused();
    }
    this->refused.clear();
}

void connection_acceptor::wait_for_event()
{
    steady_time end = steady_clock::now() + this->options.poll_interval;
    absl::InlinedVector<int, 4> descriptors = {this->listener.descriptor()};
    for (const refused_connection& each : this->refused) {
        descriptors.push_back(each.connection.descriptor());
        end = std::min(end, each.end);
    }
    wait_for_any_input(descriptors, hangup_watch(), end);
}

void connection_acceptor::refuse(tcp_socket connection, absl::string_view reason)
{
    this->options.on_refused(reason);
    if (!this->options.refusal.empty() && this->refused.size() < max_refused) {
        this->refused.push_back({std::move(connection), steady_clock::now() + refused_time});
    }
}

void connection_acceptor::serve_refused()
{
    std::erase_if(this->refused, [this](refused_connection& each) { return this->advance(each); });
}

bool connection_acceptor::advance(refused_connection& refused) const
{
    const steady_time now = steady_clock::now();
    if (now >= refused.end) {
        return true;
    }
    if (!refused.connection.has_input_or_end()) {
        return false;
    }
    char discarded[discard_bytes];
    const absl::StatusOr<std::size_t> length =
        refused.connection.read_some(absl::MakeSpan(discarded), now, hangup_watch());
    if (!length.ok() || *length == 0) {
        return true;
    }
    if (!refused.answered) {
        refused.answered = true;
        refused.end = now + refused_time;
        const absl::Status written =
            refused.connection.write_all(this->options.refusal, now, hangup_watch());
        if (!written.ok()) {
            log_failure("refusal_failed", written);
            return true;
        }
        refused.connection.finish_writing();
    }
    return false;
}

void connection_acceptor::accept_queued(steady_time handshakes_end, steady_time end)
{
    while (steady_clock::now() < end) {
        absl::StatusOr<tcp_socket> accepted = this->listener.accept(handshakes_end);
        if (absl::IsDeadlineExceeded(accepted.status())) {
            return;
        }
        if (!accepted.ok()) {
            log_failure("accept_failed", accepted.status());
            return;
        }
        this->start_connection(*std::move(accepted));
    }
}

void connection_acceptor::start_connection(tcp_socket connection)
{
    if (this->threads.size() >= this->options.max_connections) {
        this->refuse(std::move(connection), "too many connections");
        return;
    }
    auto shared = std::make_shared<tcp_socket>(std::move(connection));
    if (!this->threads.spawn([this, shared] { this->served(std::move(*shared)); })) {
        this->refuse(std::move(*shared), "failed to start a thread");
    }
}

} // namespace sardinestream
