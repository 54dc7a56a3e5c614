// The promises around planned work: what is lost as an entry stops or reads its settings again.

#include <algorithm>

#include "sardinestream/testing/soak/promise_ledger.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

// A request that was written so shortly before its connection ended may never have been read.
constexpr milliseconds close_crossing{200};
// A stop is answered for until so long after its grace.
constexpr milliseconds stop_echo{1000};
// A request that is sent later than this after SIGTERM must not be begun if it cannot end.
constexpr milliseconds admission_bound{3000};
// A server that works on into the last part of the grace, one in so many, is slower than the stop.
constexpr int grace_parts = 6;

std::int64_t ms_between(steady_time begin, steady_time end)
{
    return std::chrono::duration_cast<milliseconds>(end - begin).count();
}

} // namespace

void promise_ledger::note_written(const std::string& id)
{
    const absl::MutexLock lock(&this->mutex);
    this->requests[id].written_at = steady_clock::now();
}

void promise_ledger::note_lost(const std::string& id, const std::string& entry,
                               const absl::Status& how, steady_time at)
{
    const absl::MutexLock lock(&this->mutex);
    this->lost_answers.push_back({id, entry, how, at});
}

void promise_ledger::note_broke_off(const std::string& id)
{
    const absl::MutexLock lock(&this->mutex);
    request_record& record = this->requests[id];
    record.runs_at_break = record.runs.size();
}

void promise_ledger::note_planned_stop(const std::string& entry, const std::string& log_path)
{
    const absl::MutexLock lock(&this->mutex);
    this->planned_signals[entry].push_back({steady_clock::now(), true, log_path});
}

void promise_ledger::note_planned_reload(const std::string& entry, const std::string& log_path)
{
    const absl::MutexLock lock(&this->mutex);
    this->planned_signals[entry].push_back({steady_clock::now(), false, log_path});
}

bool promise_ledger::was_taken(const request_record& record, steady_time lost_at)
{
    const bool was_passed_on = record.arrivals > 0 || !record.runs.empty();
    return was_passed_on || lost_at > record.written_at.value_or(record.sent_at) + close_crossing;
}

bool promise_ledger::ran_out_of_grace(const planned_signal& signal, const request_record& record,
                                      steady_time lost_at) const
{
    const steady_time last_part =
        signal.at + this->options.grace - this->options.grace / grace_parts;
    // A run cannot be known to be at work after the entry has closed its connection.
    const bool still_ran = record.runs_ended < record.runs.size() || record.last_end >= last_part;
    return record.sent_at <= signal.at + admission_bound && lost_at >= last_part && still_ran &&
           !record.runs.empty();
}

bool promise_ledger::counts_around(const planned_signal& signal, const request_record& record,
                                   steady_time lost_at) const
{
    if (lost_at < signal.at) {
        return false;
    }
    if (!signal.stops) {
        return record.sent_at <= signal.at + this->options.config_bound;
    }
    return lost_at <= signal.at + this->options.grace + stop_echo &&
           !this->ran_out_of_grace(signal, record, lost_at);
}

bool promise_ledger::is_excused(const lost_answer& lost, const request_record& record)
{
    const bool broke_off = !record.runs.empty() && record.runs_at_break == record.runs.size();
    return broke_off || lost.at >= record.sent_at + record.request.timeout;
}

bool promise_ledger::was_dropped(const lost_answer& lost, const request_record& record) const
{
    const std::vector<planned_signal>& signals = this->planned_signals.at(lost.entry);
    const bool was_stopped =
        std::any_of(signals.begin(), signals.end(), [&](const planned_signal& signal) {
            return signal.stops && signal.at <= lost.at;
        });
    return was_stopped && absl::IsNotFound(lost.how) && was_taken(record, lost.at);
}

void promise_ledger::judge_lost(const lost_answer& lost, std::vector<std::string>& all) const
{
    const auto found = this->requests.find(lost.id);
    const auto signals = this->planned_signals.find(lost.entry);
    if (found == this->requests.end() || signals == this->planned_signals.end()) {
        return;
    }
    const request_record& record = found->second;
    if (!was_taken(record, lost.at) || !this->is_calm(record.sent_at - trouble_echo, lost.at)) {
        return;
    }
    const bool was_dropped = this->was_dropped(lost, record);
    const bool is_excused = promise_ledger::is_excused(lost, record);
    // The rule excuses a server that outlasts a stop whatever else was planned beside it.
    const bool outlasted_stop = std::any_of(
        signals->second.begin(), signals->second.end(), [&](const planned_signal& signal) {
            return signal.stops && this->ran_out_of_grace(signal, record, lost.at);
        });
    // A stop says more about the loss than a reload, and the latest of each says most.
    const planned_signal* telling = nullptr;
    for (const planned_signal& signal : signals->second) {
        const bool counts = !is_excused && (signal.stops || !outlasted_stop) &&
                            this->counts_around(signal, record, lost.at);
        const bool is_drop = was_dropped && signal.stops && signal.at <= lost.at;
        if ((counts || is_drop) && (telling == nullptr || signal.stops || !telling->stops)) {
            telling = &signal;
        }
    }
    if (telling != nullptr) {
        all.push_back(describe(lost, record, *telling));
    }
}

std::string promise_ledger::describe(const lost_answer& lost, const request_record& record,
                                     const planned_signal& signal)
{
    const std::string run_end =
        record.runs_ended == 0
            ? "none"
            : absl::StrCat(ms_between(signal.at, record.last_end), " of ", record.runs_ended);
    return absl::StrCat(
        "lost: ", lost.id, " ", record.request.target, " at the planned ",
        signal.stops ? "stop" : "reload", " of ", lost.entry, " (", lost.how.message(),
        "): ms after the signal: sent=", ms_between(signal.at, record.sent_at),
        " lost=", ms_between(signal.at, lost.at), " last_run_end=", run_end,
        "; arrivals=", record.arrivals, " runs=", record.runs.size(), " log=", signal.log_path);
}

} // namespace sardinestream::testing
