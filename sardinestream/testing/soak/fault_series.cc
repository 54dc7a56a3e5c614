#include "sardinestream/testing/soak/fault_series.h"

#include <algorithm>
#include <array>
#include <random>

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array planned_kinds = {soak_fault_kind::entry_stop, soak_fault_kind::entry_reload,
                                      soak_fault_kind::config_change,
                                      soak_fault_kind::server_leave};
constexpr std::array all_kinds = {
    soak_fault_kind::entry_stop,   soak_fault_kind::entry_reload,   soak_fault_kind::config_change,
    soak_fault_kind::server_leave, soak_fault_kind::entry_kill,     soak_fault_kind::entry_freeze,
    soak_fault_kind::agent_stop,   soak_fault_kind::agent_kill,     soak_fault_kind::agent_freeze,
    soak_fault_kind::server_crash, soak_fault_kind::server_trouble, soak_fault_kind::server_link,
    soak_fault_kind::store_link,   soak_fault_kind::store_trouble,  soak_fault_kind::entries_lapse,
    soak_fault_kind::late_orders,  soak_fault_kind::demand_shift};

constexpr milliseconds shortest_fault{200};
constexpr milliseconds fault_range{2500};
// A series repeats its fault after about this time.
constexpr milliseconds series_gap{500};
constexpr int least_series = 4;
constexpr int series_range = 6;
constexpr int longest_series = 3;
constexpr int planned_only_every = 3;
// What servers say of themselves is drawn apart, so that a seed plays the other faults as before.
constexpr std::array said_kinds = {soak_fault_kind::leaving_said, soak_fault_kind::hold_off_said};
constexpr unsigned said_seed_offset = 1U << 20U;
constexpr int most_said = 4;
// Seeds with what was added later, so that the others play what they did before.
constexpr unsigned seeds_per_addition = 5;
constexpr unsigned evacuation_seed = 1;
constexpr unsigned restored_seed = 2;
constexpr unsigned limit_seed = 3;
constexpr unsigned crashing_request_seed = 4;
// Seeds below this one play what they did before there were stops in all their forms.
constexpr unsigned first_stop_seed = 51000;
constexpr unsigned stop_seed_offset = 1U << 21U;
constexpr unsigned stop_seeds_per_starved_one = 4;
constexpr int least_stops = 2;
constexpr int stops_range = 3;
constexpr std::array stop_kinds = {soak_fault_kind::entries_roll,   soak_fault_kind::reloads_stop,
                                   soak_fault_kind::configs_stop,   soak_fault_kind::servers_roll,
                                   soak_fault_kind::recovered_stop, soak_fault_kind::agents_roll};
constexpr std::array house_kinds = {soak_fault_kind::demand_drift, soak_fault_kind::rank_slow,
                                    soak_fault_kind::passes_late, soak_fault_kind::machines_roll,
                                    soak_fault_kind::coordinator_stop};

std::string name_of(soak_fault_kind kind)
{
    switch (kind) {
    case soak_fault_kind::entry_stop:
        return "entry_stop";
    case soak_fault_kind::entry_reload:
        return "entry_reload";
    case soak_fault_kind::config_change:
        return "config_change";
    case soak_fault_kind::server_leave:
        return "server_leave";
    case soak_fault_kind::leaving_said:
        return "leaving_said";
    case soak_fault_kind::hold_off_said:
        return "hold_off_said";
    case soak_fault_kind::limit_said:
        return "limit_said";
    case soak_fault_kind::evacuate:
        return "evacuate";
    case soak_fault_kind::entries_roll:
        return "entries_roll";
    case soak_fault_kind::reloads_stop:
        return "reloads_stop";
    case soak_fault_kind::configs_stop:
        return "configs_stop";
    case soak_fault_kind::servers_roll:
        return "servers_roll";
    case soak_fault_kind::recovered_stop:
        return "recovered_stop";
    case soak_fault_kind::agents_roll:
        return "agents_roll";
    case soak_fault_kind::demand_drift:
        return "demand_drift";
    case soak_fault_kind::rank_slow:
        return "rank_slow";
    case soak_fault_kind::passes_late:
        return "passes_late";
    case soak_fault_kind::machines_roll:
        return "machines_roll";
    case soak_fault_kind::coordinator_stop:
        return "coordinator_stop";
    case soak_fault_kind::entry_kill:
        return "entry_kill";
    case soak_fault_kind::entry_freeze:
        return "entry_freeze";
    case soak_fault_kind::agent_stop:
        return "agent_stop";
    case soak_fault_kind::agent_kill:
        return "agent_kill";
    case soak_fault_kind::agent_freeze:
        return "agent_freeze";
    case soak_fault_kind::server_crash:
        return "server_crash";
    case soak_fault_kind::server_trouble:
        return "server_trouble";
    case soak_fault_kind::server_link:
        return "server_link";
    case soak_fault_kind::store_link:
        return "store_link";
    case soak_fault_kind::store_trouble:
        return "store_trouble";
    case soak_fault_kind::store_restored:
        return "store_restored";
    case soak_fault_kind::entries_lapse:
        return "entries_lapse";
    case soak_fault_kind::late_orders:
        return "late_orders";
    case soak_fault_kind::demand_shift:
        return "demand_shift";
    }
    return "";
}

