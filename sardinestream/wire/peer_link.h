// One connection to another process of the system, shared by many requests.
//
// A link carries streams: sequences of frames that belong together, each with its own inbox and its
// own flow control, so that a slow reader of one stream holds up no other. Whoever starts an
// exchange opens a stream; the other end receives it through `link_hooks::on_stream`.
//
//     auto opened = link->open_stream();
//     opened->send(frame_type::request_open, payload);
//     absl::StatusOr<frame> answer = opened->receive(deadline);
//
// Heartbeats run in both directions. A peer from which nothing arrives for `peer_timeout` is taken
// for lost, even where its socket is still open (a frozen process).
//
// The thread that calls `run` reads the connection until it ends. All other functions are
// thread-safe and may be called from any thread.

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
    // Cancels the exchange at the peer unless it has ended (see `finish`).
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    // Sends one frame. A data frame waits for credit first, until the stream or the link ends.
    // On `kUnavailable` an unknown part of the frame may have left; on `kCancelled` none of it has.
    [[nodiscard]] absl::Status send(frame_type type, absl::string_view payload);

    // Returns the next frame; fails with `kDeadlineExceeded` at `deadline`, with `kCancelled` when
    // the peer cancelled, with `kUnavailable` when the link is lost.
    [[nodiscard]] absl::StatusOr<frame> receive(absl::Time deadline);

    // True once the peer cancelled the exchange or the link was lost.
    [[nodiscard]] bool ended() const;

    // Calls `hook` once when the peer cancels or the link is lost; at once where that has happened.
    // Runs on the link's reading thread and must not block. An empty hook removes an earlier one.
    void on_end(std::function<void()> hook);

    // Says that this end needs nothing more: the destructor will not cancel.
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
    // OK while the exchange goes on; frames that came before the end are still handed out.
    absl::StatusCode end_reason ABSL_GUARDED_BY(mutex) = absl::StatusCode::kOk;
    bool finished ABSL_GUARDED_BY(mutex) = false;
    std::function<void()> end_hook ABSL_GUARDED_BY(mutex);
    // Bytes that this end may still send; may go below zero by one frame.
    std::int64_t send_credit ABSL_GUARDED_BY(mutex);
    // Bytes that were received and handed out but not yet credited back.
    std::uint32_t uncredited_bytes ABSL_GUARDED_BY(mutex) = 0;
};

// What a process puts behind its links. Every hook may be left empty. Hooks run on the link's
// reading thread and must not block; `heartbeat_payload` runs on its heartbeat thread.
struct link_hooks {
    // The catalogue number in force here; goes into every frame.
    std::function<std::uint64_t()> catalogue_number;
    // Called when a frame carries a higher number than any before on this link.
    std::function<void(const std::shared_ptr<peer_link>&, std::uint64_t number)>
        on_catalogue_number;
    // The peer opened a stream with this first frame.
    std::function<void(const std::shared_ptr<stream>&, frame first)> on_stream;
    // A frame that belongs to no stream.
    std::function<void(const std::shared_ptr<peer_link>&, const frame&)> on_link_frame;
    // What the next heartbeat carries.
    std::function<std::string()> heartbeat_payload;
    std::function<void(const std::shared_ptr<peer_link>&, absl::string_view payload)> on_heartbeat;
    // The link is usable; called before the first frame is read.
    std::function<void(const std::shared_ptr<peer_link>&)> on_up;
    // The link is lost; called once for each `on_up`.
    std::function<void(const std::shared_ptr<peer_link>&)> on_down;
};

struct link_options {
    std::shared_ptr<tls_context> tls;
    // Builds this process's own hello at each connection.
    std::function<helloT()> local_hello;
    link_hooks hooks;
    absl::Duration connect_timeout = absl::Seconds(1);
    absl::Duration heartbeat_interval = absl::Milliseconds(250);
    absl::Duration peer_timeout = absl::Milliseconds(1500);
    // Bytes that a peer may send on a stream ahead of this end's reading.
    std::uint32_t stream_window_bytes = 256U << 10;
};

class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    // Dials `remote`, exchanges hellos and returns a link that `run` must then serve.
    [[nodiscard]] static absl::StatusOr<std::shared_ptr<peer_link>>
    dial(std::shared_ptr<const link_options> options, const address& remote);

    // The same for an accepted descriptor, which is taken over.
    [[nodiscard]] static absl::StatusOr<std::shared_ptr<peer_link>>
    accept(std::shared_ptr<const link_options> options, int descriptor);

    // Reads frames until the link ends; returns why it ended.
    absl::Status run();

    // Opens an exchange.
    [[nodiscard]] std::shared_ptr<stream> open_stream();

    // Sends a frame that belongs to no stream.
    [[nodiscard]] absl::Status send_link_frame(frame_type type, absl::string_view payload);

    // Ends the link: `run` returns soon.
    void shut_down();

    // What the peer said of itself.
    [[nodiscard]] const helloT& remote() const { return this->remote_hello; }
    // True until the link is lost or shut down.
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
    // The dialling end numbers its streams 1, 3, 5, ..., the other 2, 4, 6, ...
    const bool dialled;
    helloT remote_hello;
    std::atomic<bool> lost{false};
    // Nanoseconds since the epoch at which the last frame arrived.
    std::atomic<std::int64_t> last_received_ns{0};
    std::uint64_t highest_catalogue_number = 0; // reading thread only

    absl::Mutex mutex;
    std::uint64_t next_stream_id ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, std::weak_ptr<stream>> streams ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_PEER_LINK_H_
