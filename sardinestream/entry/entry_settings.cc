#include "sardinestream/entry/entry_settings.h"

#include <gflags/gflags.h>

#include "sardinestream/base/error.h"
#include "sardinestream/routing/choose_backend.h"

#include "absl/strings/str_join.h"

DEFINE_string(id, "", "Name of this instance, unique in the fleet");
DEFINE_string(data_centre, "", "Data centre of this instance, REGION/NAME");
DEFINE_string(listen, "", "IP:PORT on which callers reach this entry");
DEFINE_string(link_listen, "", "IP:PORT on which other entries reach this entry");
DEFINE_string(ops_listen, "127.0.0.1:0", "IP:PORT of /healthz, /readyz, /metrics and /status");
DEFINE_string(platform, "", "Comma-separated IP:PORT of the platform's object API");
DEFINE_string(seeds, "",
              "Comma-separated IP:PORT of agents and entries, beside the platform's instance list");
DEFINE_string(fleet_key, "", "Key that all instances of the fleet share, 16 bytes or more. Secret");
DEFINE_string(policy, "expected_first_token", "Routing policy");
DEFINE_int32(entry_slots, 3, "Root owners of team limits, the same in the whole fleet, 1 to 1000");
DEFINE_int32(max_connections, 4000, "Callers' connections served at once, 1 to 100000");
DEFINE_bool(watch_catalogue, true, "Watch the catalogue in the platform; others hear from peers");
DEFINE_int32(drain_delay_ms, 1000,
             "Milliseconds between the fall of /readyz and the end of accepting, 0 to 60000");
DEFINE_int32(drain_timeout_s, 60, "Seconds a planned stop waits for requests, 1 to 3600");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_bool(check, false, "Check the settings, print nothing where they are right, and exit");

namespace sardinestream::entry {
namespace {

const std::vector<std::string>& flag_names()
{
    static const auto* const names = new std::vector<std::string>{"id",
                                                                  "data_centre",
                                                                  "listen",
                                                                  "link_listen",
                                                                  "ops_listen",
                                                                  "platform",
                                                                  "seeds",
                                                                  "fleet_key",
                                                                  "policy",
                                                                  "entry_slots",
                                                                  "max_connections",
                                                                  "watch_catalogue",
                                                                  "drain_delay_ms",
                                                                  "drain_timeout_s",
                                                                  "log_level"};
    return *names;
}

absl::Status check_addresses(absl::string_view flag, absl::string_view value)
{
    return parse_addresses(value).ok() ? absl::OkStatus()
                                       : setting_error(flag, value, "IP:PORT,IP:PORT,...");
}

absl::Status check_flags()
{
    constexpr int most_connections = 100000;
    constexpr int most_entry_slots = 1000;
    constexpr int longest_delay_ms = 60000;
    constexpr int longest_drain_s = 3600;
    SARDINE_RETURN_IF_ERROR(check_present("id", FLAGS_id));
    SARDINE_RETURN_IF_ERROR(check_present("data_centre", FLAGS_data_centre));
    SARDINE_RETURN_IF_ERROR(check_address("listen", FLAGS_listen));
    SARDINE_RETURN_IF_ERROR(check_address("link_listen", FLAGS_link_listen));
    SARDINE_RETURN_IF_ERROR(check_address("ops_listen", FLAGS_ops_listen));
    SARDINE_RETURN_IF_ERROR(check_present("platform", FLAGS_platform));
    SARDINE_RETURN_IF_ERROR(check_addresses("platform", FLAGS_platform));
    SARDINE_RETURN_IF_ERROR(check_addresses("seeds", FLAGS_seeds));
    SARDINE_RETURN_IF_ERROR(check_fleet_key("fleet_key", FLAGS_fleet_key));
    SARDINE_RETURN_IF_ERROR(check_range("entry_slots", FLAGS_entry_slots, 1, most_entry_slots));
    SARDINE_RETURN_IF_ERROR(
        check_range("max_connections", FLAGS_max_connections, 1, most_connections));
    SARDINE_RETURN_IF_ERROR(
        check_range("drain_delay_ms", FLAGS_drain_delay_ms, 0, longest_delay_ms));
    SARDINE_RETURN_IF_ERROR(
        check_range("drain_timeout_s", FLAGS_drain_timeout_s, 1, longest_drain_s));
    if (!routing::make_policy(FLAGS_policy).ok()) {
        return setting_error("policy", FLAGS_policy, absl::StrJoin(routing::policy_names(), ", "));
    }
    log_level ignored = log_level::info;
    return parse_log_level(FLAGS_log_level, ignored)
               ? absl::OkStatus()
               : setting_error("log_level", FLAGS_log_level, "debug, info, warning, error");
}

} // namespace

absl::StatusOr<entry_settings> load_entry_settings(int* argc, char*** argv)
{
    gflags::SetUsageMessage("takes callers' requests and hands them to the agents");
    SARDINE_RETURN_IF_ERROR(load_settings(argc, argv, flag_names()));
    SARDINE_RETURN_IF_ERROR(check_flags());
    entry_settings settings;
    settings.id = FLAGS_id;
    settings.data_centre = FLAGS_data_centre;
    settings.listen = *parse_address(FLAGS_listen);
    settings.link_listen = *parse_address(FLAGS_link_listen);
    settings.ops_listen = *parse_address(FLAGS_ops_listen);
    settings.platform = *parse_addresses(FLAGS_platform);
    settings.seeds = *parse_addresses(FLAGS_seeds);
    settings.fleet_key = FLAGS_fleet_key;
    settings.policy = FLAGS_policy;
    settings.entry_slots = FLAGS_entry_slots;
    settings.max_connections = FLAGS_max_connections;
    settings.watch_catalogue = FLAGS_watch_catalogue;
    settings.drain_delay = absl::Milliseconds(FLAGS_drain_delay_ms);
    settings.drain_timeout = absl::Seconds(FLAGS_drain_timeout_s);
    settings.check_only = FLAGS_check;
    (void)parse_log_level(FLAGS_log_level, settings.log_minimum);
    return settings;
}

} // namespace sardinestream::entry
