#include "sardinestream/base/instance_settings.h"

#include <gflags/gflags.h>

#include "sardinestream/base/error.h"

DEFINE_string(id, "", "Name of this instance, unique in the fleet");
DEFINE_string(data_centre, "", "Data centre of this instance, REGION/NAME");
DEFINE_string(ops_listen, "127.0.0.1:0", "IP:PORT of /healthz, /readyz, /metrics and /status");
DEFINE_string(fleet_key, "",
              "Key that all instances of the fleet share, 16 bytes or more. Secret: give it in the "
              "environment as SARDINE_FLEET_KEY");
DEFINE_int32(heartbeat_ms, 250, "Milliseconds between heartbeats on a link, 10 to 60000");
DEFINE_int32(peer_timeout_ms, 1500,
             "Milliseconds of silence after which a peer counts as lost, 3 heartbeats to 600000");
DEFINE_int32(drain_timeout_s, 60, "Seconds a planned stop waits for requests, 1 to 3600");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_bool(check, false, "Check the settings, print nothing if they are valid, and exit");

namespace sardinestream {
namespace {

absl::Status check_flags()
{
    constexpr int shortest_heartbeat_ms = 10;
    constexpr int longest_heartbeat_ms = 60000;
    constexpr std::int64_t heartbeats_before_lost = 3;
    constexpr int longest_timeout_ms = 600000;
    constexpr int longest_drain_s = 3600;
    SARDINE_RETURN_IF_ERROR(check_present("id", FLAGS_id));
    SARDINE_RETURN_IF_ERROR(check_present("data_centre", FLAGS_data_centre));
    SARDINE_RETURN_IF_ERROR(check_address("ops_listen", FLAGS_ops_listen));
    SARDINE_RETURN_IF_ERROR(check_fleet_key("fleet_key", FLAGS_fleet_key));
    SARDINE_RETURN_IF_ERROR(check_range("heartbeat_ms", FLAGS_heartbeat_ms, shortest_heartbeat_ms,
                                        longest_heartbeat_ms));
    SARDINE_RETURN_IF_ERROR(check_range("peer_timeout_ms", FLAGS_peer_timeout_ms,
                                        heartbeats_before_lost * FLAGS_heartbeat_ms,
                                        longest_timeout_ms));
    return check_range("drain_timeout_s", FLAGS_drain_timeout_s, 1, longest_drain_s);
}

} // namespace

std::vector<std::string> with_instance_flags(std::vector<std::string> own)
{
    for (const char* name : {"id", "data_centre", "ops_listen", "fleet_key", "heartbeat_ms",
                             "peer_timeout_ms", "drain_timeout_s", "log_level"}) {
        own.emplace_back(name);
    }
    return own;
}

absl::Status read_instance_settings(instance_settings& settings)
{
    SARDINE_RETURN_IF_ERROR(check_flags());
    if (!parse_log_level(FLAGS_log_level, settings.log_minimum)) {
        return setting_error("log_level", FLAGS_log_level, "debug, info, warning, error");
    }
    settings.id = FLAGS_id;
    settings.data_centre = FLAGS_data_centre;
    settings.ops_listen = *parse_address(FLAGS_ops_listen);
    settings.fleet_key = FLAGS_fleet_key;
    settings.heartbeat_interval = absl::Milliseconds(FLAGS_heartbeat_ms);
    settings.peer_timeout = absl::Milliseconds(FLAGS_peer_timeout_ms);
    settings.drain_timeout = absl::Seconds(FLAGS_drain_timeout_s);
    settings.check_only = FLAGS_check;
    return absl::OkStatus();
}

} // namespace sardinestream
