#include "sardinestream/agent/agent_settings.h"

#include <gflags/gflags.h>

#include "sardinestream/base/error.h"
#include "sardinestream/experts/expert_map.h"

#include "absl/strings/str_split.h"

DEFINE_string(listen, "", "IP:PORT on which entries reach this agent");
DEFINE_string(backend, "", "IP:PORT of the backend server that this agent serves");
DEFINE_string(serves, "", "Comma-separated services that the backend server offers");
DEFINE_int32(slots, 8, "Requests that the backend server runs concurrently, 1 to 100000");
DEFINE_int32(reserved_slots, 0, "Slots kept for the priority class reserved, 0 to slots - 1");
DEFINE_int32(max_wait_ms, 2000, "Maximum wait for a slot in milliseconds, 0 to 600000");
DEFINE_string(rank_group, "", "Rank group of the backend server; empty for none");
DEFINE_int32(rank, 0, "Rank in the group, 0 to ranks - 1");
DEFINE_string(group_agents, "", "Comma-separated IP:PORT of every rank's agent, in rank order");
DEFINE_string(rank_engine, "",
              "IP:PORT for the orders to the rank's engine; empty for the backend");
DEFINE_string(platform, "", "Comma-separated IP:PORT of the platform's object API");
DEFINE_int32(model_layers, 1, "Number of model layers with experts, 1 to 1024");
DEFINE_int32(experts_per_layer, 1, "Experts per layer, 1 to 4096");
DEFINE_string(rebalance, "weighted", "Expert rebalancing policy: never, every_drift or weighted");

namespace sardinestream::agent {
namespace {

const std::vector<std::string>& flag_names()
{
    static const auto* const names = new std::vector<std::string>{"listen",
                                                                  "backend",
                                                                  "serves",
                                                                  "slots",
                                                                  "reserved_slots",
                                                                  "max_wait_ms",
                                                                  "rank_group",
                                                                  "rank",
                                                                  "group_agents",
                                                                  "rank_engine",
                                                                  "platform",
                                                                  "model_layers",
                                                                  "experts_per_layer",
                                                                  "rebalance"};
    return *names;
}

absl::Status check_rank_group()
{
    if (FLAGS_rank_group.empty()) {
        return absl::OkStatus();
    }
    const absl::StatusOr<std::vector<address>> agents = parse_addresses(FLAGS_group_agents);
    if (!agents.ok() || agents->empty()) {
        return setting_error("group_agents", FLAGS_group_agents, "IP:PORT of every rank's agent");
    }
    SARDINE_RETURN_IF_ERROR(
        check_range("rank", FLAGS_rank, 0, static_cast<std::int64_t>(agents->size()) - 1));
    if (!FLAGS_rank_engine.empty()) {
        SARDINE_RETURN_IF_ERROR(check_address("rank_engine", FLAGS_rank_engine));
    }
    if (const auto platform = parse_addresses(FLAGS_platform);
        !platform.ok() || platform->empty()) {
        return setting_error("platform", FLAGS_platform, "IP:PORT of the platform's object API");
    }
    SARDINE_RETURN_IF_ERROR(
        check_range("model_layers", FLAGS_model_layers, 1, experts::max_layers));
    SARDINE_RETURN_IF_ERROR(check_range("experts_per_layer", FLAGS_experts_per_layer, 1,
                                        experts::max_experts_per_layer));
    const bool known = FLAGS_rebalance == "never" || FLAGS_rebalance == "every_drift" ||
                       FLAGS_rebalance == "weighted";
    return known ? absl::OkStatus()
                 : setting_error("rebalance", FLAGS_rebalance, "never, every_drift, weighted");
}

absl::Status check_flags()
{
    constexpr int max_slots = 100000;
    constexpr int max_wait_limit_ms = 600000;
    SARDINE_RETURN_IF_ERROR(check_address("listen", FLAGS_listen));
    SARDINE_RETURN_IF_ERROR(check_address("backend", FLAGS_backend));
    SARDINE_RETURN_IF_ERROR(check_present("serves", FLAGS_serves));
    SARDINE_RETURN_IF_ERROR(check_range("slots", FLAGS_slots, 1, max_slots));
    SARDINE_RETURN_IF_ERROR(
        check_range("reserved_slots", FLAGS_reserved_slots, 0, FLAGS_slots - 1));
    SARDINE_RETURN_IF_ERROR(check_range("max_wait_ms", FLAGS_max_wait_ms, 0, max_wait_limit_ms));
    return check_rank_group();
}

} // namespace

absl::StatusOr<agent_settings> load_agent_settings(int* argc, char*** argv)
{
    gflags::SetUsageMessage("serves one backend server and is the only route to it");
    SARDINE_RETURN_IF_ERROR(load_settings(argc, argv, with_instance_flags(flag_names())));
    agent_settings settings;
    SARDINE_RETURN_IF_ERROR(read_instance_settings(settings));
    SARDINE_RETURN_IF_ERROR(check_flags());
    settings.listen = *parse_address(FLAGS_listen);
    settings.backend = *parse_address(FLAGS_backend);
    settings.serves = absl::StrSplit(FLAGS_serves, ',', absl::SkipWhitespace());
    settings.slots = FLAGS_slots;
    settings.reserved_slots = FLAGS_reserved_slots;
    settings.max_wait = absl::Milliseconds(FLAGS_max_wait_ms);
    settings.rank_group = FLAGS_rank_group;
    if (!settings.rank_group.empty()) {
        settings.rank = FLAGS_rank;
        settings.group_agents = *parse_addresses(FLAGS_group_agents);
        settings.rank_engine =
            FLAGS_rank_engine.empty() ? settings.backend : *parse_address(FLAGS_rank_engine);
        settings.platform = *parse_addresses(FLAGS_platform);
        settings.model_layers = FLAGS_model_layers;
        settings.experts_per_layer = FLAGS_experts_per_layer;
        settings.rebalance = FLAGS_rebalance;
    }
    return settings;
}

} // namespace sardinestream::agent
