#include "sardinestream/peers/home_entries.h"

#include "sardinestream/base/rendezvous.h"

namespace sardinestream {

bool is_home_of(std::uint32_t agent, std::uint32_t entry, absl::Span<const std::uint32_t> others)
{
    return rendezvous_rank(agent, entry, others) < homes_per_agent;
}

} // namespace sardinestream
