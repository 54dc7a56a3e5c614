#include "sardinestream/testing/rank_group_agents.h"

#include <algorithm>
#include <random>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

constexpr char fleet_key[] = "key of the rank group tests";
constexpr char group_name[] = "assistant-0";
constexpr absl::Duration poll_interval = absl::Milliseconds(5);

absl::Status cut()
{
    return make_error(absl::StatusCode::kUnavailable, "fault", "", "fault");
}

} // namespace

absl::StatusOr<std::unique_ptr<rank_group_agents>>
rank_group_agents::create(const rank_group_agents_options& options)
{
    std::unique_ptr<rank_group_agents> made(new rank_group_agents(options));
    auto engines = rank_group_server::create(options.engines, "127.0.0.1", 0);
    if (!engines.ok()) {
        return engines.status();
    }
    made->engines = *std::move(engines);
    auto platform = platform_standin::create({"127.0.0.1", 0});
    if (!platform.ok()) {
        return platform.status();
    }
    made->store_server = *std::move(platform);
    // The addresses are known before any agent starts, so that each can get all of them.
    made->slots = std::vector<port_reservation>(options.engines.ranks);
    for (const port_reservation& slot : made->slots) {
        made->addresses.push_back(slot.reserved());
    }
    made->agents.resize(options.engines.ranks);
    for (int rank = 0; rank < options.engines.ranks; ++rank) {
        made->start_agent(rank);
    }
    return made;
}

rank_group_agents::rank_group_agents(const rank_group_agents_options& options) : settings(options)
{
}

rank_group_agents::~rank_group_agents()
{
    this->heal_links();
    for (int rank = 0; rank < static_cast<int>(this->agents.size()); ++rank) {
        this->stop_agent(rank);
    }
}

std::shared_ptr<wire::link_options> rank_group_agents::make_link_options(int rank,
                                                                         std::uint64_t incarnation)
{
    auto links = std::make_shared<wire::link_options>();
    links->tls = wire::tls_context::create(fleet_key).value();
    links->local_hello = [rank, incarnation] {
        wire::helloT hello;
        hello.id = absl::StrCat("agent-", rank);
        hello.incarnation = incarnation;
        return hello;
    };
    return links;
}

void rank_group_agents::start_agent(int rank)
{
    agent_parts& agent = this->agents[rank];
    const std::uint64_t incarnation = random_u64();
    agent.store = platform::object_store::create({.servers = {this->store_server->local()},
                                                  .timeout = absl::Milliseconds(500)})
                      .value();
    agent.links_out = experts::link_peers::create(this->make_link_options(rank, incarnation),
                                                  this->addresses, rank)
                          .value();
    experts::expert_service_options options;
    options.group = group_name;
    options.rank = rank;
    options.ranks = this->engines->engines().ranks();
    options.engine = this->engines->engine_address(rank);
    options.agent_incarnation = incarnation;
    options.layers = this->settings.engines.load.layers;
    options.experts_per_layer = this->settings.engines.load.experts_per_layer;
    options.engine_timeout = this->settings.engine_timeout;
    options.proposer = this->settings.proposer;
    agent.service = experts::expert_service::create(options, *agent.store,
                                                    this->faulty(agent.links_out->hooks(), rank))
                        .value();
    auto links = this->make_link_options(rank, incarnation);
    links->hooks.on_stream = [service = agent.service.get()](
                                 const std::shared_ptr<wire::stream>& opened, wire::frame first) {
        service->serve(opened, std::move(first));
    };
    links->hooks.on_link_frame = [service =
                                      agent.service.get()](const std::shared_ptr<wire::peer_link>&,
                                                           const wire::frame& received) {
        service->handle_link_frame(received);
    };
    agent.links_in = wire::link_server::create(links, this->addresses[rank]).value();
}

void rank_group_agents::stop_agent(int rank)
{
    agent_parts& agent = this->agents[rank];
    agent.links_in.reset();
    agent.service.reset();
    agent.links_out.reset();
    agent.store.reset();
}

void rank_group_agents::arm(int from_rank, int to_rank, const link_fault& fault)
{
    const absl::MutexLock lock(&this->mutex);
    this->faults[{from_rank, to_rank}] = fault;
}

void rank_group_agents::heal_links()
{
    const absl::MutexLock lock(&this->mutex);
    this->faults.clear();
}

link_fault rank_group_agents::take_fault(int from_rank, int to_rank, wire::frame_type type)
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->faults.find({from_rank, to_rank});
    if (found == this->faults.end()) {
        return {};
    }
    const std::vector<wire::frame_type>& only = found->second.only;
    if (!only.empty() && std::find(only.begin(), only.end(), type) == only.end()) {
        return {};
    }
    const link_fault fault = found->second;
    if (--found->second.times <= 0) {
        this->faults.erase(found);
    }
    return fault;
}

experts::agent_peers rank_group_agents::faulty(const experts::agent_peers& plain, int from_rank)
{
    experts::agent_peers made;
    made.request = [this, plain, from_rank](int rank, wire::frame_type type,
                                            const std::string& payload,
                                            absl::Time deadline) -> absl::StatusOr<wire::frame> {
        const link_fault fault = this->take_fault(from_rank, rank, type);
        if (fault.kind == link_fault_kind::drop) {
            return cut();
        }
        if (fault.kind == link_fault_kind::delay) {
            absl::SleepFor(fault.delay);
        }
        if (fault.kind == link_fault_kind::duplicate) {
            plain.request(rank, type, payload, deadline).IgnoreError();
        }
        absl::StatusOr<wire::frame> answer = plain.request(rank, type, payload, deadline);
        return fault.kind == link_fault_kind::lose_answer ? cut() : std::move(answer);
    };
    made.notify = [this, plain, from_rank](int rank, wire::frame_type type,
                                           const std::string& payload) {
        const link_fault fault = this->take_fault(from_rank, rank, type);
        if (fault.kind == link_fault_kind::drop || fault.kind == link_fault_kind::lose_answer) {
            return;
        }
        if (fault.kind == link_fault_kind::delay) {
            absl::SleepFor(fault.delay);
        }
        if (fault.kind == link_fault_kind::duplicate) {
            plain.notify(rank, type, payload);
        }
        plain.notify(rank, type, payload);
    };
    return made;
}

absl::StatusOr<bool> rank_group_agents::move(int rank, const experts::expert_mapT& map)
{
    return this->agents[rank].service->move_to(map);
}

bool rank_group_agents::wait_for_steps(std::uint64_t steps, absl::Time deadline)
{
    const std::uint64_t wanted = this->engine_group().stats().steps + steps;
    while (this->engine_group().stats().steps < wanted) {
        if (absl::Now() > deadline) {
            return false;
        }
        absl::SleepFor(poll_interval);
    }
    return true;
}

experts::expert_mapT rank_group_agents::make_map(std::uint64_t seed) const
{
    std::mt19937_64 random(seed);
    const expert_load_options& load = this->settings.engines.load;
    experts::expert_mapT map =
        experts::make_uniform_map(load.layers, load.experts_per_layer,
                                  static_cast<std::uint32_t>(this->settings.engines.ranks));
    std::shuffle(map.ranks.begin(), map.ranks.end(), random);
    return map;
}

} // namespace sardinestream::testing
