// Accepts links from other processes and keeps links to them.
//
// `link_server` runs one thread for each accepted connection. `link_dialer` keeps one link to one
// address, on one thread, and dials again with a growing pause after each loss.

#ifndef SARDINESTREAM_WIRE_LINK_SERVER_H_
#define SARDINESTREAM_WIRE_LINK_SERVER_H_

#include <memory>
#include <set>
#include <thread>

#include "sardinestream/base/thread_group.h"
#include "sardinestream/wire/peer_link.h"

namespace sardinestream::wire {

// Thread-safe.
class link_server {
public:
    // Listens on `local` and starts accepting.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<link_server>>
    create(std::shared_ptr<const link_options> options, const address& local);

    // Stops accepting, ends every link and waits for their threads.
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;

    [[nodiscard]] const address& local() const { return this->listener->local(); }

    // The links that are up now.
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
    std::thread accepting;
};

// Thread-safe.
class link_dialer {
public:
    link_dialer(std::shared_ptr<const link_options> options, address remote);

    // Ends the link and waits for its thread.
    ~link_dialer();
    link_dialer(const link_dialer&) = delete;
    link_dialer& operator=(const link_dialer&) = delete;

    // The link, or null while there is none.
    [[nodiscard]] std::shared_ptr<peer_link> current() const;

    // With false, a link that is lost is not dialled again; the present one stays. With true, as at
    // the start, it is.
    void keep_dialling(bool wanted);

    // Waits until there is a link. Returns null at `deadline`.
    [[nodiscard]] std::shared_ptr<peer_link> wait_until_up(absl::Time deadline) const;

    [[nodiscard]] const address& remote() const { return this->remote_address; }

private:
    void keep_link();
    // Waits for `time` and then until the link is wanted; returns false once it is stopping.
    [[nodiscard]] bool pause(absl::Duration time);

    const std::shared_ptr<const link_options> options;
    const address remote_address;
    mutable absl::Mutex mutex;
    std::shared_ptr<peer_link> link ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool wanted ABSL_GUARDED_BY(mutex) = true;
    std::thread dialling;
};

} // namespace sardinestream::wire

#endif // SARDINESTREAM_WIRE_LINK_SERVER_H_
