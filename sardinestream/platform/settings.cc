#include "sardinestream/platform/settings.h"

#include <cstdlib>
#include <fstream>
#include <utility>

#include <gflags/gflags.h>

#include "sardinestream/base/error.h"
#include "sardinestream/platform/wire_names.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

DEFINE_string(id, "", "Name of this instance, unique in the fleet");
DEFINE_string(data_centre, "", "Data centre of this instance");
DEFINE_string(ip, "", "IPv4 address of this machine");
DEFINE_int32(ops_port, 9464, "Port of /metrics and /status, 0 to 65535");
DEFINE_int32(news_port, 0, "Port for messages between processes of the load balancer, 1 to 65535");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_bool(check_settings, false, "Check the settings, print nothing if they are valid, and exit");
DEFINE_bool(print_status, false,
            "Print the status of the running process with these settings, and exit");

DEFINE_string(front_listen, "", "IP:PORT that serves callers");
DEFINE_string(ready_listen, "", "IP:PORT of the readiness endpoint for the platform");
DEFINE_string(store, "", "IP:PORT of the platform's object store");
DEFINE_string(seeds, "", "IP:PORT,... of other entries, to start without the store");
DEFINE_int32(file_descriptors, 4096, "Descriptors that the process may hold, 64 to 1000000");
DEFINE_int32(memory_mb, 256, "Megabytes of memory that the process may use, 64 to 1000000");
DEFINE_double(retry_ratio, 0.2, "Retries per request, fleet-wide, 0 to 1");
DEFINE_double(retry_slack, 20, "Retries allowed beyond retry_ratio, fleet-wide, 0 to 1e6");
DEFINE_int32(heartbeat_ms, 1200,
             "Milliseconds between heartbeats of a server to the store, 10 to 600000");
DEFINE_string(evacuation_ms, "",
              "Milliseconds within which the evacuation of a data centre is in force, 0 to 600000; "
              "empty or 0: none is watched");
DEFINE_double(grace_s, 8, "Seconds from SIGTERM to the end of the process, 1 to 600");
DEFINE_string(cold_overage, "",
              "A cold server may get its rate times this, 0.1 to 1000; empty: no limit");
DEFINE_string(cold_slack, "", "Requests that a cold server may get beyond that, 0 to 1e6");

DEFINE_string(backend, "", "IP:PORT of the backend server beside this process");
DEFINE_string(service, "", "Service of that backend server");
DEFINE_double(skew_weight, 1, "Weight of an even load across the ranks, 0.01 to 100");
DEFINE_double(rebalance_weight, 1, "Weight of the cost of copying experts, 0.01 to 100");

