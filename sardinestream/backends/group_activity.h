// Knows which rank groups send events, so that the silence of one rank can be distinguished from
// that of its whole group.
//
//     activity.note_event("group", now);
//     if (activity.is_running("group", now)) { ... a rank that is silent is so by itself ... }
//
// Not thread-safe: guarded by the mutex of the dispatcher that owns it.

#ifndef SARDINESTREAM_BACKENDS_GROUP_ACTIVITY_H_
#define SARDINESTREAM_BACKENDS_GROUP_ACTIVITY_H_

#include <chrono>
#include <map>
#include <string>

#include "sardinestream/http/socket.h"

#include "absl/strings/string_view.h"

namespace sardinestream {

class group_activity {
public:
    // A group that runs sends events of some stream more often.
    static constexpr std::chrono::milliseconds max_event_interval{600};
    // A group that has sent nothing for so long has stood still. Streams on it may look for other
    // servers after as long.
    static constexpr std::chrono::milliseconds min_standstill{1200};
    // All ranks of a group that goes on are heard of within this time after the first one.
    static constexpr std::chrono::milliseconds settling_time{600};

    // Records that a rank of the group has sent an event of a stream.
    void note_event(absl::string_view group, steady_time now);

    // Returns whether the group has sent an event lately, and has not just gone on after a
    // standstill: its ranks are heard of one after the other then, so that the first event says
    // nothing about the ranks that have not sent one yet.
    [[nodiscard]] bool is_running(absl::string_view group, steady_time now) const;

private:
    struct period {
        steady_time begin{};
        steady_time last_event{};
    };

    [[nodiscard]] static bool is_over(const period& active, steady_time now);

    // By group, from the first event after a standstill on. Those that are over are dropped when
    // the next one begins.
    std::map<std::string, period, std::less<>> periods;
};

} // namespace sardinestream

#endif // SARDINESTREAM_BACKENDS_GROUP_ACTIVITY_H_
