// Messages with what a process knows of requests that crash servers: between entries, and between
// an entry and the copy that an agent keeps.
//
// An entry that notices that the digest of a copy differs from its own sends all that it knows. An
// agent sends its copy to entries that know nothing, as they do when they have just started.

#ifndef SARDINESTREAM_PEERS_SUSPECT_REPORT_H_
#define SARDINESTREAM_PEERS_SUSPECT_REPORT_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "sardinestream/peers/datagram_socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

// Size of a report that is sent as one message.
inline constexpr std::size_t max_suspect_report_bytes = 8192;
// Shortest interval between two times that all is sent to one process, which may not have received
// the first yet.
inline constexpr std::chrono::milliseconds min_suspects_interval{2000};

[[nodiscard]] inline gossip::MessageT make_suspect_report(absl::string_view report)
{
    gossip::SuspectReportT message;
    message.report.assign(report.begin(), report.end());
    return make_message(std::move(message));
}

// Returns the report in the message, which the view refers to.
[[nodiscard]] inline absl::string_view report_in(const gossip::SuspectReportT& message)
{
    return {reinterpret_cast<const char*>(message.report.data()), message.report.size()};
}

} // namespace sardinestream

#endif // SARDINESTREAM_PEERS_SUSPECT_REPORT_H_
