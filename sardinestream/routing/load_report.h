// Encodes the load reports of backend servers, and tracks the load of each server at an entry.
//
// The agent sends the result of `encode_load` with its heartbeats and responses. The entry keeps
// one `load_tracker` for each agent, which corrects the last report by the requests that the entry
// has sent, and those that have ended, since then:
//
//     tracker.on_report(*decode_load(payload), absl::Now());
//     tracker.on_request_sent();
//     const server_view view = tracker.view(absl::Now());
//     tracker.on_request_ended();
//
// Owns the wire format of the report. Takes no routing decisions.

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

// Returns the report in its wire format.
[[nodiscard]] std::string encode_load(const server_load& load);

// Fails with `kInvalidArgument` if `payload` is not a valid report.
[[nodiscard]] absl::StatusOr<server_load> decode_load(absl::string_view payload);

// Tracks the load of one agent incarnation as seen by one entry. Thread-safe.
class load_tracker {
public:
    load_tracker(std::string agent_id, std::uint64_t agent_incarnation, std::string data_centre,
                 distance_class distance);

    // Replaces the last report. Requests sent before this call are assumed to be included in it.
    void on_report(const server_load& load, absl::Time now);

    // Record that this entry sent a request, or that one of its requests ended, whatever the
    // result.
    void on_request_sent();
    void on_request_ended();

    // Records that the agent announced that it is leaving. Cannot be undone.
    void on_leaving();

    // Returns the input for a `routing_policy`, with `cached_blocks` set to zero.
    [[nodiscard]] server_view view(absl::Time now) const;

private:
    const std::string id;
    const std::uint64_t incarnation;
    const std::string data_centre;
    const distance_class distance;

    mutable absl::Mutex mutex;
    server_load reported ABSL_GUARDED_BY(mutex);
    absl::Time reported_at ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    // Requests sent minus requests ended since the report. The sum of this and the reported running
    // and queued requests is never negative.
    std::int64_t change_since_report ABSL_GUARDED_BY(mutex) = 0;
    // Requests of this entry that have not ended.
    std::int64_t outstanding ABSL_GUARDED_BY(mutex) = 0;
    bool leaving ABSL_GUARDED_BY(mutex) = false;
};

} // namespace sardinestream::routing

#endif // SARDINESTREAM_ROUTING_LOAD_REPORT_H_