int targets_of(soak_fault_kind kind, const soak_size& size)
{
    switch (kind) {
    case soak_fault_kind::entry_stop:
    case soak_fault_kind::entry_reload:
    case soak_fault_kind::entry_kill:
    case soak_fault_kind::entry_freeze:
    case soak_fault_kind::store_link:
    case soak_fault_kind::reloads_stop:
    case soak_fault_kind::configs_stop:
        return size.entries;
    case soak_fault_kind::agent_stop:
    case soak_fault_kind::agent_kill:
    case soak_fault_kind::agent_freeze:
    case soak_fault_kind::recovered_stop:
        return size.model_servers;
    case soak_fault_kind::server_leave:
    case soak_fault_kind::leaving_said:
        return size.plain_servers;
    default:
        return size.model_servers + size.plain_servers;
    }
}

} // namespace

bool soak_fault::is_planned() const
{
    const auto holds = [this](const auto& kinds) {
        return std::find(kinds.begin(), kinds.end(), this->kind) != kinds.end();
    };
    return holds(planned_kinds) || holds(said_kinds) || holds(stop_kinds) || holds(house_kinds) ||
           this->kind == soak_fault_kind::limit_said || this->kind == soak_fault_kind::evacuate;
}

std::string soak_fault::to_string() const
{
    return absl::StrCat("at=", this->at.count(), "ms kind=", name_of(this->kind),
                        " target=", this->target, " for=", this->duration.count(),
                        "ms variant=", this->variant);
}

namespace {

std::vector<soak_fault> draw_said(unsigned seed, const soak_size& size, milliseconds length)
{
    std::mt19937 random(seed + said_seed_offset);
    const auto draw = [&](int below) {
        return std::uniform_int_distribution<int>(0, std::max(0, below - 1))(random);
    };
    std::vector<soak_fault> faults(static_cast<std::size_t>(1 + draw(most_said)));
    for (soak_fault& fault : faults) {
        fault.kind = said_kinds[static_cast<std::size_t>(draw(said_kinds.size()))];
        fault.at = milliseconds(draw(static_cast<int>(length.count() * 3 / 4)));
        fault.target = draw(targets_of(fault.kind, size));
        fault.variant = std::uniform_real_distribution<double>(0, 1)(random);
        fault.duration =
            std::min(2 * shortest_fault + milliseconds(draw(static_cast<int>(fault_range.count()))),
                     length - fault.at);
    }
    return faults;
}

std::vector<soak_fault> draw_stop_series(unsigned seed, const soak_size& size, milliseconds length)
{
    std::mt19937 random(seed + stop_seed_offset);
    const auto draw = [&](int below) {
        return std::uniform_int_distribution<int>(0, std::max(0, below - 1))(random);
    };
    std::vector<soak_fault> faults(static_cast<std::size_t>(least_stops + draw(stops_range)));
    for (soak_fault& fault : faults) {
        fault.kind = stop_kinds[static_cast<std::size_t>(draw(stop_kinds.size()))];
        fault.at = milliseconds(draw(static_cast<int>(length.count() * 3 / 4)));
        fault.target = draw(targets_of(fault.kind, size));
        fault.variant = std::uniform_real_distribution<double>(0, 1)(random);
        fault.duration =
            std::min(shortest_fault + milliseconds(draw(static_cast<int>(fault_range.count()))),
                     length - fault.at);
    }
    return faults;
}

// A limit from the first second or two to the end, as it is checked only after some seconds.
soak_fault draw_limit(unsigned seed, const soak_size& size, milliseconds length)
{
    std::mt19937 random(seed);
    soak_fault fault;
    fault.kind = soak_fault_kind::limit_said;
    fault.at =
        milliseconds(std::uniform_int_distribution<std::int64_t>(0, length.count() / 5)(random));
    fault.target = std::uniform_int_distribution<int>(0, targets_of(fault.kind, size) - 1)(random);
    fault.variant = std::uniform_real_distribution<double>(0, 1)(random);
    fault.duration = length - fault.at;
    return fault;
}

// An evacuation that is long enough to be checked, and ends before the other faults do.
soak_fault draw_evacuation(unsigned seed, milliseconds length)
{
    constexpr int data_centres = 2;
    std::mt19937 random(seed);
    soak_fault fault;
    fault.kind = soak_fault_kind::evacuate;
    fault.at =
        milliseconds(std::uniform_int_distribution<std::int64_t>(0, length.count() / 5)(random));
    fault.target = std::uniform_int_distribution<int>(0, data_centres - 1)(random);
    fault.duration = length * 2 / 3;
    return fault;
}

// One or two restorations; the later faults show whether their changes still take effect.
std::vector<soak_fault> draw_restorations(unsigned seed, milliseconds length)
{
    constexpr double two_share = 0.4;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<soak_fault> faults(share(random) < two_share ? 2 : 1);
    milliseconds at = length / 10;
    for (soak_fault& fault : faults) {
        fault.kind = soak_fault_kind::store_restored;
        fault.at = at;
        fault.duration = length / 8 + milliseconds(static_cast<std::int64_t>(
                                          share(random) * static_cast<double>(length.count()) / 8));
        fault.variant = share(random);
        at += fault.duration + length / 10;
    }
    return faults;
}

} // namespace

