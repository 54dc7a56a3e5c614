// Cells of the vote on expert maps: a group of four ranks moves to another map, or forms anew, and
// a fault comes at a step of it.
//
// Steps: stage, hold (the vote), map (the commit), release, join (the group forms anew after an
// engine restarted). A step is kept open by delaying its order at rank 3's engine until the fault
// has been injected.
// What must hold: no step runs with two maps; the group runs on and can move again once the fault
// is over. The agents run inside this process, on real links and against engines over HTTP.

#include <thread>

#include "sardinestream/testing/fault_matrix.h"
#include "sardinestream/testing/rank_group_agents.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

constexpr int proposer_rank = 0;
constexpr int struck_rank = 2;
constexpr int slow_rank = 3;
constexpr int steps_to_see = 20;
constexpr int many_messages = 1000;
constexpr std::uint64_t first_seed = 1000;
constexpr absl::Duration window = absl::Milliseconds(400);

class map_run {
public:
    map_run(std::unique_ptr<rank_group_agents> started, std::string at_step, std::string with_fault)
        : group(std::move(started)), step(std::move(at_step)), fault(std::move(with_fault))
    {
    }

    std::string run()
    {
        if (!this->runs_on()) {
            return "group_did_not_start";
        }
        this->group->server().arm(slow_rank, this->step, this->order_fault_now());
        std::thread moving([this] { this->start_exchange(); });
        const bool reached = wait_until([this] { return this->is_at_step(); });
        this->inject();
        moving.join();
        this->heal();
        if (!reached) {
            return "step_not_reached";
        }
        if (!this->runs_on()) {
            return "group_stands_still";
        }
        if (!this->moves_again()) {
            return "group_cannot_move";
        }
        return find_split_step(this->group->engine_group().ledger()).has_value()
                   ? "two_maps_in_step"
                   : "";
    }

private:
    [[nodiscard]] bool runs_on()
    {
        return this->group->wait_for_steps(steps_to_see, absl::Now() + generous_timeout);
    }

    // The order's own fault, or the delay that keeps the step open.
    [[nodiscard]] order_fault order_fault_now() const
    {
        if (this->fault == "lost_answer") {
            return {order_fault_kind::lose_answer, 1, absl::ZeroDuration()};
        }
        if (this->fault == "refused") {
            return {order_fault_kind::drop, 1, absl::ZeroDuration()};
        }
        return {order_fault_kind::delay, 1, window};
    }

    void start_exchange()
    {
        if (this->step == "join") {
            this->group->engine_group().kill(1);
            this->group->engine_group().start_again(1);
            return;
        }
        static_cast<void>(this->group->move(proposer_rank, this->group->make_map(1)));
    }

    // What the engines that are not slowed show of the step. A state that has passed counts too:
    // the epoch tells.
    [[nodiscard]] bool is_at_step()
    {
        const absl::StatusOr<engine_snapshot> seen = this->group->engine_group().read(1);
        if (!seen.ok()) {
            return false;
        }
        const bool moved = seen->current.epoch > 1 || seen->due.has_value();
        if (this->step == "stage") {
            return moved || !seen->staged_digest.empty();
        }
        if (this->step == "hold") {
            // These two affect the order itself, after which the hold may come and go unseen.
            return moved || seen->hold.has_value() || this->fault == "refused" ||
                   this->fault == "lost_answer";
        }
        return this->step == "join" ? seen->group_incarnation > 1 : moved;
    }

    void inject()
    {
        rank_group_engines& engines = this->group->engine_group();
        if (this->fault == "kill_agent") {
            this->group->stop_agent(struck_rank);
            this->group->start_agent(struck_rank);
        }
        if (this->fault == "kill_engine") {
            engines.kill(struck_rank);
            engines.start_again(struck_rank);
        }
        if (this->fault == "freeze_engine") {
            engines.stall(struck_rank, true);
        }
        if (this->fault == "black_hole") {
            this->arm_all({link_fault_kind::drop, many_messages});
        }
        if (this->fault == "delay") {
            this->arm_all({link_fault_kind::delay, many_messages});
        }
        if (this->fault == "sent_twice") {
            this->arm_all({link_fault_kind::duplicate, many_messages});
        }
        if (this->fault == "store_outage" || this->fault == "kill_agent+store_outage") {
            this->group->platform().set_outage(outage_mode::hang);
        }
        if (this->fault == "kill_agent+store_outage") {
            this->group->stop_agent(struck_rank);
            this->group->start_agent(struck_rank);
        }
        if (this->fault == "two_proposers") {
            static_cast<void>(this->group->move(slow_rank, this->group->make_map(2)));
        }
    }

    void arm_all(const link_fault& wanted)
    {
        for (int rank = 0; rank < this->group->engine_group().ranks(); ++rank) {
            if (rank != struck_rank) {
                this->group->arm(rank, struck_rank, wanted);
                this->group->arm(struck_rank, rank, wanted);
            }
        }
    }

    void heal()
    {
        this->group->heal_links();
        this->group->engine_group().stall(struck_rank, false);
        this->group->platform().set_outage(outage_mode::none);
    }

    [[nodiscard]] bool moves_again()
    {
        std::uint64_t seed = first_seed;
        return wait_until([this, &seed] {
            return this->group->move(proposer_rank, this->group->make_map(++seed)).value_or(false);
        });
    }

    const std::unique_ptr<rank_group_agents> group;
    const std::string step;
    const std::string fault;
};

cell_verdict run_cell(const std::string& step, const std::string& fault)
{
    rank_group_agents_options options;
    options.proposer.vote_timeout = absl::Milliseconds(700);
    options.proposer.outcome_timeout = absl::Seconds(3);
    absl::StatusOr<std::unique_ptr<rank_group_agents>> group = rank_group_agents::create(options);
    const std::string violated =
        group.ok() ? map_run(*std::move(group), step, fault).run() : "no_group";
    return {violated.empty(), absl::StrCat("violated=", violated.empty() ? "none" : violated)};
}

} // namespace

std::vector<matrix_cell> map_cells()
{
    std::vector<matrix_cell> cells;
    for (const char* step : {"stage", "hold", "map", "release", "join"}) {
        for (const char* fault :
             {"lost_answer", "refused", "kill_agent", "kill_engine", "freeze_engine", "black_hole",
              "delay", "sent_twice", "store_outage", "kill_agent+store_outage", "two_proposers"}) {
            const auto run = [step = std::string(step),
                              fault = std::string(fault)](fleet_holder&, const std::string&) {
                return run_cell(step, fault);
            };
            cells.push_back({"map", step, fault, run});
        }
    }
    return cells;
}

} // namespace sardinestream::testing
