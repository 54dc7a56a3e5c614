#include "sardinestream/testing/soak/soak_house.h"

#include <algorithm>
#include <cstdio>
#include <initializer_list>
#include <random>

#include "sardinestream/testing/soak/soak_fleet.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr double least_slowness = 2;
constexpr double slowness_range = 12;
// How long streams are silent before their servers break off; some never do within a stop.
constexpr milliseconds short_stall{1500};
constexpr milliseconds long_stall{4000};
// Entries stop at a gap, without waiting for each other.
constexpr double at_gap = 0.49;
// Of the seeds, one in so many has passes that are late, and one has its model servers replaced.
constexpr unsigned seeds_per_late_passes = 3;
constexpr unsigned seeds_per_server_roll = 5;
constexpr milliseconds step{5};
// A coordinator that is to stop amid a change of map does so at most so much later.
constexpr milliseconds longest_wait_for_armed{2000};
// Orders that a variant may choose.
constexpr double order_range = 1U << 20U;
constexpr char followed_event[] = "event=coordinator_followed";

// A kind that comes again and again.
struct repeated_kind {
    soak_fault_kind kind;
    // On average between two of them; zero where there is none.
    milliseconds gap;
    milliseconds shortest;
    milliseconds longest;
    int targets;
    double most_variant = 1;
};

class house_series {
public:
    house_series(unsigned seed, milliseconds whole) : random(seed), length(whole) {}

    void add(const repeated_kind& repeated)
    {
        milliseconds at = this->draw(milliseconds(0), repeated.gap);
        while (repeated.gap > milliseconds(0) && at < this->length) {
            soak_fault fault;
            fault.kind = repeated.kind;
            fault.at = at;
            fault.duration = this->draw(repeated.shortest, repeated.longest);
            fault.target =
                std::uniform_int_distribution<int>(0, repeated.targets - 1)(this->random);
            fault.variant =
                std::uniform_real_distribution<double>(0, repeated.most_variant)(this->random);
            this->faults.push_back(fault);
            at += this->draw(repeated.gap / 2, repeated.gap * 3 / 2);
        }
    }

    [[nodiscard]] std::vector<soak_fault> by_time()
    {
        std::stable_sort(this->faults.begin(), this->faults.end(),
                         [](const soak_fault& a, const soak_fault& b) { return a.at < b.at; });
        return this->faults;
    }

private:
    [[nodiscard]] milliseconds draw(milliseconds least, milliseconds most)
    {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(this->random));
    }

    std::mt19937 random;
    const milliseconds length;
    std::vector<soak_fault> faults;
};

std::vector<soak_fault> draw_machine_rolls(unsigned seed, const soak_size& size,
                                           milliseconds length, bool stops_coordinators)
{
    using kind = soak_fault_kind;
    constexpr milliseconds none{0};
    house_series series(seed, length);
    for (const repeated_kind& repeated : std::initializer_list<repeated_kind>{
             {kind::machines_roll, length / 2, none, none, 1},
             {kind::demand_drift, milliseconds(600), none, none, 1},
             {kind::coordinator_stop, stops_coordinators ? milliseconds(2500) : none, none, none,
              size.groups},
             {kind::entry_stop, stops_coordinators ? milliseconds(1500) : none, none, none,
              size.entries},
         }) {
        series.add(repeated);
    }
    return series.by_time();
}

} // namespace

std::vector<soak_fault> draw_house_faults(unsigned seed, const soak_size& size, milliseconds length,
                                          house_plan plan)
{
    if (plan != house_plan::series) {
        return draw_machine_rolls(seed, size, length, plan == house_plan::coordinators);
    }
    using kind = soak_fault_kind;
    constexpr milliseconds none{0};
    const bool has_late_passes = seed % seeds_per_late_passes == 1;
    const bool has_server_roll = seed % seeds_per_server_roll == 2;
    house_series series(seed, length);
    for (const repeated_kind& repeated : std::initializer_list<repeated_kind>{
             {kind::entries_roll, length / 2, milliseconds(200), milliseconds(1500), 1, at_gap},
             {kind::entry_stop, milliseconds(800), none, none, size.entries},
             {kind::agents_roll, length / 3, milliseconds(50), milliseconds(500), 1},
             {kind::demand_drift, milliseconds(1200), none, none, 1},
             {kind::rank_slow, milliseconds(500), milliseconds(300), milliseconds(2000),
              size.model_servers},
             {kind::entry_reload, milliseconds(3000), none, none, size.entries},
             {kind::config_change, milliseconds(4000), none, none, 1},
             {kind::passes_late, has_late_passes ? milliseconds(2500) : none, milliseconds(400),
              house_stall(seed) + milliseconds(1000), size.groups},
             {kind::servers_roll, has_server_roll ? length / 2 : none, milliseconds(200),
              milliseconds(700), 1},
         }) {
        series.add(repeated);
    }
    return series.by_time();
}

