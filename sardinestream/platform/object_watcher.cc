#include "sardinestream/platform/object_watcher.h"

#include <algorithm>
#include <random>
#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::platform {
namespace {

using std::chrono::milliseconds;

// Wait of a watch call after a failure, until the store answers again: a long wait that starts
// during an outage would continue for seconds after its end.
constexpr milliseconds retry_wait = max_silence - batch_interval - watch_wait - initial_timeout;
// Each consecutive failure raises the timeout of a call by timeout_step up to max_timeout, for a
// store that is slow.
constexpr milliseconds timeout_step{200};
constexpr milliseconds max_timeout{1500};
// How long changes are followed between two attempts to read a list to its end that has failed
// before it.
constexpr milliseconds partial_list_interval{5000};
constexpr milliseconds initial_backoff{100};
constexpr milliseconds max_backoff{800};

} // namespace

object_watcher::object_watcher(const address& store_address, std::string watched_kind,
                               watcher_callbacks hooks, std::size_t max_specification_bytes,
                               std::shared_ptr<store_contact> store_calls)
    : kind(std::move(watched_kind)), callbacks(std::move(hooks)),
      store(store_address, max_specification_bytes),
      contact(store_calls != nullptr ? std::move(store_calls) : std::make_shared<store_contact>())
{
    this->thread = std::thread([this] { this->run(); });
}

object_watcher::~object_watcher()
{
    this->stopping = true;
    this->thread.join();
}

void object_watcher::run()
{
    while (!this->stopping) {
        const steady_time called = steady_clock::now();
        bool was_partial = false;
        absl::StatusOr<object_list> listed =
            this->store.list(this->kind, this->call_timeout(), [&](const object_list& read) {
                was_partial = this->use_partial(read);
            });
        if (listed.ok()) {
            this->record_success();
            this->callbacks.on_list(*listed, this->contact->last_outage());
            this->followed = listed->position;
            this->watch_until(steady_time::max());
            this->followed.reset();
            continue;
        }
        if (was_partial) {
            log_failure("store_list_partial", listed.status(), {{"kind", this->kind}});
            this->record_success();
            this->watch_until(steady_clock::now() + partial_list_interval);
            continue;
        }
        this->handle_failure(listed.status(), called);
    }
}

bool object_watcher::use_partial(const object_list& read)
{
    if (this->callbacks.on_partial_list == nullptr) {
        return false;
    }
    count("sardine_partial_lists_total", {{"kind", this->kind}});
    this->callbacks.on_partial_list(read);
    if (!this->followed.has_value()) {
        this->followed = read.position;
    }
    return true;
}

void object_watcher::watch_until(steady_time end)
{
    while (!this->stopping && steady_clock::now() < end) {
        const steady_time called = steady_clock::now();
        const milliseconds wait = this->consecutive_failures > 0
                                      ? retry_wait
                                      : this->contact->plan_wait(this->kind, watch_wait, called);
        absl::StatusOr<change_list> changes =
            this->store.watch(this->kind, *this->followed, wait, this->call_timeout());
        if (absl::IsOutOfRange(changes.status()) || absl::IsInvalidArgument(changes.status())) {
            log_failure("store_history_lost", changes.status(), {{"kind", this->kind}});
            this->followed.reset();
            return;
        }
        if (!changes.ok()) {
            this->handle_failure(changes.status(), called);
            continue;
        }
        this->record_success();
        this->followed = changes->position;
        this->callbacks.on_changes(*changes, this->contact->last_outage());
        if (!changes->changes.empty()) {
            std::this_thread::sleep_for(batch_interval);
        }
    }
}

void object_watcher::record_success()
{
    this->contact->note_answer(steady_clock::now());
    this->consecutive_failures = 0;
    if (!this->connected.exchange(true)) {
        log_event("store_connected", {{"kind", this->kind}});
    }
}

void object_watcher::handle_failure(const absl::Status& error, steady_time called)
{
    ++this->consecutive_failures;
    count("sardine_store_failures_total", {{"kind", this->kind}});
    if (this->connected.exchange(false) || this->consecutive_failures == 1) {
        log_failure("store_lost", error, {{"kind", this->kind}});
    }
    if (!absl::IsDeadlineExceeded(error)) {
        this->contact->note_refusal(steady_clock::now());
        this->back_off();
        return;
    }
    this->contact->note_silence(called);
    // Perhaps only the connection is silent: a new one shows it at once.
    if (this->consecutive_failures > 1) {
        this->back_off();
    }
}

milliseconds object_watcher::call_timeout() const
{
    return std::min(max_timeout, initial_timeout + timeout_step * this->consecutive_failures);
}

void object_watcher::back_off()
{
    const int doublings = std::min(this->consecutive_failures - 1, 3);
    const milliseconds base =
        std::min(max_backoff, initial_backoff * (1 << std::max(0, doublings)));
    static thread_local std::minstd_rand random{std::random_device()()};
    const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(random);
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(static_cast<double>(base.count()) * spread));
}

} // namespace sardinestream::platform
