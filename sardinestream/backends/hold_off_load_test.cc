// Simulates several entries, each with its own server states, that send requests to a service whose
// servers hold off. Compares the results of callers with hold-offs honoured and ignored.

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/choose_server.h"
#include "sardinestream/backends/server_state.h"
#include "sardinestream/backends/simulated_clock.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

struct hold_off_load {
    int servers = 0;
    int entries = 0;
    int slots = 0;
    double requests_per_s = 0;
    // Number of requests that arrive at the same time, at the start.
    int initial_requests = 0;
    // The servers form this many groups, which hold off in turn for `hold_off` each.
    int groups = 1;
    milliseconds hold_off{0};
    // All servers hold off once, from the start.
    bool once = false;
};

struct hold_off_result {
    int requests = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    // Number of requests that reached a server later than 0.5 s after it announced its hold-off to
    // their entry, beyond the two allowed in each hold-off.
    int unwanted = 0;
    // Maximum number of requests of all entries that reached one server within the duration of a
    // request.
    int max_at_once = 0;
};

std::string to_text(const hold_off_result& result)
{
    return absl::StrCat("in_time=", result.in_time, " late=", result.late,
                        " refused=", result.refused, " unwanted=", result.unwanted);
}

class hold_off_simulation {
public:
    hold_off_simulation(const hold_off_load& offered, bool with_hold_offs, unsigned seed)
        : load(offered), honours_hold_offs(with_hold_offs), random(seed),
          running(static_cast<std::size_t>(offered.servers)),
          arrivals(static_cast<std::size_t>(offered.servers))
    {
        for (int entry = 0; entry < offered.entries; ++entry) {
            this->tokens.push_back(tokens_at_start);
            std::vector<server_state> states;
            for (int server = 0; server < offered.servers; ++server) {
                backend_server described;
                described.slots = offered.slots;
                states.emplace_back(described);
            }
            this->states_by_entry.push_back(std::move(states));
            this->announced.emplace_back(static_cast<std::size_t>(offered.servers));
        }
    }

    hold_off_result simulate(milliseconds length)
    {
        for (int i = 0; i < this->load.initial_requests; ++i) {
            this->arrive();
        }
        if (this->load.requests_per_s > 0) {
            this->generate_arrivals();
        }
        this->time.run(length);
        this->measure_max_at_once();
        return this->result;
    }

private:
    static constexpr milliseconds one_way{1};
    static constexpr milliseconds work{60};
    static constexpr milliseconds target{300};
    static constexpr milliseconds max_wait{3000};
    static constexpr milliseconds recheck{20};
    static constexpr milliseconds notice_grace{500};
    static constexpr int max_refusals = 4;
    static constexpr int allowed_in_hold_off = 2;
    static constexpr double tokens_at_start = 5;
    static constexpr double tokens_per_request = 0.2;

    struct request {
        std::size_t entry = 0;
        steady_time arrival{};
        int refusals = 0;
    };
    // The latest hold-off that a server has announced to an entry.
    struct announced_hold_off {
        steady_time at{};
        steady_time until{};
        int reached = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    // Returns the end of the server's hold-off; in the past if it does not hold off.
    [[nodiscard]] steady_time hold_off_end(std::size_t server) const
    {
        const auto span = (this->time.elapsed()) / this->load.hold_off;
        if (this->load.once) {
            return this->time.start() + this->load.hold_off;
        }
        const bool holds = static_cast<int>(server) % this->load.groups ==
                           static_cast<int>(span) % this->load.groups;
        return holds ? this->time.start() + (span + 1) * this->load.hold_off : steady_time{};
    }

    void generate_arrivals()
    {
        const double gap_s =
            std::exponential_distribution<double>(this->load.requests_per_s)(this->random);
        this->time.schedule(std::chrono::duration_cast<steady_clock::duration>(
                                std::chrono::duration<double>(gap_s)),
                            [this] { this->generate_arrivals(); });
        this->arrive();
    }

    void arrive()
    {
        ++this->result.requests;
        const auto entry = static_cast<std::size_t>(this->uniform() * this->load.entries);
        this->tokens[entry] = std::min(tokens_at_start, this->tokens[entry] + tokens_per_request);
        this->place({entry, this->time.now(), 0});
    }

    void place(const request& placed)
    {
        std::vector<server_load> loads;
        const load_view view{"", this->load.entries};
        for (const server_state& state : this->states_by_entry[placed.entry]) {
            loads.push_back(state.load(this->load.slots, view, service_pace{}, this->time.now()));
        }
        std::array<double, server_sample_size> draws{};
        for (double& draw : draws) {
            draw = this->uniform();
        }
        const std::optional<std::size_t> chosen = choose_from_sample(loads, draws);
        if (!chosen.has_value()) {
            if (this->time.now() + recheck > placed.arrival + max_wait) {
                ++this->result.refused;
                return;
            }
            this->time.schedule(recheck, [this, placed] { this->place(placed); });
            return;
        }
        this->states_by_entry[placed.entry][*chosen].begin_attempt(this->time.now());
        this->time.schedule(one_way, [this, placed, chosen] { this->reach(*chosen, placed); });
    }

