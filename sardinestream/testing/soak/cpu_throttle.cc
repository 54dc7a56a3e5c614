#include "sardinestream/testing/soak/cpu_throttle.h"

#include <chrono>
#include <utility>

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

constexpr milliseconds step{5};

} // namespace

bool is_held(double share, steady_clock::duration in_period)
{
    return in_period >=
           std::chrono::duration_cast<steady_clock::duration>(cpu_throttle::period * share);
}

cpu_throttle::cpu_throttle(std::vector<throttled_process> to_hold) : throttled(std::move(to_hold))
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
            const bool holds =
                is_held(this->throttled[i].share, (steady_clock::now() - begun + phase) % period);
            if (holds == held[i]) {
                continue;
            }
            held[i] = holds;
            if (holds) {
                this->throttled[i].run->freeze();
            }
            else {
                this->throttled[i].run->wake();
            }
        }
        std::this_thread::sleep_for(step);
    }
    for (const throttled_process& one : this->throttled) {
        one.run->wake();
    }
}

} // namespace sardinestream::testing
