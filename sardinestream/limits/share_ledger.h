// One entry's book of one limit: what it owns, what it has borrowed and lent, and what is in use.
//
// Every unit of a limit has one root owner. Units move only as loans that expire. The lender gives
// up the units at once and takes them back after the loan time plus a margin on its own clock; the
// borrower counts the loan time from when it sent its request. So at any moment the units that all
// entries together hold usable never exceed the limit, whatever is lost, delayed, repeated or
// reordered, and whoever is frozen.
//
//     share_ledger ledger;
//     ledger.set_root(5);
//     const std::uint64_t id = ledger.ask(3, absl::Seconds(80), now);  // sent to the lender
//     ledger.on_granted(id, 2, later);                                 // its answer
//     if (ledger.use(deadline, now)) { ...; ledger.release(); }
//
// A pure data structure: no clock, no I/O, not thread-safe. `now` must never go back and must go on
// while the process is frozen.

#ifndef SARDINESTREAM_LIMITS_SHARE_LEDGER_H_
#define SARDINESTREAM_LIMITS_SHARE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"

namespace sardinestream::limits {

// Time beyond a loan's end for which the lender still keeps its units back: covers clocks that run
// at different rates.
[[nodiscard]] absl::Duration loan_margin(absl::Duration loan_time);

// Returns the units of a limit that root owner `index` of `count` holds. `offset` turns the owners,
// so that the remainders of many limits spread over them. The sum over all owners is `limit`.
[[nodiscard]] std::uint32_t root_share(std::uint32_t limit, std::uint32_t index,
                                       std::uint32_t count, std::uint64_t offset);

class share_ledger {
public:
    struct borrowed_loan {
        std::uint64_t id = 0;
        std::uint32_t units = 0;
        absl::Time expires;
    };

    // The root units. Lowering them takes effect at once for everything new.
    void set_root(std::uint32_t units) { this->root = units; }

    [[nodiscard]] std::uint32_t root_units() const { return this->root; }

    // Units of the root that are never lent, so that whoever owns the root after a crash of this
    // entry may use them at once.
    void set_reserve(std::uint32_t units) { this->reserve = units; }

    // Units that may be in use now: root plus borrowed less lent; never negative.
    [[nodiscard]] std::uint32_t usable(absl::Time now) const;
    // Units that are neither in use nor lent at any time from now until `until`.
    [[nodiscard]] std::uint32_t free_until(absl::Time until, absl::Time now) const;
    [[nodiscard]] std::uint32_t in_use() const { return this->used; }
    [[nodiscard]] std::uint32_t borrowed(absl::Time now) const;
    [[nodiscard]] std::uint32_t lent(absl::Time now) const;
    // True where nothing is lent, borrowed, asked for or in use.
    [[nodiscard]] bool is_idle() const
    {
        return this->used == 0 && this->pending_by_id.empty() && this->borrowed_by_id.empty() &&
               this->lent_by_id.empty();
    }
    [[nodiscard]] std::vector<borrowed_loan> loans(absl::Time now) const;
    // When the last loan that was given out will have come back; `now` where there is none.
    [[nodiscard]] absl::Time last_return(absl::Time now) const;

    // Takes one unit for a use that ends by `until` for certain. Returns false where there is none.
    [[nodiscard]] bool try_use(absl::Time until, absl::Time now);
    // Ends one use. Precondition: `in_use()` > 0.
    void release() { --this->used; }

    // Borrower. Notes that a loan is being asked for and returns its identifier.
    [[nodiscard]] std::uint64_t ask(std::uint64_t id, absl::Duration loan_time, absl::Time now);
    // Borrower. Notes that an extension is being asked for; false where the loan is not held.
    [[nodiscard]] bool ask_extension(std::uint64_t id, absl::Duration loan_time, absl::Time now);
    // Borrower. The lender's answer to an ask or an extension. Repeated or unknown answers, and
    // those that come too late, change nothing.
    void on_granted(std::uint64_t id, std::uint32_t units, absl::Time now);
    // Borrower. Keeps only `units` of a loan, as far as they are not in use; returns the units
    // kept, which the lender may then be told.
    [[nodiscard]] std::uint32_t reduce(std::uint64_t id, std::uint32_t units, absl::Time now);

    // Lender. Lends up to `wanted` units, but leaves `keep` units free; returns the units lent.
    // Idempotent: a repeated ask returns what the loan has.
    [[nodiscard]] std::uint32_t lend(std::uint64_t id, std::uint32_t wanted, std::uint32_t keep,
                                     absl::Duration loan_time, absl::Time now);
    // Lender. Extends a loan; returns its units, or zero where that cannot be.
    [[nodiscard]] std::uint32_t extend(std::uint64_t id, absl::Duration loan_time, absl::Time now);
    // Lender. The borrower keeps only `units`; never raises a loan.
    void on_reduced(std::uint64_t id, std::uint32_t units);

    // Drops what has expired. Changes no result of the functions above.
    void remove_expired(absl::Time now);

private:
    struct pending_ask {
        absl::Time sent;
        absl::Duration loan_time;
        bool extension = false;
    };
    struct loan {
        std::uint32_t units = 0;
        absl::Time ends;
    };

    [[nodiscard]] std::int64_t balance_at(absl::Time when) const;
    [[nodiscard]] std::int64_t min_balance(absl::Time from, absl::Time until) const;
    // The least balance, less what is in use, over [from, until].
    [[nodiscard]] std::int64_t min_free(absl::Time from, absl::Time until) const;

    std::uint32_t root = 0;
    // Root and borrowed units less those lent stay at least this high, unless the root is lowered.
    std::uint32_t reserve = 0;
    // Every use ends by its own time, up to which the balance covered it when it began.
    std::uint32_t used = 0;
    std::map<std::uint64_t, pending_ask> pending_by_id;
    std::map<std::uint64_t, loan> borrowed_by_id; // loans from others, by id
    std::map<std::uint64_t, loan> lent_by_id;     // loans to others, margin included in `ends`
};

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_SHARE_LEDGER_H_
