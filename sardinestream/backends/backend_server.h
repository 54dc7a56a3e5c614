// One backend server as the fleet knows it. A value; its `id` and `born_ms` together are one start.

#ifndef SARDINESTREAM_BACKENDS_BACKEND_SERVER_H_
#define SARDINESTREAM_BACKENDS_BACKEND_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "sardinestream/base/settings.h"

namespace sardinestream {

struct backend_server {
    std::string id;
    // Unix milliseconds of its start; zero where it did not say.
    std::int64_t born_ms = 0;
    address endpoint;
    std::string data_centre;
    std::string service;
    // Requests that it runs at once; at least one.
    int slots = 1;
    // It is leaving and takes no new requests.
    bool draining = false;

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_BACKEND_SERVER_H_