milliseconds house_start_time(double share)
{
    constexpr milliseconds unhindered{500};
    return std::chrono::duration_cast<milliseconds>(unhindered / share);
}

milliseconds house_stall(unsigned seed)
{
    return seed % 2 == 0 ? short_stall : long_stall;
}

void soak_fleet::slow_rank(std::size_t server, const soak_fault& fault)
{
    backend_trouble slow;
    slow.slowness = least_slowness + slowness_range * fault.variant * fault.variant;
    rank_group& group = this->group_of(server);
    const int rank = this->rank_of(server);
    this->servers[server].server->set_trouble(slow);
    group.set_slowness(rank, slow.slowness);
    this->after(fault.duration, [this, server, &group, rank] {
        this->servers[server].server->set_trouble({});
        group.set_slowness(rank, 1);
    });
}

void soak_fleet::roll_machines(const soak_fault& fault)
{
    std::vector<program_node*> order;
    for (std::vector<program_node>* const nodes : {&this->entry_nodes, &this->agent_nodes}) {
        for (program_node& node : *nodes) {
            order.push_back(&node);
        }
    }
    std::shuffle(order.begin(), order.end(),
                 std::mt19937(static_cast<unsigned>(fault.variant * order_range)));
    order.resize(
        static_cast<std::size_t>(this->size.roll_share * static_cast<double>(order.size())));
    int begun = 0;
    for (program_node* const node : order) {
        this->after(begun++ / this->size.roll_batch * this->size.roll_gap, [this, node] {
            if (!node->disturbed) {
                this->stop_program(*node, false);
            }
        });
    }
}

soak_fleet::program_node* soak_fleet::coordinator_of(std::size_t group)
{
    std::int64_t newest = -1;
    program_node* found = nullptr;
    for (std::size_t i = group; i < this->agent_nodes.size(); i += this->groups.size()) {
        if (this->agent_nodes[i].disturbed) {
            continue;
        }
        const std::string output = this->agent_nodes[i].run->output();
        const std::size_t at = output.rfind(followed_event);
        std::int64_t term = 0;
        std::int64_t rank = 0;
        if (at == std::string::npos ||
            std::sscanf(output.c_str() + at, "event=coordinator_followed term=%ld rank=%ld", &term,
                        &rank) != 2 ||
            term <= newest) {
            continue;
        }
        newest = term;
        found = &this->agent_nodes[static_cast<std::size_t>(rank) * this->groups.size() + group];
    }
    return found;
}

void soak_fleet::stop_coordinator(std::size_t group, steady_time latest)
{
    if (steady_clock::now() > latest) {
        return;
    }
    program_node* const node =
        this->groups[group]->is_switching() ? this->coordinator_of(group) : nullptr;
    if (node == nullptr || node->disturbed) {
        this->after(step, [this, group, latest] { this->stop_coordinator(group, latest); });
        return;
    }
    this->stop_program(*node, false);
}

void soak_fleet::inject_house(const soak_fault& fault)
{
    const auto target = static_cast<std::size_t>(fault.target);
    if (fault.kind == soak_fault_kind::machines_roll) {
        this->roll_machines(fault);
        return;
    }
    if (fault.kind == soak_fault_kind::coordinator_stop) {
        this->stop_coordinator(target, steady_clock::now() + longest_wait_for_armed);
        return;
    }
    if (fault.kind == soak_fault_kind::passes_late) {
        this->groups[target]->delay_passes(steady_clock::now() + fault.duration);
        return;
    }
    this->slow_rank(target, fault);
}

} // namespace sardinestream::testing
