#include "sardinestream/limits/share_exchange.h"

#include <iterator>
#include <utility>

#include "sardinestream/base/metrics.h"
#include "sardinestream/wire/frame.h"

#include "absl/time/clock.h"

namespace sardinestream::limits {
namespace {

// Lower bound of the time between two plans, however often one is requested.
constexpr absl::Duration min_plan_interval = absl::Milliseconds(5);

} // namespace

absl::StatusOr<std::string> answer_share_request(team_limiter& limiter, absl::string_view payload)
{
    absl::StatusOr<share_requestT> request = wire::decode<share_request>(payload);
    if (!request.ok()) {
        return request.status();
    }
    return wire::encode<share_loan>(limiter.answer_request(*request));
}

std::unique_ptr<share_exchange> share_exchange::create(share_exchange_options options,
                                                       team_limiter& limiter)
{
    return std::unique_ptr<share_exchange>(new share_exchange(std::move(options), limiter));
}

share_exchange::share_exchange(share_exchange_options chosen, team_limiter& traded)
    : options(std::move(chosen)), limiter(traded)
{
    this->limiter.set_share_needed_callback([this] { this->request_plan(); });
    this->planner_thread = std::thread([this] { this->run(); });
}

share_exchange::~share_exchange()
{
    this->limiter.set_share_needed_callback(nullptr);
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->planner_thread.join();
}

void share_exchange::request_plan()
{
    absl::MutexLock lock(&this->mutex);
    this->plan_requested = true;
}

void share_exchange::run()
{
    while (true) {
        {
            absl::MutexLock lock(&this->mutex);
            auto due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                return this->plan_requested || this->stopping;
            };
            this->mutex.AwaitWithTimeout(absl::Condition(&due), this->options.interval);
            if (this->stopping) {
                return;
            }
            this->plan_requested = false;
        }
        for (planned_trade& planned : this->limiter.plan_trades(this->options.peers())) {
            absl::MutexLock lock(&this->mutex);
            share_requestT& request = this->pending_requests[planned.peer];
            request.borrower = planned.request.borrower;
            std::move(planned.request.items.begin(), planned.request.items.end(),
                      std::back_inserter(request.items));
        }
        this->send_pending();
        absl::SleepFor(min_plan_interval);
    }
}

void share_exchange::send_pending()
{
    absl::MutexLock lock(&this->mutex);
    for (auto next = this->pending_requests.begin(); next != this->pending_requests.end();) {
        const std::string peer = next->first;
        if (!this->peers_in_exchange.insert(peer).second) {
            ++next;
            continue;
        }
        auto request = std::make_shared<share_requestT>(std::move(next->second));
        next = this->pending_requests.erase(next);
        if (!this->message_threads.spawn(
                [this, peer, request] { this->exchange_with(peer, *request); })) {
            this->peers_in_exchange.erase(peer);
            count("sardine_share_trades_total", {{"result", "no_thread"}});
        }
    }
}

void share_exchange::exchange_with(const std::string& peer, const share_requestT& request)
{
    const absl::StatusOr<std::string> answer = this->options.send(
        peer, wire::encode<share_request>(request), absl::Now() + this->options.answer_timeout);
    absl::StatusOr<share_loanT> loan = answer.ok() ? wire::decode<share_loan>(*answer)
                                                   : absl::StatusOr<share_loanT>(answer.status());
    if (loan.ok()) {
        this->limiter.apply_answer(*loan);
    }
    count("sardine_share_trades_total", {{"result", loan.ok() ? "answered" : "failed"}});
    absl::MutexLock lock(&this->mutex);
    this->peers_in_exchange.erase(peer);
    this->plan_requested = this->plan_requested || this->pending_requests.contains(peer);
}

} // namespace sardinestream::limits
