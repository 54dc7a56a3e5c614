// Simulates 10,000 callers, who retry once after a refusal, of a service with a temporary outage.
// Compares their results if requests for a service that is down are refused immediately with those
// if the requests wait as for any other service.

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/backends/choose_server.h"
#include "sardinestream/backends/server_state.h"
#include "sardinestream/backends/service_availability.h"
#include "sardinestream/backends/simulated_clock.h"

#include "absl/strings/str_cat.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

// Returns whether a server refuses all requests at a time after the start.
using outage_plan = std::function<bool(std::size_t server, milliseconds at)>;

constexpr milliseconds outage_begin{2000};

struct outage_result {
    int callers = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int tries = 0;
    // Sorted waiting times of the tries that began 1 s or more after the start of the outage and
    // were refused before its end.
    std::vector<milliseconds> refusal_times;
    // Callers who arrived after the end of the outage.
    int later_callers = 0;
    int later_in_time = 0;
    // Time from the end of the outage to the first success.
    milliseconds recovery_time{-1};

    [[nodiscard]] milliseconds refusal_time_at(double share) const
    {
        return this->refusal_times.empty()
                   ? milliseconds(0)
                   : this->refusal_times[static_cast<std::size_t>(
                         share * static_cast<double>(this->refusal_times.size() - 1))];
    }

    // Total value of the answers to their callers, for whom a late answer is worth 0.3 of one in
    // time.
    [[nodiscard]] double value() const
    {
        constexpr double value_of_late = 0.3;
        return this->in_time + value_of_late * this->late;
    }

    [[nodiscard]] std::string text() const
    {
        return absl::StrCat("in_time=", this->in_time, " late=", this->late,
                            " refused=", this->refused, " tries=", this->tries,
                            " refusal_median_ms=", this->refusal_time_at(0.5).count(),
                            " refusal_max_ms=", this->refusal_time_at(1).count(),
                            " later_in_time=", this->later_in_time, "/", this->later_callers,
                            " recovery_ms=", this->recovery_time.count());
    }
};

class outage_simulation {
public:
    // `length` is the duration of the outage, which starts at `outage_begin`.
    outage_simulation(outage_plan refuses, milliseconds length, bool with_availability)
        : plan(std::move(refuses)), outage_end(outage_begin + length),
          uses_availability(with_availability)
    {
        for (entry& one : this->entries) {
            backend_server described;
            described.slots = slots;
            one.servers.assign(servers, server_state(described));
        }
    }

    outage_result simulate()
    {
        for (int i = 0; i < caller_count; ++i) {
            const double at_ms = this->uniform() * static_cast<double>(arrivals.count());
            this->time.schedule(milliseconds(static_cast<std::int64_t>(at_ms)),
                                [this] { this->arrive(); });
        }
        this->time.run(arrivals + max_wait * 2);
        std::sort(this->result.refusal_times.begin(), this->result.refusal_times.end());
        return this->result;
    }

private:
    static constexpr int caller_count = 10000;
    static constexpr milliseconds arrivals{16000};
    static constexpr std::size_t servers = 5;
    static constexpr int slots = 6;
    static constexpr milliseconds work{20};
    static constexpr milliseconds one_way{1};
    static constexpr milliseconds target{150};
    static constexpr milliseconds max_wait{1500};
    static constexpr milliseconds recheck{20};
    static constexpr milliseconds usual_retry_after{300};
    static constexpr int max_refusals = 4;
    static constexpr double max_tokens = 10;
    static constexpr double tokens_per_request = 0.2;

    struct entry {
        std::vector<server_state> servers;
        double tokens = max_tokens;
        steady_time next_probe{};
    };
    struct caller {
        steady_time arrival{};
        bool has_retried = false;
    };
    // One try of a caller at one entry.
    struct attempt {
        caller of;
        std::size_t at = 0;
        steady_time begun{};
        int refusals = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    [[nodiscard]] milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(this->time.elapsed());
    }

    void arrive()
    {
        ++this->result.callers;
        this->result.later_callers += this->elapsed() > this->outage_end ? 1 : 0;
        this->try_entry({this->time.now(), false});
    }

    void try_entry(const caller& from)
    {
        ++this->result.tries;
        const auto at = static_cast<std::size_t>(this->uniform() * entry_count);
        entry& asked = this->entries[at];
        asked.tokens = std::min(max_tokens, asked.tokens + tokens_per_request);
        this->place({from, at, this->time.now(), 0});
    }

