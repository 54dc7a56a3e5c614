#include "sardinestream/base/store_contact.h"

#include <utility>

namespace sardinestream {

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
    if (!this->is_away()) {
        this->begin_outage(this->answered != time_point{} ? this->answered : called);
    }
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
