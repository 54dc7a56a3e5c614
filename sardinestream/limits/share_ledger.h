// Accounts for one entry's part of one limit: the units that it owns, has borrowed, has lent and
// uses.
//
// Every unit of a limit has one root owner. Units move between entries only as loans that expire.
// The lender gives the units up when it grants the loan and reclaims them after the loan time plus
// a margin on its own clock. The borrower counts the loan time from when it sent its request, so
// its loan ends first. The usable units of all entries together therefore never exceed the limit,
// even if messages are lost, delayed, repeated or reordered, or if entries are frozen.
//
//     share_ledger ledger;
//     ledger.set_root(5);
//     const std::uint64_t id = ledger.ask(3, absl::Seconds(80), now);  // loan 3, asked of a lender
//     ledger.on_granted(id, 2, later);                                 // the lender grants 2 units
//     if (ledger.try_use(deadline, now)) { ...; ledger.release(); }
//
// A pure data structure without clock or I/O; not thread-safe. `now` must come from a clock that
// never goes backwards and keeps running while the process is frozen (see limits_clock.h).

#ifndef SARDINESTREAM_LIMITS_SHARE_LEDGER_H_
#define SARDINESTREAM_LIMITS_SHARE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"

namespace sardinestream::limits {

// Returns the time after the end of a loan for which the lender still withholds the units. It
// covers clocks that run at different rates.
[[nodiscard]] absl::Duration loan_margin(absl::Duration loan_time);

// Returns the units of a limit that root owner `index` of `count` holds; the sum over all owners is
// `limit`. `offset` rotates the owners, so that the remainders of the division are spread over them
// when there are many limits.
[[nodiscard]] std::uint32_t root_share(std::uint32_t limit, std::uint32_t index,
                                       std::uint32_t count, std::uint64_t offset);

// Keeps the units of one limit at one entry. "Borrower" and "Lender" mark the functions of each
// side of a loan.
class share_ledger {
public:
    struct borrowed_loan {
        std::uint64_t id = 0;
        std::uint32_t units = 0;
        absl::Time expires;
    };

    // Sets the root units. A lower value applies to new uses and loans at once; existing ones
    // continue.
    void set_root(std::uint32_t units) { this->root = units; }

    [[nodiscard]] std::uint32_t root_units() const { return this->root; }

    // Sets the number of root units that are never lent. If this entry crashes, the next owner of
    // the root may use them at once.
    void set_reserve(std::uint32_t units) { this->reserve = units; }

    // Units that may be in use at `now`: root plus borrowed minus lent units, at least zero.
    [[nodiscard]] std::uint32_t usable(absl::Time now) const;
    // Units that are free during the whole time from `now` to `until`: neither in use nor lent.
    [[nodiscard]] std::uint32_t free_until(absl::Time until, absl::Time now) const;
    [[nodiscard]] std::uint32_t in_use() const { return this->used; }
    [[nodiscard]] std::uint32_t borrowed(absl::Time now) const;
    [[nodiscard]] std::uint32_t lent(absl::Time now) const;
    // True if no unit is lent, borrowed, asked for or in use.
    [[nodiscard]] bool is_idle() const
    {
        return this->used == 0 && this->pending_by_id.empty() && this->borrowed_by_id.empty() &&
               this->lent_by_id.empty();
    }
    [[nodiscard]] std::vector<borrowed_loan> loans(absl::Time now) const;
    // Time at which the last of the loans to other entries ends, margin included; `now` if none.
    [[nodiscard]] absl::Time last_return(absl::Time now) const;

    // Takes one unit for a use that is guaranteed to end by `until`. Returns false if none is free
    // for that long.
    [[nodiscard]] bool try_use(absl::Time until, absl::Time now);
    // Ends one use. Precondition: `in_use()` > 0.
    void release() { --this->used; }

    // Borrower. Records that loan `id` is being asked for and returns `id`.
    [[nodiscard]] std::uint64_t ask(std::uint64_t id, absl::Duration loan_time, absl::Time now);
    // Borrower. Records that an extension is being asked for. Returns false if the loan is not
    // held.
    [[nodiscard]] bool ask_extension(std::uint64_t id, absl::Duration loan_time, absl::Time now);
    // Borrower. Applies the lender's response to an ask or an extension. Responses that are
    // repeated, unknown or received after the loan time has passed have no effect.
    void on_granted(std::uint64_t id, std::uint32_t units, absl::Time now);
    // Borrower. Reduces a loan to `units`, or to what is in use, lent on or reserved if that is
    // more. Returns the units that are kept, which may then be reported to the lender.
    [[nodiscard]] std::uint32_t reduce(std::uint64_t id, std::uint32_t units, absl::Time now);

    // Lender. Lends up to `wanted` units, but leaves `keep` units free. Returns the units lent.
    // Idempotent: a repeated ask returns the units of the existing loan.
    [[nodiscard]] std::uint32_t lend(std::uint64_t id, std::uint32_t wanted, std::uint32_t keep,
                                     absl::Duration loan_time, absl::Time now);
    // Lender. Extends a loan. Returns its units, or zero if it has ended or cannot be extended.
    [[nodiscard]] std::uint32_t extend(std::uint64_t id, absl::Duration loan_time, absl::Time now);
    // Lender. Records that the borrower keeps only `units`. Never increases a loan.
    void on_reduced(std::uint64_t id, std::uint32_t units);

    // Removes expired loans and asks. Does not change the result of any function above.
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
    // Returns the lowest balance during [from, until], minus the units in use.
    [[nodiscard]] std::int64_t min_free(absl::Time from, absl::Time until) const;

    std::uint32_t root = 0;
    // Lending and reducing keep the balance (root plus borrowed minus lent units) at or above this
    // value. Only a lower root can make it fall below.
    std::uint32_t reserve = 0;
    // Units in use. Every use has a time by which it ends; when it began, the balance covered it up
    // to that time.
    std::uint32_t used = 0;
    std::map<std::uint64_t, pending_ask> pending_by_id;
    // Loans from other entries, by loan id.
    std::map<std::uint64_t, loan> borrowed_by_id;
    // Loans to other entries, by loan id; `ends` includes the margin.
    std::map<std::uint64_t, loan> lent_by_id;
};

} // namespace sardinestream::limits

#endif // SARDINESTREAM_LIMITS_SHARE_LEDGER_H_
