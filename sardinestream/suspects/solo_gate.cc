#include "sardinestream/suspects/solo_gate.h"

namespace sardinestream::suspects {

solo_gate::pass::~pass()
{
    if (this->gate != nullptr) {
        this->gate->leave(this->alone);
    }
}

bool solo_gate::is_empty() const
{
    return this->inside == 0;
}

std::optional<solo_gate::pass> solo_gate::try_enter()
{
    absl::MutexLock lock(&this->mutex);
    if (this->suspects > 0) {
        return std::nullopt;
    }
    ++this->inside;
    return pass(this, false);
}

std::optional<solo_gate::pass> solo_gate::enter_alone(absl::Time deadline)
{
    absl::MutexLock lock(&this->mutex);
    ++this->suspects;
    if (!this->mutex.AwaitWithDeadline(absl::Condition(this, &solo_gate::is_empty), deadline)) {
        --this->suspects;
        return std::nullopt;
    }
    ++this->inside;
    return pass(this, true);
}

void solo_gate::leave(bool alone)
{
    absl::MutexLock lock(&this->mutex);
    --this->inside;
    if (alone) {
        --this->suspects;
    }
}

} // namespace sardinestream::suspects
