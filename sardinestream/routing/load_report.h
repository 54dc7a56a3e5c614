// The load of one backend server: what its agent reports, and what an entry makes of it.
//
// The agent puts `encode_load` into its heartbeats and answers. The entry keeps one `load_tracker`
// for each agent, which corrects the last report by what the entry has sent and seen end since:
//
//     tracker.on_report(*decode_load(payload), absl::Now());
//     tracker.on_request_sent();
//     const server_view view = tracker.view(absl::Now());
//     tracker.on_request_ended();
//
// Owns the report's wire form. Never decides anything.

#ifndef SARDINESTREAM_ROUTING_LOAD_REPORT_H_
#define SARDINESTREAM_ROUTING_LOAD_REPORT_H_

#include <cstdint>
#include <string>

#include "sardinestream/routing/server_view.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::routing {

// Returns the report in its wire form.
[[nodiscard]] std::string encode_load(const server_load& load);

// Fails with `kInvalidArgument` where `payload` is not a report.
[[nodiscard]] absl::StatusOr<server_load> decode_load(absl::string_view payload);

// One entry's knowledge of one agent incarnation. Thread-safe.
class load_tracker {
public:
    load_tracker(std::string agent_id, std::uint64_t agent_incarnation, std::string data_centre,
                 distance_class distance);

    // A report arrived. Requests sent before it count as contained in it.
    void on_report(const server_load& load, absl::Time now);

    // This entry sent a request, or saw one of its requests end in any way.
    void on_request_sent();
    void on_request_ended();

    // The agent said that it is leaving. Never taken back.
    void on_leaving();

    // What `choose_backend` needs; `cached_blocks` is zero.
    [[nodiscard]] server_view view(absl::Time now) const;

private:
    const std::string id;
    const std::uint64_t incarnation;
    const std::string data_centre;
    const distance_class distance;

    mutable absl::Mutex mutex;
    server_load reported ABSL_GUARDED_BY(mutex);
    absl::Time reported_at ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    // Sent minus ended since the report; the sum with the report's counts is never below zero.
    std::int64_t change_since_report ABSL_GUARDED_BY(mutex) = 0;
    // Requests of this entry that have not ended.
    std::int64_t outstanding ABSL_GUARDED_BY(mutex) = 0;
    bool leaving ABSL_GUARDED_BY(mutex) = false;
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_LOAD_REPORT_H_
