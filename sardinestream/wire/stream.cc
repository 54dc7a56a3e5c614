// Implements stream, one exchange of frames on a link.

#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::wire {

stream::stream(std::shared_ptr<peer_link> link, std::uint64_t id)
    : owner(std::move(link)), stream_id(id), send_credit(owner->options().stream_window_bytes)
{
}

stream::~stream()
{
    this->owner->forget_stream(this->stream_id);
    bool must_cancel = false;
    {
        const absl::MutexLock lock(&this->mutex);
        must_cancel = !this->finished && this->end_reason == absl::StatusCode::kOk;
    }
    if (must_cancel) {
        this->owner->send_frame(frame_type::cancel, this->stream_id, "").IgnoreError();
    }
}

absl::Status stream::send(frame_type type, absl::string_view payload)
{
    if (is_data_frame(type)) {
        SARDINE_RETURN_IF_ERROR(this->take_credit(payload.size()));
    }
    return this->owner->send_frame(type, this->stream_id, payload);
}

absl::Status stream::take_credit(std::size_t bytes)
{
    const absl::MutexLock lock(&this->mutex);
    const auto may_send = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->send_credit > 0 || this->end_reason != absl::StatusCode::kOk;
    };
    this->mutex.Await(absl::Condition(&may_send));
    if (this->end_reason != absl::StatusCode::kOk) {
        return make_error(absl::StatusCode::kCancelled, "send_data", this->owner->remote().id,
                          "the stream has ended");
    }
    this->send_credit -= static_cast<std::int64_t>(bytes);
    return absl::OkStatus();
}

bool stream::has_frame_or_ended() const
{
    return !this->inbox.empty() || this->end_reason != absl::StatusCode::kOk;
}

absl::StatusOr<frame> stream::receive(absl::Time deadline)
{
    frame next;
    std::uint32_t credit_bytes = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->mutex.AwaitWithDeadline(absl::Condition(this, &stream::has_frame_or_ended),
                                           deadline)) {
            return make_error(absl::StatusCode::kDeadlineExceeded, "receive",
                              this->owner->remote().id, "timeout");
        }
        if (this->inbox.empty()) {
            return make_error(this->end_reason, "receive", this->owner->remote().id,
                              "the stream has ended");
        }
        next = std::move(this->inbox.front());
        this->inbox.pop_front();
        if (is_data_frame(next.header.type)) {
            this->uncredited_bytes += next.header.payload_bytes;
        }
        if (this->uncredited_bytes >= this->owner->options().stream_window_bytes / 2) {
            credit_bytes = std::exchange(this->uncredited_bytes, 0);
        }
    }
    if (credit_bytes > 0) {
        creditT credit;
        credit.bytes = credit_bytes;
        this->owner->send_frame(frame_type::credit, this->stream_id, encode<wire::credit>(credit))
            .IgnoreError();
    }
    return next;
}

bool stream::ended() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->end_reason != absl::StatusCode::kOk;
}

void stream::finish()
{
    const absl::MutexLock lock(&this->mutex);
    this->finished = true;
}

void stream::deliver(frame received)
{
    const absl::MutexLock lock(&this->mutex);
    this->inbox.push_back(std::move(received));
}

void stream::add_credit(std::uint32_t bytes)
{
    const absl::MutexLock lock(&this->mutex);
    this->send_credit += bytes;
}

void stream::on_end(std::function<void()> hook)
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->end_reason == absl::StatusCode::kOk) {
            this->end_hook = std::move(hook);
            return;
        }
    }
    if (hook) {
        hook();
    }
}

void stream::end(absl::StatusCode reason)
{
    std::function<void()> hook;
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->end_reason != absl::StatusCode::kOk) {
            return;
        }
        this->end_reason = reason;
        hook = std::exchange(this->end_hook, nullptr);
    }
    if (hook) {
        hook();
    }
}

} // namespace sardinestream::wire
