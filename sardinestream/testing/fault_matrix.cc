#include "sardinestream/testing/fault_matrix.h"

#include <cstdio>
#include <iterator>

namespace sardinestream::testing {

absl::StatusOr<fleet*> fleet_holder::healthy()
{
    if (this->current != nullptr && this->current->restore().ok()) {
        return this->current.get();
    }
    this->current.reset();
    absl::StatusOr<std::unique_ptr<fleet>> made = fleet::create({});
    if (!made.ok()) {
        return made.status();
    }
    this->current = *std::move(made);
    return this->current.get();
}

cell_verdict on_fleet(fleet_holder& fleets, const std::function<cell_verdict(fleet&)>& run)
{
    const absl::StatusOr<fleet*> servers = fleets.healthy();
    if (!servers.ok()) {
        std::fprintf(stderr, "no fleet: %s\n", servers.status().ToString().c_str());
        return {false, "violated=no_fleet"};
    }
    return run(**servers);
}

std::vector<matrix_cell> all_cells()
{
    std::vector<matrix_cell> cells;
    for (const auto& make : {once_cells, stream_cells, catalogue_cells, stop_cells, map_cells}) {
        std::vector<matrix_cell> more = make();
        cells.insert(cells.end(), std::make_move_iterator(more.begin()),
                     std::make_move_iterator(more.end()));
    }
    return cells;
}

} // namespace sardinestream::testing
