#include "sardinestream/testing/loopback_network.h"

#include <utility>

#include <unistd.h>

#include "sardinestream/base/error.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

constexpr int first_network = 10;
constexpr int networks = 200;
constexpr int claim_port = 20009;

} // namespace

loopback_network::loopback_network(int claimed, tcp_listener held)
    : number(claimed), lock(std::move(held))
{
}

absl::StatusOr<loopback_network> loopback_network::claim()
{
    // Processes that start together begin their search at different networks.
    const int offset = static_cast<int>(::getpid()) % networks;
    for (int i = 0; i < networks; ++i) {
        const int candidate = first_network + (offset + i) % networks;
        absl::StatusOr<tcp_listener> listener =
            tcp_listener::bind({absl::StrCat("127.", candidate, ".0.1"), claim_port});
        if (!listener.ok()) {
            continue;
        }
        return loopback_network(candidate, *std::move(listener));
    }
    return make_error(absl::StatusCode::kResourceExhausted, "claim", "loopback", "no network left");
}

std::string loopback_network::ip(int group, int machine) const
{
    return absl::StrCat("127.", this->number, ".", group, ".", machine);
}

} // namespace sardinestream::testing
