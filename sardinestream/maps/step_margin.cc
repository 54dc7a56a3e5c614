#include "sardinestream/maps/step_margin.h"

#include <algorithm>

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Steps of a usual length: one in which orders arrive, and one in which all ranks are armed.
constexpr int usual_steps = 2;
constexpr int steps_for_lost_orders = 5;
// Orders that were lost have been repeated within this time.
constexpr milliseconds max_lead_time{600};

} // namespace

void step_pace::note_step(std::int64_t step, steady_time now)
{
    if (step == this->newest && this->since != steady_time{}) {
        return;
    }
    if (step > this->newest && this->since != steady_time{}) {
        this->last_step_time =
            std::chrono::duration_cast<milliseconds>(now - this->since) / (step - this->newest);
    }
    this->newest = step;
    this->since = now;
}

milliseconds step_pace::step_time(steady_time now) const
{
    if (this->since == steady_time{}) {
        return milliseconds(0);
    }
    return std::max(this->last_step_time,
                    std::chrono::duration_cast<milliseconds>(now - this->since));
}

int step_margin(milliseconds step_time, bool orders_get_lost)
{
    const int wanted = orders_get_lost ? steps_for_lost_orders : usual_steps;
    if (step_time * wanted <= max_lead_time) {
        return wanted;
    }
    return std::clamp(static_cast<int>(max_lead_time / step_time), 1, wanted);
}

} // namespace sardinestream
