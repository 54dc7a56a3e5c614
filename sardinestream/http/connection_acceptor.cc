#include "sardinestream/http/connection_acceptor.h"

#include <memory>
#include <utility>

#include "sardinestream/base/log.h"

namespace sardinestream {
namespace {

// Limit on the time for which queued connections are accepted when the listener closes.
constexpr std::chrono::milliseconds max_drain_time{200};

} // namespace

connection_acceptor::connection_acceptor(tcp_listener bound, acceptor_options chosen, handler given)
    : listener(std::move(bound)), bound_to(listener.local()), options(std::move(chosen)),
      served(std::move(given)), accepting([this] { this->run(); })
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
        absl::StatusOr<tcp_socket> accepted =
            this->listener.accept(steady_clock::now() + this->options.poll_interval);
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
    this->accept_queued();
    this->listener = tcp_listener();
}

void connection_acceptor::accept_queued()
{
    const steady_time end = steady_clock::now() + max_drain_time;
    while (steady_clock::now() < end) {
        absl::StatusOr<tcp_socket> accepted = this->listener.accept(steady_clock::now());
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
        this->options.on_refused("too many connections");
        return;
    }
    auto shared = std::make_shared<tcp_socket>(std::move(connection));
    if (!this->threads.spawn([this, shared] { this->served(std::move(*shared)); })) {
        this->options.on_refused("failed to start a thread");
    }
}

} // namespace sardinestream
