// Compares the arrivals at the servers of one service with the retry budget of the service.

#ifndef SARDINESTREAM_TESTING_SOAK_RETRY_ARRIVALS_H_
#define SARDINESTREAM_TESTING_SOAK_RETRY_ARRIVALS_H_

#include <chrono>
#include <vector>

#include "sardinestream/http/socket.h"

namespace sardinestream::testing {

struct retry_budget_terms {
    // Arrivals beyond the first of each request that one request allows, and those that are always
    // allowed.
    double ratio = 0.2;
    double slack = 20;
    std::chrono::milliseconds window{10000};
};

class retry_arrivals {
public:
    // A caller has sent a request on a route to the service.
    void note_sent(steady_time at) { this->sent.push_back(at); }
    // A request has reached a server; `is_first` unless it had reached one before.
    void note_arrival(steady_time at, bool is_first);

    struct excess {
        // Arrivals beyond the first of each request within a window, and the requests that count
        // for it, whether they arrived or not.
        int beyond = 0;
        int requests = 0;
        // How many of these arrivals the budget does not allow.
        int over = 0;
    };
    // Returns the window with most arrivals over the budget, of all that begin with an arrival;
    // zeros if all keep it. The requests are counted in the window, the one before it or the one
    // half a window before it, whichever has most.
    [[nodiscard]] excess greatest_excess(const retry_budget_terms& terms) const;

private:
    std::vector<steady_time> sent;
    std::vector<steady_time> arrivals;
    // Of arrivals beyond the first of each request.
    std::vector<steady_time> repeated;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_RETRY_ARRIVALS_H_
