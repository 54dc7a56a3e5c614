#include "sardinestream/suspects/suspect_gossip.h"

#include <utility>

#include "sardinestream/base/log.h"

namespace sardinestream::suspects {

suspect_gossip::suspect_gossip(suspect_registry* suspects)
    : registry(suspects), sender([this] { this->send_when_due(); })
{
}

suspect_gossip::~suspect_gossip()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->sender.join();
}

void suspect_gossip::attach(wire::link_hooks& hooks)
{
    hooks.on_up = [this,
                   inner = std::move(hooks.on_up)](const std::shared_ptr<wire::peer_link>& link) {
        this->on_link_up(link);
        if (inner) {
            inner(link);
        }
    };
    hooks.on_link_frame =
        [this, inner = std::move(hooks.on_link_frame)](const std::shared_ptr<wire::peer_link>& link,
                                                       const wire::frame& received) {
            if (received.header.type == wire::frame_type::suspect_report) {
                this->on_report(received.payload);
                return;
            }
            if (inner) {
                inner(link, received);
            }
        };
}

void suspect_gossip::on_link_up(const std::shared_ptr<wire::peer_link>& link)
{
    const absl::MutexLock lock(&this->mutex);
    this->links.push_back(link);
    this->unsent_links.push_back(link);
}

suspect_gossip::link_list suspect_gossip::live_links()
{
    const absl::MutexLock lock(&this->mutex);
    link_list up;
    std::erase_if(this->links, [&up](const std::weak_ptr<wire::peer_link>& known) {
        std::shared_ptr<wire::peer_link> link = known.lock();
        if (link == nullptr || !link->usable()) {
            return true;
        }
        up.push_back(std::move(link));
        return false;
    });
    return up;
}

void suspect_gossip::on_report(absl::string_view payload)
{
    const absl::StatusOr<bool> changed = this->registry->merge(payload);
    if (!changed.ok()) {
        log_failure("suspect_report_refused", changed.status());
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    this->has_updates = this->has_updates || *changed;
}

void suspect_gossip::send_updates()
{
    const absl::MutexLock lock(&this->send_mutex);
    const std::uint64_t sequence = this->registry->sequence();
    if (sequence == this->sent_sequence) {
        return;
    }
    const std::string report = this->registry->report(this->sent_sequence);
    for (const std::shared_ptr<wire::peer_link>& link : this->live_links()) {
        // After a send failure the peer gets the complete registry when its link is up again.
        link->send_link_frame(wire::frame_type::suspect_report, report).IgnoreError();
    }
    this->sent_sequence = sequence;
}

bool suspect_gossip::is_due() const
{
    return this->stopping || this->has_updates || !this->unsent_links.empty();
}

void suspect_gossip::send_when_due()
{
    while (true) {
        link_list started_links;
        bool send_changes = false;
        {
            const absl::MutexLock lock(&this->mutex);
            this->mutex.Await(absl::Condition(this, &suspect_gossip::is_due));
            if (this->stopping) {
                return;
            }
            started_links.swap(this->unsent_links);
            send_changes = std::exchange(this->has_updates, false);
        }
        const std::string everything = started_links.empty() || this->registry->size() == 0
                                           ? std::string()
                                           : this->registry->report();
        for (const std::shared_ptr<wire::peer_link>& link : started_links) {
            if (everything.empty()) {
                continue;
            }
            link->send_link_frame(wire::frame_type::suspect_report, everything).IgnoreError();
        }
        if (send_changes) {
            this->send_updates();
        }
    }
}

} // namespace sardinestream::suspects
