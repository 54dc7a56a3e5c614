#include "sardinestream/platform/store_prober.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/http/http_client.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace sardinestream::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds probe_timeout{700};
// Names no object, so that the answer is short.
constexpr char absent_name[] = "-";

// Returns whether the store has done what it was asked, unlike one that is overloaded or failing.
bool is_answer(int status)
{
    constexpr int ok = 200;
    constexpr int not_found = 404;
    return status == ok || status == not_found;
}

} // namespace

milliseconds probe_interval(milliseconds heartbeat)
{
    // What is left of the heartbeat is for the probe itself.
    return heartbeat * 4 / 5;
}

store_prober::store_prober(address probed, milliseconds chosen_interval,
                           std::shared_ptr<store_contact> store_calls)
    : store(std::move(probed)), interval(chosen_interval), contact(std::move(store_calls)),
      thread([this] { this->run(); })
{
}

store_prober::~store_prober()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->thread.join();
}

bool store_prober::sleep_until(steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                        absl::FromChrono(until - steady_clock::now()));
}

void store_prober::run()
{
    steady_time probed{};
    while (true) {
        const steady_time now = steady_clock::now();
        const steady_time answered = this->contact->last_answer();
        const bool has_begun = answered != steady_time{};
        const steady_time due = (has_begun ? std::max(answered, probed) : now) + this->interval;
        if (this->sleep_until(due)) {
            return;
        }
        if (has_begun && this->contact->last_answer() == answered) {
            probed = steady_clock::now();
            this->probe();
        }
    }
}

void store_prober::probe()
{
    count("sardine_store_probes_total");
    http_client client(this->store);
    const absl::StatusOr<http_answer> answer =
        client.call("GET", absl::StrCat(wire::objects_path, wire::servers_kind, "/", absent_name),
                    "", steady_clock::now() + probe_timeout);
    if (answer.ok() && is_answer(answer->status)) {
        this->contact->note_answer(steady_clock::now());
        return;
    }
    if (answer.ok()) {
        log_event("store_probe_refused", {{"status", answer->status}});
        return;
    }
    log_failure("store_probe_failed", answer.status());
}

} // namespace sardinestream::platform
