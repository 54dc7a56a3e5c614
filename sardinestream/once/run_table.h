// The agent's record of every request that may not be repeated: each key runs at most once.
//
// One table lives as long as one incarnation of an agent. The first caller of a key gets a
// `run_permit`; later ones wait for that run or are handed its answer:
//
//     run_admission admitted = table->begin(key, request);
//     switch (admitted.decision) {
//     case run_decision::run: // this caller runs it
//         admitted.permit.mark_sent(); // before the first byte goes to the backend server
//         admitted.permit.finish(answer);
//     case run_decision::join:
//         run_result result = admitted.running->wait(deadline, caller_has_gone);
//     case run_decision::replay:
//         reply(*admitted.answer);
//
// The table owns keys and answers. It never talks to a backend server and never forgets a key:
// only answers are dropped, oldest first.

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

// What the backend server answered.
struct run_answer {
    int http_status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::size_t bytes() const;
};

enum class run_end : std::uint8_t {
    answered,
    not_sent, // no byte went to the backend server; the key is free again
    unknown,  // sent, and nobody can say how it ended; final
    deadline, // the waiting caller's time ran out; the run goes on
    cancelled // the waiting caller has gone; the run goes on
};

struct run_result {
    run_end end = run_end::unknown;
    std::shared_ptr<const run_answer> answer; // set where `end` is `answered`
};

// A run that is in progress, as those who wait for it see it. Thread-safe.
class running_request {
public:
    // Waits for the end of the run, until `deadline`, or until `cancelled` (polled; may be empty)
    // returns true.
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

// The right to run one key, held by exactly one caller. Dropping it ends the run: as `not_sent`
// before `mark_sent`, as `unknown` after.
class run_permit {
public:
    run_permit() = default;
    run_permit(run_permit&&) = default;
    run_permit& operator=(run_permit&& other) noexcept;
    run_permit(const run_permit&) = delete;
    run_permit& operator=(const run_permit&) = delete;
    ~run_permit();

    // Call before the first byte goes to the backend server. From here on the key never runs again.
    void mark_sent();
    // The backend server answered, whatever its HTTP status. Returns the answer as it is shared
    // with those who wait. Precondition: `mark_sent` was called.
    std::shared_ptr<const run_answer> finish(run_answer answer);
    // No byte was sent. After `mark_sent` this counts as `fail_unknown`.
    void fail_not_sent();
    void fail_unknown();
    // No byte was sent, whatever was marked: the connection that was to carry the request was never
    // made. Call only where that is certain.
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
    run,            // the caller holds the permit
    join,           // another caller runs it now
    replay,         // it ran; here is the answer
    key_reused,     // another request came under the same key
    answer_expired, // it ran; the answer has been dropped
    unknown,        // it was sent and nobody can say how it ended; final
    not_found,      // `look_up` alone: this incarnation never accepted the key
    table_full      // a new key that the table has no room for
};

struct run_admission {
    run_decision decision = run_decision::unknown;
    run_permit permit;                              // `run`
    std::shared_ptr<const running_request> running; // `join`
    std::shared_ptr<const run_answer> answer;       // `replay`
    int http_status = 0;                            // `replay`, `answer_expired`
};

struct run_table_options {
    std::size_t max_keys = 1'000'000;
    std::size_t max_answer_bytes = 64U << 20; // over all answers that are kept
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

    // Admits one sending of the key. Does not block.
    [[nodiscard]] run_admission begin(digest128 key, digest128 request);

    // Says what `begin` would, but accepts nothing: `not_found` in place of `run`.
    [[nodiscard]] run_admission look_up(digest128 key, digest128 request);

    [[nodiscard]] run_table_counts counts() const;

private:
    friend class run_permit;

    enum class key_state : std::uint8_t { accepted, sent, answered, unknown };

    struct key_row {
        digest128 request;
        key_state state = key_state::accepted;
        std::uint16_t http_status = 0; // of the answer, where `state` is `answered`
    };

    struct kept_answer {
        digest128 key;
        absl::Time kept_at;
    };

    explicit run_table(run_table_options given) : options(std::move(given)) {}

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
    // A row leaves only through `end_not_sent`.
    absl::flat_hash_map<digest128, key_row> keys ABSL_GUARDED_BY(mutex);
    // One for each row that is accepted or sent.
    absl::flat_hash_map<digest128, std::shared_ptr<running_request>> running ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<digest128, std::shared_ptr<const run_answer>>
        answers ABSL_GUARDED_BY(mutex);
    std::deque<kept_answer> oldest_first ABSL_GUARDED_BY(mutex); // the keys of `answers`
    std::size_t answer_bytes ABSL_GUARDED_BY(mutex) = 0;         // sum over `answers`
};

} // namespace sardinestream::once

#endif // SARDINESTREAM_ONCE_RUN_TABLE_H_
