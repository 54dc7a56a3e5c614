// An agent's copy of what the entries know of requests that crash servers. Entries that have all
// ended at once, and know nothing when they are back, receive it from the agents.
//
// The agent decides nothing by it. Not thread-safe.

#ifndef SARDINESTREAM_PROGRAMS_SUSPECTS_COPY_H_
#define SARDINESTREAM_PROGRAMS_SUSPECTS_COPY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "sardinestream/peers/datagram_socket.h"
#include "sardinestream/suspects/suspect_registry.h"

#include "absl/types/span.h"

namespace sardinestream {

class suspects_copy {
public:
    // `ip` is the address of the agent.
    explicit suspects_copy(std::uint32_t ip);

    // Adds what an entry knows.
    void merge(const gossip::SuspectReportT& message);

    // Returns the messages with which to answer the hello of an entry: none if it knows of crashes
    // itself, or learns from other agents. `entries` are the entries that are alive.
    [[nodiscard]] std::vector<gossip::MessageT> answer(const gossip::EntryHelloT& hello,
                                                       absl::Span<const std::uint32_t> entries,
                                                       steady_time now);

    [[nodiscard]] std::uint64_t digest() const { return this->known->digest(); }

private:
    std::uint32_t own_ip;
    std::unique_ptr<suspects::suspect_registry> known;
    // When each entry was last sent it.
    std::map<std::uint32_t, steady_time> sent_at;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_SUSPECTS_COPY_H_
