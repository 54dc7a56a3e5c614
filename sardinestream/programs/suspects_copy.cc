#include "sardinestream/programs/suspects_copy.h"

#include <algorithm>

#include "sardinestream/base/log.h"
#include "sardinestream/forwarding/crash_guard.h"
#include "sardinestream/peers/home_entries.h"
#include "sardinestream/peers/suspect_report.h"

namespace sardinestream {

suspects_copy::suspects_copy(std::uint32_t ip)
    : own_ip(ip), known(suspects::suspect_registry::create(shared_server_suspects()))
{
}

void suspects_copy::merge(const gossip::SuspectReportT& message)
{
    const absl::StatusOr<bool> merged = this->known->merge(report_in(message));
    if (!merged.ok()) {
        log_failure("suspect_news_unread", merged.status());
    }
}

std::vector<gossip::MessageT> suspects_copy::answer(const gossip::EntryHelloT& hello,
                                                    absl::Span<const std::uint32_t> entries,
                                                    steady_time now)
{
    if (hello.suspects_digest != 0) {
        return {};
    }
    std::vector<std::uint32_t> others(entries.begin(), entries.end());
    std::erase(others, hello.ip);
    std::erase_if(this->sent_at,
                  [now](const auto& entry) { return now - entry.second >= min_suspects_interval; });
    if (!is_home_of(this->own_ip, hello.ip, others) || this->sent_at.count(hello.ip) != 0) {
        return {};
    }
    this->sent_at[hello.ip] = now;
    std::vector<gossip::MessageT> messages;
    for (const std::string& report : this->known->split_report(0, max_suspect_report_bytes)) {
        messages.push_back(make_suspect_report(report));
    }
    return messages;
}

} // namespace sardinestream
