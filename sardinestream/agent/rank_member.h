// Runs the expert service of an agent whose backend server belongs to a rank group.
//
//     auto member = rank_member::create(settings, incarnation, tls, catalogue_state);
//     ... listen on the slot's address, passing frames to `serve` and `handle_link_frame` ...
//     absl::Status started = member->start();
//
// Owns the object store client and the links to the agents of the other ranks. Thread-safe.

#ifndef SARDINESTREAM_AGENT_RANK_MEMBER_H_
#define SARDINESTREAM_AGENT_RANK_MEMBER_H_

#include <memory>

#include "sardinestream/agent/agent_settings.h"
#include "sardinestream/catalogue/catalogue_service.h"
#include "sardinestream/experts/expert_service.h"

namespace sardinestream::agent {

class rank_member {
public:
    // `catalogue` supplies the rebalancing weights and must outlive this object.
    [[nodiscard]] static std::unique_ptr<rank_member> create(const agent_settings& settings,
                                                             std::uint64_t incarnation,
                                                             std::shared_ptr<wire::tls_context> tls,
                                                             catalogue::catalogue_state& catalogue);

    // Starts the service. Call once this process listens on the slot's address. Returns an error
    // if the object store client, the links or the expert service cannot be created.
    [[nodiscard]] absl::Status start();

    // Pass frames to the service. Frames that arrive before `start` are dropped.
    void serve(const std::shared_ptr<wire::stream>& opened, const wire::frame& first);
    void handle_link_frame(const wire::frame& received);

private:
    rank_member(const agent_settings& settings, std::uint64_t incarnation,
                std::shared_ptr<wire::tls_context> tls, catalogue::catalogue_state& catalogue);

    [[nodiscard]] std::shared_ptr<wire::link_options> make_link_options() const;
    [[nodiscard]] experts::rebalance_policy current_policy() const;
    [[nodiscard]] std::shared_ptr<experts::expert_service> current_service();

    const agent_settings settings;
    const std::uint64_t incarnation;
    const std::shared_ptr<wire::tls_context> tls;
    catalogue::catalogue_state& catalogue;
    std::unique_ptr<platform::object_store> store;
    std::unique_ptr<experts::link_peers> links;
    absl::Mutex mutex;
    std::shared_ptr<experts::expert_service> service ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::agent

#endif // SARDINESTREAM_AGENT_RANK_MEMBER_H_
