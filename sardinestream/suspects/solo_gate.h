// Lets suspects run alone on a backend server, and everything else run side by side.
//
//     std::optional<solo_gate::pass> pass = gate.try_enter();            // any other request
//     std::optional<solo_gate::pass> pass = gate.enter_alone(deadline);  // a suspect
//
// While a suspect waits or runs, `try_enter` refuses at once, so that the entry tries another
// server; the suspect enters when the last request before it has ended. Thread-safe.

#ifndef SARDINESTREAM_SUSPECTS_SOLO_GATE_H_
#define SARDINESTREAM_SUSPECTS_SOLO_GATE_H_

#include <optional>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::suspects {

class solo_gate {
public:
    // Leaves the gate when it is dropped. The gate must outlive it.
    class pass {
    public:
        pass(pass&& other) noexcept : gate(std::exchange(other.gate, nullptr)), alone(other.alone)
        {
        }
        pass& operator=(pass&& other) noexcept
        {
            std::swap(this->gate, other.gate);
            std::swap(this->alone, other.alone);
            return *this;
        }
        pass(const pass&) = delete;
        pass& operator=(const pass&) = delete;
        ~pass();

    private:
        friend class solo_gate;

        pass(solo_gate* entered, bool entered_alone) : gate(entered), alone(entered_alone) {}

        solo_gate* gate; // null once moved from
        bool alone;
    };

    solo_gate() = default;
    solo_gate(const solo_gate&) = delete;
    solo_gate& operator=(const solo_gate&) = delete;

    // Enters beside others; nothing where a suspect waits or runs.
    [[nodiscard]] std::optional<pass> try_enter();

    // Waits until no one else is inside; nothing at `deadline`.
    [[nodiscard]] std::optional<pass> enter_alone(absl::Time deadline);

private:
    [[nodiscard]] bool is_empty() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void leave(bool alone);

    absl::Mutex mutex;
    int inside ABSL_GUARDED_BY(mutex) = 0;
    int suspects ABSL_GUARDED_BY(mutex) = 0; // waiting or inside
};

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_SOLO_GATE_H_
