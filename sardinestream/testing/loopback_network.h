// A network of loopback addresses that no other run on this machine uses, for tests whose machines
// share fixed ports:
//
//     absl::StatusOr<loopback_network> network = loopback_network::claim();
//     listen({network->ip(1, 1), 8080});
//     listen({network->ip(1, 2), 8080});
//
// The claim holds within a process and between processes, and ends with the object or with its
// process.

#ifndef SARDINESTREAM_TESTING_LOOPBACK_NETWORK_H_
#define SARDINESTREAM_TESTING_LOOPBACK_NETWORK_H_

#include <string>

#include "sardinestream/http/socket.h"

#include "absl/status/statusor.h"

namespace sardinestream::testing {

class loopback_network {
public:
    // Returns kResourceExhausted if every network is in use.
    [[nodiscard]] static absl::StatusOr<loopback_network> claim();

    // Returns the address of one machine: `group` from 1 to 255, `machine` from 1 to 254.
    [[nodiscard]] std::string ip(int group, int machine) const;

private:
    loopback_network(int claimed, tcp_listener held);

    // Second byte of the addresses.
    int number;
    // Only one process can listen on the claim's address.
    tcp_listener lock;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_LOOPBACK_NETWORK_H_
