#include "sardinestream/platform/kind_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "sardinestream/backends/server_directory.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream::platform {
namespace {

using std::chrono::milliseconds;

// Changes that follow each other are gathered for so long, so that each does not cost a call.
constexpr milliseconds gather_time{200};
// How long one watch waits. A connection that has gone silent is found after this.
constexpr milliseconds watch_wait{4000};
// After a failure, until the store answers again: a long wait that begins in an outage would go on
// for seconds after it.
constexpr milliseconds probe_wait{200};
// An answer later than this counts as lost; more is allowed to a store that is slow.
constexpr milliseconds first_timeout{700};
constexpr milliseconds timeout_step{200};
constexpr milliseconds longest_timeout{1500};
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};

} // namespace

kind_follower::kind_follower(const address& store_address, std::string followed_kind,
                             follower_hooks given)
    : kind(std::move(followed_kind)), hooks(std::move(given)), store(store_address)
{
    this->thread = std::thread([this] { this->follow(); });
}

kind_follower::~kind_follower()
{
    this->stopping = true;
    this->thread.join();
}

void kind_follower::follow()
{
    while (!this->stopping) {
        absl::StatusOr<object_list> listed = this->store.list(this->kind, this->call_timeout());
        if (!listed.ok()) {
            this->note_failure(listed.status());
            this->pause();
            continue;
        }
        this->note_success();
        this->hooks.on_list(*listed, this->relist_until);
        this->watch_from(listed->revision);
    }
}

void kind_follower::watch_from(std::int64_t revision)
{
    while (!this->stopping) {
        absl::StatusOr<change_list> changes = this->store.watch(
            this->kind, revision, this->failures_in_a_row > 0 ? probe_wait : watch_wait,
            this->call_timeout());
        if (absl::IsOutOfRange(changes.status()) || absl::IsInvalidArgument(changes.status())) {
            log_failure("store_history_lost", changes.status(), {{"kind", this->kind}});
            return;
        }
        if (!changes.ok()) {
            this->note_failure(changes.status());
            this->pause();
            continue;
        }
        this->note_success();
        revision = std::max(revision, changes->revision);
        if (!changes->changes.empty()) {
            this->hooks.on_changes(*changes, this->relist_until);
            std::this_thread::sleep_for(gather_time);
        }
    }
}

void kind_follower::note_success()
{
    if (this->failures_in_a_row > 0) {
        this->relist_until = steady_clock::now() + relist_grace_period;
    }
    this->failures_in_a_row = 0;
    if (!this->connected.exchange(true)) {
        log_event("store_connected", {{"kind", this->kind}});
    }
}

void kind_follower::note_failure(const absl::Status& error)
{
    ++this->failures_in_a_row;
    count("sardine_store_failures_total", {{"kind", this->kind}});
    if (this->connected.exchange(false) || this->failures_in_a_row == 1) {
        log_failure("store_lost", error, {{"kind", this->kind}});
    }
}

milliseconds kind_follower::call_timeout() const
{
    return std::min(longest_timeout, first_timeout + timeout_step * this->failures_in_a_row);
}

void kind_follower::pause()
{
    const int doublings = std::min(this->failures_in_a_row - 1, 3);
    const milliseconds base = std::min(longest_pause, first_pause * (1 << std::max(0, doublings)));
    static thread_local std::minstd_rand random{std::random_device()()};
    const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(random);
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(static_cast<double>(base.count()) * spread));
}

} // namespace sardinestream::platform
