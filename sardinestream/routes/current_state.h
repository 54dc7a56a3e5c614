// Holds the newest desired state that this process knows. Its version never decreases.
//
// The operator's version orders documents, whichever way they arrive. The store's revision cannot:
// a store that is restored from an older copy gives out revisions again.
//
//     current_state current(decode_desired_state);
//     current.offer(document, revision, "store");
//     std::shared_ptr<const desired_state> state = current.get(); // null until one is accepted
//
// Thread-safe.

#ifndef SARDINESTREAM_ROUTES_CURRENT_STATE_H_
#define SARDINESTREAM_ROUTES_CURRENT_STATE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sardinestream/routes/desired_state.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream {

using desired_state_decoder =
    std::function<absl::StatusOr<std::shared_ptr<const desired_state>>(absl::string_view text)>;

// A document as the operator wrote it, kept to be sent to other processes.
struct stored_document {
    std::string text;
    // The store's revision of the document; zero if there is none.
    std::int64_t revision = 0;
};

// The origin of the state in force.
struct state_origin {
    // The store, or the address of the entry that it was fetched from; empty if there is no state.
    std::string source;
    absl::Time since = absl::InfinitePast();
};

class current_state {
public:
    explicit current_state(desired_state_decoder decoder);

    // Applies a document whose version is higher than the known one, or the same at a later
    // revision, and returns true if it is now in force. Another one changes nothing and is logged;
    // an unreadable one is also counted.
    bool offer(const std::string& text, std::int64_t revision, absl::string_view source);

    [[nodiscard]] std::shared_ptr<const desired_state> get() const;
    [[nodiscard]] stored_document document() const;
    // Returns the version in force; zero if there is none.
    [[nodiscard]] std::int64_t version() const;
    [[nodiscard]] state_origin origin() const;

private:
    // Returns true if the document is the known one, and then keeps its revision.
    bool is_known(const std::string& text, std::int64_t revision);

    const desired_state_decoder decode;
    mutable absl::Mutex mutex;
    std::shared_ptr<const desired_state> state ABSL_GUARDED_BY(mutex);
    stored_document newest ABSL_GUARDED_BY(mutex);
    state_origin newest_origin ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream

#endif // SARDINESTREAM_ROUTES_CURRENT_STATE_H_
