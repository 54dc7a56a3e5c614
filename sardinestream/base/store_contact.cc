#include "sardinestream/base/store_contact.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sardinestream {
namespace {

using duration = store_contact::time_point::duration;

// Returns the middle of the longest gap between points on a circle, above zero and up to `circle`.
// The points may lie up to one circle before zero.
duration middle_of_longest_gap(std::vector<duration> points, duration circle)
{
    for (duration& point : points) {
        point += point < duration::zero() ? circle : duration::zero();
    }
    std::sort(points.begin(), points.end());
    points.push_back(points.front() + circle);
    duration longest{};
    duration middle{};
    for (std::size_t i = 0; i + 1 < points.size(); ++i) {
        const duration gap = points[i + 1] - points[i];
        if (gap > longest) {
            longest = gap;
            middle = points[i] + gap / 2;
        }
    }
    return middle > circle ? middle - circle : middle;
}

} // namespace

store_contact::store_contact(outage_hook hook) : on_outage(std::move(hook)) {}

bool store_contact::is_away() const
{
    return this->outage.begun != time_point{} && this->outage.ended == time_point{};
}

void store_contact::begin_outage(time_point begun)
{
    this->outage = {begun, {}};
    if (this->on_outage != nullptr) {
        this->on_outage(this->outage);
    }
}

void store_contact::note_answer(time_point now)
{
    const absl::MutexLock lock(&this->mutex);
    this->answered = now;
    if (!this->is_away()) {
        return;
    }
    this->outage.ended = now;
    if (this->on_outage != nullptr) {
        this->on_outage(this->outage);
    }
}

void store_contact::note_refusal(time_point now)
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->is_away()) {
        this->begin_outage(now);
    }
}

void store_contact::note_silence(time_point called)
{
    const absl::MutexLock lock(&this->mutex);
    const time_point begun = this->answered != time_point{} ? this->answered : called;
    // A refusal of another call may have come from elsewhere than the store.
    const bool began_earlier = called < this->outage.begun && begun < this->outage.begun;
    if (!this->is_away() || began_earlier) {
        this->begin_outage(begun);
    }
}

std::chrono::milliseconds store_contact::plan_wait(const std::string& watch,
                                                   std::chrono::milliseconds longest,
                                                   time_point now)
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<time_point::duration> others;
    for (const auto& [name, end] : this->wait_ends) {
        if (name != watch) {
            others.push_back((end - now) % longest);
        }
    }
    time_point::duration chosen = longest;
    if (!others.empty()) {
        chosen = middle_of_longest_gap(std::move(others), longest);
    }
    this->wait_ends[watch] = now + chosen;
    return std::chrono::ceil<std::chrono::milliseconds>(chosen);
}

store_outage store_contact::last_outage() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->outage;
}

store_contact::time_point store_contact::last_answer() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->answered;
}

} // namespace sardinestream
