// Runs the fault matrix and prints one line a cell:
//
//     cell=once.send.kill_back verdict=held first=backend_lost/unknown ... seconds=1.9
//     ...
//     matrix cells=312 held=311 red=1
//
// Red cells are printed again before the last line, where a shortened output still has them.
// Exits with 0 where every red cell is listed in the file of known red cells (lines "cell: NAME").

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>
#include <thread>

#include <gflags/gflags.h>

#include "sardinestream/base/log.h"
#include "sardinestream/testing/fault_matrix.h"

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

DEFINE_string(part, "all", "all, or ci for the fixed part that CI runs");
DEFINE_string(cell, "", "run only the cells whose names begin with one of these, comma-separated");
DEFINE_int32(jobs, 2, "fleets that run at a time");
DEFINE_string(known_red, "KNOWN-RED.txt", "file with the cells that are known to be red");
DEFINE_bool(list, false, "print the names of the cells and exit");

namespace sardinestream::testing {
namespace {

// CI runs every cell whose place in the order is a multiple of this.
constexpr std::size_t ci_stride = 5;

bool is_chosen(const matrix_cell& cell, std::size_t place)
{
    if (!FLAGS_cell.empty()) {
        const std::vector<std::string> prefixes = absl::StrSplit(FLAGS_cell, ',');
        return std::any_of(prefixes.begin(), prefixes.end(), [&cell](const std::string& prefix) {
            return absl::StartsWith(cell.name(), prefix);
        });
    }
    return FLAGS_part != "ci" || place % ci_stride == 0;
}

std::vector<matrix_cell> chosen_cells()
{
    std::vector<matrix_cell> chosen;
    std::size_t place = 0;
    for (matrix_cell& cell : all_cells()) {
        if (is_chosen(cell, place++)) {
            chosen.push_back(std::move(cell));
        }
    }
    return chosen;
}

std::set<std::string> read_known_red()
{
    std::set<std::string> known;
    std::ifstream file(FLAGS_known_red);
    for (std::string line; std::getline(file, line);) {
        absl::string_view rest = line;
        if (absl::ConsumePrefix(&rest, "cell: ")) {
            known.emplace(rest);
        }
    }
    return known;
}

// Cells in a fixed order, taken by several workers, and their verdicts.
class matrix_run {
public:
    matrix_run(std::vector<matrix_cell> chosen, std::set<std::string> known)
        : cells(std::move(chosen)), known_red(std::move(known))
    {
    }

    // Runs cells until none is left, on a fleet of this thread's own.
    void work()
    {
        fleet_holder fleets;
        while (const matrix_cell* cell = this->take()) {
            const absl::Time begin = absl::Now();
            const cell_verdict verdict = cell->run(fleets, cell->name());
            this->record(*cell, verdict, absl::Now() - begin);
        }
    }

    // Prints the red cells again, then the last line; returns the exit status.
    int finish()
    {
        const absl::MutexLock lock(&this->mutex);
        for (const std::string& line : this->red_lines) {
            std::printf("%s\n", line.c_str());
        }
        std::printf("matrix cells=%zu held=%d red=%zu\n", this->cells.size(), this->held,
                    this->cells.size() - static_cast<std::size_t>(this->held));
        return this->unknown_red == 0 ? 0 : 1;
    }

private:
    const matrix_cell* take()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->next < this->cells.size() ? &this->cells[this->next++] : nullptr;
    }

    void record(const matrix_cell& cell, const cell_verdict& verdict, absl::Duration took)
    {
        const absl::MutexLock lock(&this->mutex);
        const bool known = this->known_red.count(cell.name()) > 0;
        this->held += verdict.held ? 1 : 0;
        this->unknown_red += verdict.held || known ? 0 : 1;
        const std::string line =
            absl::StrFormat("cell=%s verdict=%s detail=%s known_red=%s seconds=%.1f", cell.name(),
                            verdict.held ? "held" : "red", verdict.detail, known ? "yes" : "no",
                            absl::ToDoubleSeconds(took));
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
        if (!verdict.held) {
            this->red_lines.push_back(line);
        }
    }

    const std::vector<matrix_cell> cells;
    const std::set<std::string> known_red;
    absl::Mutex mutex;
    std::size_t next ABSL_GUARDED_BY(mutex) = 0;
    int held ABSL_GUARDED_BY(mutex) = 0;
    int unknown_red ABSL_GUARDED_BY(mutex) = 0;
    std::vector<std::string> red_lines ABSL_GUARDED_BY(mutex);
};

int run_matrix()
{
    std::vector<matrix_cell> cells = chosen_cells();
    if (FLAGS_list) {
        for (const matrix_cell& cell : cells) {
            std::printf("%s\n", cell.name().c_str());
        }
        return 0;
    }
    matrix_run run(std::move(cells), read_known_red());
    std::vector<std::thread> workers;
    for (int i = 0; i < std::max(1, FLAGS_jobs); ++i) {
        workers.emplace_back([&run] { run.work(); });
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    return run.finish();
}

} // namespace
} // namespace sardinestream::testing

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sardinestream::start_logging(sardinestream::log_level::error, "fault_matrix", "");
    return sardinestream::testing::run_matrix();
}
