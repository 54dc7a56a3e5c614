#include "sardinestream/membership/peer_directory.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"

namespace sardinestream::membership {
namespace {

void sort_by_id(std::vector<std::shared_ptr<peer>>& peers)
{
    std::sort(peers.begin(), peers.end(),
              [](const std::shared_ptr<peer>& left, const std::shared_ptr<peer>& right) {
                  return left->identity().id < right->identity().id;
              });
}

} // namespace

bool peer::serves(absl::string_view service) const
{
    const std::vector<std::string>& offered = this->identity().serves;
    return std::find(offered.begin(), offered.end(), service) != offered.end();
}

std::unique_ptr<peer_directory> peer_directory::create(wire::link_options options,
                                                       observer watching)
{
    std::unique_ptr<peer_directory> made(new peer_directory(std::move(watching)));
    peer_directory* self = made.get();
    const wire::link_hooks outer = options.hooks;
    options.hooks.on_up = [self, outer](const std::shared_ptr<wire::peer_link>& link) {
        self->add(link);
        if (outer.on_up) {
            outer.on_up(link);
        }
    };
    options.hooks.on_down = [self, outer](const std::shared_ptr<wire::peer_link>& link) {
        self->remove(link);
        if (outer.on_down) {
            outer.on_down(link);
        }
    };
    options.hooks.on_heartbeat = [self, outer](const std::shared_ptr<wire::peer_link>& link,
                                               absl::string_view payload) {
        self->note_heartbeat(link.get(), payload);
        if (outer.on_heartbeat) {
            outer.on_heartbeat(link, payload);
        }
    };
    options.hooks.on_link_frame = [self, outer](const std::shared_ptr<wire::peer_link>& link,
                                                const wire::frame& received) {
        if (received.header.type == wire::frame_type::leaving) {
            if (std::shared_ptr<peer> known = self->find_by_link(link.get())) {
                self->mark_leaving(known);
            }
            // An agent goes on answering until it has this: requests are on their way to it.
            if (link->remote().role == wire::peer_role::agent) {
                const absl::Status sent = link->send_link_frame(wire::frame_type::leaving, "");
                if (!sent.ok()) {
                    log_failure("leaving_unacknowledged", sent, {{"peer", link->remote().id}});
                }
            }
            return;
        }
        if (outer.on_link_frame) {
            outer.on_link_frame(link, received);
        }
    };
    made->options = std::make_shared<wire::link_options>(std::move(options));
    return made;
}

peer_directory::~peer_directory()
{
    const absl::MutexLock lock(&this->dialers_mutex);
    this->dialers.clear();
}

void peer_directory::set_addresses(const std::vector<address>& wanted)
{
    const absl::MutexLock lock(&this->dialers_mutex);
    const std::set<address> keep(wanted.begin(), wanted.end());
    for (const auto& [remote, dialer] : this->dialers) {
        const bool still_wanted = keep.count(remote) > 0;
        dialer->keep_dialling(still_wanted);
        std::shared_ptr<wire::peer_link> link = dialer->current();
        if (std::shared_ptr<peer> known = this->find_by_link(link.get())) {
            known->withdrawn = !still_wanted;
        }
    }
    for (const address& each : keep) {
        if (this->dialers.count(each) > 0) {
            continue;
        }
        this->dialers.emplace(each, std::make_unique<wire::link_dialer>(this->options, each));
    }
}

std::vector<std::shared_ptr<peer>> peer_directory::serving(absl::string_view service) const
{
    std::vector<std::shared_ptr<peer>> found;
    const absl::MutexLock lock(&this->mutex);
    for (const auto& [link, known] : this->peers) {
        if (known->serves(service)) {
            found.push_back(known);
        }
    }
    sort_by_id(found);
    return found;
}

std::vector<std::shared_ptr<peer>> peer_directory::with_role(wire::peer_role role) const
{
    std::vector<std::shared_ptr<peer>> found;
    const absl::MutexLock lock(&this->mutex);
    for (const auto& [link, known] : this->peers) {
        if (known->identity().role == role && known->link->usable()) {
            found.push_back(known);
        }
    }
    sort_by_id(found);
    // Two entries dial each other, so there may be two links to the same peer; either can be used.
    const auto same_id = [](const std::shared_ptr<peer>& left, const std::shared_ptr<peer>& right) {
        return left->identity().id == right->identity().id;
    };
    found.erase(std::unique(found.begin(), found.end(), same_id), found.end());
    return found;
}

std::shared_ptr<peer> peer_directory::find(absl::string_view id) const
{
    const absl::MutexLock lock(&this->mutex);
    for (const auto& [link, known] : this->peers) {
        if (known->identity().id == id && known->link->usable()) {
            return known;
        }
    }
    return nullptr;
}

std::shared_ptr<peer> peer_directory::wait_for(absl::string_view id, absl::Time deadline) const
{
    const absl::MutexLock lock(&this->mutex);
    std::shared_ptr<peer> found;
    const auto is_connected = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        for (const auto& [link, known] : this->peers) {
            if (known->identity().id == id && known->link->usable()) {
                found = known;
            }
        }
        return found != nullptr;
    };
    this->mutex.AwaitWithDeadline(absl::Condition(&is_connected), deadline);
    return found;
}

