// Keeps the requests whose head a process has read and that it has not yet answered, so that a stop
// can tell which ones it leaves without an answer.
//
//     open_requests open;
//     open_requests::registration one(open, {id, service, arrival});
//     one.set_phase(request_phase::answering);
//     ...
//     for (const open_request& request : open.list()) { ... }

#ifndef SARDINESTREAM_FORWARDING_OPEN_REQUESTS_H_
#define SARDINESTREAM_FORWARDING_OPEN_REQUESTS_H_

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "sardinestream/http/socket.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {

enum class request_phase : std::uint8_t {
    // Its body is still arriving.
    reading,
    // No server has it.
    waiting,
    // Sent to a server; nothing of a stream has reached the caller, or the answer is relayed whole.
    sent,
    // Events of a stream have reached the caller.
    answering,
};

[[nodiscard]] absl::string_view name_of(request_phase phase);

struct open_request {
    std::string id;
    std::string service;
    steady_time arrival;
    request_phase phase = request_phase::waiting;
};

// Thread-safe.
class open_requests {
public:
    // Keeps one request in the list for as long as it lives. Used by one thread.
    class registration {
    public:
        registration(open_requests& list, open_request request);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        void set_phase(request_phase phase);

    private:
        open_requests& owner;
        const std::list<open_request>::iterator position;
    };

    [[nodiscard]] std::vector<open_request> list() const;
    [[nodiscard]] std::size_t size() const;

private:
    mutable absl::Mutex mutex;
    std::list<open_request> requests ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_FORWARDING_OPEN_REQUESTS_H_
