#include "sardinestream/backends/notice_memory.h"

#include <algorithm>

namespace sardinestream {
namespace {

constexpr std::size_t max_leaving = 10000;

} // namespace

notice_memory::server_start notice_memory::start_of(const backend_server& server)
{
    return {server.id, server.born_ms};
}

bool notice_memory::note_leaving(const backend_server& server)
{
    if (server.born_ms == 0 || !this->leaving.insert(start_of(server)).second) {
        return false;
    }
    this->leaving_order.push_back(start_of(server));
    if (this->leaving_order.size() > max_leaving) {
        this->leaving.erase(this->leaving_order.front());
        this->leaving_order.pop_front();
    }
    return true;
}

bool notice_memory::is_leaving(const backend_server& server) const
{
    return this->leaving.count(start_of(server)) != 0;
}

bool notice_memory::note_hold_off(const backend_server& server, steady_time until, steady_time now)
{
    std::erase_if(this->hold_off_ends, [&](const auto& record) { return record.second <= now; });
    const auto [found, is_new] = this->hold_off_ends.emplace(start_of(server), until);
    found->second = std::max(found->second, until);
    return is_new;
}

steady_time notice_memory::hold_off_end(const backend_server& server) const
{
    const auto found = this->hold_off_ends.find(start_of(server));
    return found == this->hold_off_ends.end() ? steady_time{} : found->second;
}

} // namespace sardinestream