namespace sardinestream::platform {
namespace {

constexpr int highest_port = 65535;

const std::vector<std::string> common_flags = {"id",       "data_centre", "ip",
                                               "ops_port", "news_port",   "log_level"};

// Reads the settings file named by the platform, then the command line, then the environment.
absl::Status load(int* argc, char*** argv, std::vector<std::string> own)
{
    own.insert(own.begin(), common_flags.begin(), common_flags.end());
    if (const char* const path = std::getenv(wire::settings_variable); path != nullptr) {
        gflags::SetCommandLineOption("flagfile", path);
    }
    return load_settings(argc, argv, own);
}

// Reads the settings file again; the flags keep their values if it no longer exists.
absl::Status reload()
{
    const char* const path = std::getenv(wire::settings_variable);
    if (path == nullptr) {
        return make_error(absl::StatusCode::kNotFound, "reload_settings", "",
                          "no settings file was named at the start");
    }
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        absl::string_view text = line;
        if (!absl::ConsumePrefix(&text, "--")) {
            continue;
        }
        const std::pair<std::string, std::string> setting =
            absl::StrSplit(text, absl::MaxSplits('=', 1));
        if (gflags::SetCommandLineOption(setting.first.c_str(), setting.second.c_str()).empty()) {
            return setting_error(setting.first, setting.second, "a known setting and its type");
        }
    }
    return absl::OkStatus();
}

absl::Status read_common(common_settings& settings)
{
    SARDINE_RETURN_IF_ERROR(check_present("id", FLAGS_id));
    SARDINE_RETURN_IF_ERROR(check_present("data_centre", FLAGS_data_centre));
    SARDINE_RETURN_IF_ERROR(check_address("ip", absl::StrCat(FLAGS_ip, ":0")));
    SARDINE_RETURN_IF_ERROR(check_range("ops_port", FLAGS_ops_port, 0, highest_port));
    SARDINE_RETURN_IF_ERROR(check_range("news_port", FLAGS_news_port, 1, highest_port));
    if (!parse_log_level(FLAGS_log_level, settings.log_minimum)) {
        return setting_error("log_level", FLAGS_log_level, "debug, info, warning, error");
    }
    settings.id = FLAGS_id;
    settings.data_centre = FLAGS_data_centre;
    settings.ip = FLAGS_ip;
    settings.ops_listen = {FLAGS_ip, FLAGS_ops_port};
    settings.gossip_port = FLAGS_news_port;
    settings.check_only = FLAGS_check_settings;
    settings.print_status = FLAGS_print_status;
    return absl::OkStatus();
}

absl::Status check_number(absl::string_view flag, double value, double minimum, double maximum)
{
    return value >= minimum && value <= maximum
               ? absl::OkStatus()
               : setting_error(flag, absl::StrCat(value), absl::StrCat(minimum, " to ", maximum));
}

// Reads a number that a deployment may leave empty; zero if it does.
absl::StatusOr<double> read_optional_number(absl::string_view flag, absl::string_view value,
                                            double minimum, double maximum)
{
    if (value.empty()) {
        return 0;
    }
    double number = 0;
    if (!absl::SimpleAtod(value, &number)) {
        return setting_error(flag, value, "a number, or empty");
    }
    SARDINE_RETURN_IF_ERROR(check_number(flag, number, minimum, maximum));
    return number;
}

absl::Status read_cold_bound(entry_settings& settings)
{
    constexpr double min_overage = 0.1;
    constexpr double max_overage = 1000;
    constexpr double max_slack = 1e6;
    const absl::StatusOr<double> overage =
        read_optional_number("cold_overage", FLAGS_cold_overage, min_overage, max_overage);
    const absl::StatusOr<double> slack =
        read_optional_number("cold_slack", FLAGS_cold_slack, 0, max_slack);
    if (!overage.ok() || !slack.ok()) {
        return overage.ok() ? slack.status() : overage.status();
    }
    settings.cold_overage = *overage;
    settings.cold_slack = *slack;
    return absl::OkStatus();
}

absl::StatusOr<entry_settings> read_entry()
{
    constexpr int min_descriptors = 64;
    constexpr int max_descriptors = 1000000;
    constexpr int min_memory_mb = 64;
    constexpr int max_memory_mb = 1000000;
    constexpr std::size_t bytes_per_mb = 1000000;
    constexpr double max_slack = 1e6;
    constexpr double max_grace_s = 600;
    constexpr int min_heartbeat_ms = 10;
    constexpr int max_heartbeat_ms = 600000;
    constexpr int max_evacuation_ms = 600000;
    entry_settings settings;
    SARDINE_RETURN_IF_ERROR(read_common(settings));
    SARDINE_RETURN_IF_ERROR(check_address("front_listen", FLAGS_front_listen));
    SARDINE_RETURN_IF_ERROR(check_address("ready_listen", FLAGS_ready_listen));
    SARDINE_RETURN_IF_ERROR(check_address("store", FLAGS_store));
    SARDINE_RETURN_IF_ERROR(
        check_range("file_descriptors", FLAGS_file_descriptors, min_descriptors, max_descriptors));
    SARDINE_RETURN_IF_ERROR(
        check_range("memory_mb", FLAGS_memory_mb, min_memory_mb, max_memory_mb));
    SARDINE_RETURN_IF_ERROR(check_number("retry_ratio", FLAGS_retry_ratio, 0, 1));
    SARDINE_RETURN_IF_ERROR(check_number("retry_slack", FLAGS_retry_slack, 0, max_slack));
    SARDINE_RETURN_IF_ERROR(
        check_range("heartbeat_ms", FLAGS_heartbeat_ms, min_heartbeat_ms, max_heartbeat_ms));
    SARDINE_RETURN_IF_ERROR(check_number("grace_s", FLAGS_grace_s, 1, max_grace_s));
    SARDINE_RETURN_IF_ERROR(read_cold_bound(settings));
    int evacuation_ms = 0;
    if (!FLAGS_evacuation_ms.empty() && !absl::SimpleAtoi(FLAGS_evacuation_ms, &evacuation_ms)) {
        return setting_error("evacuation_ms", FLAGS_evacuation_ms, "a number or empty");
    }
    SARDINE_RETURN_IF_ERROR(check_range("evacuation_ms", evacuation_ms, 0, max_evacuation_ms));
    absl::StatusOr<std::vector<address>> seeds = parse_addresses(FLAGS_seeds);
    if (!seeds.ok()) {
        return setting_error("seeds", FLAGS_seeds, "IP:PORT,...");
    }
    settings.front_listen = *parse_address(FLAGS_front_listen);
    settings.ready_listen = *parse_address(FLAGS_ready_listen);
    settings.store = *parse_address(FLAGS_store);
    settings.seeds = *std::move(seeds);
    // A caller's connection uses two descriptors while it is served, and one more in a queue.
    constexpr int descriptors_per_connection = 4;
    settings.memory_bytes = static_cast<std::size_t>(FLAGS_memory_mb) * bytes_per_mb;
    settings.max_connections = FLAGS_file_descriptors / descriptors_per_connection;
    settings.retry_ratio = FLAGS_retry_ratio;
    settings.retry_slack = FLAGS_retry_slack;
    // The store removes an entry after three heartbeats of silence; the fourth is a margin.
    constexpr int heartbeats_per_entry = 4;
    settings.server_heartbeat = std::chrono::milliseconds(FLAGS_heartbeat_ms);
    settings.server_entry_lifetime = settings.server_heartbeat * heartbeats_per_entry;
    constexpr double ms_per_s = 1000.0;
    settings.evacuation_time = std::chrono::milliseconds(evacuation_ms);
    settings.grace = std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_grace_s * ms_per_s));
    return settings;
}