bool draws_crashing_requests(unsigned seed)
{
    return seed % seeds_per_addition == crashing_request_seed;
}

bool draws_evacuation(unsigned seed)
{
    return seed % seeds_per_addition == evacuation_seed;
}

bool draws_stops(unsigned seed)
{
    return seed >= first_stop_seed;
}

bool draws_starved_stops(unsigned seed)
{
    return draws_stops(seed) && seed % stop_seeds_per_starved_one == 1;
}

std::vector<soak_fault> draw_faults(unsigned seed, const soak_size& size, milliseconds length)
{
    std::mt19937 random(seed);
    const auto draw = [&](int below) {
        return std::uniform_int_distribution<int>(0, std::max(0, below - 1))(random);
    };
    const bool planned_only = seed % planned_only_every == 0;
    const bool is_restored = !planned_only && seed % seeds_per_addition == restored_seed;
    // Every second time amid planned work alone: promises are checked only away from other trouble.
    const bool planned_company = planned_only || (is_restored && seed % 2 == 0);
    std::vector<soak_fault> faults;
    const int series = least_series + draw(series_range);
    for (int i = 0; i < series; ++i) {
        soak_fault fault;
        fault.kind = planned_company
                         ? planned_kinds[static_cast<std::size_t>(draw(planned_kinds.size()))]
                         : all_kinds[static_cast<std::size_t>(draw(all_kinds.size()))];
        fault.at = milliseconds(draw(static_cast<int>(length.count() * 3 / 4)));
        const int repeats = 1 + draw(longest_series);
        for (int repeat = 0; repeat < repeats; ++repeat) {
            fault.target = draw(targets_of(fault.kind, size));
            fault.variant = std::uniform_real_distribution<double>(0, 1)(random);
            fault.duration =
                std::min(shortest_fault + milliseconds(draw(static_cast<int>(fault_range.count()))),
                         length - fault.at);
            if (fault.at < length) {
                faults.push_back(fault);
            }
            fault.at += series_gap / 2 + milliseconds(draw(static_cast<int>(series_gap.count())));
        }
    }
    const std::vector<soak_fault> said = draw_said(seed, size, length);
    faults.insert(faults.end(), said.begin(), said.end());
    if (seed % seeds_per_addition == limit_seed) {
        faults.push_back(draw_limit(seed, size, length));
    }
    if (draws_evacuation(seed)) {
        faults.push_back(draw_evacuation(seed, length));
    }
    if (draws_stops(seed)) {
        const std::vector<soak_fault> stops = draw_stop_series(seed, size, length);
        faults.insert(faults.end(), stops.begin(), stops.end());
    }
    if (is_restored) {
        const std::vector<soak_fault> restored = draw_restorations(seed, length);
        faults.insert(faults.end(), restored.begin(), restored.end());
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const soak_fault& a, const soak_fault& b) { return a.at < b.at; });
    return faults;
}

} // namespace sardinestream::testing
