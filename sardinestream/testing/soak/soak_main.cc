// Runs the soak for one seed or a series of them and prints what was broken.
//
//     soak --seed=7 --seeds=50
//     soak --house --plan=coordinators --entries=6 --model_servers=63 --requesters=600
//         --requests_per_s=266 --entry_share=0.3 --agent_share=0.15 --seed=57001
//
// Exits with 0 where every promise was kept, with 1 otherwise. A seed that failed runs again with
// SARDINE_KEEP_LOGS=1 set to keep the logs of its processes.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "sardinestream/testing/soak/soak_run.h"

#include "absl/strings/numbers.h"

DEFINE_int32(seed, 0, "First seed; 0 takes one from the clock");
DEFINE_int32(seeds, 1, "How many seeds to run, one after the other");
DEFINE_string(regression_seeds, "",
              "File of further seeds to run, one a line, `#` begins a comment");
DEFINE_int32(length_ms, 8000, "Time in which faults begin and end");
DEFINE_int32(entries, 2, "Entries");
DEFINE_int32(model_servers, 4, "Model servers, each with an agent; one group");
DEFINE_int32(processes, 0,
             "Entries and agents in all, one entry for three agents; 0 leaves it to --entries and "
             "--model_servers");
DEFINE_int32(plain_servers, 4, "Plain servers of two services");
DEFINE_int32(requesters, 12, "Callers");
DEFINE_bool(house, false,
            "Play planned work alone, in series, on unequal ranks, with entries at half speed");
DEFINE_string(plan, "series",
              "What a house stops: series, machines (several at a time), or coordinators, too");
DEFINE_double(entry_share, 0, "Of a core, for each entry; 0 for half in a house, else a whole one");
DEFINE_double(agent_share, 1, "Of a core, for each agent");
DEFINE_double(requests_per_s, 0,
              "Of all callers together, open loop; 0 lets each send once it has its answer");
DEFINE_double(stream_share, sardinestream::testing::house_stream_share,
              "Of the requests of a house that are streams");
DEFINE_int32(stream_pace_ms, 0, "Between the events of these streams; 0 for one at each pass");
DEFINE_int32(pass_ms, 0, "Time of a pass; 0 for that of the house");
DEFINE_int32(stall_ms, 0, "Silence before a broken group's servers break off; 0 draws it");
DEFINE_int32(form_ms, 200, "From the return of a rank until its group runs again");
DEFINE_double(roll_share, 0.45, "Of all machines that a roll stops");
DEFINE_int32(roll_batch, 3, "Machines that a roll stops at a time");
DEFINE_int32(roll_gap_ms, 1300, "Between two batches of a roll");
DEFINE_bool(memory_setting, true,
            "Tell entries what memory they have; false for programs before "
            "2026-12-06");
DEFINE_int32(groups, 1, "Groups that the model servers form, each of as many ranks");

namespace {

bool is_plan(const char* /*flag*/, const std::string& name)
{
    return name == "series" || name == "machines" || name == "coordinators";
}

} // namespace

DEFINE_validator(plan, &is_plan);

namespace sardinestream::testing {
namespace {

soak_size make_size()
{
    constexpr int processes_per_entry = 4;
    soak_size size;
    size.entries = FLAGS_entries;
    size.model_servers = FLAGS_model_servers;
    size.plain_servers = FLAGS_plain_servers;
    if (FLAGS_processes > 0) {
        size.entries = std::max(2, FLAGS_processes / processes_per_entry);
        size.model_servers = std::max(1, FLAGS_processes - size.entries);
    }
    size.groups = FLAGS_groups;
    const double usual_share = FLAGS_house ? house_entry_share : 1;
    size.entry_share = FLAGS_entry_share > 0 ? FLAGS_entry_share : usual_share;
    size.agent_share = FLAGS_agent_share;
    size.form_time = std::chrono::milliseconds(FLAGS_form_ms);
    size.roll_share = FLAGS_roll_share;
    size.roll_batch = FLAGS_roll_batch;
    size.roll_gap = std::chrono::milliseconds(FLAGS_roll_gap_ms);
    size.sets_memory = FLAGS_memory_setting;
    size.model_servers -= size.model_servers % size.groups;
    return size;
}

house_plan plan_named(const std::string& name)
{
    if (name == "machines") {
        return house_plan::machines;
    }
    return name == "coordinators" ? house_plan::coordinators : house_plan::series;
}

// Returns nothing for zero.
std::optional<std::chrono::milliseconds> duration_flag(int ms)
{
    return ms > 0 ? std::optional(std::chrono::milliseconds(ms)) : std::nullopt;
}

bool run_one(unsigned seed)
{
    soak_options options;
    options.seed = seed;
    options.size = make_size();
    options.length = std::chrono::milliseconds(FLAGS_length_ms);
    options.requesters = FLAGS_requesters;
    options.house = FLAGS_house;
    options.plan = plan_named(FLAGS_plan);
    options.requests_per_s = FLAGS_requests_per_s;
    options.stream_share = FLAGS_stream_share;
    options.stream_pace = std::chrono::milliseconds(FLAGS_stream_pace_ms);
    options.stall = duration_flag(FLAGS_stall_ms);
    options.pass_time = duration_flag(FLAGS_pass_ms);
    const soak_verdict verdict = run_soak(options);
    std::printf("seed=%u verdict=%s faults=%zu requests=%d succeeded=%d not_run=%d failed=%d "
                "left=%d runs=%d passes=%lld\n",
                seed, verdict.broken.empty() ? "kept" : "broken", verdict.faults.size(),
                verdict.requests.sent, verdict.requests.succeeded, verdict.requests.not_run,
                verdict.requests.failed, verdict.requests.left, verdict.requests.runs,
                static_cast<long long>(verdict.passes));
    if (!verdict.broken.empty()) {
        for (const soak_fault& fault : verdict.faults) {
            std::printf("  fault %s\n", fault.to_string().c_str());
        }
        for (const std::string& broken : verdict.broken) {
            std::printf("  broken %s\n", broken.c_str());
        }
        std::printf("  logs %s\n", verdict.log_directory.c_str());
    }
    std::fflush(stdout);
    return verdict.broken.empty();
}

// Returns the seeds of a file; an empty list where none is named.
std::vector<unsigned> read_seeds(const std::string& path)
{
    std::vector<unsigned> seeds;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        unsigned seed = 0;
        const std::string number = line.substr(0, line.find_first_of(" #"));
        if (absl::SimpleAtoi(number, &seed)) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

int run()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch().count();
    const unsigned first = FLAGS_seed > 0 ? static_cast<unsigned>(FLAGS_seed)
                                          : static_cast<unsigned>(now % 1000000000);
    std::vector<unsigned> seeds = read_seeds(FLAGS_regression_seeds);
    for (int i = 0; i < FLAGS_seeds; ++i) {
        seeds.push_back(first + static_cast<unsigned>(i));
    }
    int broken = 0;
    for (const unsigned seed : seeds) {
        broken += run_one(seed) ? 0 : 1;
    }
    return broken == 0 ? 0 : 1;
}

} // namespace
} // namespace sardinestream::testing

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plays drawn faults against the real programs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return sardinestream::testing::run();
}