    [[nodiscard]] service_availability availability(const entry& at) const
    {
        std::vector<std::optional<server_outage>> outages;
        for (const server_state& state : at.servers) {
            outages.push_back(state.outage(view, this->time.now()));
        }
        return availability_of(outages, this->time.now());
    }

    // Returns whether the request was sent as a probe or refused because the service does not
    // serve.
    bool place_without_service(const attempt& placed)
    {
        entry& at = this->entries[placed.at];
        const service_availability expected = this->availability(at);
        if (!this->uses_availability || expected.condition == service_condition::serving) {
            return false;
        }
        if (this->time.now() >= at.next_probe) {
            at.next_probe = this->time.now() + probe_interval(entry_count);
            const auto longest_untried =
                std::min_element(at.servers.begin(), at.servers.end(),
                                 [](const server_state& a, const server_state& b) {
                                     return a.last_attempt_time() < b.last_attempt_time();
                                 });
            this->send(placed, static_cast<std::size_t>(longest_untried - at.servers.begin()));
            return true;
        }
        if (expected.condition == service_condition::down) {
            this->refuse_caller(placed, retry_after_for(expected, this->uniform()));
            return true;
        }
        return false;
    }

    void place(const attempt& placed)
    {
        if (this->place_without_service(placed)) {
            return;
        }
        std::vector<server_load> loads;
        for (const server_state& state : this->entries[placed.at].servers) {
            loads.push_back(state.load(slots, view, service_pace{}, this->time.now()));
        }
        const std::array<double, server_sample_size> draws = {this->uniform(), this->uniform(),
                                                              this->uniform()};
        const std::optional<std::size_t> chosen = choose_from_sample(loads, draws);
        if (chosen.has_value()) {
            this->send(placed, *chosen);
            return;
        }
        const steady_time leave_by =
            placed.begun + (placed.of.arrival + max_wait - placed.begun) / 2;
        if (this->time.now() + recheck > leave_by) {
            this->refuse_caller(placed, usual_retry_after);
            return;
        }
        this->time.schedule(recheck, [this, placed] { this->place(placed); });
    }

    void send(const attempt& placed, std::size_t server)
    {
        this->entries[placed.at].servers[server].begin_attempt(this->time.now());
        this->time.schedule(one_way, [this, placed, server] { this->reach(placed, server); });
    }

    void reach(const attempt& placed, std::size_t server)
    {
        const bool refuses = this->plan(server, this->elapsed()) || this->running[server] >= slots;
        if (refuses) {
            this->time.schedule(one_way,
                                [this, placed, server] { this->handle_refusal(placed, server); });
            return;
        }
        ++this->running[server];
        entry& at = this->entries[placed.at];
        const bool returns = this->availability(at).condition != service_condition::serving;
        at.servers[server].note_accepted();
        for (server_state& state : at.servers) {
            if (this->uses_availability && returns) {
                state.end_exclusion();
            }
        }
        this->time.schedule(work, [this, placed, server] { this->finish(placed, server); });
    }

    void finish(const attempt& placed, std::size_t server)
    {
        --this->running[server];
        this->entries[placed.at].servers[server].end_attempt(attempt_result::succeeded, true, work,
                                                             this->time.now());
        const bool in_time = this->time.now() <= placed.of.arrival + target;
        (in_time ? this->result.in_time : this->result.late) += 1;
        if (placed.of.arrival > this->time.start() + this->outage_end) {
            this->result.later_in_time += in_time ? 1 : 0;
        }
        if (this->elapsed() > this->outage_end && this->result.recovery_time < milliseconds(0)) {
            this->result.recovery_time = this->elapsed() - this->outage_end;
        }
    }

    void handle_refusal(attempt placed, std::size_t server)
    {
        entry& at = this->entries[placed.at];
        at.servers[server].end_attempt(attempt_result::refused, false, one_way * 2,
                                       this->time.now());
        if (++placed.refusals >= max_refusals || at.tokens < 1) {
            this->refuse_caller(placed, usual_retry_after);
            return;
        }
        at.tokens -= 1;
        this->place(placed);
    }