    void reach(std::size_t server, const request& placed)
    {
        this->arrivals[server].push_back(this->time.now());
        announced_hold_off& latest = this->announced[placed.entry][server];
        if (this->time.now() > latest.at + notice_grace && this->time.now() < latest.until) {
            ++latest.reached;
            this->result.unwanted += latest.reached > allowed_in_hold_off ? 1 : 0;
        }
        const steady_time until = this->hold_off_end(server);
        if (until <= this->time.now() && this->running[server] < this->load.slots) {
            ++this->running[server];
            this->time.schedule(work, [this, server, placed] { this->finish(server, placed); });
            return;
        }
        if (until > latest.until) {
            latest = {this->time.now(), until, 0};
        }
        this->time.schedule(one_way,
                            [this, server, placed, until] { this->refuse(server, placed, until); });
    }

    void finish(std::size_t server, const request& placed)
    {
        --this->running[server];
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(this->time.now() - placed.arrival);
        this->states_by_entry[placed.entry][server].end_attempt(attempt_result::succeeded, false,
                                                                work, this->time.now());
        (elapsed <= target ? this->result.in_time : this->result.late) += 1;
    }

    void refuse(std::size_t server, request placed, steady_time until)
    {
        server_state& state = this->states_by_entry[placed.entry][server];
        if (this->honours_hold_offs && until > this->time.now()) {
            state.begin_hold_off(until, return_delay_for(this->load.entries, this->uniform()));
        }
        state.end_attempt(attempt_result::refused, false, one_way * 2, this->time.now());
        if (++placed.refusals >= max_refusals || this->tokens[placed.entry] < 1) {
            ++this->result.refused;
            return;
        }
        this->tokens[placed.entry] -= 1;
        this->place(placed);
    }

    void measure_max_at_once()
    {
        for (const std::vector<steady_time>& times : this->arrivals) {
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto end = std::lower_bound(first, times.end(), *first + work);
                this->result.max_at_once =
                    std::max(this->result.max_at_once, static_cast<int>(end - first));
            }
        }
    }

    const hold_off_load load;
    const bool honours_hold_offs;
    std::mt19937 random;
    simulated_clock time;
    std::vector<int> running;
    std::vector<std::vector<steady_time>> arrivals;
    // Indexed by entry.
    std::vector<double> tokens;
    std::vector<std::vector<server_state>> states_by_entry;
    std::vector<std::vector<announced_hold_off>> announced;
    hold_off_result result;
};

constexpr hold_off_load third_in_turn = {12, 4, 6, 200, 0, 3, milliseconds(3000), false};
constexpr milliseconds simulated_time{18000};

TEST(hold_off_load, servers_that_hold_off_in_turn_get_no_unwanted_requests)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const hold_off_result honoured =
            hold_off_simulation(third_in_turn, true, seed).simulate(simulated_time);
        EXPECT_EQ(honoured.unwanted, 0) << "seed " << seed;
    }
}

TEST(hold_off_load, callers_get_no_worse_results_if_a_third_of_the_servers_holds_off_in_turn)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const hold_off_result honoured =
            hold_off_simulation(third_in_turn, true, seed).simulate(simulated_time);
        const hold_off_result ignored =
            hold_off_simulation(third_in_turn, false, seed).simulate(simulated_time);
        EXPECT_GE(honoured.in_time, ignored.in_time) << "seed " << seed;
        EXPECT_LE(honoured.refused, ignored.refused) << "seed " << seed;
        EXPECT_GT(honoured.in_time, honoured.requests * 99 / 100) << "seed " << seed;
        EXPECT_GT(ignored.unwanted, 50) << "seed " << seed;
        RecordProperty(absl::StrCat("seed_", seed),
                       absl::StrCat(to_text(honoured), "; ignored: ", to_text(ignored)));
    }
}

// Twenty entries have 240 requests, about a dozen each, waiting for the only server of a service.
// They must not reach the server all at once when its hold-off ends.
TEST(hold_off_load, requests_of_many_entries_do_not_reach_a_returning_server_at_once)
{
    constexpr hold_off_load returning = {1, 20, 6, 0, 240, 1, milliseconds(1500), true};
    const hold_off_result honoured =
        hold_off_simulation(returning, true, 1).simulate(simulated_time);
    EXPECT_LE(honoured.max_at_once, 20);
    EXPECT_GT(honoured.in_time + honoured.late, 0);
}

} // namespace
} // namespace sardinestream
