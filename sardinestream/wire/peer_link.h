// Multiplexes many requests over one connection to another process of the system.
//
// A link carries streams: sequences of related frames, each with its own receive queue and flow
// control, so that a slow reader of one stream does not block the others. The initiator of an
// exchange opens a stream; the peer receives it through `link_hooks::on_stream`.
//
//     auto opened = link->open_stream();
//     opened->send(frame_type::request_open, payload);
//     absl::StatusOr<frame> answer = opened->receive(deadline);
//
// Both ends send heartbeats. The link is treated as lost if nothing arrives from the peer for
// `peer_timeout`, even if the socket is still open, as with a suspended process.
//
// The thread that calls `run` reads from the connection until it ends. All other functions are
// thread-safe.

#ifndef SARDINESTREAM_WIRE_PEER_LINK_H_
#define SARDINESTREAM_WIRE_PEER_LINK_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sardinestream/wire/frame.h"
#include "sardinestream/wire/secure_socket.h"
#include "sardinestream/wire/wire_generated.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream::wire {

class peer_link;

// One exchange of frames on a link. Thread-safe; usually one thread receives and one sends.
class stream {
public:
    // Cancels the exchange at the peer unless it has ended or `finish` was called.
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    // Sends one frame. A data frame first blocks until send credit is available or the stream ends.
    // On `kUnavailable`, an unknown part of the frame may have been sent; on `kCancelled`, none
    // was.
    [[nodiscard]] absl::Status send(frame_type type, absl::string_view payload);

    // Blocks for the next frame and returns it. Fails with `kDeadlineExceeded` at `deadline`, with
    // `kCancelled` if the peer cancelled, and with `kUnavailable` if the link is lost.
    [[nodiscard]] absl::StatusOr<frame> receive(absl::Time deadline);

    // Returns true once the peer has cancelled the exchange or the link is lost.
    [[nodiscard]] bool ended() const;

    // Calls `hook` once when the peer cancels or the link is lost, or immediately if that has
    // already happened. The hook otherwise runs on the link's reading thread and must not block. An
    // empty hook removes an earlier one.
    void on_end(std::function<void()> hook);

    // Marks the exchange as complete at this end, so that the destructor does not cancel it.
    void finish();

    [[nodiscard]] std::uint64_t id() const { return this->stream_id; }
    [[nodiscard]] const std::shared_ptr<peer_link>& link() const { return this->owner; }

private:
    friend class peer_link;

    stream(std::shared_ptr<peer_link> link, std::uint64_t id);

    void deliver(frame received);
    void add_credit(std::uint32_t bytes);
    void end(absl::StatusCode reason);
    [[nodiscard]] absl::Status take_credit(std::size_t bytes);
    [[nodiscard]] bool has_frame_or_ended() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const std::shared_ptr<peer_link> owner;
    const std::uint64_t stream_id;

    mutable absl::Mutex mutex;
    std::deque<frame> inbox ABSL_GUARDED_BY(mutex);
    // `kOk` while the exchange is in progress. Frames received before the end are still returned.
    absl::StatusCode end_reason ABSL_GUARDED_BY(mutex) = absl::StatusCode::kOk;
    bool finished ABSL_GUARDED_BY(mutex) = false;
    std::function<void()> end_hook ABSL_GUARDED_BY(mutex);
    // Payload bytes that this end may still send; may fall below zero by at most one frame.
    std::int64_t send_credit ABSL_GUARDED_BY(mutex);
    // Payload bytes that `receive` has returned but for which no credit was sent to the peer yet.
    std::uint32_t uncredited_bytes ABSL_GUARDED_BY(mutex) = 0;
};

