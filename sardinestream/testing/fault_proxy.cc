#include "sardinestream/testing/fault_proxy.h"

#include <algorithm>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/testing/relay.h"

#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

constexpr absl::Duration handshake_timeout = absl::Seconds(30);
constexpr absl::Duration swallow_check_interval = absl::Milliseconds(5);

void set_no_delay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Returns a connected descriptor, or -1.
int connect_to(const address& remote)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(remote.port));
    inet_pton(AF_INET, remote.ip.c_str(), &to.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
        close(descriptor);
        return -1;
    }
    set_no_delay(descriptor);
    return descriptor;
}

} // namespace

absl::StatusOr<std::unique_ptr<fault_proxy>> fault_proxy::create(fault_proxy_options options)
{
    absl::StatusOr<std::unique_ptr<wire::tcp_listener>> listening =
        wire::tcp_listener::create(options.local);
    if (!listening.ok()) {
        return listening.status();
    }
    return std::unique_ptr<fault_proxy>(new fault_proxy(std::move(options), *std::move(listening)));
}

fault_proxy::fault_proxy(fault_proxy_options configured,
                         std::unique_ptr<wire::tcp_listener> listening)
    : options(std::move(configured)), listener(std::move(listening)),
      accepting([this] { this->accept_connections(); })
{
}

fault_proxy::~fault_proxy()
{
    this->stopping = true;
    this->listener->shut_down();
    this->accepting.join();
    this->cut();
    this->connections.wait_until_empty();
}

void fault_proxy::accept_connections()
{
    while (true) {
        const absl::StatusOr<int> descriptor = this->listener->accept();
        if (!descriptor.ok()) {
            return;
        }
        ++this->accepted_connections;
        if (!this->connections.spawn([this, accepted = *descriptor] { this->serve(accepted); })) {
            close(*descriptor);
        }
    }
}

void fault_proxy::serve(int descriptor)
{
    const std::unique_ptr<relay> made = this->make_relay(descriptor);
    if (made == nullptr) {
        return;
    }
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->stopping) {
            return;
        }
        this->relays.insert(made.get());
    }
    made->run();
    const absl::MutexLock lock(&this->mutex);
    this->relays.erase(made.get());
}

std::unique_ptr<relay> fault_proxy::make_relay(int descriptor)
{
    set_no_delay(descriptor);
    if (this->swallowing) {
        this->wait_while_swallowing();
        close(descriptor);
        return nullptr;
    }
    if (this->options.tls == nullptr) {
        const int server = this->down ? -1 : connect_to(this->options.server);
        if (server < 0) {
            close(descriptor);
            return nullptr;
        }
        return make_http_relay(*this, descriptor, server, this->options.one_way_delay);
    }
    auto server =
        wire::secure_socket::connect(this->options.tls, this->options.server, handshake_timeout);
    if (this->down || !server.ok()) {
        close(descriptor);
        return nullptr;
    }
    auto client = wire::secure_socket::accept(this->options.tls, descriptor, handshake_timeout);
    if (!client.ok()) {
        return nullptr;
    }
    return make_wire_relay(*this, *std::move(client), *std::move(server),
                           this->options.one_way_delay);
}

void fault_proxy::wait_while_swallowing() const
{
    while (this->swallowing && !this->stopping) {
        absl::SleepFor(swallow_check_interval);
    }
}

void fault_proxy::cut()
{
    const absl::MutexLock lock(&this->mutex);
    for (relay* each : this->relays) {
        each->cut();
    }
}

bool fault_proxy::has_link_from(absl::string_view client_id)
{
    const absl::MutexLock lock(&this->mutex);
    return std::any_of(this->relays.begin(), this->relays.end(), [client_id](const relay* each) {
        return !each->lost_bytes() && each->is_link_from(client_id);
    });
}

void fault_proxy::black_hole()
{
    this->swallowing = true;
}

void fault_proxy::take_down()
{
    this->down = true;
    this->cut();
}

void fault_proxy::heal()
{
    this->rules.clear();
    this->swallowing = false;
    this->down = false;
    const absl::MutexLock lock(&this->mutex);
    for (relay* each : this->relays) {
        if (each->lost_bytes()) {
            each->cut();
        }
    }
}

} // namespace sardinestream::testing
