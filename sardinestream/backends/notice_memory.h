// Stores the notices that servers have sent in their answers, by start of the server. Notices are
// kept independently of the list of servers: entries may disappear from the list and return, and
// the store may deliver older information later.
//
// Keeps the last 10,000 leaving servers. Not thread-safe.

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
    // Records that a server is leaving. Returns whether that was unknown before. A server without a
    // start time is not recorded, since a later start could not be distinguished from this one.
    bool note_leaving(const backend_server& server);
    [[nodiscard]] bool is_leaving(const backend_server& server) const;

    // Records that a server holds off until `until`; a longer hold-off is kept. Returns whether it
    // was not holding off before.
    bool note_hold_off(const backend_server& server, steady_time until, steady_time now);
    // Returns the end of the hold-off that the server asked for; in the past if there is none.
    [[nodiscard]] steady_time hold_off_end(const backend_server& server) const;

private:
    // Id and start time of a server.
    using server_start = std::pair<std::string, std::int64_t>;

    [[nodiscard]] static server_start start_of(const backend_server& server);

    std::set<server_start> leaving;
    // The elements of `leaving`, oldest first.
    std::deque<server_start> leaving_order;
    // Ends of the hold-offs that were in force when the last one was recorded.
    std::map<server_start, steady_time> hold_off_ends;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_NOTICE_MEMORY_H_
