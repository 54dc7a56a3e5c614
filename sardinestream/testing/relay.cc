#include "sardinestream/testing/relay.h"

#include "absl/time/clock.h"

namespace sardinestream::testing {

delayed_writer::delayed_writer(absl::Duration one_way_delay, writer write)
    : delay(one_way_delay), write_now(std::move(write))
{
    if (this->delay > absl::ZeroDuration()) {
        this->thread = std::thread([this] { this->run(); });
    }
}

delayed_writer::~delayed_writer()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool delayed_writer::write(std::string text)
{
    if (!this->thread.joinable()) {
        return this->write_now(text);
    }
    const absl::MutexLock lock(&this->mutex);
    this->due.emplace_back(absl::Now() + this->delay, std::move(text));
    return !this->failed;
}

void delayed_writer::drain()
{
    const absl::MutexLock lock(&this->mutex);
    const auto is_done = [this] { return this->failed || (this->due.empty() && !this->writing); };
    this->mutex.Await(absl::Condition(&is_done));
}

void delayed_writer::run()
{
    while (true) {
        std::pair<absl::Time, std::string> next;
        {
            const absl::MutexLock lock(&this->mutex);
            const auto has_work = [this] { return this->stopping || !this->due.empty(); };
            this->mutex.Await(absl::Condition(&has_work));
            if (this->due.empty()) {
                return;
            }
            next = std::move(this->due.front());
            this->due.pop_front();
            this->writing = true;
        }
        absl::SleepFor(next.first - absl::Now());
        const bool written = this->write_now(next.second);
        const absl::MutexLock lock(&this->mutex);
        this->writing = false;
        if (!written) {
            this->failed = true;
            return;
        }
    }
}

void relay::run()
{
    std::thread answers([this] {
        this->relay_to_client();
        this->end();
    });
    this->relay_to_server();
    this->end();
    answers.join();
}

void relay::end()
{
    // A link that swallows everything does not tell one end that the other has closed either.
    this->proxy.wait_while_swallowing();
    this->cut();
}

bool relay::pass(const message_info& message, std::uint64_t exchange,
                 const std::function<bool()>& write)
{
    if (this->is_lost_answer(message, exchange)) {
        return false;
    }
    const std::shared_ptr<armed_rule> matched = this->proxy.rules.inject(message);
    const bool before = matched != nullptr && (matched->rule.when == fault_time::before ||
                                               matched->rule.fault == fault_kind::lose_answer);
    if (before && !this->apply(*matched, message, exchange)) {
        matched->mark_fired();
        return false;
    }
    if (this->proxy.swallowing) {
        this->lost = true;
    }
    // A connection that has lost bytes stays silent until it is cut.
    const bool alive = this->lost || write();
    if (matched == nullptr) {
        return alive;
    }
    const bool goes_on = before || this->apply(*matched, message, exchange);
    matched->mark_fired();
    return alive && goes_on;
}

bool relay::apply(const armed_rule& matched, const message_info& message, std::uint64_t exchange)
{
    if (matched.rule.hook) {
        matched.rule.hook();
    }
    switch (matched.rule.fault) {
    case fault_kind::cut:
        return false;
    case fault_kind::black_hole:
        this->proxy.swallowing = true;
        break;
    case fault_kind::delay:
        absl::SleepFor(matched.rule.delay);
        break;
    case fault_kind::lose_answer: {
        const absl::MutexLock lock(&this->mutex);
        this->lost_answers[exchange] =
            message.direction == toward::server ? toward::client : toward::server;
        break;
    }
    case fault_kind::none:
        break;
    }
    return true;
}

bool relay::is_lost_answer(const message_info& message, std::uint64_t exchange)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->lost_answers.find(exchange);
    return found != this->lost_answers.end() && found->second == message.direction;
}

} // namespace sardinestream::testing
