#include "sardinestream/forwarding/open_requests.h"

#include <utility>

namespace sardinestream {

absl::string_view name_of(request_phase phase)
{
    switch (phase) {
    case request_phase::reading:
        return "reading";
    case request_phase::waiting:
        return "waiting";
    case request_phase::sent:
        return "sent";
    case request_phase::answering:
        return "answering";
    }
    return "";
}

open_requests::registration::registration(open_requests& list, open_request request)
    : owner(list), position([&] {
          const absl::MutexLock lock(&list.mutex);
          return list.requests.insert(list.requests.end(), std::move(request));
      }())
{
}

open_requests::registration::~registration()
{
    const absl::MutexLock lock(&this->owner.mutex);
    this->owner.requests.erase(this->position);
}

void open_requests::registration::set_phase(request_phase phase)
{
    const absl::MutexLock lock(&this->owner.mutex);
    this->position->phase = phase;
}

std::vector<open_request> open_requests::list() const
{
    const absl::MutexLock lock(&this->mutex);
    return {this->requests.begin(), this->requests.end()};
}

std::size_t open_requests::size() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->requests.size();
}

} // namespace sardinestream
