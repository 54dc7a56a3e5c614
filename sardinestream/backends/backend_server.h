// Describes one backend server as listed in the fleet. A value type. `id` and `born_ms` together
// identify one start of the server.

#ifndef SARDINESTREAM_BACKENDS_BACKEND_SERVER_H_
#define SARDINESTREAM_BACKENDS_BACKEND_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "sardinestream/base/settings.h"

namespace sardinestream {

struct backend_server {
    std::string id;
    // Time of its start in milliseconds since the Unix epoch; zero if the server did not report it.
    std::int64_t born_ms = 0;
    address endpoint;
    std::string data_centre;
    std::string service;
    // Number of requests that it runs concurrently; at least one.
    int slots = 1;
    // The server is shutting down and takes no new requests.
    bool draining = false;
    // End of the time for which it is cold, by its own statement; zero if it makes none.
    std::chrono::steady_clock::time_point cold_until{};

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_BACKEND_SERVER_H_
