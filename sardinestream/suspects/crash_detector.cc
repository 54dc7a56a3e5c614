#include "sardinestream/suspects/crash_detector.h"

#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::suspects {

crash_detector::crash_detector(suspect_registry* suspects, crash_detector_options chosen)
    : registry(suspects), options(std::move(chosen))
{
}

bool crash_detector::server_is_down()
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->down) {
            return false;
        }
    }
    if (!this->options.is_server_responding()) {
        return true;
    }
    const absl::MutexLock lock(&this->mutex);
    this->down = false;
    return false;
}

std::uint64_t crash_detector::begin(digest128 fingerprint)
{
    const absl::MutexLock lock(&this->mutex);
    const std::uint64_t id = this->next_id++;
    this->in_flight.emplace(id, fingerprint);
    return id;
}

void crash_detector::end(std::uint64_t id, call_outcome how)
{
    digest128 fingerprint;
    {
        const absl::MutexLock lock(&this->mutex);
        fingerprint = this->in_flight.extract(id).mapped();
    }
    if (how == call_outcome::completed && this->registry->record_completion({fingerprint})) {
        this->options.notify_peers();
    }
    if (how == call_outcome::lost) {
        this->handle_loss(fingerprint);
    }
}

void crash_detector::handle_loss(digest128 fingerprint)
{
    std::shared_ptr<loss_group> losses;
    bool first = false;
    {
        const absl::MutexLock lock(&this->mutex);
        first = this->current_loss == nullptr;
        if (first) {
            this->current_loss = std::make_shared<loss_group>();
            this->current_loss->first_later_id = this->next_id;
        }
        losses = this->current_loss;
        losses->lost.push_back(fingerprint);
    }
    if (first) {
        this->classify_loss(losses);
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    this->mutex.Await(absl::Condition(&losses->classified));
}

void crash_detector::classify_loss(const std::shared_ptr<loss_group>& losses)
{
    bool others_continue = false;
    {
        const absl::MutexLock lock(&this->mutex);
        const auto all_have_ended = [this, &losses] {
            return !this->any_in_flight_before(losses->first_later_id);
        };
        others_continue = !this->mutex.AwaitWithTimeout(absl::Condition(&all_have_ended),
                                                        this->options.settle_time);
        this->current_loss = nullptr;
    }
    if (others_continue && this->options.is_server_responding()) {
        count("sardine_connections_cut_total");
    }
    else {
        this->report_crash(losses->lost);
    }
    const absl::MutexLock lock(&this->mutex);
    losses->classified = true;
}

bool crash_detector::any_in_flight_before(std::uint64_t id) const
{
    return !this->in_flight.empty() && this->in_flight.begin()->first < id;
}

void crash_detector::report_crash(const std::vector<digest128>& lost)
{
    std::uint64_t number = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        number = ++this->crash_count;
        this->down = true;
    }
    std::vector<request_traits> requests;
    requests.reserve(lost.size());
    for (const digest128& fingerprint : lost) {
        requests.push_back({fingerprint});
    }
    this->registry->record_crash(
        crash_id(stable_hash(this->options.agent_id), this->options.agent_incarnation, number),
        requests);
    count("sardine_backend_crashes_total");
    log_event("backend_crashed", {{"crash", number}, {"in_flight", lost.size()}},
              log_level::warning);
    this->options.notify_peers();
}

} // namespace sardinestream::suspects
