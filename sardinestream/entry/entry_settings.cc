#include "sardinestream/entry/entry_settings.h"

#include <gflags/gflags.h>

#include "sardinestream/base/error.h"
#include "sardinestream/routing/routing_policy.h"

#include "absl/strings/str_join.h"

DEFINE_string(listen, "", "IP:PORT on which callers reach this entry");
DEFINE_string(link_listen, "", "IP:PORT on which other entries reach this entry");
DEFINE_string(platform, "", "Comma-separated IP:PORT of the platform's object API");
DEFINE_string(
    seeds, "",
    "Comma-separated IP:PORT of agents and entries, in addition to the platform's instance list");
DEFINE_string(policy, "expected_first_token", "Routing policy");
DEFINE_int32(entry_slots, 3,
             "Number of root owners of team limits, equal on all entries, 1 to 1000");
DEFINE_int32(max_connections, 4000, "Maximum concurrent connections from callers, 1 to 100000");
DEFINE_bool(watch_catalogue, true,
            "Watch the catalogue in the platform; if false, learn it from peers");
DEFINE_int32(drain_delay_ms, 1000,
             "Milliseconds between the first failing /readyz and refusing requests, 0 to 60000");

namespace sardinestream::entry {
namespace {

const std::vector<std::string>& flag_names()
{
    static const auto* const names = new std::vector<std::string>{
        "listen",      "link_listen",     "platform",        "seeds",         "policy",
        "entry_slots", "max_connections", "watch_catalogue", "drain_delay_ms"};
    return *names;
}

absl::Status check_addresses(absl::string_view flag, absl::string_view value)
{
    return parse_addresses(value).ok() ? absl::OkStatus()
                                       : setting_error(flag, value, "IP:PORT,IP:PORT,...");
}

absl::Status check_flags()
{
    constexpr int max_connections_limit = 100000;
    constexpr int max_entry_slots = 1000;
    constexpr int max_drain_delay_ms = 60000;
    SARDINE_RETURN_IF_ERROR(check_address("listen", FLAGS_listen));
    SARDINE_RETURN_IF_ERROR(check_address("link_listen", FLAGS_link_listen));
    SARDINE_RETURN_IF_ERROR(check_present("platform", FLAGS_platform));
    SARDINE_RETURN_IF_ERROR(check_addresses("platform", FLAGS_platform));
    SARDINE_RETURN_IF_ERROR(check_addresses("seeds", FLAGS_seeds));
    SARDINE_RETURN_IF_ERROR(check_range("entry_slots", FLAGS_entry_slots, 1, max_entry_slots));
    SARDINE_RETURN_IF_ERROR(
        check_range("max_connections", FLAGS_max_connections, 1, max_connections_limit));
    SARDINE_RETURN_IF_ERROR(
        check_range("drain_delay_ms", FLAGS_drain_delay_ms, 0, max_drain_delay_ms));
    if (!routing::make_policy(FLAGS_policy).ok()) {
        return setting_error("policy", FLAGS_policy, absl::StrJoin(routing::policy_names(), ", "));
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<entry_settings> load_entry_settings(int* argc, char*** argv)
{
    gflags::SetUsageMessage("accepts requests from callers and forwards them to agents");
    SARDINE_RETURN_IF_ERROR(load_settings(argc, argv, with_instance_flags(flag_names())));
    entry_settings settings;
    SARDINE_RETURN_IF_ERROR(read_instance_settings(settings));
    SARDINE_RETURN_IF_ERROR(check_flags());
    settings.listen = *parse_address(FLAGS_listen);
    settings.link_listen = *parse_address(FLAGS_link_listen);
    settings.platform = *parse_addresses(FLAGS_platform);
    settings.seeds = *parse_addresses(FLAGS_seeds);
    settings.policy = FLAGS_policy;
    settings.entry_slots = FLAGS_entry_slots;
    settings.max_connections = FLAGS_max_connections;
    settings.watch_catalogue = FLAGS_watch_catalogue;
    settings.drain_delay = absl::Milliseconds(FLAGS_drain_delay_ms);
    return settings;
}

} // namespace sardinestream::entry
