// Decides which requests are to blame for crashes of backend servers, and for how long they are
// refused. Pure functions: no state, no clock, no I/O.
//
// A request is described by its traits: digests of what a later request may have in common with it,
// such as a part of its prompt, or the whole request. A trait is blamed if it was involved in
// enough crashes that no other blamed trait explains, without a request that had it completing
// since. Traits whose crashes are exactly the same cannot be distinguished; then only requests that
// have the same combination of them are blamed. Where several requests were lost in each of the
// same crashes, all their combinations are blamed, though at most a few of them can be the cause:
// those are undecided, and soon tried one at a time.

#ifndef SARDINESTREAM_SUSPECTS_BLAME_H_
#define SARDINESTREAM_SUSPECTS_BLAME_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <span>
#include <vector>

#include "sardinestream/base/digest128.h"

#include "absl/time/time.h"

namespace sardinestream::suspects {

// The traits of one request, without duplicates.
using request_traits = std::vector<digest128>;

// A crash of one server, with the requests that were lost in it.
struct crash_evidence {
    absl::Time at;
    // Without the traits that have been cleared since.
    std::vector<request_traits> lost;
};

// How much evidence is needed to blame a trait.
struct blame_threshold {
    // Crashes that involve the trait and that nothing else explains.
    std::size_t crashes = 2;
    // The number of moments at which they occurred; servers that crash together may have a common
    // cause outside of their requests.
    std::size_t moments = 1;
    // So many crashes are enough even at one moment.
    std::size_t crashes_at_once = std::numeric_limits<std::size_t>::max();
};

struct blame_options {
    // For traits that no request has completed with lately.
    blame_threshold unproven{};
    // For the others.
    blame_threshold proven{};
    // Crashes within this time occurred at the same moment.
    absl::Duration moment = absl::Milliseconds(500);
};

// Requests that have all of these traits are blamed.
struct blamed_traits {
    request_traits traits;
    // The crashes that they explain, in order of time; at least one.
    std::vector<absl::Time> crashes;
    bool proven = false;
    // Whether other combinations explain the same crashes equally well.
    bool undecided = false;
    // The combination that stands for all that explain these crashes, the same for each of them:
    // one request of theirs is tried at a time. Equal to `traits` unless undecided.
    request_traits tried_as{};
};

// Returns the blamed combinations for crashes that are listed in order of time. `was_proven` tells
// whether a request with the trait has completed lately.
[[nodiscard]] std::vector<blamed_traits>
find_blame(std::span<const crash_evidence> crashes,
           const std::function<bool(const digest128& trait)>& was_proven,
           const blame_options& options);

// Returns whether the request has all traits of the combination.
[[nodiscard]] bool has_all(const request_traits& request, const request_traits& combination);

struct refusal_options {
    // How long blamed requests are refused after their last crash.
    absl::Duration unproven = absl::Minutes(10);
    absl::Duration proven = absl::Minutes(10);
    // The same for undecided combinations, if that is shorter. Not doubled: a trial that crashes
    // its server decides.
    absl::Duration undecided = absl::InfiniteDuration();
    // Each crash after such a time doubles the next one, up to this.
    absl::Duration longest = absl::Minutes(10);
};

// Returns when the refusal of blamed requests ends. One of them may then show whether it still
// crashes its server.
[[nodiscard]] absl::Time refused_until(const blamed_traits& blamed, const refusal_options& options);

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_BLAME_H_
