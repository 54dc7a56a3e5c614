#include "sardinestream/catalogue/catalogue_service.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/catalogue/catalogue_generated.h"

#include "absl/random/random.h"

namespace sardinestream::catalogue {
namespace {

constexpr std::size_t frame_bytes = 256U << 10;
constexpr absl::Duration pull_timeout = absl::Seconds(5);
constexpr absl::Duration retry_pause = absl::Milliseconds(100);

shard_bodyT body_of(const shard& part)
{
    shard_bodyT body;
    body.object_name = part.object_name;
    body.content = part.content;
    return body;
}

// Reconstructs the sender's index from this process's `index` and the shards changed since then.
catalogue_index index_after(catalogue_index index, const shardsT& last,
                            const std::vector<shard_pointer>& changed)
{
    index.number = last.number;
    index.seen_version = last.seen_version;
    index.writer = last.writer;
    index.nonce = last.nonce;
    for (const shard_pointer& part : changed) {
        shard_reference& reference = index.shards[part->id];
        if (part->number > reference.number) {
            reference = {part->number, part->object_name};
        }
    }
    return index;
}

} // namespace

std::unique_ptr<catalogue_service> catalogue_service::create(catalogue_service_options options,
                                                             platform::object_store* store)
{
    std::unique_ptr<catalogue_service> made(new catalogue_service(std::move(options), store));
    return made;
}

catalogue_service::catalogue_service(catalogue_service_options options,
                                     platform::object_store* store)
    : settings(std::move(options))
{
    this->catalogue.on_change([this](const std::shared_ptr<const catalogue_snapshot>&) {
        const absl::MutexLock lock(&this->mutex);
        if (this->first_number_at == absl::InfiniteFuture()) {
            this->first_number_at = absl::Now();
        }
        if (this->accepting != nullptr) {
            this->accepting->wake();
        }
    });
    if (store != nullptr) {
        store_sync_options sync = this->settings.sync;
        sync.watch = this->settings.watch_store;
        sync.has_peers = [this] { return this->has_peers(); };
        this->syncing = store_sync::create(std::move(sync), *store, this->catalogue);
    }
    if (store != nullptr && this->settings.accept) {
        acceptor_options deciding = this->settings.deciding;
        deciding.id = this->settings.id;
        auto made = acceptor::create(std::move(deciding), *store, this->catalogue);
        const absl::MutexLock lock(&this->mutex);
        this->accepting = std::move(made);
    }
    this->pulling = std::thread([this] { this->pull_when_behind(); });
}

catalogue_service::~catalogue_service()
{
    std::unique_ptr<acceptor> ended;
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        ended = std::move(this->accepting);
    }
    this->pulling.join();
    ended.reset();
    this->syncing.reset();
    this->answering.wait_until_empty();
}

void catalogue_service::attach(wire::link_hooks& hooks)
{
    hooks.catalogue_number = [this] { return this->catalogue.number(); };
    hooks.on_catalogue_number = [this, inner = std::move(hooks.on_catalogue_number)](
                                    const std::shared_ptr<wire::peer_link>& link,
                                    std::uint64_t number) {
        this->record_peer_number(link, number);
        if (inner) {
            inner(link, number);
        }
    };
    hooks.on_stream = [this, inner = std::move(hooks.on_stream)](
                          const std::shared_ptr<wire::stream>& opened, wire::frame first) {
        if (first.header.type == wire::frame_type::catalogue_pull) {
            return this->serve_pull(opened, first);
        }
        if (inner) {
            inner(opened, std::move(first));
        }
    };
    hooks.on_up = [this,
                   inner = std::move(hooks.on_up)](const std::shared_ptr<wire::peer_link>& link) {
        {
            const absl::MutexLock lock(&this->mutex);
            this->peers[link.get()].link = link;
        }
        if (inner) {
            inner(link);
        }
    };
    hooks.on_down =
        [this, inner = std::move(hooks.on_down)](const std::shared_ptr<wire::peer_link>& link) {
            {
                const absl::MutexLock lock(&this->mutex);
                this->peers.erase(link.get());
            }
            if (inner) {
                inner(link);
            }
        };
}

void catalogue_service::serve_pull(std::shared_ptr<wire::stream> opened, const wire::frame& first)
{
    const absl::StatusOr<pullT> asked = wire::decode<pull>(first.payload);
    if (!asked.ok()) {
        count("sardine_catalogue_pulls_total", {{"state", "refused"}});
        return;
    }
    const bool started = this->answering.spawn(
        [this, opened, have = asked->have] { this->send_changes(*opened, have); });
    count("sardine_catalogue_pulls_total", {{"state", started ? "served" : "refused"}});
}

