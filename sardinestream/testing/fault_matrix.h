// The fault matrix: every fault at every step of every protocol, each pair a cell with a verdict.
//
// A cell runs one exchange on a fleet of real processes, injects one fault at one message of it,
// lets the fleet come back, and compares what callers were answered with the ledgers of the backend
// servers. No verdict rests on how long anything took.
//
//     std::vector<matrix_cell> cells = all_cells();
//     cell_verdict verdict = cells[0].run(fleets);
//
// docs/PROOF.md lists the steps and the faults; `fault_matrix --cell=NAME` runs one.

#ifndef SARDINESTREAM_TESTING_FAULT_MATRIX_H_
#define SARDINESTREAM_TESTING_FAULT_MATRIX_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/testing/fleet.h"

#include "absl/status/statusor.h"

namespace sardinestream::testing {

struct cell_verdict {
    bool held = false;
    // What was seen, as key=value pairs without spaces.
    std::string detail;
};

// The fleet that one worker's cells share; built when first needed. Not thread-safe.
class fleet_holder {
public:
    // Returns the fleet, healthy; builds another where the last one did not come back.
    [[nodiscard]] absl::StatusOr<fleet*> healthy();

    // Says that a cell has left the fleet in an unknown state.
    void discard() { this->current.reset(); }

private:
    std::unique_ptr<fleet> current;
};

// Runs a cell on the worker's fleet; red where there is none.
[[nodiscard]] cell_verdict on_fleet(fleet_holder& fleets,
                                    const std::function<cell_verdict(fleet&)>& run);

struct matrix_cell {
    std::string protocol;
    std::string step;
    std::string fault;
    std::function<cell_verdict(fleet_holder& fleets, const std::string& cell_name)> run;

    [[nodiscard]] std::string name() const
    {
        return this->protocol + "." + this->step + "." + this->fault;
    }
};

// The cells of each protocol, in a fixed order.
[[nodiscard]] std::vector<matrix_cell> once_cells();
[[nodiscard]] std::vector<matrix_cell> stream_cells();
[[nodiscard]] std::vector<matrix_cell> catalogue_cells();
// Includes `entry_stop_cells`.
[[nodiscard]] std::vector<matrix_cell> stop_cells();
[[nodiscard]] std::vector<matrix_cell> entry_stop_cells();
[[nodiscard]] std::vector<matrix_cell> map_cells();
[[nodiscard]] std::vector<matrix_cell> all_cells();

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_FAULT_MATRIX_H_
