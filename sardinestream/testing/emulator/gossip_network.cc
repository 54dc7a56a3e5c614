#include "sardinestream/testing/emulator/gossip_network.h"

#include <algorithm>
#include <thread>

#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

// Of IP and UDP, for each message.
constexpr std::size_t header_bytes = 28;

} // namespace

gossip_network::gossip_network(gossip_link chosen, unsigned seed) : link(chosen), random(seed) {}

message_channel gossip_network::open(std::uint32_t ip)
{
    const absl::MutexLock lock(&this->mutex);
    this->machines[ip];
    return {[this, ip](const gossip::MessageT& message, absl::Span<const std::uint32_t> receivers) {
                this->send(ip, message, receivers);
            },
            [this, ip](steady_time deadline) { return this->receive(ip, deadline); }};
}

void gossip_network::set_cut(std::uint32_t ip, bool cut)
{
    const absl::MutexLock lock(&this->mutex);
    this->machines[ip].cut = cut;
}

gossip_network::link_use gossip_network::use_of(std::uint32_t ip) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->machines.find(ip);
    return found == this->machines.end() ? link_use() : found->second.use;
}

bool gossip_network::carry(steady_time& carried_by, steady_time now, std::size_t bytes) const
{
    const steady_time begins = std::max(carried_by, now);
    if (begins - now > this->link.longest_wait) {
        return false;
    }
    const std::chrono::duration<double> time(static_cast<double>(bytes) / this->link.bytes_per_s);
    carried_by = begins + std::chrono::duration_cast<steady_clock::duration>(time);
    return true;
}

void gossip_network::deliver(machine& sender, std::uint32_t to, const packed_message& bytes)
{
    const steady_time now = steady_clock::now();
    const std::size_t size = bytes->size() + header_bytes;
    if (!this->carry(sender.sent_by, now, size)) {
        ++sender.use.dropped;
        return;
    }
    sender.use.bytes_sent += static_cast<std::int64_t>(size);
    const auto found = this->machines.find(to);
    const bool lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->link.loss;
    if (found == this->machines.end() || found->second.cut || lost) {
        return;
    }
    machine& receiver = found->second;
    if (!this->carry(receiver.received_by, sender.sent_by + this->link.delay, size)) {
        ++receiver.use.dropped;
        return;
    }
    receiver.use.bytes_received += static_cast<std::int64_t>(size);
    receiver.arrivals.emplace(receiver.received_by, bytes);
}

void gossip_network::send(std::uint32_t from, const gossip::MessageT& message,
                          absl::Span<const std::uint32_t> receivers)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(gossip::Message::Pack(builder, &message));
    const auto bytes = std::make_shared<const std::vector<std::uint8_t>>(
        builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
    const absl::MutexLock lock(&this->mutex);
    machine& sender = this->machines[from];
    if (sender.cut) {
        return;
    }
    for (const std::uint32_t to : receivers) {
        this->deliver(sender, to, bytes);
    }
}

std::unique_ptr<gossip::MessageT> gossip_network::receive(std::uint32_t ip, steady_time deadline)
{
    constexpr std::chrono::milliseconds look_interval{2};
    while (true) {
        {
            const absl::MutexLock lock(&this->mutex);
            auto& arrivals = this->machines[ip].arrivals;
            if (!arrivals.empty() && arrivals.begin()->first <= steady_clock::now()) {
                const packed_message bytes = arrivals.begin()->second;
                arrivals.erase(arrivals.begin());
                return gossip::UnPackMessage(bytes->data());
            }
        }
        if (steady_clock::now() >= deadline) {
            return nullptr;
        }
        std::this_thread::sleep_for(look_interval);
    }
}

} // namespace sardinestream::testing
