#include "sardinestream/http/message_body.h"

#include <algorithm>
#include <utility>

#include "sardinestream/base/error.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

// Blocks grow with the body between these sizes. The allocator returns the largest ones to the
// system as soon as they are freed.
constexpr std::size_t min_block_bytes = 8 << 10;
constexpr std::size_t max_block_bytes = 256 << 10;
// How long a message that is being buffered waits for memory that others hold.
constexpr std::chrono::milliseconds max_memory_wait{1500};

absl::Status body_too_large()
{
    count("sardine_answers_too_large_total");
    return make_error(absl::StatusCode::kOutOfRange, "read", "", "body too large");
}

absl::Status no_memory()
{
    count("sardine_answers_too_large_total");
    return make_error(absl::StatusCode::kAborted, "read", "", "no memory for the message");
}

// Reads the next part of a body, as message_reader::read_body_part. Notices in between that the
// message has to yield.
absl::StatusOr<bool> read_part(message_reader& from, const message_memory_reservation& reservation,
                               std::string& part, steady_time deadline, const hangup_watch& caller)
{
    while (true) {
        if (reservation.has_yielded()) {
            return no_memory();
        }
        const steady_time check = reservation.holds_memory()
                                      ? steady_clock::now() + yield_check_interval
                                      : steady_time::max();
        absl::StatusOr<bool> ended = from.read_body_part(part, std::min(check, deadline), caller);
        if (!absl::IsDeadlineExceeded(ended.status()) || check >= deadline) {
            return ended;
        }
    }
}

} // namespace

absl::Status message_body::append(absl::string_view bytes, steady_time deadline)
{
    while (!bytes.empty()) {
        if (this->length == this->capacity) {
            const std::size_t added = std::clamp(this->capacity, min_block_bytes, max_block_bytes);
            const steady_time latest = std::min(deadline, steady_clock::now() + max_memory_wait);
            if (!this->reservation.resize(this->capacity + added, latest)) {
                return no_memory();
            }
            this->blocks.emplace_back().reserve(added);
            this->capacity += added;
        }
        const absl::string_view taken = bytes.substr(0, this->capacity - this->length);
        this->blocks.back().append(taken.data(), taken.size());
        this->length += taken.size();
        bytes.remove_prefix(taken.size());
    }
    return absl::OkStatus();
}

absl::Status message_body::read_blocks(message_reader& from, std::size_t max_bytes,
                                       steady_time deadline, const hangup_watch& caller)
{
    std::string part;
    while (true) {
        part.clear();
        const absl::StatusOr<bool> ended =
            read_part(from, this->reservation, part, deadline, caller);
        if (!ended.ok()) {
            return ended.status();
        }
        if (this->length + part.size() > max_bytes) {
            return body_too_large();
        }
        SARDINE_RETURN_IF_ERROR(this->append(part, deadline));
        if (*ended) {
            return this->reservation.finish() ? absl::OkStatus() : no_memory();
        }
    }
}

absl::Status message_body::read(message_reader& from, std::size_t max_bytes, steady_time deadline,
                                const hangup_watch& caller)
{
    absl::Status read = this->read_blocks(from, max_bytes, deadline, caller);
    if (!read.ok()) {
        // What happens next may take long, such as a caller that is slow to read a refusal.
        this->discard();
    }
    return read;
}

void message_body::discard()
{
    std::vector<std::string>().swap(this->blocks);
    this->length = 0;
    this->capacity = 0;
    static_cast<void>(this->reservation.resize(0));
}

absl::Status message_body::write(std::string head, tcp_socket& peer, steady_time deadline)
{
    const absl::string_view first =
        this->blocks.empty() ? absl::string_view() : this->blocks.front();
    SARDINE_RETURN_IF_ERROR(peer.write_message(std::move(head), first, deadline, hangup_watch()));
    for (std::size_t i = 1; i < this->blocks.size(); ++i) {
        this->capacity -= this->blocks[i - 1].capacity();
        std::string().swap(this->blocks[i - 1]);
        static_cast<void>(this->reservation.resize(this->capacity));
        SARDINE_RETURN_IF_ERROR(peer.write_all(this->blocks[i], deadline, hangup_watch()));
    }
    return absl::OkStatus();
}

absl::Status skip_body(message_reader& from, std::size_t max_bytes, steady_time deadline,
                       const hangup_watch& caller)
{
    std::string part;
    std::size_t length = 0;
    while (true) {
        part.clear();
        const absl::StatusOr<bool> ended = from.read_body_part(part, deadline, caller);
        if (!ended.ok()) {
            return ended.status();
        }
        length += part.size();
        if (length > max_bytes) {
            return make_error(absl::StatusCode::kOutOfRange, "read", "",
                              "body of an unused response too large");
        }
        if (*ended) {
            return absl::OkStatus();
        }
    }
}

absl::Status read_body_within(message_reader& from, std::size_t max_bytes,
                              message_memory_reservation& reservation, std::string& body,
                              steady_time deadline, const hangup_watch& caller)
{
    std::string part;
    while (true) {
        part.clear();
        const absl::StatusOr<bool> ended = read_part(from, reservation, part, deadline, caller);
        if (!ended.ok()) {
            return ended.status();
        }
        const std::size_t length = body.size() + part.size();
        if (length > max_bytes) {
            return body_too_large();
        }
        if (length > body.capacity()) {
            const std::size_t capacity = std::max(length, body.capacity() * 2);
            const steady_time latest = std::min(deadline, steady_clock::now() + max_memory_wait);
            // The old text and the new one exist together while the bytes are copied.
            if (!reservation.resize(body.capacity() + capacity, latest)) {
                return no_memory();
            }
            body.reserve(capacity);
            static_cast<void>(reservation.resize(body.capacity()));
        }
        body.append(part);
        if (*ended) {
            return reservation.finish() ? absl::OkStatus() : no_memory();
        }
    }
}

} // namespace sardinestream