    void refuse_caller(const attempt& refused, milliseconds retry_after)
    {
        const auto elapsed_in_try =
            std::chrono::duration_cast<milliseconds>(this->time.now() - refused.begun);
        if (refused.begun >= this->time.start() + outage_begin + milliseconds(1000) &&
            this->elapsed() < this->outage_end) {
            this->result.refusal_times.push_back(elapsed_in_try);
        }
        if (refused.of.has_retried || this->time.now() >= refused.of.arrival + max_wait) {
            ++this->result.refused;
            return;
        }
        const auto third = (refused.of.arrival + max_wait - this->time.now()) / 3;
        this->time.schedule(
            std::min<steady_clock::duration>(retry_after, third),
            [this, returning = caller{refused.of.arrival, true}] { this->try_entry(returning); });
    }

    static constexpr int entry_count = 4;

    const outage_plan plan;
    const milliseconds outage_end;
    const bool uses_availability;
    const load_view view{"", entry_count};
    simulated_clock time;
    std::mt19937 random{7};
    std::array<entry, entry_count> entries;
    std::array<int, servers> running{};
    outage_result result;
};

// Results with the availability of the service used and ignored by the entries.
struct outage_pair {
    outage_result used;
    outage_result ignored;
};

outage_pair simulate_both(const outage_plan& plan, milliseconds length)
{
    const outage_pair both = {outage_simulation(plan, length, true).simulate(),
                              outage_simulation(plan, length, false).simulate()};
    testing::Test::RecordProperty("used", both.used.text());
    testing::Test::RecordProperty("ignored", both.ignored.text());
    return both;
}

outage_plan all_refuse_for(milliseconds length)
{
    return [length](std::size_t, milliseconds at) {
        return at >= outage_begin && at < outage_begin + length;
    };
}

constexpr milliseconds max_median_refusal_time{100};
constexpr milliseconds max_refusal_time{300};
constexpr milliseconds max_recovery_time{500};

TEST(service_availability_load, callers_get_no_worse_results_if_the_service_is_out_for_a_second)
{
    const outage_pair both = simulate_both(all_refuse_for(milliseconds(1000)), milliseconds(1000));
    EXPECT_GE(both.used.value(), both.ignored.value());
    EXPECT_LE(both.used.recovery_time, max_recovery_time);
}

TEST(service_availability_load,
     callers_are_refused_quickly_while_the_service_is_down_for_five_seconds)
{
    const outage_pair both = simulate_both(all_refuse_for(milliseconds(5000)), milliseconds(5000));
    EXPECT_LT(both.used.refusal_time_at(0.5), max_median_refusal_time);
    EXPECT_LT(both.used.refusal_time_at(1), max_refusal_time);
    EXPECT_LE(both.used.recovery_time, max_recovery_time);
    EXPECT_GE(both.used.value(), both.ignored.value());
    EXPECT_GE(both.used.later_in_time, both.ignored.later_in_time);
}

TEST(service_availability_load, callers_are_refused_quickly_if_the_service_is_down_permanently)
{
    constexpr milliseconds permanent{1000000};
    const outage_pair both = simulate_both(all_refuse_for(permanent), permanent);
    EXPECT_LT(both.used.refusal_time_at(0.5), max_median_refusal_time);
    EXPECT_LT(both.used.refusal_time_at(1), max_refusal_time);
    EXPECT_GE(both.used.value(), both.ignored.value());
}

TEST(service_availability_load, serves_no_fewer_requests_if_half_of_the_servers_are_out)
{
    constexpr milliseconds length{5000};
    const outage_plan half = [length](std::size_t server, milliseconds at) {
        return server % 2 == 0 && at >= outage_begin && at < outage_begin + length;
    };
    const outage_pair both = simulate_both(half, length);
    EXPECT_GE(both.used.value(), both.ignored.value());
}

TEST(service_availability_load, serves_no_fewer_requests_if_the_service_flaps_each_second)
{
    constexpr milliseconds length{8000};
    const outage_plan flapping = [length](std::size_t, milliseconds at) {
        constexpr milliseconds period{1000};
        return at >= outage_begin && at < outage_begin + length &&
               (at - outage_begin) / period % 2 == 0;
    };
    const outage_pair both = simulate_both(flapping, length);
    EXPECT_GE(both.used.value(), both.ignored.value());
}

} // namespace
} // namespace sardinestream
