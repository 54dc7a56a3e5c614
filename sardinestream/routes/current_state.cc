#include "sardinestream/routes/current_state.h"

#include <utility>

#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/time/clock.h"

namespace sardinestream {

current_state::current_state(desired_state_decoder decoder) : decode(std::move(decoder)) {}

bool current_state::offer(const std::string& text, std::int64_t revision, absl::string_view source)
{
    if (this->is_known(text, revision)) {
        return false;
    }
    absl::StatusOr<std::shared_ptr<const desired_state>> decoded = this->decode(text);
    if (!decoded.ok()) {
        count("sardine_unreadable_documents_total");
        log_failure("desired_state_unreadable", decoded.status(), {{"revision", revision}});
        return false;
    }
    const absl::MutexLock lock(&this->mutex);
    const std::int64_t known = this->state == nullptr ? 0 : this->state->version;
    const bool is_later = (*decoded)->version > known ||
                          ((*decoded)->version == known && revision > this->newest.revision);
    if (this->state != nullptr && !is_later) {
        log_event("desired_state_passed_over", {{"version", (*decoded)->version},
                                                {"known_version", known},
                                                {"revision", revision},
                                                {"known_revision", this->newest.revision},
                                                {"source", source}});
        return false;
    }
    this->state = *std::move(decoded);
    this->newest = {text, revision};
    this->newest_origin = {std::string(source), absl::Now()};
    log_event("desired_state_in_force", {{"version", this->state->version},
                                         {"revision", revision},
                                         {"routes", this->state->routes.size()},
                                         {"source", source}});
    return true;
}

bool current_state::is_known(const std::string& text, std::int64_t revision)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->state == nullptr || text != this->newest.text) {
        return false;
    }
    this->newest.revision = revision;
    return true;
}

std::shared_ptr<const desired_state> current_state::get() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->state;
}

stored_document current_state::document() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->newest;
}

state_origin current_state::origin() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->newest_origin;
}

std::int64_t current_state::version() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->state == nullptr ? 0 : this->state->version;
}

} // namespace sardinestream
