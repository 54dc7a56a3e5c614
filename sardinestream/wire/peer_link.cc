#include "sardinestream/wire/peer_link.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::wire {
namespace {

// The time of day may jump, and with it every link would count as silent.
using steady_clock = std::chrono::steady_clock;

// Interval at which the heartbeat thread checks whether the link is lost.
constexpr std::chrono::milliseconds lost_check_interval{50};

} // namespace

peer_link::peer_link(std::shared_ptr<const link_options> options,
                     std::unique_ptr<secure_socket> connected, bool is_dialled)
    : configuration(std::move(options)), socket(std::move(connected)), dialled(is_dialled),
      last_received(steady_clock::now()), next_stream_id(is_dialled ? 1 : 2)
{
}

absl::StatusOr<std::shared_ptr<peer_link>>
peer_link::dial(std::shared_ptr<const link_options> options, const address& remote)
{
    absl::StatusOr<std::unique_ptr<secure_socket>> connected =
        secure_socket::connect(options->tls, remote, options->connect_timeout);
    if (!connected.ok()) {
        return connected.status();
    }
    std::shared_ptr<peer_link> made(new peer_link(std::move(options), *std::move(connected), true));
    SARDINE_RETURN_IF_ERROR(made->exchange_hello());
    return made;
}

absl::StatusOr<std::shared_ptr<peer_link>>
peer_link::accept(std::shared_ptr<const link_options> options, int descriptor)
{
    absl::StatusOr<std::unique_ptr<secure_socket>> connected =
        secure_socket::accept(options->tls, descriptor, options->connect_timeout);
    if (!connected.ok()) {
        return connected.status();
    }
    std::shared_ptr<peer_link> made(
        new peer_link(std::move(options), *std::move(connected), false));
    SARDINE_RETURN_IF_ERROR(made->exchange_hello());
    return made;
}

absl::Status peer_link::exchange_hello()
{
    // Bounds the exchange in time: a peer that accepts the connection but sends nothing must not
    // block this thread.
    std::atomic<bool> done{false};
    absl::Mutex wait_mutex;
    std::thread guard([this, &done, &wait_mutex] {
        const absl::MutexLock lock(&wait_mutex);
        const bool in_time = wait_mutex.AwaitWithTimeout(
            absl::Condition(
                +[](std::atomic<bool>* flag) { return flag->load(); }, &done),
            this->options().connect_timeout);
        if (!in_time) {
            this->socket->shut_down();
        }
    });
    absl::Status status =
        this->send_frame(frame_type::hello, 0, encode<hello>(this->options().local_hello()));
    absl::StatusOr<frame> first = this->read_frame();
    {
        const absl::MutexLock lock(&wait_mutex);
        done = true;
    }
    guard.join();
    SARDINE_RETURN_IF_ERROR(with_origin(status, "hello", this->socket->peer()));
    if (!first.ok()) {
        return first.status();
    }
    if (first->header.type != frame_type::hello) {
        return make_error(absl::StatusCode::kFailedPrecondition, "hello", this->socket->peer(),
                          "the peer refused the link");
    }
    absl::StatusOr<helloT> said = decode<hello>(first->payload);
    if (!said.ok()) {
        return with_origin(said.status(), "hello", this->socket->peer());
    }
    this->remote_hello = *std::move(said);
    this->highest_catalogue_number = 0;
    if (this->options().hooks.on_up) {
        this->options().hooks.on_up(this->shared_from_this());
    }
    this->note_catalogue_number(first->header.catalogue_number);
    return absl::OkStatus();
}

absl::Status peer_link::run()
{
    std::thread heartbeats([this] { this->send_heartbeats(); });
    absl::Status why;
    while (true) {
        absl::StatusOr<frame> received = this->read_frame();
        if (!received.ok()) {
            why = received.status();
            break;
        }
        this->note_catalogue_number(received->header.catalogue_number);
        this->dispatch(*std::move(received));
    }
    this->shut_down();
    heartbeats.join();
    this->end_streams();
    if (this->options().hooks.on_down) {
        this->options().hooks.on_down(this->shared_from_this());
    }
    return why;
}

void peer_link::shut_down()
{
    this->lost = true;
    this->socket->shut_down();
}

void peer_link::finish()
{
    this->finishing = true;
    this->socket->finish_writing();
}

std::shared_ptr<stream> peer_link::open_stream()
{
    const absl::MutexLock lock(&this->mutex);
    const std::uint64_t id = this->next_stream_id;
    this->next_stream_id += 2;
    std::shared_ptr<stream> opened(new stream(this->shared_from_this(), id));
    this->streams[id] = opened;
    if (this->lost) {
        opened->end(absl::StatusCode::kUnavailable);
    }
    return opened;
}

absl::Status peer_link::send_link_frame(frame_type type, absl::string_view payload)
{
    return this->send_frame(type, 0, payload);
}

absl::Status peer_link::send_frame(frame_type type, std::uint64_t stream_id,
                                   absl::string_view payload)
{
    if (this->lost || this->finishing) {
        return make_error(absl::StatusCode::kCancelled, "send_frame", this->remote_hello.id,
                          "the link has ended");
    }
    if (payload.size() > max_payload_bytes) {
        return make_error(
            absl::StatusCode::kInvalidArgument, "send_frame", this->remote_hello.id,
            absl::StrCat("payload has ", payload.size(), " bytes, limit is ", max_payload_bytes));
    }
    frame_header header;
    header.payload_bytes = static_cast<std::uint32_t>(payload.size());
    header.type = type;
    header.stream_id = stream_id;
    if (this->options().hooks.catalogue_number) {
        header.catalogue_number = this->options().hooks.catalogue_number();
    }
    const auto head = encode_header(header);
    // Header and payload go out in one write, so that frames of other threads cannot interleave.
    std::string bytes(head.data(), head.size());
    bytes.append(payload.data(), payload.size());
    absl::Status status = this->socket->write(bytes, this->options().peer_timeout);
    if (status.ok()) {
        return status;
    }
    if (absl::IsFailedPrecondition(status)) {
        // `finish` came first. The peer is still reading what was sent before.
        return make_error(absl::StatusCode::kCancelled, "send_frame", this->remote_hello.id,
                          status.message());
    }
    this->shut_down();
    // Part of the frame may have been sent, whatever the cause of the failure.
    return make_error(absl::StatusCode::kUnavailable, "send_frame", this->remote_hello.id,
                      status.message());
}

