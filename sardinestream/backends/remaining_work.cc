#include "sardinestream/backends/remaining_work.h"

#include <algorithm>

namespace sardinestream {
namespace {

// An answer that exceeds its expected size is expected to grow by this share of what it has.
constexpr double growth_share = 0.25;
// Mean share of an answer that is left while it is being written.
constexpr double mean_share_left = 0.5;

request_cost difference(const request_cost& first, const request_cost& second)
{
    // Rounding must not leave a server with less than nothing to do.
    return {std::max(0.0, first.read_ms - second.read_ms),
            std::max(0.0, first.write_ms - second.write_ms),
            std::max(0.0, first.memory_tokens - second.memory_tokens)};
}

request_cost operator+(const request_cost& first, const request_cost& second)
{
    return {first.read_ms + second.read_ms, first.write_ms + second.write_ms,
            first.memory_tokens + second.memory_tokens};
}

} // namespace

placed_work remaining_work::place(const request_cost& cost)
{
    if (!cost.is_known()) {
        return {};
    }
    ++this->count;
    ++this->unread_count;
    this->sum = this->sum + cost;
    return {cost, cost};
}

void remaining_work::replace(placed_work& request, const request_cost& newer)
{
    this->sum = difference(this->sum, request.left) + newer;
    request.left = newer;
}

void remaining_work::note_progress(placed_work& request, double written_ms)
{
    if (!request.expected.is_known()) {
        return;
    }
    if (request.left.read_ms > 0) {
        this->unread_count = std::max(0, this->unread_count - 1);
    }
    const double left = std::max(request.expected.write_ms - written_ms, written_ms * growth_share);
    this->replace(request, {0, left, request.expected.memory_tokens});
}

void remaining_work::remove(const placed_work& request)
{
    if (!request.expected.is_known()) {
        return;
    }
    this->unread_count = std::max(0, this->unread_count - (request.left.read_ms > 0 ? 1 : 0));
    this->count = std::max(0, this->count - 1);
    this->sum = this->count == 0 ? request_cost{} : difference(this->sum, request.left);
}

request_cost work_left(const server_occupants& occupants, const engine_model& engine)
{
    const request_cost usual = usual_cost(engine);
    const remaining_work& own = occupants.own;
    const double others = std::max(0.0, occupants.all - own.requests());
    const double others_waiting = std::clamp(occupants.waiting - own.unread(), 0.0, others);
    return own.total() +
           request_cost{others_waiting * usual.read_ms,
                        (others_waiting + mean_share_left * (others - others_waiting)) *
                            usual.write_ms,
                        others * usual.memory_tokens};
}

double as_requests(const request_cost& left, const request_cost& usual)
{
    return (left.read_ms + left.write_ms) / usual.write_ms;
}

} // namespace sardinestream