// Callbacks through which a process handles its links. Every hook may be empty. Hooks run on the
// link's reading thread and must not block; `heartbeat_payload` runs on its heartbeat thread.
struct link_hooks {
    // Returns the catalogue number in force locally, which every frame carries.
    std::function<std::uint64_t()> catalogue_number;
    // Called when a frame carries a higher catalogue number than all earlier ones on this link.
    std::function<void(const std::shared_ptr<peer_link>&, std::uint64_t number)>
        on_catalogue_number;
    // Called when the peer opens a stream; `first` is the stream's first frame.
    std::function<void(const std::shared_ptr<stream>&, frame first)> on_stream;
    // Called for each frame that belongs to no stream, except heartbeats.
    std::function<void(const std::shared_ptr<peer_link>&, const frame&)> on_link_frame;
    // Returns the payload of the next heartbeat.
    std::function<std::string()> heartbeat_payload;
    std::function<void(const std::shared_ptr<peer_link>&, absl::string_view payload)> on_heartbeat;
    // Called once the link is usable, before any frame after the peer's hello is read.
    std::function<void(const std::shared_ptr<peer_link>&)> on_up;
    // Called when the link is lost, once for each `on_up`.
    std::function<void(const std::shared_ptr<peer_link>&)> on_down;
};

struct link_options {
    std::shared_ptr<tls_context> tls;
    // Builds this process's hello for each connection.
    std::function<helloT()> local_hello;
    link_hooks hooks;
    absl::Duration connect_timeout = absl::Seconds(1);
    absl::Duration heartbeat_interval = absl::Milliseconds(250);
    absl::Duration peer_timeout = absl::Milliseconds(1500);
    // Payload bytes that a peer may send on a stream before this end has read them.
    std::uint32_t stream_window_bytes = 256U << 10;
};

class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    // Connects to `remote` and exchanges hellos. The caller must then call `run` on the link.
    [[nodiscard]] static absl::StatusOr<std::shared_ptr<peer_link>>
    dial(std::shared_ptr<const link_options> options, const address& remote);

    // Does the same for an accepted descriptor and takes ownership of it.
    [[nodiscard]] static absl::StatusOr<std::shared_ptr<peer_link>>
    accept(std::shared_ptr<const link_options> options, int descriptor);

    // Reads frames until the link ends; returns the reason.
    absl::Status run();

    // Opens a stream. If the link is already lost, the stream has ended with `kUnavailable`.
    [[nodiscard]] std::shared_ptr<stream> open_stream();

    // Sends a frame that belongs to no stream.
    [[nodiscard]] absl::Status send_link_frame(frame_type type, absl::string_view payload);

    // Shuts down the link, which makes `run` return. Does not wait for it.
    void shut_down();

    // Ends the link such that the peer gets every frame that was sent: closing a socket whose peer
    // still sends resets the connection, and what was sent last is lost. Sends nothing more and
    // accepts no further stream; `run` returns when the peer closes its end. Does not wait for it.
    void finish();

    // Returns the hello that the peer sent.
    [[nodiscard]] const helloT& remote() const { return this->remote_hello; }
    // Returns true until the link is lost or shut down.
    [[nodiscard]] bool usable() const { return !this->lost; }
    [[nodiscard]] const link_options& options() const { return *this->configuration; }

private:
    friend class stream;

    peer_link(std::shared_ptr<const link_options> options, std::unique_ptr<secure_socket> socket,
              bool dialled);

    [[nodiscard]] absl::Status exchange_hello();
    [[nodiscard]] absl::Status send_frame(frame_type type, std::uint64_t stream_id,
                                          absl::string_view payload);
    [[nodiscard]] absl::StatusOr<frame> read_frame();
    void dispatch(frame received);
    void dispatch_to_stream(frame received);
    void note_catalogue_number(std::uint64_t number);
    void send_heartbeats();
    void end_streams();
    void forget_stream(std::uint64_t id);
    [[nodiscard]] std::shared_ptr<stream> find_stream(std::uint64_t id);

    const std::shared_ptr<const link_options> configuration;
    const std::unique_ptr<secure_socket> socket;
    // The dialling end uses stream ids 1, 3, 5, ..., the accepting end 2, 4, 6, ...
    const bool dialled;
    helloT remote_hello;
    std::atomic<bool> lost{false};
    // Set by `finish`.
    std::atomic<bool> finishing{false};
    // Arrival time of the last frame, in nanoseconds since the Unix epoch.
    std::atomic<std::int64_t> last_received_ns{0};
    std::uint64_t highest_catalogue_number = 0; // reading thread only

    absl::Mutex mutex;
    std::uint64_t next_stream_id ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, std::weak_ptr<stream>> streams ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_PEER_LINK_H_
