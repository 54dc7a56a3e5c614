// Accepts links from other processes and maintains outgoing links to them.
//
// `link_server` runs one thread for each accepted connection. `link_dialer` maintains one link to
// one address on one thread and redials with exponential backoff after the link is lost.

#ifndef SARDINESTREAM_WIRE_LINK_SERVER_H_
#define SARDINESTREAM_WIRE_LINK_SERVER_H_

#include <chrono>
#include <memory>
#include <set>
#include <thread>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::wire {

// Accepts links and serves each on its own thread. Thread-safe.
class link_server {
public:
    // Listens on `local` and starts accepting.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<link_server>>
    create(std::shared_ptr<const link_options> options, const address& local);

    // Calls `finish` with `max_finish_time`, then waits for the links' threads.
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;

    [[nodiscard]] const address& local() const { return this->listener->local(); }

    // Stops accepting, ends every link such that its peer gets all frames that were sent, and waits
    // for the peers to close them. Shuts down what is still open at `deadline`.
    void finish(std::chrono::steady_clock::time_point deadline);

    static constexpr std::chrono::milliseconds max_finish_time{2000};

    // Returns the links that are currently up.
    [[nodiscard]] std::vector<std::shared_ptr<peer_link>> links() const;

private:
    link_server(std::shared_ptr<const link_options> options,
                std::unique_ptr<tcp_listener> listening);

    void accept_links();
    void serve(int descriptor);

    const std::shared_ptr<const link_options> options;
    const std::unique_ptr<tcp_listener> listener;
    mutable absl::Mutex mutex;
    std::set<std::shared_ptr<peer_link>> active ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    thread_group connections;
    // One for each link: a link whose peer reads nothing ends only when a write in progress does.
    thread_group finishing;
    std::thread accepting;
};

// Maintains one outgoing link to a fixed address. Thread-safe.
class link_dialer {
public:
    link_dialer(std::shared_ptr<const link_options> options, address remote);

    // Shuts down the link and waits for its thread.
    ~link_dialer();
    link_dialer(const link_dialer&) = delete;
    link_dialer& operator=(const link_dialer&) = delete;

    // Returns the link, or null if none is usable.
    [[nodiscard]] std::shared_ptr<peer_link> current() const;

    // Sets whether a lost link is redialled; initially it is. Disabling this does not affect an
    // established link.
    void keep_dialling(bool enabled);

    // Blocks until a usable link exists and returns it, or returns null at `deadline`.
    [[nodiscard]] std::shared_ptr<peer_link> wait_until_up(absl::Time deadline) const;

    [[nodiscard]] const address& remote() const { return this->remote_address; }

private:
    void maintain_link();
    // Waits for `delay` and then until redialling is enabled. Returns false if the dialer is being
    // stopped.
    [[nodiscard]] bool wait_before_redial(absl::Duration delay);

    const std::shared_ptr<const link_options> options;
    const address remote_address;
    mutable absl::Mutex mutex;
    std::shared_ptr<peer_link> link ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool redial_enabled ABSL_GUARDED_BY(mutex) = true;
    std::thread dialling;
};

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_LINK_SERVER_H_
