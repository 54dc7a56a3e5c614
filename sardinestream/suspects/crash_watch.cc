#include "sardinestream/suspects/crash_watch.h"

#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/time/clock.h"

namespace sardinestream::suspects {

crash_watch::crash_watch(suspect_registry* suspects, crash_watch_options given)
    : registry(suspects), options(std::move(given))
{
}

bool crash_watch::server_is_down()
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->down) {
            return false;
        }
    }
    if (!this->options.server_answers()) {
        return true;
    }
    const absl::MutexLock lock(&this->mutex);
    this->down = false;
    return false;
}

std::uint64_t crash_watch::begin(digest128 fingerprint)
{
    const absl::MutexLock lock(&this->mutex);
    const std::uint64_t id = this->next_id++;
    this->in_flight.emplace(id, fingerprint);
    return id;
}

void crash_watch::end(std::uint64_t id, call_end how)
{
    digest128 fingerprint;
    {
        const absl::MutexLock lock(&this->mutex);
        fingerprint = this->in_flight.extract(id).mapped();
    }
    if (how == call_end::completed && this->registry->note_completed(fingerprint)) {
        this->options.tell_peers();
    }
    if (how == call_end::lost) {
        this->end_lost(fingerprint);
    }
}

void crash_watch::end_lost(digest128 fingerprint)
{
    std::shared_ptr<loss> losses;
    bool first = false;
    {
        const absl::MutexLock lock(&this->mutex);
        first = this->current == nullptr;
        if (first) {
            this->current = std::make_shared<loss>();
            this->current->first_later_id = this->next_id;
        }
        losses = this->current;
        losses->lost.push_back(fingerprint);
    }
    if (first) {
        this->judge(losses);
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    this->mutex.Await(absl::Condition(&losses->judged));
}

void crash_watch::judge(const std::shared_ptr<loss>& losses)
{
    bool others_go_on = false;
    {
        const absl::MutexLock lock(&this->mutex);
        const auto all_have_ended = [this, &losses] {
            return !this->any_in_flight_before(losses->first_later_id);
        };
        others_go_on = !this->mutex.AwaitWithTimeout(absl::Condition(&all_have_ended),
                                                     this->options.settle_time);
        this->current = nullptr;
    }
    if (others_go_on && this->options.server_answers()) {
        count("sardine_connections_cut_total");
    }
    else {
        this->report_crash(losses->lost);
    }
    const absl::MutexLock lock(&this->mutex);
    losses->judged = true;
}

bool crash_watch::any_in_flight_before(std::uint64_t id) const
{
    return !this->in_flight.empty() && this->in_flight.begin()->first < id;
}

void crash_watch::report_crash(const std::vector<digest128>& lost)
{
    std::uint64_t number = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        number = ++this->crashes;
        this->down = true;
    }
    this->registry->note_crash(lost, crash(stable_hash(this->options.agent_id),
                                           this->options.agent_incarnation, number,
                                           absl::ToUnixMillis(absl::Now())));
    count("sardine_backend_crashes_total");
    log_event("backend_crashed", {{"crash", number}, {"in_flight", lost.size()}},
              log_level::warning);
    this->options.tell_peers();
}

} // namespace sardinestream::suspects
