// What an agent knows of the engine beside it: its newest report, the experts that it holds, and
// what its requests have chosen since the last look.
//
// Not thread-safe.

#ifndef SARDINESTREAM_PROGRAMS_ENGINE_MONITOR_H_
#define SARDINESTREAM_PROGRAMS_ENGINE_MONITOR_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "sardinestream/http/socket.h"
#include "sardinestream/maps/engine_port.h"
#include "sardinestream/peers/news_generated.h"

namespace sardinestream {

class engine_monitor {
public:
    explicit engine_monitor(engine_port given);

    // Reads the report, and the experts where the map in use has changed. Returns false, and
    // forgets the report, where the engine does not answer.
    [[nodiscard]] bool refresh();

    // Nothing while the engine does not answer.
    [[nodiscard]] const std::optional<engine_report>& report() const { return this->newest; }

    // By set; empty before the first.
    [[nodiscard]] const rank_experts& experts() const { return this->current_experts; }

    // How long the engine has had work without beginning a pass.
    [[nodiscard]] steady_clock::duration time_without_step(steady_time now) const
    {
        return now - this->last_progress;
    }

    // Mean time between the beginnings of the last passes; zero while the engine makes none.
    [[nodiscard]] double pass_ms() const;

    // Adds what was chosen since the last call, scaled to fit a message.
    void add_counts(news::RankStateT& state);

    [[nodiscard]] const engine_port& port() const { return this->calls; }

private:
    void refresh_experts();
    void record_step(steady_time now);

    // A look at the engine that found it at work.
    struct step_sample {
        steady_time at{};
        std::int64_t step = 0;
    };

    const engine_port calls;
    std::optional<engine_report> newest;
    // When the engine last began a pass, or had nothing to do.
    steady_time last_progress{};
    // The looks of the last moments, oldest first; empty while the engine is idle.
    std::deque<step_sample> step_samples;
    rank_experts current_experts;
    // What `held` belongs to, or -1.
    std::int64_t experts_epoch = -1;
    std::int64_t experts_version = -1;
    std::vector<std::int64_t> last_counts;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_ENGINE_MONITOR_H_
