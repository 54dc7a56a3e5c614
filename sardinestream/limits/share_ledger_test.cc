#include <numeric>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "sardinestream/limits/share_ledger.h"

namespace sardinestream::limits {
namespace {

constexpr absl::Time start = absl::UnixEpoch();
constexpr absl::Duration loan_time = absl::Seconds(60);

absl::Time after(double seconds)
{
    return start + absl::Seconds(seconds);
}

TEST(root_share_test, the_shares_add_up_to_the_limit)
{
    for (std::uint32_t limit : {0U, 1U, 2U, 7U, 16U, 100U}) {
        for (std::uint64_t offset : {0ULL, 1ULL, 1234567890123456789ULL}) {
            std::uint32_t sum = 0;
            for (std::uint32_t index = 0; index < 3; ++index) {
                sum += root_share(limit, index, 3, offset);
            }
            EXPECT_EQ(sum, limit);
        }
    }
}

TEST(share_ledger_test, a_loan_moves_units_until_it_ends)
{
    share_ledger lender;
    share_ledger borrower;
    lender.set_root(5);
    const std::uint64_t id = borrower.ask(1, loan_time, start);
    borrower.on_granted(id, lender.lend(id, 3, 0, loan_time, start), start);
    EXPECT_EQ(lender.usable(start), 2U);
    EXPECT_EQ(borrower.usable(start), 3U);
    EXPECT_EQ(borrower.usable(after(60)), 0U);
    EXPECT_EQ(lender.usable(after(60)), 2U);
    EXPECT_EQ(lender.usable(after(62)), 5U);
}

TEST(share_ledger_test, a_use_that_outlasts_a_loan_is_not_started_on_it)
{
    share_ledger borrower;
    borrower.on_granted(borrower.ask(1, loan_time, start), 1, start);
    EXPECT_FALSE(borrower.try_use(after(61), after(1)));
    EXPECT_TRUE(borrower.try_use(after(59), after(1)));
}

TEST(share_ledger_test, units_in_use_are_not_lent)
{
    share_ledger lender;
    lender.set_root(2);
    EXPECT_TRUE(lender.try_use(after(5), start));
    EXPECT_EQ(lender.lend(1, 2, 0, loan_time, start), 1U);
}

TEST(share_ledger_test, the_reserve_of_the_root_is_never_lent)
{
    share_ledger lender;
    lender.set_root(4);
    lender.set_reserve(3);
    EXPECT_EQ(lender.lend(1, 4, 0, loan_time, start), 1U);
    EXPECT_EQ(lender.lend(2, 4, 0, loan_time, start), 0U);
}

TEST(share_ledger_test, borrowed_units_that_were_lent_on_are_not_given_back_from_the_reserve)
{
    share_ledger broker;
    broker.set_root(2);
    broker.set_reserve(2);
    broker.on_granted(broker.ask(1, 2 * loan_time, start), 3, start);
    EXPECT_EQ(broker.lend(2, 5, 0, loan_time, start), 3U);
    EXPECT_EQ(broker.reduce(1, 0, start), 3U);
}

TEST(share_ledger_test, borrowed_units_are_lent_on_only_for_less_time)
{
    share_ledger broker;
    broker.on_granted(broker.ask(1, 2 * loan_time, start), 4, start);
    EXPECT_EQ(broker.lend(2, 4, 0, 2 * loan_time, start), 0U);
    EXPECT_EQ(broker.lend(3, 4, 0, loan_time, start), 4U);
}

TEST(share_ledger_test, an_extension_that_arrives_after_giving_back_changes_nothing)
{
    share_ledger borrower;
    borrower.on_granted(borrower.ask(1, loan_time, start), 4, start);
    EXPECT_TRUE(borrower.ask_extension(1, loan_time, after(10)));
    EXPECT_EQ(borrower.reduce(1, 0, after(11)), 0U);
    borrower.on_granted(1, 4, after(12));
    EXPECT_EQ(borrower.usable(after(12)), 0U);
}

TEST(share_ledger_test, a_late_extension_does_not_revive_a_loan_that_was_reduced_and_ended)
{
    share_ledger borrower;
    borrower.on_granted(borrower.ask(1, loan_time, start), 4, start);
    EXPECT_TRUE(borrower.ask_extension(1, loan_time, after(10)));
    EXPECT_EQ(borrower.reduce(1, 2, after(11)), 2U);
    borrower.remove_expired(after(61));
    borrower.on_granted(1, 4, after(62));
    EXPECT_EQ(borrower.usable(after(62)), 0U);
}

// Models a fleet of entries under an arbitrary schedule of messages. The schedule may deliver any
// message late, twice or never. A frozen entry is modelled by messages that stay undelivered.
class fleet_model {
public:
    static constexpr std::size_t size = 4;
    static constexpr std::size_t root_owners = 3;

    explicit fleet_model(std::uint32_t units) : limit(units), ledgers(size), uses(size)
    {
        for (std::size_t i = 0; i < root_owners; ++i) {
            this->ledgers[i].set_root(
                root_share(units, static_cast<std::uint32_t>(i), root_owners, 1));
        }
    }

