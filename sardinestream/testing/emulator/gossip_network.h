// A network in memory for the messages between our own processes: machines whose links have a rate,
// a bounded queue, a delay and loss, and which may be cut off.
//
//     gossip_network network({}, seed);
//     agent_options options;
//     options.messages = network.open(ip);
//
// Thread-safe.

#ifndef SARDINESTREAM_TESTING_EMULATOR_GOSSIP_NETWORK_H_
#define SARDINESTREAM_TESTING_EMULATOR_GOSSIP_NETWORK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "sardinestream/peers/datagram_socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

struct gossip_link {
    double bytes_per_s = 6e6 / 8;
    // What would wait longer for the link is dropped.
    std::chrono::milliseconds longest_wait{200};
    std::chrono::microseconds delay{500};
    // Share of messages that are lost, 0 to 1.
    double loss = 0;
};

class gossip_network {
public:
    gossip_network(gossip_link chosen, unsigned seed);
    ~gossip_network() = default;
    gossip_network(const gossip_network&) = delete;
    gossip_network& operator=(const gossip_network&) = delete;

    // The channel of one machine, which must not outlive the network.
    [[nodiscard]] message_channel open(std::uint32_t ip);

    // A machine that is cut off neither sends nor receives.
    void set_cut(std::uint32_t ip, bool cut);

    struct link_use {
        std::int64_t bytes_sent = 0;
        std::int64_t bytes_received = 0;
        std::int64_t dropped = 0;
    };
    // What the link of a machine has carried so far.
    [[nodiscard]] link_use use_of(std::uint32_t ip) const;

private:
    using packed_message = std::shared_ptr<const std::vector<std::uint8_t>>;
    struct machine {
        bool cut = false;
        // When the link has carried all that was given to it, in each direction.
        steady_time sent_by{};
        steady_time received_by{};
        link_use use;
        // By the time of arrival.
        std::multimap<steady_time, packed_message> arrivals;
    };

    void send(std::uint32_t from, const gossip::MessageT& message,
              absl::Span<const std::uint32_t> receivers);
    [[nodiscard]] std::unique_ptr<gossip::MessageT> receive(std::uint32_t ip, steady_time deadline);
    // Puts `bytes` on one direction of a link; false where its queue is full.
    [[nodiscard]] bool carry(steady_time& carried_by, steady_time now, std::size_t bytes) const;
    void deliver(machine& sender, std::uint32_t to, const packed_message& bytes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const gossip_link link;
    mutable absl::Mutex mutex;
    std::map<std::uint32_t, machine> machines ABSL_GUARDED_BY(mutex);
    std::minstd_rand random ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_GOSSIP_NETWORK_H_
