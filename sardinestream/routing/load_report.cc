#include "sardinestream/routing/load_report.h"

#include <algorithm>
#include <utility>

#include "sardinestream/routing/routing_generated.h"
#include "sardinestream/wire/frame.h"

namespace sardinestream::routing {
namespace {

std::uint64_t to_us(absl::Duration time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, absl::ToInt64Microseconds(time)));
}

absl::Duration from_us(std::uint64_t microseconds)
{
    return absl::Microseconds(static_cast<std::int64_t>(microseconds));
}

} // namespace

std::string encode_load(const server_load& load)
{
    load_reportT message;
    message.running = load.running;
    message.queued = load.queued;
    message.slots = load.slots;
    message.suspects = load.suspects;
    message.service_time_us = to_us(load.service_time);
    message.first_token_time_us = to_us(load.first_token_time);
    message.token_time_us = to_us(load.token_time);
    message.prefill_token_time_ns = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, absl::ToInt64Nanoseconds(load.prefill_token_time)));
    message.no_progress_us = to_us(load.no_progress_for);
    message.leaving = load.leaving;
    message.failing = load.failing;
    return wire::encode<load_report>(message);
}

absl::StatusOr<server_load> decode_load(absl::string_view payload)
{
    absl::StatusOr<load_reportT> message = wire::decode<load_report>(payload);
    if (!message.ok()) {
        return message.status();
    }
    server_load load;
    load.running = message->running;
    load.queued = message->queued;
    load.slots = std::max<std::uint32_t>(1, message->slots);
    load.suspects = message->suspects;
    load.service_time = from_us(message->service_time_us);
    load.first_token_time = from_us(message->first_token_time_us);
    load.token_time = from_us(message->token_time_us);
    load.prefill_token_time =
        absl::Nanoseconds(static_cast<std::int64_t>(message->prefill_token_time_ns));
    load.no_progress_for = from_us(message->no_progress_us);
    load.leaving = message->leaving;
    load.failing = message->failing;
    return load;
}

load_tracker::load_tracker(std::string agent_id, std::uint64_t agent_incarnation,
                           std::string agent_data_centre, distance_class agent_distance)
    : id(std::move(agent_id)), incarnation(agent_incarnation),
      data_centre(std::move(agent_data_centre)), distance(agent_distance)
{
}

void load_tracker::on_report(const server_load& load, absl::Time now)
{
    absl::MutexLock lock(&this->mutex);
    this->reported = load;
    this->reported_at = now;
    this->change_since_report = 0;
    this->leaving = this->leaving || load.leaving;
}

void load_tracker::on_request_sent()
{
    absl::MutexLock lock(&this->mutex);
    ++this->change_since_report;
    ++this->outstanding;
}

void load_tracker::on_request_ended()
{
    absl::MutexLock lock(&this->mutex);
    --this->outstanding;
    const std::int64_t known = std::int64_t{this->reported.running} + this->reported.queued;
    this->change_since_report = std::max(this->change_since_report - 1, -known);
}

void load_tracker::on_leaving()
{
    absl::MutexLock lock(&this->mutex);
    this->leaving = true;
}

server_view load_tracker::view(absl::Time now) const
{
    absl::MutexLock lock(&this->mutex);
    server_view view;
    view.id = this->id;
    view.incarnation = this->incarnation;
    view.data_centre = this->data_centre;
    view.distance = this->distance;
    view.load = this->reported;
    view.change_since_report = this->change_since_report;
    view.own_outstanding = this->outstanding;
    view.report_age = now - this->reported_at;
    view.leaving = this->leaving;
    return view;
}

} // namespace sardinestream::routing
