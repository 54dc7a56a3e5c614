#include "sardinestream/agent/leave_notice.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "sardinestream/base/log.h"

namespace sardinestream::agent {
namespace {

// Waits of absl::Mutex follow the time of day, which may jump.
constexpr std::chrono::milliseconds poll_interval{10};

} // namespace

void leave_notice::attach(wire::link_hooks& hooks)
{
    hooks.on_up = [this,
                   inner = std::move(hooks.on_up)](const std::shared_ptr<wire::peer_link>& link) {
        this->on_up(link);
        if (inner) {
            inner(link);
        }
    };
    hooks.on_down =
        [this, inner = std::move(hooks.on_down)](const std::shared_ptr<wire::peer_link>& link) {
            this->on_down(link);
            if (inner) {
                inner(link);
            }
        };
    hooks.on_link_frame =
        [this, inner = std::move(hooks.on_link_frame)](const std::shared_ptr<wire::peer_link>& link,
                                                       const wire::frame& received) {
            if (received.header.type == wire::frame_type::leaving) {
                this->on_acknowledged(link);
                return;
            }
            if (inner) {
                inner(link, received);
            }
        };
}

void leave_notice::send()
{
    std::set<std::shared_ptr<wire::peer_link>> links;
    {
        const absl::MutexLock lock(&this->mutex);
        this->sent = true;
        links = this->unaware;
    }
    for (const std::shared_ptr<wire::peer_link>& link : links) {
        this->send_on(link);
    }
}

bool leave_notice::wait_until_acknowledged(std::chrono::steady_clock::time_point deadline) const
{
    while (!this->is_acknowledged()) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            return false;
        }
        std::this_thread::sleep_until(std::min(deadline, now + poll_interval));
    }
    return true;
}

void leave_notice::on_up(const std::shared_ptr<wire::peer_link>& link)
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->unaware.insert(link);
        if (!this->sent) {
            return;
        }
    }
    // The hello may have been made before this agent began to leave.
    this->send_on(link);
}

void leave_notice::on_down(const std::shared_ptr<wire::peer_link>& link)
{
    const absl::MutexLock lock(&this->mutex);
    this->unaware.erase(link);
}

void leave_notice::on_acknowledged(const std::shared_ptr<wire::peer_link>& link)
{
    const absl::MutexLock lock(&this->mutex);
    this->unaware.erase(link);
}

void leave_notice::send_on(const std::shared_ptr<wire::peer_link>& link)
{
    const auto send = [link] {
        const absl::Status sent = link->send_link_frame(wire::frame_type::leaving, "");
        if (!sent.ok()) {
            log_failure("leaving_unsent", sent, {{"peer", link->remote().id}});
        }
    };
    if (!this->senders.spawn(send)) {
        send();
    }
}

bool leave_notice::is_acknowledged() const
{
    const absl::MutexLock lock(&this->mutex);
    // Agents of the same rank group send no requests of callers, and acknowledge nothing.
    return std::none_of(this->unaware.begin(), this->unaware.end(), [](const auto& link) {
        return link->remote().role == wire::peer_role::entry;
    });
}

} // namespace sardinestream::agent
