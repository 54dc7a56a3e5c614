#include "sardinestream/suspects/suspect_gossip.h"

#include <utility>

#include "sardinestream/base/log.h"

namespace sardinestream::suspects {

suspect_gossip::suspect_gossip(suspect_registry* suspects, std::function<link_list()> links)
    : registry(suspects), current_links(std::move(links)), sender([this] { this->send_when_due(); })
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

void suspect_gossip::on_link_up(const std::shared_ptr<wire::peer_link>& link)
{
    const absl::MutexLock lock(&this->mutex);
    this->new_links.push_back(link);
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
    for (const std::shared_ptr<wire::peer_link>& link : this->current_links()) {
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
