#include "sardinestream/agent/rank_member.h"

#include <utility>

namespace sardinestream::agent {

std::unique_ptr<rank_member> rank_member::create(const agent_settings& settings,
                                                 std::uint64_t incarnation,
                                                 std::shared_ptr<wire::tls_context> tls,
                                                 catalogue::catalogue_state& catalogue)
{
    return std::unique_ptr<rank_member>(
        new rank_member(settings, incarnation, std::move(tls), catalogue));
}

rank_member::rank_member(const agent_settings& from, std::uint64_t own_incarnation,
                         std::shared_ptr<wire::tls_context> context,
                         catalogue::catalogue_state& state)
    : settings(from), incarnation(own_incarnation), tls(std::move(context)), catalogue(state)
{
}

std::shared_ptr<wire::link_options> rank_member::make_link_options() const
{
    auto options = std::make_shared<wire::link_options>();
    options->tls = this->tls;
    options->local_hello = [this] {
        wire::helloT hello;
        hello.protocol_version = wire::protocol_version;
        hello.role = wire::peer_role::agent;
        hello.id = this->settings.id;
        hello.incarnation = this->incarnation;
        hello.data_centre = this->settings.data_centre;
        hello.address = this->settings.listen.to_string();
        return hello;
    };
    return options;
}

absl::Status rank_member::start()
{
    absl::StatusOr<std::unique_ptr<platform::object_store>> platform =
        platform::object_store::create({.servers = this->settings.platform});
    if (!platform.ok()) {
        return platform.status();
    }
    this->store = *std::move(platform);
    absl::StatusOr<std::unique_ptr<experts::link_peers>> peers = experts::link_peers::create(
        this->make_link_options(), this->settings.group_agents, this->settings.rank);
    if (!peers.ok()) {
        return peers.status();
    }
    this->links = *std::move(peers);
    experts::expert_service_options options;
    options.group = this->settings.rank_group;
    options.rank = this->settings.rank;
    options.ranks = static_cast<int>(this->settings.group_agents.size());
    options.engine = this->settings.rank_engine;
    options.agent_incarnation = this->incarnation;
    options.layers = static_cast<std::uint32_t>(this->settings.model_layers);
    options.experts_per_layer = static_cast<std::uint32_t>(this->settings.experts_per_layer);
    options.policy = [this] { return this->current_policy(); };
    absl::StatusOr<std::unique_ptr<experts::expert_service>> created =
        experts::expert_service::create(options, *this->store, this->links->hooks());
    if (!created.ok()) {
        return created.status();
    }
    const absl::MutexLock lock(&this->mutex);
    this->service = *std::move(created);
    return absl::OkStatus();
}

experts::rebalance_policy rank_member::current_policy() const
{
    if (this->settings.rebalance == "never") {
        return experts::make_never_rebalance();
    }
    if (this->settings.rebalance == "every_drift") {
        return experts::make_rebalance_on_every_drift();
    }
    experts::rebalance_options options;
    const auto snapshot = this->catalogue.current();
    for (const catalogue::catalogue_entry& entry : snapshot->entries()) {
        if (this->settings.serves.empty() || entry.service != this->settings.serves.front()) {
            continue;
        }
        options.skew_weight = entry.skew_weight;
        options.rebalance_cost_weight = entry.rebalance_cost_weight;
        break;
    }
    return experts::make_weighted_rebalance(options);
}

std::shared_ptr<experts::expert_service> rank_member::current_service()
{
    const absl::MutexLock lock(&this->mutex);
    return this->service;
}

void rank_member::serve(const std::shared_ptr<wire::stream>& opened, const wire::frame& first)
{
    const std::shared_ptr<experts::expert_service> current = this->current_service();
    if (current != nullptr && experts::expert_service::owns(first.header.type)) {
        current->serve(opened, first);
    }
}

void rank_member::handle_link_frame(const wire::frame& received)
{
    if (const std::shared_ptr<experts::expert_service> current = this->current_service()) {
        current->handle_link_frame(received);
    }
}

} // namespace sardinestream::agent
