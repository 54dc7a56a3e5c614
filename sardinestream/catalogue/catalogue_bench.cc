// Measures the cost of the catalogue, for docs/CAPACITY.md. Prints one line of JSON.
//
//     catalogue_bench --entries=4000 --edits=20 --acceptors=3 --peers=6
//
// Everything runs in one process over real sockets: a platform stand-in, acceptors that watch it,
// and peers that receive changes over links only, each connected to two acceptors.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/log.h"
#include "sardinestream/catalogue/acceptance.h"
#include "sardinestream/catalogue/catalogue_test_node.h"
#include "sardinestream/testing/platform_standin.h"

#include "absl/strings/str_cat.h"

DEFINE_int32(entries, 1000, "entries in the catalogue");
DEFINE_int32(edits, 20, "edits, one after the other");
DEFINE_int32(acceptors, 3, "processes that watch the platform and decide");
DEFINE_int32(peers, 6, "processes that receive changes from the acceptors only");

namespace sardinestream::catalogue {
namespace {

using sardinestream::testing::platform_standin;

constexpr int repetitions = 20;

std::string entry_spec(int entry, int max_in_flight)
{
    return nlohmann::json(
               {{"owner", absl::StrCat("team-", entry)},
                {"service", "assistant"},
                {"work_class", "model"},
                {"repeat", "all"},
                {"limits", {{"max_in_flight", max_in_flight}}},
                {"key_digests",
                 {sha256_hex(absl::StrCat("a", entry)), sha256_hex(absl::StrCat("b", entry))}}})
        .dump();
}

std::string entry_name(int entry)
{
    return absl::StrCat("team-", entry, "-assistant");
}

double resident_mb()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double median_ms(const std::function<void()>& work)
{
    std::vector<double> times;
    for (int i = 0; i < repetitions; ++i) {
        const absl::Time begin = absl::Now();
        work();
        times.push_back(absl::ToDoubleMilliseconds(absl::Now() - begin));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

std::map<std::string, std::uint64_t> difference(const std::map<std::string, std::uint64_t>& after,
                                                std::map<std::string, std::uint64_t> before)
{
    std::map<std::string, std::uint64_t> result;
    for (const auto& [name, count] : after) {
        result[name] = count - before[name];
    }
    return result;
}

class bench {
public:
    nlohmann::json run()
    {
        for (int i = 0; i < FLAGS_entries; ++i) {
            this->standin->put_entry(entry_name(i), entry_spec(i, 4));
        }
        for (int i = 0; i < FLAGS_acceptors; ++i) {
            this->nodes.push_back(std::make_unique<catalogue_node>(
                catalogue_node_options{.id = absl::StrCat("acceptor-", i),
                                       .platform_server = this->standin->local(),
                                       .accept = true}));
        }
        const absl::Time begin = absl::Now();
        for (int i = 0; i < FLAGS_peers; ++i) {
            this->nodes.push_back(std::make_unique<catalogue_node>(
                catalogue_node_options{.id = absl::StrCat("peer-", i)}));
            for (int link = 0; link < std::min(2, FLAGS_acceptors); ++link) {
                const catalogue_node& remote = *this->nodes[(i + link) % FLAGS_acceptors];
                this->nodes.back()->dialers.push_back(std::make_unique<wire::link_dialer>(
                    this->nodes.back()->links, remote.server->local()));
            }
        }
        for (const auto& one : this->nodes) {
            while (one->service->state().current()->entries().size() <
                   static_cast<std::size_t>(FLAGS_entries)) {
                absl::SleepFor(absl::Milliseconds(1));
            }
        }
        this->figures["entries"] = FLAGS_entries;
        this->figures["first_fill_s"] = absl::ToDoubleSeconds(absl::Now() - begin);
        this->figures["resident_mb_per_process"] =
            resident_mb() / static_cast<double>(this->nodes.size());
        this->wait_until_quiet();
        this->measure_content();
        this->measure_edits();
        return this->figures;
    }

private:
    // Waits until the acceptors have written every status and removed unreferenced shards.
    void wait_until_quiet()
    {
        constexpr absl::Duration quiet_time = absl::Seconds(3);
        std::uint64_t writes = 0;
        std::uint64_t before = 0;
        do {
            before = writes;
            absl::SleepFor(quiet_time);
            const auto counts = this->standin->call_counts();
            writes = 0;
            for (const auto& [name, count] : counts) {
                const bool read = name.starts_with("GET") || name.starts_with("WATCH");
                writes += read ? 0 : count;
            }
        } while (writes != before);
    }

    void measure_content()
    {
        const auto image = this->nodes[0]->service->state().image();
        std::size_t shard_bytes = 0;
        std::size_t largest = 0;
        for (const shard_pointer& part : image->shards_after(0)) {
            shard_bytes += part->content.size();
            largest = std::max(largest, part->content.size());
        }
        this->figures["shard_bytes_total"] = shard_bytes;
        this->figures["shard_bytes_largest"] = largest;
        this->figures["index_bytes"] = format_index(image->index()).size();
        this->figures["apply_ms"] =
            median_ms([&] { catalogue_image(image->index(), image->shards()); });
        entry_view view;
        platform::object_list listed = this->standin->store().list(entry_kind);
        view.version = listed.version;
        for (platform::object& one : listed.objects) {
            // Formatted as the platform returns it.
            one.spec = nlohmann::json::parse(one.spec).dump();
            const std::string name = one.name;
            view.objects.emplace(name, std::move(one));
        }
        this->figures["plan_ms"] = median_ms([&] {
            const auto plan = plan_acceptance(*image, view, image->number() + 1, absl::Now());
            if (!plan.changed.empty()) {
                std::abort();
            }
        });
    }

    void measure_edits()
    {
        std::vector<double> latencies_ms;
        const auto calls_before = this->standin->call_counts();
        rusage before{};
        getrusage(RUSAGE_SELF, &before);
        const absl::Time begin = absl::Now();
        for (int i = 0; i < FLAGS_edits; ++i) {
            const int entry = i * 7 % FLAGS_entries;
            const absl::Time edited = absl::Now();
            const std::uint64_t number = this->nodes[0]->service->state().number();
            this->standin->put_entry(entry_name(entry), entry_spec(entry, 100 + i));
            for (const auto& one : this->nodes) {
                if (!one->service->state().wait_until_number(number + 1,
                                                             absl::Now() + absl::Seconds(60))) {
                    std::abort();
                }
            }
            latencies_ms.push_back(absl::ToDoubleMilliseconds(absl::Now() - edited));
            absl::SleepFor(absl::Milliseconds(400));
        }
        rusage after{};
        getrusage(RUSAGE_SELF, &after);
        const auto cpu_s = [](const rusage& used) {
            return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                   static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
        };
        std::sort(latencies_ms.begin(), latencies_ms.end());
        this->figures["edits"] = FLAGS_edits;
        this->figures["edits_s"] = absl::ToDoubleSeconds(absl::Now() - begin);
        this->figures["cpu_s_all_processes"] = cpu_s(after) - cpu_s(before);
        this->figures["in_force_everywhere_ms_p50"] = latencies_ms[latencies_ms.size() / 2];
        this->figures["in_force_everywhere_ms_max"] = latencies_ms.back();
        this->figures["store_calls"] = difference(this->standin->call_counts(), calls_before);
    }

    std::unique_ptr<platform_standin> standin = platform_standin::create({"127.0.0.1", 0}).value();
    std::vector<std::unique_ptr<catalogue_node>> nodes;
    nlohmann::json figures;
};

} // namespace
} // namespace sardinestream::catalogue

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sardinestream::start_logging(sardinestream::log_level::error, "catalogue_bench", "bench");
    std::printf("%s\n", sardinestream::catalogue::bench().run().dump().c_str());
    return 0;
}
