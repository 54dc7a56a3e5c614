#include "sardinestream/once/run_table.h"

#include <algorithm>

#include "sardinestream/base/metrics.h"

namespace sardinestream::once {
namespace {

constexpr absl::Duration cancel_poll_interval = absl::Milliseconds(20);

} // namespace

std::size_t run_answer::bytes() const
{
    std::size_t total = this->body.size();
    for (const auto& [name, value] : this->headers) {
        total += name.size() + value.size();
    }
    return total;
}

bool running_request::has_ended() const
{
    return this->result.has_value();
}

void running_request::set_result(run_result ended)
{
    absl::MutexLock lock(&this->mutex);
    this->result = std::move(ended);
}

run_result running_request::wait(absl::Time deadline, const std::function<bool()>& cancelled) const
{
    absl::MutexLock lock(&this->mutex);
    while (true) {
        const absl::Time poll = cancelled ? absl::Now() + cancel_poll_interval : deadline;
        if (this->mutex.AwaitWithDeadline(absl::Condition(this, &running_request::has_ended),
                                          std::min(poll, deadline))) {
            return *this->result;
        }
        if (absl::Now() >= deadline) {
            return {run_end::deadline, nullptr};
        }
        if (cancelled && cancelled()) {
            return {run_end::cancelled, nullptr};
        }
    }
}

run_permit& run_permit::operator=(run_permit&& other) noexcept
{
    std::swap(this->table, other.table);
    std::swap(this->key, other.key);
    std::swap(this->sent, other.sent);
    return *this;
}

run_permit::~run_permit()
{
    this->fail_not_sent();
}

void run_permit::mark_sent()
{
    if (this->table == nullptr) {
        return;
    }
    this->sent = true;
    this->table->mark_sent(this->key);
}

std::shared_ptr<const run_answer> run_permit::finish(run_answer answer)
{
    auto shared = std::make_shared<const run_answer>(std::move(answer));
    if (this->table != nullptr) {
        std::exchange(this->table, nullptr)->end_answered(this->key, shared);
    }
    return shared;
}

void run_permit::fail_not_sent()
{
    if (this->table == nullptr) {
        return;
    }
    if (this->sent) {
        this->fail_unknown();
        return;
    }
    std::exchange(this->table, nullptr)->end_not_sent(this->key);
}

void run_permit::fail_unknown()
{
    if (this->table != nullptr) {
        std::exchange(this->table, nullptr)->end_unknown(this->key);
    }
}

void run_permit::fail_not_connected()
{
    this->sent = false;
    this->fail_not_sent();
}

std::shared_ptr<run_table> run_table::create(run_table_options options)
{
    return std::shared_ptr<run_table>(new run_table(std::move(options)));
}

run_admission run_table::begin(digest128 key, digest128 request)
{
    return this->admit(key, request, true);
}

run_admission run_table::look_up(digest128 key, digest128 request)
{
    return this->admit(key, request, false);
}

run_admission run_table::admit(digest128 key, digest128 request, bool accept_new)
{
    absl::MutexLock lock(&this->mutex);
    this->drop_old_answers();
    const auto found = this->keys.find(key);
    if (found != this->keys.end()) {
        return this->admit_known(key, found->second, request);
    }
    run_admission admitted;
    if (!accept_new) {
        admitted.decision = run_decision::not_found;
        return admitted;
    }
    if (this->keys.size() >= this->options.max_keys) {
        count("sardine_once_refused_total", {{"reason", "table_full"}});
        admitted.decision = run_decision::table_full;
        return admitted;
    }
    return this->accept(key, request);
}

run_admission run_table::admit_known(digest128 key, const key_row& row, digest128 request)
{
    run_admission admitted;
    if (row.request != request) {
        count("sardine_once_refused_total", {{"reason", "key_reused"}});
        admitted.decision = run_decision::key_reused;
        return admitted;
    }
    switch (row.state) {
    case key_state::accepted:
    case key_state::sent:
        count("sardine_once_joined_total");
        admitted.decision = run_decision::join;
        admitted.running = this->running.find(key)->second;
        return admitted;
    case key_state::answered:
        break;
    case key_state::unknown:
        count("sardine_once_refused_total", {{"reason", "unknown"}});
        admitted.decision = run_decision::unknown;
        return admitted;
    }
    admitted.http_status = row.http_status;
    const auto kept = this->answers.find(key);
    if (kept == this->answers.end()) {
        count("sardine_once_refused_total", {{"reason", "answer_expired"}});
        admitted.decision = run_decision::answer_expired;
        return admitted;
    }
    count("sardine_once_replayed_total");
    admitted.decision = run_decision::replay;
    admitted.answer = kept->second;
    return admitted;
}

run_admission run_table::accept(digest128 key, digest128 request)
{
    this->keys.emplace(key, key_row{request, key_state::accepted});
    this->running.emplace(key, std::make_shared<running_request>());
    run_admission admitted;
    admitted.decision = run_decision::run;
    admitted.permit = run_permit(this->shared_from_this(), key);
    return admitted;
}

void run_table::mark_sent(digest128 key)
{
    absl::MutexLock lock(&this->mutex);
    this->keys.find(key)->second.state = key_state::sent;
}

void run_table::end_answered(digest128 key, const std::shared_ptr<const run_answer>& answer)
{
    std::shared_ptr<running_request> ended;
    {
        absl::MutexLock lock(&this->mutex);
        key_row& row = this->keys.find(key)->second;
        row.state = key_state::answered;
        row.http_status = static_cast<std::uint16_t>(answer->http_status);
        this->answers.emplace(key, answer);
        this->oldest_first.push_back({key, this->options.now()});
        this->answer_bytes += answer->bytes();
        this->drop_old_answers();
        ended = this->take_running(key);
    }
    count("sardine_once_runs_total", {{"end", "answered"}});
    ended->set_result({run_end::answered, answer});
}

void run_table::end_not_sent(digest128 key)
{
    std::shared_ptr<running_request> ended;
    {
        absl::MutexLock lock(&this->mutex);
        this->keys.erase(key);
        ended = this->take_running(key);
    }
    count("sardine_once_runs_total", {{"end", "not_sent"}});
    ended->set_result({run_end::not_sent, nullptr});
}

void run_table::end_unknown(digest128 key)
{
    std::shared_ptr<running_request> ended;
    {
        absl::MutexLock lock(&this->mutex);
        this->keys.find(key)->second.state = key_state::unknown;
        ended = this->take_running(key);
    }
    count("sardine_once_runs_total", {{"end", "unknown"}});
    ended->set_result({run_end::unknown, nullptr});
}

std::shared_ptr<running_request> run_table::take_running(digest128 key)
{
    auto node = this->running.extract(key);
    return std::move(node.mapped());
}

void run_table::drop_old_answers()
{
    const absl::Time oldest_kept = this->options.now() - this->options.max_answer_age;
    while (!this->oldest_first.empty() && (this->answer_bytes > this->options.max_answer_bytes ||
                                           this->oldest_first.front().kept_at < oldest_kept)) {
        const auto dropped = this->answers.find(this->oldest_first.front().key);
        this->answer_bytes -= dropped->second->bytes();
        this->answers.erase(dropped);
        this->oldest_first.pop_front();
    }
}

run_table_counts run_table::counts() const
{
    absl::MutexLock lock(&this->mutex);
    return {this->keys.size(), this->running.size(), this->answers.size(), this->answer_bytes};
}

} // namespace sardinestream::once
