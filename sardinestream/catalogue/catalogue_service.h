// Everything about the catalogue that a process needs, ready to plug into its links.
//
//     auto service = catalogue_service::create(
//         {.id = "entry-1", .watch_store = true, .accept = true}, store.get());
//     options->hooks.on_stream = ...;             // the process's own hooks first
//     service->attach(options->hooks);            // then the catalogue's around them
//     ...
//     const auto snapshot = service->state().current();
//     if (!service->state().wait_until_number(first.header.catalogue_number, deadline)) { refuse }
//
// Every frame carries the sender's number. Whoever is behind pulls what changed from whoever is
// ahead, so that news spreads over the links there are, and a start during an outage of the
// platform takes the catalogue from peers.
//
// Owns the exchange with peers. Never acts on a number lower than the one in force. Thread-safe.

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
    bool watch_store = false; // a few processes of each data centre do
    bool accept = false;      // decides on entries; needs `watch_store`
    store_sync_options sync = {};
    acceptor_options deciding = {};
    // How long a start that finds the platform out waits for more peers after the first number.
    absl::Duration settle_time = absl::Seconds(1);
};

class catalogue_service {
public:
    // `store` may be null: then peers are the only source. Otherwise it must outlive the result.
    [[nodiscard]] static std::unique_ptr<catalogue_service>
    create(catalogue_service_options options, platform::object_store* store);
    // Precondition: the links have ended. Cancel the store's watches first for a prompt end.
    ~catalogue_service();
    catalogue_service(const catalogue_service&) = delete;
    catalogue_service& operator=(const catalogue_service&) = delete;

    [[nodiscard]] catalogue_state& state() { return this->catalogue; }

    // Puts the catalogue's hooks around those that are set already. The service must outlive the
    // links.
    void attach(wire::link_hooks& hooks);

    // Answers a `catalogue_pull`, on a thread of its own. `attach` sees to it.
    void serve_pull(std::shared_ptr<wire::stream> opened, const wire::frame& first);

    // Notes that the link's peer has `number`; pulls from it where that is higher.
    void note_number(const std::shared_ptr<wire::peer_link>& link, std::uint64_t number);

    // True once this process has a catalogue and knows of no higher number: the highest among the
    // platform, where it answers, and the peers.
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
    // Set when a peer was heard to be ahead.
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
