#include "sardinestream/testing/soak/cpu_throttle.h"

#include <chrono>
#include <utility>

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

// A process is held for half of each period.
constexpr milliseconds period{100};
constexpr milliseconds step{5};

} // namespace

cpu_throttle::cpu_throttle(std::vector<process*> to_hold) : throttled(std::move(to_hold))
{
    this->thread = std::thread([this] { this->run(); });
}

cpu_throttle::~cpu_throttle()
{
    this->stopping = true;
    this->thread.join();
}

void cpu_throttle::run()
{
    const steady_clock::time_point begun = steady_clock::now();
    std::vector<bool> held(this->throttled.size(), false);
    while (!this->stopping) {
        for (std::size_t i = 0; i < held.size(); ++i) {
            // Their turns are spread over the period.
            const auto phase = period * static_cast<int>(i) / static_cast<int>(held.size());
            const bool holds = (steady_clock::now() - begun + phase) % period < period / 2;
            if (holds == held[i]) {
                continue;
            }
            held[i] = holds;
            if (holds) {
                this->throttled[i]->freeze();
            }
            else {
                this->throttled[i]->wake();
            }
        }
        std::this_thread::sleep_for(step);
    }
    for (process* const one : this->throttled) {
        one->wake();
    }
}

} // namespace sardinestream::testing
