// The catalogue part of one process, as tests and the bench run it: a service, a link server and
// links to other nodes.
//
//     catalogue_node watcher({"watcher", standin.local()});
//     catalogue_node peer({"peer"});
//     peer.dial(watcher);
//
// Belongs to one thread.

#ifndef SARDINESTREAM_CATALOGUE_CATALOGUE_TEST_NODE_H_
#define SARDINESTREAM_CATALOGUE_CATALOGUE_TEST_NODE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinestream/catalogue/catalogue_service.h"
#include "sardinestream/wire/link_server.h"

#include "absl/time/time.h"

namespace sardinestream::catalogue {

struct catalogue_node_options {
    std::string id;
    // Without one the node has no connection to the platform.
    std::optional<address> platform_server = std::nullopt;
    // Watches the platform's store and decides on its entries.
    bool accept = false;
    // Of one call to the store.
    absl::Duration store_timeout = platform::object_store_options().timeout;
    absl::Duration longest_watch = catalogue_service_options().sync.longest_watch;
};

class catalogue_node {
public:
    explicit catalogue_node(const catalogue_node_options& chosen)
    {
        if (chosen.platform_server.has_value()) {
            this->store = platform::object_store::create({.servers = {*chosen.platform_server},
                                                          .timeout = chosen.store_timeout})
                              .value();
        }
        catalogue_service_options options{
            .id = chosen.id, .watch_store = chosen.accept, .accept = chosen.accept};
        options.sync.longest_watch = chosen.longest_watch;
        options.deciding.longest_watch = chosen.longest_watch;
        this->service = catalogue_service::create(options, this->store.get());
        this->links = std::make_shared<wire::link_options>();
        this->links->tls = wire::tls_context::create("a key for tests only").value();
        this->links->local_hello = [id = chosen.id] {
            wire::helloT said;
            said.id = id;
            return said;
        };
        this->service->attach(this->links->hooks);
        this->server = wire::link_server::create(this->links, {"127.0.0.1", 0}).value();
    }

    catalogue_node(const catalogue_node&) = delete;
    catalogue_node& operator=(const catalogue_node&) = delete;

    ~catalogue_node()
    {
        if (this->store != nullptr) {
            this->store->cancel_watches();
        }
        this->dialers.clear();
        this->server.reset();
    }

    void dial(const catalogue_node& other)
    {
        this->dialers.push_back(
            std::make_unique<wire::link_dialer>(this->links, other.server->local()));
    }

    [[nodiscard]] catalogue_state& state() { return this->service->state(); }

    std::unique_ptr<platform::object_store> store;
    std::unique_ptr<catalogue_service> service;
    std::shared_ptr<wire::link_options> links;
    std::unique_ptr<wire::link_server> server;
    std::vector<std::unique_ptr<wire::link_dialer>> dialers;
};

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_CATALOGUE_TEST_NODE_H_
