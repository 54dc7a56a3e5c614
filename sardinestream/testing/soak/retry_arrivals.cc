#include "sardinestream/testing/soak/retry_arrivals.h"

#include <algorithm>
#include <cmath>

#include "absl/types/span.h"

namespace sardinestream::testing {
namespace {

// Returns how many of the sorted times lie within the window.
int count_within(absl::Span<const steady_time> sorted, steady_time begin,
                 std::chrono::milliseconds window)
{
    const auto first = std::lower_bound(sorted.begin(), sorted.end(), begin);
    return static_cast<int>(std::lower_bound(first, sorted.end(), begin + window) - first);
}

} // namespace

void retry_arrivals::note_arrival(steady_time at, bool is_first)
{
    this->arrivals.push_back(at);
    if (!is_first) {
        this->repeated.push_back(at);
    }
}

retry_arrivals::excess retry_arrivals::greatest_excess(const retry_budget_terms& terms) const
{
    std::vector<steady_time> sent_in_order = this->sent;
    std::sort(sent_in_order.begin(), sent_in_order.end());
    std::vector<steady_time> repeated_in_order = this->repeated;
    std::sort(repeated_in_order.begin(), repeated_in_order.end());
    excess greatest;
    for (const steady_time begin : this->arrivals) {
        excess found;
        found.beyond = count_within(repeated_in_order, begin, terms.window);
        found.requests =
            std::max({count_within(sent_in_order, begin, terms.window),
                      count_within(sent_in_order, begin - terms.window, terms.window),
                      count_within(sent_in_order, begin - terms.window / 2, terms.window)});
        const double allowed = terms.ratio * found.requests + terms.slack;
        found.over = found.beyond - static_cast<int>(std::floor(allowed));
        if (found.over > greatest.over) {
            greatest = found;
        }
    }
    return greatest;
}

} // namespace sardinestream::testing