void catalogue_service::send_changes(wire::stream& opened, std::uint64_t have)
{
    const std::shared_ptr<const catalogue_image> image = this->catalogue.image();
    shardsT message;
    std::size_t bytes = 0;
    for (const shard_pointer& part : image->shards_after(have)) {
        message.changed.push_back(std::make_unique<shard_bodyT>(body_of(*part)));
        bytes += part->content.size();
        if (bytes < frame_bytes) {
            continue;
        }
        if (!opened.send(wire::frame_type::catalogue_shards, wire::encode<shards>(message)).ok()) {
            return;
        }
        message.changed.clear();
        bytes = 0;
    }
    message.last = true;
    message.number = image->number();
    message.seen_version = image->index().seen_version;
    message.writer = image->index().writer;
    message.nonce = image->index().nonce;
    message.references_hash = references_hash(image->index());
    if (opened.send(wire::frame_type::catalogue_shards, wire::encode<shards>(message)).ok()) {
        opened.finish();
    }
}

void catalogue_service::record_peer_number(const std::shared_ptr<wire::peer_link>& link,
                                           std::uint64_t number)
{
    this->catalogue.record_known_number(number);
    const std::uint64_t own = this->catalogue.number();
    const absl::MutexLock lock(&this->mutex);
    known_peer& peer = this->peers[link.get()];
    peer.link = link;
    peer.number = std::max(peer.number, number);
    this->behind = this->behind || number > own;
}

bool catalogue_service::has_peers() const
{
    const absl::MutexLock lock(&this->mutex);
    return std::any_of(this->peers.begin(), this->peers.end(),
                       [](const auto& peer) { return !peer.second.link.expired(); });
}

bool catalogue_service::ready() const
{
    const std::uint64_t number = this->catalogue.number();
    if (number == 0 || number < this->catalogue.highest_heard()) {
        return false;
    }
    if (this->syncing == nullptr || this->syncing->has_answered()) {
        return true;
    }
    const absl::MutexLock lock(&this->mutex);
    return absl::Now() >= this->first_number_at + this->settings.settle_time;
}

std::shared_ptr<wire::peer_link> catalogue_service::choose_peer_ahead()
{
    const std::uint64_t own = this->catalogue.number();
    std::vector<std::shared_ptr<wire::peer_link>> ahead;
    const absl::MutexLock lock(&this->mutex);
    for (const auto& [key, peer] : this->peers) {
        std::shared_ptr<wire::peer_link> link = peer.link.lock();
        if (peer.number > own && link != nullptr && link->usable()) {
            ahead.push_back(std::move(link));
        }
    }
    if (ahead.empty()) {
        this->behind = false;
        return nullptr;
    }
    absl::BitGen random;
    return ahead[absl::Uniform<std::size_t>(random, 0, ahead.size())];
}

void catalogue_service::pull_when_behind()
{
    while (true) {
        {
            const absl::MutexLock lock(&this->mutex);
            const auto is_due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                return this->behind || this->stopping;
            };
            this->mutex.Await(absl::Condition(&is_due));
            if (this->stopping) {
                return;
            }
        }
        const std::shared_ptr<wire::peer_link> peer = this->choose_peer_ahead();
        if (peer == nullptr) {
            continue;
        }
        const absl::Status pulled = this->pull_from(*peer);
        if (pulled.ok()) {
            continue;
        }
        count("sardine_catalogue_retries_total",
              {{"from", "peer"}, {"reason", absl::StatusCodeToString(pulled.code())}});
        log_failure("catalogue_pull_failed", pulled);
        const absl::MutexLock lock(&this->mutex);
        this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), retry_pause);
    }
}

absl::Status catalogue_service::pull_from(wire::peer_link& link)
{
    const absl::Time deadline = absl::Now() + pull_timeout;
    const std::shared_ptr<const catalogue_image> base = this->catalogue.image();
    const std::shared_ptr<wire::stream> opened = link.open_stream();
    pullT asked;
    asked.have = base->number();
    SARDINE_RETURN_IF_ERROR(
        opened->send(wire::frame_type::catalogue_pull, wire::encode<pull>(asked)));
    std::vector<shard_pointer> changed;
    while (true) {
        const absl::StatusOr<wire::frame> received = opened->receive(deadline);
        if (!received.ok()) {
            return with_origin(received.status(), "pull_catalogue", link.remote().id);
        }
        absl::StatusOr<shardsT> message = wire::decode<shards>(received->payload);
        if (!message.ok()) {
            return message.status();
        }
        for (const std::unique_ptr<shard_bodyT>& body : message->changed) {
            absl::StatusOr<shard_pointer> part =
                parse_shard(std::move(body->object_name), std::move(body->content));
            if (!part.ok()) {
                return part.status();
            }
            count("sardine_catalogue_shards_read_total", {{"from", "peer"}});
            changed.push_back(*std::move(part));
        }
        if (!message->last) {
            continue;
        }
        opened->finish();
        const catalogue_index index = index_after(base->index(), *message, changed);
        if (references_hash(index) != message->references_hash) {
            return make_error(absl::StatusCode::kDataLoss, "pull_catalogue", link.remote().id,
                              "shards are missing or do not belong to the sender's index");
        }
        return this->catalogue.apply_changes(index, changed);
    }
}

} // namespace sardinestream::catalogue