void peer_directory::add(const std::shared_ptr<wire::peer_link>& link)
{
    auto added = std::make_shared<peer>();
    added->link = link;
    added->leaving = link->remote().leaving;
    log_event("peer_up",
              {{"peer", link->remote().id}, {"incarnation", link->remote().incarnation}});
    if (this->watcher.on_peer_up) {
        this->watcher.on_peer_up(added);
    }
    const absl::MutexLock lock(&this->mutex);
    auto listed = this->listed_leaving.find(link->remote().id);
    if (listed != this->listed_leaving.end() && listed->second == link->remote().incarnation) {
        added->leaving = true;
    }
    this->peers[link.get()] = std::move(added);
}

void peer_directory::remove(const std::shared_ptr<wire::peer_link>& link)
{
    log_event("peer_down", {{"peer", link->remote().id}});
    std::shared_ptr<peer> lost = this->find_by_link(link.get());
    {
        const absl::MutexLock lock(&this->mutex);
        this->peers.erase(link.get());
    }
    if (lost != nullptr && this->watcher.on_peer_down) {
        this->watcher.on_peer_down(lost);
    }
}

std::shared_ptr<peer> peer_directory::find_by_link(const wire::peer_link* link) const
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->peers.find(link);
    return found == this->peers.end() ? nullptr : found->second;
}

void peer_directory::note_leaving(absl::string_view id, std::uint64_t incarnation)
{
    std::vector<std::shared_ptr<peer>> found;
    {
        const absl::MutexLock lock(&this->mutex);
        this->listed_leaving[std::string(id)] = incarnation;
        for (const auto& [link, known] : this->peers) {
            const wire::helloT& said = known->identity();
            if (said.id == id && (incarnation == 0 || said.incarnation == incarnation)) {
                found.push_back(known);
            }
        }
    }
    for (const std::shared_ptr<peer>& each : found) {
        this->mark_leaving(each);
    }
}

void peer_directory::mark_leaving(const std::shared_ptr<peer>& known)
{
    if (known->leaving.exchange(true)) {
        return;
    }
    log_event("peer_leaving", {{"peer", known->identity().id}});
    if (this->watcher.on_leaving) {
        this->watcher.on_leaving(known);
    }
}

void peer_directory::note_heartbeat(const wire::peer_link* link, absl::string_view payload)
{
    if (std::shared_ptr<peer> known = this->find_by_link(link)) {
        if (this->watcher.on_heartbeat) {
            this->watcher.on_heartbeat(known, payload);
        }
    }
}

} // namespace sardinestream::membership
