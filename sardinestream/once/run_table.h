// Records, on an agent, every request that must run at most once, and admits each key only once.
//
// A table lives exactly as long as one incarnation of the agent. The first caller of a key gets a
// `run_permit`; later callers wait for that run or get its recorded answer:
//
//     run_admission admitted = table->begin(key, request);
//     switch (admitted.decision) {
//     case run_decision::run: // this caller runs the request
//         admitted.permit.mark_sent(); // before the first byte is sent to the backend server
//         admitted.permit.finish(answer);
//     case run_decision::join:
//         run_result result = admitted.running->wait(deadline, caller_has_gone);
//     case run_decision::replay:
//         reply(*admitted.answer);
//
// The table owns the keys and the answers. It does not communicate with backend servers. A key
// stays in the table once its request may have been sent; only answers are evicted, oldest first.

#ifndef SARDINESTREAM_ONCE_RUN_TABLE_H_
#define SARDINESTREAM_ONCE_RUN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/base/digest128.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace sardinestream::once {

// The answer of the backend server.
struct run_answer {
    int http_status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::size_t bytes() const;
};

enum class run_end : std::uint8_t {
    answered,
    not_sent, // no byte was sent to the backend server; the key may run again
    unknown,  // sent, but the outcome is not known and will not become known
    deadline, // the deadline of the waiting caller passed; the run continues
    cancelled // the waiting caller disconnected; the run continues
};

struct run_result {
    run_end end = run_end::unknown;
    std::shared_ptr<const run_answer> answer; // set if `end` is `answered`
};

// A run in progress, for callers that wait for its result. Thread-safe.
class running_request {
public:
    // Blocks until the run ends, `deadline` passes, or `cancelled` returns true. `cancelled` is
    // polled and may be empty.
    [[nodiscard]] run_result wait(absl::Time deadline,
                                  const std::function<bool()>& cancelled) const;

private:
    friend class run_table;

    [[nodiscard]] bool has_ended() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void set_result(run_result ended);

    mutable absl::Mutex mutex;
    std::optional<run_result> result ABSL_GUARDED_BY(mutex);
};

class run_table;

// The permission to run the request of one key, held by exactly one caller. Destroying the permit
// ends the run: as `not_sent` before `mark_sent`, as `unknown` after it.
class run_permit {
public:
    run_permit() = default;
    run_permit(run_permit&&) = default;
    run_permit& operator=(run_permit&& other) noexcept;
    run_permit(const run_permit&) = delete;
    run_permit& operator=(const run_permit&) = delete;
    ~run_permit();

    // Must be called before the first byte is sent to the backend server. After this call the key
    // does not run again, except after `fail_not_connected`.
    void mark_sent();
    // Records the answer of the backend server, whatever its HTTP status, and returns it in the
    // form shared with the waiting callers. Precondition: `mark_sent` was called.
    std::shared_ptr<const run_answer> finish(run_answer answer);
    // Ends the run because no byte was sent. After `mark_sent` this acts as `fail_unknown`.
    void fail_not_sent();
    void fail_unknown();
    // Ends the run as `not_sent`, even after `mark_sent`, because the connection for the request
    // was never established. Call only if it is certain that no byte was sent.
    void fail_not_connected();

    [[nodiscard]] bool held() const { return this->table != nullptr; }

private:
    friend class run_table;

    run_permit(std::shared_ptr<run_table> owner, digest128 of_key)
        : table(std::move(owner)), key(of_key)
    {
    }

    std::shared_ptr<run_table> table; // null once the run has ended
    digest128 key;
    bool sent = false;
};

enum class run_decision : std::uint8_t {
    run,            // this caller has got the permit
    join,           // another caller is running the request
    replay,         // the request ran; its recorded answer is returned
    key_reused,     // the key was used for a different request
    answer_expired, // the request ran, but its answer was evicted
    unknown,        // sent, but the outcome is not known and will not become known
    not_found,      // from `look_up` only: this incarnation has never accepted the key
    table_full      // the key is new and the table has no room for it
};

struct run_admission {
    run_decision decision = run_decision::unknown;
    run_permit permit;                              // set for `run`
    std::shared_ptr<const running_request> running; // set for `join`
    std::shared_ptr<const run_answer> answer;       // set for `replay`
    int http_status = 0;                            // set for `replay` and `answer_expired`
};

struct run_table_options {
    std::size_t max_keys = 1'000'000;
    std::size_t max_answer_bytes = 64U << 20; // total of all answers that are kept
    absl::Duration max_answer_age = absl::Hours(24);
    std::function<absl::Time()> now = absl::Now;
};

struct run_table_counts {
    std::size_t keys = 0;
    std::size_t running = 0;
    std::size_t answers = 0;
    std::size_t answer_bytes = 0;
};

// Thread-safe.
class run_table : public std::enable_shared_from_this<run_table> {
public:
    [[nodiscard]] static std::shared_ptr<run_table> create(run_table_options options = {});

    // Decides what to do with one sending of `key`; accepts the key if it is new. `request` is the
    // digest of the request. Does not block.
    [[nodiscard]] run_admission begin(digest128 key, digest128 request);

    // Returns the decision that `begin` would return, but accepts no key: it returns `not_found`
    // where `begin` would return `run`.
    [[nodiscard]] run_admission look_up(digest128 key, digest128 request);

    [[nodiscard]] run_table_counts counts() const;

private:
    friend class run_permit;

    enum class key_state : std::uint8_t { accepted, sent, answered, unknown };

    struct key_row {
        digest128 request;
        key_state state = key_state::accepted;
        std::uint16_t http_status = 0; // of the answer, if `state` is `answered`
    };

    struct kept_answer {
        digest128 key;
        absl::Time kept_at;
    };

    explicit run_table(run_table_options chosen) : options(std::move(chosen)) {}

    [[nodiscard]] run_admission admit(digest128 key, digest128 request, bool accept_new);
    [[nodiscard]] run_admission admit_known(digest128 key, const key_row& row, digest128 request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] run_admission accept(digest128 key, digest128 request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void mark_sent(digest128 key);
    void end_answered(digest128 key, const std::shared_ptr<const run_answer>& answer);
    void end_not_sent(digest128 key);
    void end_unknown(digest128 key);
    [[nodiscard]] std::shared_ptr<running_request> take_running(digest128 key)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void drop_old_answers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const run_table_options options;
    mutable absl::Mutex mutex;
    // Only `end_not_sent` removes a row.
    absl::flat_hash_map<digest128, key_row> keys ABSL_GUARDED_BY(mutex);
    // Has exactly one element for each row in state `accepted` or `sent`.
    absl::flat_hash_map<digest128, std::shared_ptr<running_request>> running ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<digest128, std::shared_ptr<const run_answer>>
        answers ABSL_GUARDED_BY(mutex);
    std::deque<kept_answer> oldest_first ABSL_GUARDED_BY(mutex); // exactly the keys of `answers`
    std::size_t answer_bytes ABSL_GUARDED_BY(mutex) = 0;         // sum of `bytes()` over `answers`
};

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_RUN_TABLE_H_
