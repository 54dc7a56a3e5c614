// Monitors the engine on the agent's machine: its newest report, the experts that it holds, and how
// often its requests have selected each expert since the last poll.
//
// Not thread-safe.

#ifndef SARDINESTREAM_PROGRAMS_ENGINE_MONITOR_H_
#define SARDINESTREAM_PROGRAMS_ENGINE_MONITOR_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "sardinestream/http/socket.h"
#include "sardinestream/maps/engine_interface.h"
#include "sardinestream/peers/gossip_generated.h"

namespace sardinestream {

class engine_monitor {
public:
    explicit engine_monitor(engine_interface engine);

    // Reads the report, and the experts if the map in use has changed. Returns false and discards
    // the report if the engine does not answer.
    [[nodiscard]] bool refresh();

    // Empty while the engine does not answer.
    [[nodiscard]] const std::optional<engine_report>& report() const { return this->newest; }

    // Experts by layer set under the reported map; empty until they have been read for it.
    [[nodiscard]] const rank_experts& experts() const { return this->current_experts; }

    // Returns how long the engine has had work without starting a step.
    [[nodiscard]] steady_clock::duration time_without_step(steady_time now) const
    {
        return now - this->last_progress;
    }

    // Returns the mean time between the starts of recent steps, in milliseconds; zero while the
    // engine runs none.
    [[nodiscard]] double pass_ms() const;

    // Adds to `state` how often each expert was selected since the last call, scaled to fit a
    // message. Adds nothing if the counts cannot be read, or at the first call.
    void add_counts(gossip::RankStateT& state);

    [[nodiscard]] const engine_interface& port() const { return this->calls; }

private:
    void refresh_experts();
    void record_step(steady_time now);

    // The step number at one poll, while the engine had running requests.
    struct step_sample {
        steady_time at{};
        std::int64_t step = 0;
    };

    const engine_interface calls;
    std::optional<engine_report> newest;
    // When the engine last started a step, or had no work.
    steady_time last_progress{};
    // Recent samples, oldest first; empty while the engine is idle.
    std::deque<step_sample> step_samples;
    rank_experts current_experts;
    // The epoch and map version of `current_experts`; the version is -1 while they are empty.
    std::int64_t experts_epoch = -1;
    std::int64_t experts_version = -1;
    std::vector<std::int64_t> last_counts;
};

} // namespace sardinestream

#endif // SARDINESTREAM_PROGRAMS_ENGINE_MONITOR_H_
