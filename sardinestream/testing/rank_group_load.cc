#include "sardinestream/testing/rank_group_load.h"

#include <algorithm>
#include <cmath>

namespace sardinestream::testing {

drifting_load::drifting_load(const expert_load_options& options)
    : settings(options), random(options.seed)
{
    std::vector<float> layer;
    float sum = 0;
    for (std::uint32_t expert = 0; expert < options.experts_per_layer; ++expert) {
        layer.push_back(std::pow(static_cast<float>(expert + 1), -options.zipf_exponent));
        sum += layer.back();
    }
    for (float& share : layer) {
        share *= options.tokens_per_layer / sum;
    }
    for (std::uint32_t each = 0; each < options.layers; ++each) {
        std::shuffle(layer.begin(), layer.end(), this->random);
        this->popularity.insert(this->popularity.end(), layer.begin(), layer.end());
    }
    this->tokens.resize(this->popularity.size());
}

std::span<const float> drifting_load::next_step()
{
    ++this->steps;
    if (this->settings.drift_steps > 0 && this->steps % this->settings.drift_steps == 0) {
        this->drift();
    }
    std::uniform_real_distribution<float> noise(1 - this->settings.noise, 1 + this->settings.noise);
    for (std::size_t i = 0; i < this->tokens.size(); ++i) {
        this->tokens[i] = this->popularity[i] * noise(this->random);
    }
    return this->tokens;
}

void drifting_load::drift()
{
    std::uniform_int_distribution<std::uint32_t> pick(0, this->settings.experts_per_layer - 1);
    for (std::uint32_t layer = 0; layer < this->settings.layers; ++layer) {
        const std::size_t first =
            static_cast<std::size_t>(layer) * this->settings.experts_per_layer;
        for (std::uint32_t swap = 0; swap < this->settings.drift_swaps; ++swap) {
            std::swap(this->popularity[first + pick(this->random)],
                      this->popularity[first + pick(this->random)]);
        }
    }
}

} // namespace sardinestream::testing