absl::StatusOr<agent_settings> read_agent()
{
    agent_settings settings;
    SARDINE_RETURN_IF_ERROR(read_common(settings));
    SARDINE_RETURN_IF_ERROR(check_address("backend", FLAGS_backend));
    SARDINE_RETURN_IF_ERROR(check_present("service", FLAGS_service));
    constexpr double min_weight = 0.01;
    constexpr double max_weight = 100;
    SARDINE_RETURN_IF_ERROR(check_number("skew_weight", FLAGS_skew_weight, min_weight, max_weight));
    SARDINE_RETURN_IF_ERROR(
        check_number("rebalance_weight", FLAGS_rebalance_weight, min_weight, max_weight));
    settings.backend = *parse_address(FLAGS_backend);
    settings.service = FLAGS_service;
    settings.skew_weight = FLAGS_skew_weight;
    settings.rebalance_weight = FLAGS_rebalance_weight;
    return settings;
}

} // namespace

absl::StatusOr<entry_settings> load_entry_settings(int* argc, char*** argv)
{
    SARDINE_RETURN_IF_ERROR(
        load(argc, argv,
             {"front_listen", "ready_listen", "store", "seeds", "file_descriptors", "memory_mb",
              "retry_ratio", "retry_slack", "heartbeat_ms", "evacuation_ms", "grace_s",
              "cold_overage", "cold_slack"}));
    return read_entry();
}

absl::StatusOr<agent_settings> load_agent_settings(int* argc, char*** argv)
{
    SARDINE_RETURN_IF_ERROR(
        load(argc, argv, {"backend", "service", "skew_weight", "rebalance_weight"}));
    return read_agent();
}

absl::StatusOr<entry_settings> reload_entry_settings()
{
    SARDINE_RETURN_IF_ERROR(reload());
    return read_entry();
}

absl::StatusOr<agent_settings> reload_agent_settings()
{
    SARDINE_RETURN_IF_ERROR(reload());
    return read_agent();
}

} // namespace sardinestream::platform
