// Finds what an operator would not want in a desired state: entries that refer to something that is
// not declared, entries that can never match, and limits that contradict each other.
//
//     for (const finding& found : check_desired_state(*state, {.entries = 6})) { ... }
//
// Pure functions; linear in the size of the state but for sorting.

#ifndef SARDINESTREAM_CHECK_DESIRED_STATE_CHECK_H_
#define SARDINESTREAM_CHECK_DESIRED_STATE_CHECK_H_

#include <cstddef>

#include "sardinestream/check/finding.h"
#include "sardinestream/routes/desired_state.h"

namespace sardinestream::check {

// What the settings of the entries say; zero where it is not known; what depends on it
// is not checked then.
struct fleet_facts {
    int entries = 0;
    // Memory of the smallest entry for the bodies of requests, in bytes.
    std::size_t request_memory_bytes = 0;
    // A cold server bears its rate times `cold_overage` plus `cold_slack` requests per second.
    double cold_overage = 0;
    double cold_slack = 0;
};

[[nodiscard]] findings check_desired_state(const desired_state& state, const fleet_facts& fleet);

// Returns what differs between the state in force and a newer one, by meaning: the order of entries
// and values that equal the default count for nothing.
[[nodiscard]] findings changes_between(const desired_state& in_force, const desired_state& newer);

} // namespace sardinestream::check

#endif // SARDINESTREAM_CHECK_DESIRED_STATE_CHECK_H_
