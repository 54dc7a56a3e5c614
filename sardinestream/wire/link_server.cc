#include "sardinestream/wire/link_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <unistd.h>

#include "sardinestream/base/log.h"

namespace sardinestream::wire {
namespace {

constexpr absl::Duration min_redial_delay = absl::Milliseconds(50);
constexpr absl::Duration max_redial_delay = absl::Seconds(1);

} // namespace

absl::StatusOr<std::unique_ptr<link_server>>
link_server::create(std::shared_ptr<const link_options> options, const address& local)
{
    absl::StatusOr<std::unique_ptr<tcp_listener>> listening = tcp_listener::create(local);
    if (!listening.ok()) {
        return listening.status();
    }
    std::unique_ptr<link_server> made(new link_server(std::move(options), *std::move(listening)));
    made->accepting = std::thread([server = made.get()] { server->accept_links(); });
    return made;
}

link_server::link_server(std::shared_ptr<const link_options> link_settings,
                         std::unique_ptr<tcp_listener> listening)
    : options(std::move(link_settings)), listener(std::move(listening))
{
}

link_server::~link_server()
{
    this->finish(std::chrono::steady_clock::now() + max_finish_time);
    this->connections.wait_until_empty();
}

void link_server::finish(std::chrono::steady_clock::time_point deadline)
{
    this->listener->shut_down();
    if (this->accepting.joinable()) {
        this->accepting.join();
    }
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    for (const std::shared_ptr<peer_link>& link : this->links()) {
        if (!this->finishing.spawn([link] { link->finish(); })) {
            link->finish();
        }
    }
    if (this->connections.wait_until_empty(deadline)) {
        return;
    }
    for (const std::shared_ptr<peer_link>& link : this->links()) {
        link->shut_down();
    }
}

std::vector<std::shared_ptr<peer_link>> link_server::links() const
{
    const absl::MutexLock lock(&this->mutex);
    return {this->active.begin(), this->active.end()};
}

void link_server::accept_links()
{
    while (true) {
        absl::StatusOr<int> accepted = this->listener->accept();
        if (!accepted.ok()) {
            return;
        }
        if (!this->connections.spawn([this, descriptor = *accepted] { this->serve(descriptor); })) {
            close(*accepted);
        }
    }
}

void link_server::serve(int descriptor)
{
    absl::StatusOr<std::shared_ptr<peer_link>> link = peer_link::accept(this->options, descriptor);
    if (!link.ok()) {
        log_failure("link_refused", link.status());
        return;
    }
    {
        const absl::MutexLock lock(&this->mutex);
        this->active.insert(*link);
        if (this->stopping) {
            (*link)->shut_down();
        }
    }
    log_event("link_accepted", {{"peer", (*link)->remote().id}});
    const absl::Status why = (*link)->run();
    log_failure("link_ended", why, {{"link", (*link)->remote().id}});
    const absl::MutexLock lock(&this->mutex);
    this->active.erase(*link);
}

link_dialer::link_dialer(std::shared_ptr<const link_options> link_settings, address remote)
    : options(std::move(link_settings)), remote_address(std::move(remote)),
      dialling([this] { this->maintain_link(); })
{
}

link_dialer::~link_dialer()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        if (this->link != nullptr) {
            this->link->shut_down();
        }
    }
    this->dialling.join();
}

std::shared_ptr<peer_link> link_dialer::current() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->link != nullptr && this->link->usable() ? this->link : nullptr;
}

std::shared_ptr<peer_link> link_dialer::wait_until_up(absl::Time deadline) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto is_up = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->link != nullptr && this->link->usable();
    };
    this->mutex.AwaitWithDeadline(absl::Condition(&is_up), deadline);
    return is_up() ? this->link : nullptr;
}

void link_dialer::maintain_link()
{
    absl::Duration next_delay = min_redial_delay;
    while (true) {
        absl::StatusOr<std::shared_ptr<peer_link>> made =
            peer_link::dial(this->options, this->remote_address);
        {
            const absl::MutexLock lock(&this->mutex);
            if (this->stopping) {
                // `on_up` has already run for an established link; `run` must still be called so
                // that `on_down` follows.
                if (made.ok()) {
                    (*made)->shut_down();
                }
            }
            else if (made.ok()) {
                this->link = *made;
            }
        }
        if (made.ok()) {
            next_delay = min_redial_delay;
            const absl::Status why = (*made)->run();
            log_failure("link_ended", why, {{"link", (*made)->remote().id}});
        }
        {
            const absl::MutexLock lock(&this->mutex);
            this->link = nullptr;
        }
        if (!this->wait_before_redial(next_delay)) {
            return;
        }
        next_delay = std::min(2 * next_delay, max_redial_delay);
    }
}

bool link_dialer::wait_before_redial(absl::Duration delay)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), delay)) {
        return false;
    }
    const auto may_proceed = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->stopping || this->redial_enabled;
    };
    this->mutex.Await(absl::Condition(&may_proceed));
    return !this->stopping;
}

void link_dialer::keep_dialling(bool enabled)
{
    const absl::MutexLock lock(&this->mutex);
    this->redial_enabled = enabled;
}

} // namespace sardinestream::wire
