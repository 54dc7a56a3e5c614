#include "sardinestream/retries/retry_budget.h"

#include <algorithm>

namespace sardinestream::routing {

retry_budget::retry_budget(retry_budget_options chosen) : options(chosen) {}

void retry_budget::set_max_tokens(double max_tokens_per_service)
{
    absl::MutexLock lock(&this->mutex);
    this->options.max_tokens = max_tokens_per_service;
    this->options.initial_tokens = std::min(this->options.initial_tokens, max_tokens_per_service);
    for (auto& [service, held] : this->tokens) {
        held = std::min(held, max_tokens_per_service);
    }
}

void retry_budget::on_request(absl::string_view service)
{
    absl::MutexLock lock(&this->mutex);
    double& held = this->tokens_of(service);
    held = std::min(this->options.max_tokens, held + this->options.tokens_per_request);
}

bool retry_budget::try_retry(absl::string_view service)
{
    absl::MutexLock lock(&this->mutex);
    double& held = this->tokens_of(service);
    if (held < 1.0) {
        return false;
    }
    held -= 1.0;
    return true;
}

bool retry_budget::has_retry(absl::string_view service)
{
    absl::MutexLock lock(&this->mutex);
    return this->tokens_of(service) >= 1.0;
}

double& retry_budget::tokens_of(absl::string_view service)
{
    auto found = this->tokens.find(service);
    if (found == this->tokens.end()) {
        found = this->tokens.emplace(std::string(service), this->options.initial_tokens).first;
    }
    return found->second;
}

std::map<std::string, double> retry_budget::left() const
{
    const absl::MutexLock lock(&this->mutex);
    return {this->tokens.begin(), this->tokens.end()};
}

} // namespace sardinestream::routing
