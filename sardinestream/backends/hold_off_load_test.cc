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
    int crowd = 0;
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
    // Number of requests that reached a server later than 0.5 s after it told their entry that it
    // holds off, beyond the two allowed in each hold-off.
    int unwanted = 0;
    // Maximum number of requests of all entries that reached one server within the duration of a
    // request.
    int most_at_once = 0;
};

std::string to_text(const hold_off_result& result)
{
    return absl::StrCat("in_time=", result.in_time, " late=", result.late,
                        " refused=", result.refused, " unwanted=", result.unwanted);
}

class held_fleet {
public:
    held_fleet(const hold_off_load& given, bool heeds_servers, unsigned seed)
        : load(given), heeds(heeds_servers), random(seed),
          running(static_cast<std::size_t>(given.servers)),
          arrivals(static_cast<std::size_t>(given.servers))
    {
        for (int entry = 0; entry < given.entries; ++entry) {
            this->tokens.push_back(tokens_at_start);
            std::vector<server_state> states;
            for (int server = 0; server < given.servers; ++server) {
                backend_server described;
                described.slots = given.slots;
                states.emplace_back(described);
            }
            this->known.push_back(std::move(states));
            this->told.emplace_back(static_cast<std::size_t>(given.servers));
        }
    }

    hold_off_result play(milliseconds length)
    {
        for (int i = 0; i < this->load.crowd; ++i) {
            this->arrive();
        }
        if (this->load.requests_per_s > 0) {
            this->keep_arriving();
        }
        this->time.play(length);
        this->count_crowds();
        return this->result;
    }

private:
    static constexpr milliseconds one_way{1};
    static constexpr milliseconds work{60};
    static constexpr milliseconds target{300};
    static constexpr milliseconds patience{3000};
    static constexpr milliseconds recheck{20};
    static constexpr milliseconds told_slack{500};
    static constexpr int most_refusals = 4;
    static constexpr int allowed_in_hold_off = 2;
    static constexpr double tokens_at_start = 5;
    static constexpr double tokens_per_request = 0.2;

    struct request {
        std::size_t entry = 0;
        steady_time arrival{};
        int refusals = 0;
    };
    // The latest hold-off that a server has told an entry.
    struct hold_off_told {
        steady_time at{};
        steady_time until{};
        int reached = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    // Returns the end of the server's hold-off; in the past if it does not hold off.
    [[nodiscard]] steady_time held_until(std::size_t server) const
    {
        const auto span = (this->time.elapsed()) / this->load.hold_off;
        if (this->load.once) {
            return this->time.start() + this->load.hold_off;
        }
        const bool holds = static_cast<int>(server) % this->load.groups ==
                           static_cast<int>(span) % this->load.groups;
        return holds ? this->time.start() + (span + 1) * this->load.hold_off : steady_time{};
    }

    void keep_arriving()
    {
        const double gap_s =
            std::exponential_distribution<double>(this->load.requests_per_s)(this->random);
        this->time.after(std::chrono::duration_cast<steady_clock::duration>(
                             std::chrono::duration<double>(gap_s)),
                         [this] { this->keep_arriving(); });
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
        for (const server_state& state : this->known[placed.entry]) {
            loads.push_back(state.load(this->load.slots, view, service_pace{}, this->time.now()));
        }
        std::array<double, server_sample_size> draws{};
        for (double& draw : draws) {
            draw = this->uniform();
        }
        const std::optional<std::size_t> chosen = choose_from_sample(loads, draws);
        if (!chosen.has_value()) {
            if (this->time.now() + recheck > placed.arrival + patience) {
                ++this->result.refused;
                return;
            }
            this->time.after(recheck, [this, placed] { this->place(placed); });
            return;
        }
        this->known[placed.entry][*chosen].begin_attempt(this->time.now());
        this->time.after(one_way, [this, placed, chosen] { this->reach(*chosen, placed); });
    }

