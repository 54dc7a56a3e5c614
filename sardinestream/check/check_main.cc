// Entry point of sardine-check: reports what is wrong with a configuration, and what it changes,
// before it is sent.

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include <gflags/gflags.h>

#include "sardinestream/base/error.h"
#include "sardinestream/check/check_command.h"
#include "sardinestream/platform/desired_state_decoder.h"

#include "absl/strings/str_cat.h"

DEFINE_string(config, "", "File with the configuration that is to be sent");
DEFINE_string(catalogue, "",
              "File with a JSON array of catalogue entries of the product's own interface");
DEFINE_string(against, "",
              "File with the configuration in force, or IP:PORT of an entry's messages");
DEFINE_string(format, "text", "text or json");
DEFINE_int32(entries, 0, "Number of entries, 0 if unknown");
DEFINE_int32(request_memory_mb, 0,
             "Megabytes that the smallest entry has for bodies of requests, 0 if unknown");
DEFINE_double(cold_overage, 0, "Times the cold rate that a cold server bears, 0 if unknown");
DEFINE_double(cold_slack, 0, "Requests per second that it bears beyond that");

namespace sardinestream::check {
namespace {

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return make_error(absl::StatusCode::kNotFound, "read", path, "no readable file");
    }
    return text.str();
}

absl::StatusOr<std::string> read_in_force(const std::string& place)
{
    const absl::StatusOr<address> entry = parse_address(place);
    return entry.ok() ? fetch_in_force(*entry) : read_file(place);
}

int fail(const absl::Status& error)
{
    std::fprintf(stderr, "%s\n", describe(error).c_str());
    return exit_unreadable;
}

int print(const check_outcome& outcome)
{
    std::FILE* const stream = outcome.exit_status == exit_unreadable ? stderr : stdout;
    std::fputs(outcome.text.c_str(), stream);
    return outcome.exit_status;
}

int check_catalogue()
{
    const absl::StatusOr<std::string> text = read_file(FLAGS_catalogue);
    return text.ok() ? print(run_catalogue_check(*text, FLAGS_format == "json"))
                     : fail(text.status());
}

int run()
{
    if (FLAGS_format != "text" && FLAGS_format != "json") {
        return fail(setting_error("format", FLAGS_format, "text or json"));
    }
    if (!FLAGS_catalogue.empty()) {
        return check_catalogue();
    }
    const absl::StatusOr<std::string> config = read_file(FLAGS_config);
    if (!config.ok()) {
        return fail(config.status());
    }
    check_command command;
    command.config = *config;
    if (!FLAGS_against.empty()) {
        absl::StatusOr<std::string> in_force = read_in_force(FLAGS_against);
        if (!in_force.ok()) {
            return fail(in_force.status());
        }
        command.in_force = *std::move(in_force);
    }
    constexpr std::size_t bytes_per_mb = std::size_t{1} << 20U;
    command.fleet.entries = FLAGS_entries;
    command.fleet.request_memory_bytes =
        static_cast<std::size_t>(std::max(0, FLAGS_request_memory_mb)) * bytes_per_mb;
    command.fleet.cold_overage = FLAGS_cold_overage;
    command.fleet.cold_slack = FLAGS_cold_slack;
    command.as_json = FLAGS_format == "json";
    return print(run_check(command, platform::decode_desired_state));
}

} // namespace
} // namespace sardinestream::check

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("checks a configuration before it is sent");
    gflags::SetVersionString("0.2.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return sardinestream::check::run();
}
