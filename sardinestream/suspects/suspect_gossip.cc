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
    this->new_links.push_back(link);
}

suspect_gossip::link_list suspect_gossip::links_up()
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
    const absl::StatusOr<bool> news = this->registry->merge(payload);
    if (!news.ok()) {
        log_failure("suspect_report_refused", news.status());
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    this->has_news = this->has_news || *news;
}

void suspect_gossip::send_news()
{
    const absl::MutexLock lock(&this->sending);
    const std::uint64_t sequence = this->registry->sequence();
    if (sequence == this->sent_sequence) {
        return;
    }
    const std::string report = this->registry->report(this->sent_sequence);
    for (const std::shared_ptr<wire::peer_link>& link : this->links_up()) {
        // A link that is lost is sent everything when it comes up again.
        link->send_link_frame(wire::frame_type::suspect_report, report).IgnoreError();
    }
    this->sent_sequence = sequence;
}

bool suspect_gossip::is_due() const
{
    return this->stopping || this->has_news || !this->new_links.empty();
}

void suspect_gossip::send_when_due()
{
    while (true) {
        link_list greeted;
        bool news = false;
        {
            const absl::MutexLock lock(&this->mutex);
            this->mutex.Await(absl::Condition(this, &suspect_gossip::is_due));
            if (this->stopping) {
                return;
            }
            greeted.swap(this->new_links);
            news = std::exchange(this->has_news, false);
        }
        const std::string everything = greeted.empty() || this->registry->size() == 0
                                           ? std::string()
                                           : this->registry->report();
        for (const std::shared_ptr<wire::peer_link>& link : greeted) {
            if (everything.empty()) {
                continue;
            }
            link->send_link_frame(wire::frame_type::suspect_report, everything).IgnoreError();
        }
        if (news) {
            this->send_news();
        }
    }
}

} // namespace sardinestream::suspects
