// Stand-in for a plain service as a process. Prints `listening=IP:PORT` when it is ready.

#include <csignal>
#include <cstdio>

#include <gflags/gflags.h>
#include <unistd.h>

#include "sardinestream/testing/standin_service.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 takes a free one");
DEFINE_int32(delay_ms, 0, "time from effect to answer, in milliseconds");
DEFINE_string(crash_marker, "", "a body with this text ends the process");
DEFINE_string(ledger_file, "", "file to which each run appends its key");

int main(int argc, char** argv)
{
    using namespace sardinestream;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const absl::StatusOr<address> local = parse_address(FLAGS_listen);
    if (!local.ok()) {
        std::fprintf(stderr, "%s\n", local.status().ToString().c_str());
        return 2;
    }
    const auto service =
        testing::standin_service::create({.local = *local,
                                          .delay = absl::Milliseconds(FLAGS_delay_ms),
                                          .crash_marker = FLAGS_crash_marker,
                                          .ledger_file = FLAGS_ledger_file});
    if (!service.ok()) {
        std::fprintf(stderr, "%s\n", service.status().ToString().c_str());
        return 1;
    }
    std::printf("listening=%s\n", (*service)->local().to_string().c_str());
    std::fflush(stdout);
    while (true) {
        pause();
    }
}