    void reach(std::size_t server, const request& placed)
    {
        this->arrivals[server].push_back(this->time.now());
        hold_off_told& told = this->told[placed.entry][server];
        if (this->time.now() > told.at + told_slack && this->time.now() < told.until) {
            ++told.reached;
            this->result.unwanted += told.reached > allowed_in_hold_off ? 1 : 0;
        }
        const steady_time until = this->held_until(server);
        if (until <= this->time.now() && this->running[server] < this->load.slots) {
            ++this->running[server];
            this->time.after(work, [this, server, placed] { this->finish(server, placed); });
            return;
        }
        if (until > told.until) {
            told = {this->time.now(), until, 0};
        }
        this->time.after(one_way,
                         [this, server, placed, until] { this->refuse(server, placed, until); });
    }

    void finish(std::size_t server, const request& placed)
    {
        --this->running[server];
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(this->time.now() - placed.arrival);
        this->known[placed.entry][server].end_attempt(attempt_result::succeeded, false, work,
                                                      this->time.now());
        (elapsed <= target ? this->result.in_time : this->result.late) += 1;
    }

    void refuse(std::size_t server, request placed, steady_time until)
    {
        server_state& state = this->known[placed.entry][server];
        if (this->heeds && until > this->time.now()) {
            state.begin_hold_off(until, return_delay_for(this->load.entries, this->uniform()));
        }
        state.end_attempt(attempt_result::refused, false, one_way * 2, this->time.now());
        if (++placed.refusals >= most_refusals || this->tokens[placed.entry] < 1) {
            ++this->result.refused;
            return;
        }
        this->tokens[placed.entry] -= 1;
        this->place(placed);
    }

    void count_crowds()
    {
        for (const std::vector<steady_time>& times : this->arrivals) {
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto end = std::lower_bound(first, times.end(), *first + work);
                this->result.most_at_once =
                    std::max(this->result.most_at_once, static_cast<int>(end - first));
            }
        }
    }

    const hold_off_load load;
    const bool heeds;
    std::mt19937 random;
    simulated_clock time;
    std::vector<int> running;
    std::vector<std::vector<steady_time>> arrivals;
    // Indexed by entry.
    std::vector<double> tokens;
    std::vector<std::vector<server_state>> known;
    std::vector<std::vector<hold_off_told>> told;
    hold_off_result result;
};

constexpr hold_off_load third_in_turn = {12, 4, 6, 200, 0, 3, milliseconds(3000), false};
constexpr milliseconds played{18000};

TEST(hold_off_load, servers_that_hold_off_in_turn_get_no_unwanted_requests)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const hold_off_result heeded = held_fleet(third_in_turn, true, seed).play(played);
        EXPECT_EQ(heeded.unwanted, 0) << "seed " << seed;
    }
}

TEST(hold_off_load, callers_get_no_worse_results_if_a_third_of_the_servers_holds_off_in_turn)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const hold_off_result heeded = held_fleet(third_in_turn, true, seed).play(played);
        const hold_off_result ignored = held_fleet(third_in_turn, false, seed).play(played);
        EXPECT_GE(heeded.in_time, ignored.in_time) << "seed " << seed;
        EXPECT_LE(heeded.refused, ignored.refused) << "seed " << seed;
        EXPECT_GT(heeded.in_time, heeded.requests * 99 / 100) << "seed " << seed;
        EXPECT_GT(ignored.unwanted, 50) << "seed " << seed;
        RecordProperty(absl::StrCat("seed_", seed),
                       absl::StrCat(to_text(heeded), "; ignored: ", to_text(ignored)));
    }
}

// Twenty entries have 240 requests, about a dozen each, waiting for the only server of a service.
// They must not reach the server all at once when its hold-off ends.
TEST(hold_off_load, requests_of_many_entries_do_not_reach_a_returning_server_at_once)
{
    constexpr hold_off_load returning = {1, 20, 6, 0, 240, 1, milliseconds(1500), true};
    const hold_off_result heeded = held_fleet(returning, true, 1).play(played);
    EXPECT_LE(heeded.most_at_once, 20);
    EXPECT_GT(heeded.in_time + heeded.late, 0);
}

} // namespace
} // namespace sardinestream
