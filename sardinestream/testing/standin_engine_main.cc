// Stand-in for a model engine as a process. Prints `listening=IP:PORT` when it is ready.

#include <csignal>
#include <cstdio>

#include <gflags/gflags.h>
#include <unistd.h>

#include "sardinestream/testing/standin_engine.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 takes a free one");
DEFINE_string(model, "assistant", "name of the model");
DEFINE_int32(slots, 16, "requests that are decoded at a time");
DEFINE_int32(token_us, 10000, "time per token at batch size 1, in microseconds");
DEFINE_double(batch_growth, 0.02, "share by which each further request lengthens the token time");
DEFINE_int32(prefill_us, 100, "time per uncached prompt token, in microseconds");
DEFINE_int32(cached_blocks, 4096, "size of the prefix cache, in blocks of 64 bytes of prompt");
DEFINE_int32(load_lag_ms, 500, "how old the figures of /load may be, in milliseconds");
DEFINE_string(crash_marker, "", "a prompt with this text ends the process");
DEFINE_string(ledger_file, "", "file to which each attempt appends its request id");
DEFINE_bool(check_fencing, true, "refuse orders with an old fencing number");

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
    testing::standin_engine_options options;
    options.local = *local;
    options.model = FLAGS_model;
    options.batch = {.slots = FLAGS_slots,
                     .token_time = absl::Microseconds(FLAGS_token_us),
                     .batch_growth = FLAGS_batch_growth,
                     .prefill_time = absl::Microseconds(FLAGS_prefill_us),
                     .cached_blocks = static_cast<std::size_t>(FLAGS_cached_blocks)};
    options.load_lag = absl::Milliseconds(FLAGS_load_lag_ms);
    options.crash_marker = FLAGS_crash_marker;
    options.check_fencing = FLAGS_check_fencing;
    options.ledger_file = FLAGS_ledger_file;
    const auto engine = testing::standin_engine::create(options);
    if (!engine.ok()) {
        std::fprintf(stderr, "%s\n", engine.status().ToString().c_str());
        return 1;
    }
    std::printf("listening=%s\n", (*engine)->local().to_string().c_str());
    std::fflush(stdout);
    while (true) {
        pause();
    }
}
