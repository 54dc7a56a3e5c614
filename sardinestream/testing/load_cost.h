// What the system itself costs: the time that entry and agent add to an idle request, and what a
// process spends on control while nothing is asked.

#ifndef SARDINESTREAM_TESTING_LOAD_COST_H_
#define SARDINESTREAM_TESTING_LOAD_COST_H_

#include <string>

#include "absl/status/statusor.h"

namespace sardinestream::testing {

// Sends the same completions to an engine directly and through an entry, one at a time and in
// turn. Returns one JSON line with both and the difference, in milliseconds.
[[nodiscard]] absl::StatusOr<std::string> measure_added_time();

// Measures an entry and an agent of a fleet with `engines` engines and `entries` entries, idle.
// Returns one JSON line: share of a core, megabytes, bytes a second.
[[nodiscard]] absl::StatusOr<std::string> measure_idle_cost(int entries, int engines);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_LOAD_COST_H_
