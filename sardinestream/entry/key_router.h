// Determines the one agent incarnation that may run a non-repeatable request.
//
// Implements the entry's side of at-most-once execution: bindings of callers' keys in the object
// store of the platform, tickets, and the lookup of the bound agent. It never sends the request.

#ifndef SARDINESTREAM_ENTRY_KEY_ROUTER_H_
#define SARDINESTREAM_ENTRY_KEY_ROUTER_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "sardinestream/membership/peer_directory.h"
#include "sardinestream/once/key_bindings.h"
#include "sardinestream/once/ticket.h"
#include "sardinestream/requests/services.h"
#include "sardinestream/store/object_store.h"

namespace sardinestream::entry {

// Thread-safe.
class key_router {
public:
    // `store` and `directory` must outlive the router. `is_removed` returns true only if the
    // platform's instance list has been read and no longer contains the agent.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<key_router>>
    create(platform::object_store* store, const membership::peer_directory* directory,
           absl::string_view fleet_key,
           std::function<bool(const std::string& agent_id)> is_removed);

    // Sets the hooks for keys and tickets. The router must outlive `services`.
    void install_hooks(requests::request_services& services);

private:
    key_router(platform::object_store* store, const membership::peer_directory* known,
               once::ticket_signer ticket_signer,
               std::function<bool(const std::string& agent_id)> removed);

    [[nodiscard]] std::variant<requests::key_owner, refusal>
    bind(const requests::caller_request& request, digest128 key,
         const requests::key_owner& proposed);
    [[nodiscard]] std::variant<std::optional<requests::key_owner>, refusal> find(digest128 key);
    [[nodiscard]] std::variant<requests::key_owner, refusal>
    read_ticket(const requests::caller_request& request, std::string& key_text, digest128& key);
    [[nodiscard]] std::string make_ticket(const requests::caller_request& request,
                                          const membership::peer& agent);
    [[nodiscard]] std::variant<std::shared_ptr<membership::peer>, refusal>
    find_owner(const requests::key_owner& owner, steady_deadline deadline);

    const membership::peer_directory* const directory;
    const once::ticket_signer signer;
    const std::function<bool(const std::string& agent_id)> is_removed;
    const std::unique_ptr<once::key_bindings> bindings;
};

} // namespace sardinestream::entry

#endif // SARDINESTREAM_ENTRY_KEY_ROUTER_H_