    void step()
    {
        const std::size_t from = *rc::gen::inRange<std::size_t>(0, size);
        const std::size_t to = *rc::gen::inRange<std::size_t>(0, size);
        const absl::Duration time = absl::Seconds(*rc::gen::element(5, 60, 120));
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
            this->ask(from, to, time);
            break;
        case 2:
            this->extend(from, time);
            break;
        case 3:
            this->reduce(from);
            break;
        case 4:
        case 5:
        case 6:
            this->deliver();
            break;
        case 7:
            this->use(from);
            break;
        default:
            this->advance(absl::Milliseconds(*rc::gen::inRange(0, 30000)));
        }
    }

    void check() const
    {
        std::uint32_t usable = 0;
        std::size_t in_use = 0;
        for (std::size_t i = 0; i < size; ++i) {
            usable += this->ledgers[i].usable(this->clock(i));
            in_use += this->uses[i].size();
        }
        RC_ASSERT(usable <= this->limit);
        RC_ASSERT(in_use <= this->limit);
    }

private:
    enum class kind { ask, extend, reduce, answer };
    struct message {
        kind what;
        std::size_t from;
        std::size_t to;
        std::uint64_t id;
        std::uint32_t units;
        absl::Duration time;
    };

    // The clock of each entry runs at its own rate, up to 0.5% too fast.
    [[nodiscard]] absl::Time clock(std::size_t node) const
    {
        return start + this->elapsed * (1.0 + 0.005 * static_cast<double>(node) / size);
    }

    void ask(std::size_t from, std::size_t to, absl::Duration time)
    {
        const std::uint64_t id = this->ledgers[from].ask(++this->last_id, time, this->clock(from));
        const auto wanted = *rc::gen::inRange<std::uint32_t>(1, this->limit + 2);
        this->lender_of[id] = to;
        this->network.push_back({kind::ask, from, to, id, wanted, time});
    }

    void extend(std::size_t from, absl::Duration time)
    {
        for (const auto& loan : this->ledgers[from].loans(this->clock(from))) {
            if (this->ledgers[from].ask_extension(loan.id, time, this->clock(from))) {
                this->network.push_back(
                    {kind::extend, from, this->lender_of[loan.id], loan.id, 0, time});
            }
        }
    }

    void reduce(std::size_t from)
    {
        for (const auto& loan : this->ledgers[from].loans(this->clock(from))) {
            const auto wanted = *rc::gen::inRange<std::uint32_t>(0, loan.units + 1);
            const std::uint32_t kept =
                this->ledgers[from].reduce(loan.id, wanted, this->clock(from));
            this->network.push_back(
                {kind::reduce, from, this->lender_of[loan.id], loan.id, kept, {}});
        }
    }

    void deliver()
    {
        if (this->network.empty()) {
            return;
        }
        const auto at = *rc::gen::inRange<std::size_t>(0, this->network.size());
        const message taken = this->network[at];
        const int fate = *rc::gen::inRange(0, 10);
        if (fate != 0) { // 0: stays queued, so it is delivered again later
            this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (fate != 1) { // 1: lost
            this->receive(taken);
        }
    }

    void receive(const message& in)
    {
        share_ledger& here = this->ledgers[in.to];
        const absl::Time now = this->clock(in.to);
        switch (in.what) {
        case kind::ask:
            this->answer(in, here.lend(in.id, in.units, 0, in.time, now));
            break;
        case kind::extend:
            this->answer(in, here.extend(in.id, in.time, now));
            break;
        case kind::reduce:
            here.on_reduced(in.id, in.units);
            break;
        case kind::answer:
            here.on_granted(in.id, in.units, now);
            break;
        }
    }

    void answer(const message& in, std::uint32_t units)
    {
        this->network.push_back({kind::answer, in.to, in.from, in.id, units, {}});
    }

    void use(std::size_t node)
    {
        const absl::Time now = this->clock(node);
        const absl::Time until = now + absl::Seconds(*rc::gen::inRange(1, 50));
        if (this->ledgers[node].try_use(until, now)) {
            this->uses[node].push_back(until);
        }
    }

    void advance(absl::Duration time)
    {
        this->elapsed += time;
        for (std::size_t node = 0; node < size; ++node) {
            const absl::Time now = this->clock(node);
            for (std::size_t i = std::erase_if(this->uses[node],
                                               [now](absl::Time until) { return until <= now; });
                 i > 0; --i) {
                this->ledgers[node].release();
            }
            this->ledgers[node].remove_expired(now);
        }
    }

    const std::uint32_t limit;
    std::vector<share_ledger> ledgers;
    std::vector<std::vector<absl::Time>> uses; // the end of each use, by entry
    std::vector<message> network;
    std::map<std::uint64_t, std::size_t> lender_of;
    std::uint64_t last_id = 0;
    absl::Duration elapsed = absl::ZeroDuration();
};

RC_GTEST_PROP(share_ledger_property, the_sum_of_usable_units_never_exceeds_the_limit, ())
{
    fleet_model fleet(*rc::gen::inRange<std::uint32_t>(1, 12));
    const int steps = *rc::gen::inRange(200, 400);
    for (int i = 0; i < steps; ++i) {
        fleet.step();
        fleet.check();
    }
}

} // namespace
} // namespace sardinestream::limits
