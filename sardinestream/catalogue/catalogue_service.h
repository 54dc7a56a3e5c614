// Runs the catalogue of one process: its state, synchronization with the platform and with peers,
// and optionally the acceptor.
//
//     auto service = catalogue_service::create(
//         {.id = "entry-1", .watch_store = true, .accept = true}, store.get());
//     options->hooks.on_stream = ...;             // set the process's own hooks first
//     service->attach(options->hooks);            // then wrap them
//     ...
//     const auto snapshot = service->state().current();
//     if (!service->state().wait_until_number(first.header.catalogue_number, deadline)) { refuse }
//
// Every frame carries the sender's catalogue number. A process with a lower number pulls the
// changed shards from a peer with a higher one. Changes therefore spread over the existing links,
// and a process that starts during an outage of the platform gets the catalogue from its peers.
//
// Responsible for the exchange with peers. Never applies a number lower than the one in force.
// Thread-safe.

#ifndef SARDINESTREAM_CATALOGUE_CATALOGUE_SERVICE_H_
#define SARDINESTREAM_CATALOGUE_CATALOGUE_SERVICE_H_

#include <map>
#include <memory>
#include <string>
#include <thread>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/catalogue/acceptor.h"
#include "sardinestream/catalogue/catalogue_state.h"
#include "sardinestream/catalogue/store_sync.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::catalogue {

struct catalogue_service_options {
    std::string id;           // of this process
    bool watch_store = false; // set on a few processes of each data centre
    bool accept = false;      // run an acceptor; requires `watch_store`
    store_sync_options sync = {};
    acceptor_options deciding = {};
    // If the platform does not answer at start: time after the first number came into force before
    // `ready` returns true, so that peers with a higher number can connect.
    absl::Duration settle_time = absl::Seconds(1);
};

class catalogue_service {
public:
    // If `store` is null, peers are the only source. Otherwise it must outlive the result.
    [[nodiscard]] static std::unique_ptr<catalogue_service>
    create(catalogue_service_options options, platform::object_store* store);
    // Precondition: the links have ended. Cancel the store's watches first to return early.
    ~catalogue_service();
    catalogue_service(const catalogue_service&) = delete;
    catalogue_service& operator=(const catalogue_service&) = delete;

    [[nodiscard]] catalogue_state& state() { return this->catalogue; }

    // Wraps the hooks that are already set with those of the catalogue. The service must outlive
    // the links.
    void attach(wire::link_hooks& hooks);

    // Answers a `catalogue_pull` on a separate thread. Called by the hooks that `attach` sets.
    void serve_pull(std::shared_ptr<wire::stream> opened, const wire::frame& first);

    // Records that the link's peer has `number`; triggers a pull if it is higher than the own one.
    void record_peer_number(const std::shared_ptr<wire::peer_link>& link, std::uint64_t number);

    // Returns true once this process has a catalogue and neither a peer nor the platform, if it
    // answers, is known to have a higher number.
    [[nodiscard]] bool ready() const;

private:
    struct known_peer {
        std::weak_ptr<wire::peer_link> link;
        std::uint64_t number = 0;
    };

    catalogue_service(catalogue_service_options options, platform::object_store* store);
    void send_changes(wire::stream& opened, std::uint64_t have);
    void pull_when_behind();
    [[nodiscard]] std::shared_ptr<wire::peer_link> choose_peer_ahead();
    [[nodiscard]] absl::Status pull_from(wire::peer_link& link);
    [[nodiscard]] bool has_peers() const;

    const catalogue_service_options settings;
    catalogue_state catalogue;
    mutable absl::Mutex mutex;
    std::map<const wire::peer_link*, known_peer> peers ABSL_GUARDED_BY(mutex);
    // True while a peer may have a higher number than this process.
    bool behind ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    absl::Time first_number_at ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
    thread_group answering;
    std::unique_ptr<store_sync> syncing;
    std::unique_ptr<acceptor> accepting;
    std::thread pulling;
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_CATALOGUE_SERVICE_H_
