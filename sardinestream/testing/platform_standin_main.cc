// The platform stand-in as a process of its own; see platform_standin.h for its orders.

#include <csignal>
#include <cstdio>

#include <gflags/gflags.h>

#include "sardinestream/base/settings.h"
#include "sardinestream/testing/platform_standin.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 takes a free one");

namespace {

using sardinestream::testing::platform_standin;

// Blocks the signals that end the process, so that `main` can wait for them.
sigset_t block_end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int fail(const absl::Status& status)
{
    std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    const absl::Status loaded = sardinestream::load_settings(&argc, &argv, {"listen"});
    if (!loaded.ok()) {
        return fail(loaded);
    }
    const absl::StatusOr<sardinestream::address> local = sardinestream::parse_address(FLAGS_listen);
    if (!local.ok()) {
        return fail(sardinestream::check_address("listen", FLAGS_listen));
    }
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t end_signals = block_end_signals();
    const absl::StatusOr<std::unique_ptr<platform_standin>> standin =
        platform_standin::create(*local);
    if (!standin.ok()) {
        return fail(standin.status());
    }
    std::printf("listening=%s\n", (*standin)->local().to_string().c_str());
    std::fflush(stdout);
    int received = 0;
    sigwait(&end_signals, &received);
    return 0;
}
