// Implements what the agent reports: to the entries, how its server does; to the coordinator, the
// state of its rank.

#include <utility>

#include "sardinestream/maps/report_intervals.h"
#include "sardinestream/programs/agent_program.h"
#include "sardinestream/programs/rank_messages.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// The experts of a map are resent to the coordinator at this interval, in case a message was lost.
constexpr milliseconds experts_interval{600};
// A group that has work but starts no step for this long is held, or waits for a rank.
constexpr milliseconds max_step_time{500};

} // namespace

void agent_program::report_to_entries()
{
    gossip::ServerReportT message;
    message.ip = ip_to_number(this->options.ip);
    message.engine_port = static_cast<std::uint16_t>(this->options.engine.port);
    message.places_digest = digest_of(this->endpoints);
    message.sequence = ++this->sequence;
    message.running = this->engine.report()->running;
    message.waiting = this->engine.report()->waiting;
    message.slowness = static_cast<float>(this->engine.report()->slowness);
    message.pass_ms = static_cast<float>(this->engine.pass_ms());
    message.group = this->engine.report()->group;
    message.group_size = this->engine.report()->group_size;
    message.rank = this->engine.report()->rank;
    message.broken = this->engine.report()->broken ||
                     this->engine.time_without_step(steady_clock::now()) > max_step_time;
    message.suspects_digest = this->suspects.digest();
    message.entries = this->entries_alive();
    const std::vector<std::uint32_t> receivers = message.entries;
    this->options.messages.send(make_message(std::move(message)), receivers);
}

rank_state agent_program::own_state() const
{
    rank_state state;
    state.rank = this->engine.report()->rank;
    state.report = this->engine.report()->map_report;
    state.broken = this->engine.report()->broken;
    state.slowness = this->engine.report()->slowness;
    state.prepares = this->prepares;
    state.experts = this->engine.experts();
    return state;
}

gossip::RankStateT agent_program::make_state(bool with_counts)
{
    gossip::RankStateT state = encode_state(this->own_state());
    state.group = this->engine.report()->group;
    // An agent that stops can be reached nowhere.
    state.ip = this->leaving.has_value() ? 0 : ip_to_number(this->options.ip);
    state.sequence = ++this->sequence;
    state.term = this->followed.term;
    if (!this->experts_are_due()) {
        state.experts.clear();
    }
    if (with_counts) {
        this->engine.add_counts(state);
    }
    return state;
}

bool agent_program::experts_are_due()
{
    if (this->engine.experts().empty()) {
        return false;
    }
    const rank_report& report = this->engine.report()->map_report;
    const reported_experts now = {this->followed.term, report.epoch, report.map_version};
    const steady_time time = steady_clock::now();
    if (now == std::exchange(this->last_reported_experts, now) && time < this->next_experts) {
        return false;
    }
    this->next_experts = time + experts_interval;
    return true;
}

void agent_program::send_state(std::uint32_t ip, bool with_counts)
{
    this->next_state = steady_clock::now() + state_interval(this->engine.report()->group_size);
    if (ip == 0) {
        return;
    }
    if (ip == this->followed.ip) {
        this->reported_progress = this->progress();
    }
    this->options.messages.send(make_message(this->make_state(with_counts)), {ip});
}

} // namespace sardinestream
