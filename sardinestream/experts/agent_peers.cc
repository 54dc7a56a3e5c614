#include "sardinestream/experts/agent_peers.h"

#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

constexpr absl::Duration notify_timeout = absl::Seconds(1);

absl::Status no_link(int rank)
{
    return make_error(absl::StatusCode::kUnavailable, "reach_agent", absl::StrCat("rank-", rank),
                      "no link");
}

} // namespace

absl::StatusOr<std::unique_ptr<link_peers>>
link_peers::create(std::shared_ptr<const wire::link_options> options, std::vector<address> agents,
                   int own_rank)
{
    if (own_rank < 0 || own_rank >= static_cast<int>(agents.size())) {
        return make_error(absl::StatusCode::kInvalidArgument, "create_peers", "",
                          "own rank has no address");
    }
    return std::unique_ptr<link_peers>(
        new link_peers(std::move(options), std::move(agents), own_rank));
}

link_peers::link_peers(std::shared_ptr<const wire::link_options> link_settings,
                       std::vector<address> addresses, int rank)
    : options(std::move(link_settings)), agents(std::move(addresses)), own_rank(rank)
{
}

link_peers::~link_peers() = default;

agent_peers link_peers::hooks()
{
    agent_peers made;
    made.request = [this](int rank, wire::frame_type type, const std::string& payload,
                          absl::Time deadline) {
        return this->request(rank, type, payload, deadline);
    };
    made.notify = [this](int rank, wire::frame_type type, const std::string& payload) {
        this->notify(rank, type, payload);
    };
    return made;
}

std::shared_ptr<wire::link_dialer> link_peers::dialer_of(int rank)
{
    if (rank < 0 || rank >= static_cast<int>(this->agents.size()) || rank == this->own_rank) {
        return nullptr;
    }
    const absl::MutexLock lock(&this->mutex);
    peer_entry& entry = this->dialers[rank];
    if (entry.dialer == nullptr) {
        entry.dialer = std::make_shared<wire::link_dialer>(this->options, this->agents[rank]);
    }
    entry.last_used = absl::Now();
    return entry.dialer;
}

absl::StatusOr<wire::frame> link_peers::request(int rank, wire::frame_type type,
                                                const std::string& payload, absl::Time deadline)
{
    const std::shared_ptr<wire::link_dialer> dialer = this->dialer_of(rank);
    const std::shared_ptr<wire::peer_link> link =
        dialer == nullptr ? nullptr : dialer->wait_until_up(deadline);
    if (link == nullptr) {
        count("sardine_agent_unreachable_total");
        return no_link(rank);
    }
    const std::shared_ptr<wire::stream> exchange = link->open_stream();
    SARDINE_RETURN_IF_ERROR(exchange->send(type, payload));
    absl::StatusOr<wire::frame> answer = exchange->receive(deadline);
    exchange->finish();
    return answer;
}

void link_peers::notify(int rank, wire::frame_type type, const std::string& payload)
{
    const std::shared_ptr<wire::link_dialer> dialer = this->dialer_of(rank);
    if (dialer == nullptr) {
        return;
    }
    this->drop_idle_when_due();
    // Each message has a thread of its own, so that an unresponsive peer does not delay the others.
    const bool started = this->senders.spawn([dialer, type, payload] {
        const std::shared_ptr<wire::peer_link> link =
            dialer->wait_until_up(absl::Now() + notify_timeout);
        if (link == nullptr || !link->send_link_frame(type, payload).ok()) {
            count("sardine_agent_messages_lost_total");
        }
    });
    if (!started) {
        count("sardine_agent_messages_lost_total");
    }
}

void link_peers::drop_idle_when_due()
{
    const absl::Time now = absl::Now();
    {
        const absl::MutexLock lock(&this->mutex);
        if (now < this->next_drop) {
            return;
        }
        this->next_drop = now + idle_limit;
    }
    // Closing a link waits for its thread, which must not block the caller.
    if (!this->senders.spawn([this, now] { this->drop_idle(now - idle_limit); })) {
        count("sardine_agent_messages_lost_total");
    }
}

void link_peers::drop_idle(absl::Time before)
{
    std::vector<std::shared_ptr<wire::link_dialer>> idle;
    const absl::MutexLock lock(&this->mutex);
    for (auto each = this->dialers.begin(); each != this->dialers.end();) {
        if (each->second.last_used >= before) {
            ++each;
            continue;
        }
        // The last reference must be destroyed after the lock is released, because ending a link
        // waits for its thread.
        idle.push_back(std::move(each->second.dialer));
        each = this->dialers.erase(each);
    }
}

} // namespace sardinestream::experts
