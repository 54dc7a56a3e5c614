// What the requests of this process still cost one server: what was placed there, less what their
// events show to be done.
//
//     placed_work own = work.place(cost);
//     work.note_progress(own, written_ms);
//     ...
//     work.remove(own);
//
// Not thread-safe: part of the server's state.

#ifndef SARDINESTREAM_BACKENDS_REMAINING_WORK_H_
#define SARDINESTREAM_BACKENDS_REMAINING_WORK_H_

#include "sardinestream/backends/request_cost.h"

namespace sardinestream {

// The part of one request in the work of its server.
struct placed_work {
    // As expected when it was placed.
    request_cost expected;
    // What is left of it.
    request_cost left;
};

class remaining_work {
public:
    [[nodiscard]] placed_work place(const request_cost& cost);
    // Records that so much of the answer has been written, which shows that the prompt was read. A
    // request that writes more than expected is expected to go on for a while.
    void note_progress(placed_work& request, double written_ms);
    void remove(const placed_work& request);

    // Returns the time that the requests still take, and the memory that they hold at most.
    [[nodiscard]] const request_cost& total() const { return this->sum; }
    // Returns the number of requests.
    [[nodiscard]] int requests() const { return this->count; }
    // Returns the number of requests without an event.
    [[nodiscard]] int unread() const { return this->unread_count; }

private:
    void replace(placed_work& request, const request_cost& newer);

    request_cost sum;
    int count = 0;
    int unread_count = 0;
};

// Requests on a server as far as they are known: those of this process, and in all.
struct server_occupants {
    const remaining_work& own;
    // Requests that run or wait there, of all processes.
    double all = 0;
    // Those without a first event, of all processes.
    double waiting = 0;
};

// Returns the work that is left on a server. Requests of others are at their usual size, halfway
// through their answers.
[[nodiscard]] request_cost work_left(const server_occupants& occupants, const engine_model& engine);

// Returns the work as a number of requests of usual size that have just begun to write, so that it
// compares with the number of requests that a server may hold.
[[nodiscard]] double as_requests(const request_cost& left, const request_cost& usual);

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_REMAINING_WORK_H_
