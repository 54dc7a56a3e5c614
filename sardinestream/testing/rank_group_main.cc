// standin_rank_group: the engines of one rank group, for tests and demonstrations.
//
//     standin_rank_group --ranks=4 --first_port=9100
//
// prints `listening=IP:PORT` of the admin port and `ready ports=9100,9101,9102,9103,9104` (the last
// one is the admin port), and runs until it is terminated.

#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "sardinestream/testing/rank_group_http.h"

DEFINE_int32(ranks, 4, "Ranks of the group.");
DEFINE_string(ip, "127.0.0.1", "Where to listen.");
DEFINE_int32(first_port, 0, "Port of rank 0; the next ranks and the admin port follow. 0: any.");
DEFINE_bool(honours_fencing, true, "Whether orders with an old fencing number are refused.");
DEFINE_int32(base_step_us, 1000, "Time of a step without load, in microseconds.");
DEFINE_double(us_per_token, 1, "Time per token of the slowest rank, in microseconds.");
DEFINE_double(weight_store_rate, 1000, "Experts per second that the weight store delivers.");
DEFINE_int32(layers, 1, "Layers with experts.");
DEFINE_int32(experts_per_layer, 16, "Experts of a layer.");
DEFINE_double(tokens_per_layer, 256, "Tokens per step.");
DEFINE_int32(drift_steps, 0, "Steps between changes of popularity. 0: none.");
DEFINE_int32(drift_swaps, 1, "Pairs of experts of a layer that trade places at a change.");
DEFINE_uint64(seed, 1, "Seed of the popularity.");

namespace {

sardinestream::testing::rank_group_options options_from_flags()
{
    sardinestream::testing::rank_group_options options;
    options.ranks = FLAGS_ranks;
    options.honours_fencing = FLAGS_honours_fencing;
    options.base_step_time = absl::Microseconds(FLAGS_base_step_us);
    options.time_per_token = absl::Microseconds(FLAGS_us_per_token);
    options.weight_store_rate = FLAGS_weight_store_rate;
    options.load.layers = FLAGS_layers;
    options.load.experts_per_layer = FLAGS_experts_per_layer;
    options.load.tokens_per_layer = static_cast<float>(FLAGS_tokens_per_layer);
    options.load.drift_steps = FLAGS_drift_steps;
    options.load.drift_swaps = FLAGS_drift_swaps;
    options.load.seed = FLAGS_seed;
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    auto group = sardinestream::testing::rank_group_server::create(options_from_flags(), FLAGS_ip,
                                                                   FLAGS_first_port);
    if (!group.ok()) {
        std::cerr << "standin_rank_group: " << group.status().ToString() << "\n";
        return 1;
    }
    std::cout << "listening=" << (*group)->admin_address().to_string() << "\n";
    std::cout << "ready ports=";
    for (int rank = 0; rank < FLAGS_ranks; ++rank) {
        std::cout << (*group)->engine_address(rank).port << ",";
    }
    std::cout << (*group)->admin_address().port << std::endl;
    int signal_number = 0;
    sigwait(&ends, &signal_number);
    return 0;
}
