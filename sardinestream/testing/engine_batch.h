// Continuous batching as the stand-in engine models it: a number of slots, a queue by priority, a
// cache of prompt prefixes, and the time that prefill and decode take.
//
//     std::unique_ptr<engine_slot> slot = batch.wait_for_slot(priority, is_cancelled);
//     if (slot == nullptr) return;                       // cancelled while waiting
//     wait(batch.prefill_time(prompt, is_cancelled));
//     wait(batch.token_time());
//
// Thread-safe; one thread for each request.

#ifndef SARDINESTREAM_TESTING_ENGINE_BATCH_H_
#define SARDINESTREAM_TESTING_ENGINE_BATCH_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

struct batch_options {
    int slots = 16;
    absl::Duration token_time = absl::Milliseconds(10);
    // Share by which each further request in the batch lengthens the token time.
    double batch_growth = 0.02;
    // Per prompt token (four bytes of text) that is not in the prefix cache.
    absl::Duration prefill_time = absl::Microseconds(100);
    std::size_t cached_blocks = 4096;
};

struct batch_load {
    int running = 0;
    int waiting = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_prompt_tokens = 0;
};

class engine_batch;

// One request's place in the batch, given back on destruction.
class engine_slot {
public:
    explicit engine_slot(engine_batch* of) : owner(of) {}
    ~engine_slot();
    engine_slot(const engine_slot&) = delete;
    engine_slot& operator=(const engine_slot&) = delete;

private:
    engine_batch* const owner;
};

class engine_batch {
public:
    explicit engine_batch(batch_options configured) : options(configured) {}

    // Waits for a slot; a lower `priority` goes first, then who came first. Returns null when
    // `is_cancelled`, which is asked every few milliseconds, says so.
    [[nodiscard]] std::unique_ptr<engine_slot>
    wait_for_slot(int priority, const std::function<bool()>& is_cancelled);

    // Returns the time that prefill of `prompt` takes, and caches its prefix.
    [[nodiscard]] absl::Duration prefill_time(absl::string_view prompt);

    // Returns the time for one token at the present batch size and speed.
    [[nodiscard]] absl::Duration token_time() const;

    // Divides every time; 1 is the configured speed, 0.1 ten times slower.
    void set_speed(double factor);

    [[nodiscard]] batch_load load() const;

private:
    friend class engine_slot;

    void give_back();

    const batch_options options;
    mutable absl::Mutex mutex;
    double speed ABSL_GUARDED_BY(mutex) = 1.0;
    int running ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t next_ticket ABSL_GUARDED_BY(mutex) = 0;
    // (priority, arrival) of each request that waits.
    std::set<std::pair<int, std::uint64_t>> waiting ABSL_GUARDED_BY(mutex);
    // Digests of prefixes, the most recently used in front.
    std::list<std::uint64_t> recent_blocks ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks ABSL_GUARDED_BY(mutex);
    std::uint64_t prompt_tokens ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t cached_prompt_tokens ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_ENGINE_BATCH_H_
