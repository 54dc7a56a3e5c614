// Popularity of experts that drifts during the day, drawn with a fixed seed.
//
//     drifting_load load({.layers = 2, .experts_per_layer = 16, .seed = 7});
//     std::span<const float> tokens = load.next_step();
//
// Not thread-safe.

#ifndef SARDINESTREAM_TESTING_RANK_GROUP_LOAD_H_
#define SARDINESTREAM_TESTING_RANK_GROUP_LOAD_H_

#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace sardinestream::testing {

struct expert_load_options {
    std::uint32_t layers = 1;
    std::uint32_t experts_per_layer = 16;
    float tokens_per_layer = 256; // per step
    float zipf_exponent = 0.8F;   // 0: all experts alike
    // Every so many steps, `drift_swaps` pairs of experts of each layer trade places. 0: no drift.
    std::uint32_t drift_steps = 0;
    std::uint32_t drift_swaps = 1;
    float noise = 0.1F; // relative, per step
    std::uint64_t seed = 1;
};

class drifting_load {
public:
    explicit drifting_load(const expert_load_options& options);

    // Tokens of each expert in the next step; valid until the next call.
    [[nodiscard]] std::span<const float> next_step();

private:
    void drift();

    const expert_load_options settings;
    std::mt19937_64 random;
    std::uint64_t steps = 0;
    std::vector<float> popularity; // tokens per step without noise
    std::vector<float> tokens;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_RANK_GROUP_LOAD_H_
