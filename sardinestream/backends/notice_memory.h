// What servers have said of themselves in their answers, by start of the server. It outlives their
// entries in the list, which may vanish and return, and older news of the store.
//
// Holds the last ten thousand that leave. Not thread-safe.

#ifndef SARDINESTREAM_BACKENDS_NOTICE_MEMORY_H_
#define SARDINESTREAM_BACKENDS_NOTICE_MEMORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "sardinestream/backends/backend_server.h"
#include "sardinestream/http/socket.h"

namespace sardinestream {

class notice_memory {
public:
    // Returns whether it is news. A server that does not say when it started is not remembered: a
    // later start could not be told from it.
    bool note_leaving(const backend_server& server);
    [[nodiscard]] bool is_leaving(const backend_server& server) const;

    // Returns whether the server was not holding off before.
    bool note_hold_off(const backend_server& server, steady_time until, steady_time now);
    // When the hold-off ends that the server asked for; in the past where it asked for none.
    [[nodiscard]] steady_time held_until(const backend_server& server) const;

private:
    // Id and time of start.
    using server_start = std::pair<std::string, std::int64_t>;

    [[nodiscard]] static server_start start_of(const backend_server& server);

    std::set<server_start> leaving;
    // The same ones, the oldest first.
    std::deque<server_start> leaving_order;
    // Of hold-offs that were in force when the last one was noted.
    std::map<server_start, steady_time> held;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_NOTICE_MEMORY_H_