absl::StatusOr<frame> peer_link::read_frame()
{
    std::array<char, header_bytes> head{};
    SARDINE_RETURN_IF_ERROR(this->socket->read(head.data(), head.size()));
    absl::StatusOr<frame_header> header =
        decode_header(absl::string_view(head.data(), head.size()));
    if (!header.ok()) {
        count("sardine_frames_malformed_total");
        return header.status();
    }
    frame received;
    received.header = *header;
    received.payload.resize(header->payload_bytes);
    SARDINE_RETURN_IF_ERROR(this->socket->read(received.payload.data(), received.payload.size()));
    this->last_received = steady_clock::now();
    return received;
}

void peer_link::note_catalogue_number(std::uint64_t number)
{
    if (number <= this->highest_catalogue_number) {
        return;
    }
    this->highest_catalogue_number = number;
    if (this->options().hooks.on_catalogue_number) {
        this->options().hooks.on_catalogue_number(this->shared_from_this(), number);
    }
}

void peer_link::dispatch(frame received)
{
    const link_hooks& hooks = this->options().hooks;
    if (received.header.stream_id != 0) {
        this->dispatch_to_stream(std::move(received));
        return;
    }
    if (received.header.type != frame_type::heartbeat) {
        if (hooks.on_link_frame) {
            hooks.on_link_frame(this->shared_from_this(), received);
        }
        return;
    }
    absl::StatusOr<heartbeatT> beat = decode<heartbeat>(received.payload);
    if (!beat.ok()) {
        count("sardine_frames_malformed_total");
        return;
    }
    if (hooks.on_heartbeat) {
        hooks.on_heartbeat(this->shared_from_this(),
                           absl::string_view(reinterpret_cast<const char*>(beat->payload.data()),
                                             beat->payload.size()));
    }
}

void peer_link::dispatch_to_stream(frame received)
{
    const std::uint64_t id = received.header.stream_id;
    std::shared_ptr<stream> target = this->find_stream(id);
    if (received.header.type == frame_type::cancel) {
        if (target != nullptr) {
            target->end(absl::StatusCode::kCancelled);
        }
        return;
    }
    if (received.header.type == frame_type::credit) {
        absl::StatusOr<creditT> granted = decode<credit>(received.payload);
        if (target != nullptr && granted.ok()) {
            target->add_credit(granted->bytes);
        }
        return;
    }
    if (target != nullptr) {
        target->deliver(std::move(received));
        return;
    }
    const bool opened_by_peer = (id % 2 == 1) != this->dialled;
    {
        const absl::MutexLock lock(&this->mutex);
        if (!opened_by_peer || !opens_stream(received.header.type) || this->finishing) {
            // A late frame of an exchange that has already ended locally, or a stream that could
            // not be answered any more.
            return;
        }
        target.reset(new stream(this->shared_from_this(), id));
        this->streams[id] = target;
    }
    if (this->options().hooks.on_stream) {
        this->options().hooks.on_stream(target, std::move(received));
    }
}

void peer_link::send_heartbeats()
{
    const link_options& limits = this->options();
    while (!this->lost) {
        heartbeatT beat;
        if (limits.hooks.heartbeat_payload) {
            const std::string payload = limits.hooks.heartbeat_payload();
            beat.payload.assign(payload.begin(), payload.end());
        }
        this->send_frame(frame_type::heartbeat, 0, encode<heartbeat>(beat)).IgnoreError();
        const auto next =
            steady_clock::now() + absl::ToChronoNanoseconds(limits.heartbeat_interval);
        while (!this->lost && steady_clock::now() < next) {
            std::this_thread::sleep_until(
                std::min(next, steady_clock::now() + lost_check_interval));
        }
        const absl::Duration silence =
            absl::FromChrono(steady_clock::now() - this->last_received.load());
        if (!this->lost && silence > limits.peer_timeout) {
            count("sardine_links_silent_total");
            log_event("peer_silent",
                      {{"peer", this->remote_hello.id},
                       {"silent_ms", absl::ToInt64Milliseconds(silence)}},
                      log_level::warning);
            this->shut_down();
        }
    }
}

void peer_link::end_streams()
{
    std::vector<std::shared_ptr<stream>> open;
    {
        const absl::MutexLock lock(&this->mutex);
        for (const auto& [id, weak] : this->streams) {
            if (std::shared_ptr<stream> alive = weak.lock()) {
                open.push_back(std::move(alive));
            }
        }
    }
    for (const std::shared_ptr<stream>& each : open) {
        each->end(absl::StatusCode::kUnavailable);
    }
}

void peer_link::forget_stream(std::uint64_t id)
{
    const absl::MutexLock lock(&this->mutex);
    this->streams.erase(id);
}

std::shared_ptr<stream> peer_link::find_stream(std::uint64_t id)
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->streams.find(id);
    return found == this->streams.end() ? nullptr : found->second.lock();
}

} // namespace sardinestream::wire
