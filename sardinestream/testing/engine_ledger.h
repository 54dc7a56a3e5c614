// What a stand-in engine was asked to do, kept to judge tests by: every attempt with the tokens it
// produced, and every order with its fencing number.
//
//     const std::size_t attempt = ledger.start(request_id, priority, resume_from);
//     ledger.token(attempt, index);
//     ledger.end(attempt, attempt_state::finished);
//     ledger.to_json();
//
// Thread-safe.

#ifndef SARDINESTREAM_TESTING_ENGINE_LEDGER_H_
#define SARDINESTREAM_TESTING_ENGINE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

enum class attempt_state : std::uint8_t { started, cancelled, finished };

class engine_ledger {
public:
    // Records a request that arrived; returns its number in the ledger.
    [[nodiscard]] std::size_t start(absl::string_view request_id, absl::string_view prompt,
                                    int priority, int resume_from, bool resume_text_right);
    // Records that the token at `index` was produced for the attempt.
    void token(std::size_t attempt, int index);
    void end(std::size_t attempt, attempt_state state);

    // Records an order. Returns false where its fencing number is lower than the highest seen for
    // that order and `check_fencing` is set; the order is then not applied.
    [[nodiscard]] bool order(absl::string_view name, std::uint64_t fencing, absl::string_view body,
                             bool check_fencing);

    // {"attempts": [{"request_id", "prompt", "priority", "resume_from", "resume_text_right",
    // "next_index", "state"}], "orders": [{"name", "fencing", "body", "applied"}]}
    [[nodiscard]] nlohmann::json to_json() const;

private:
    struct attempt {
        std::string request_id;
        std::string prompt;
        int priority = 0;
        int resume_from = 0;
        bool resume_text_right = true;
        int next_index = 0; // one past the last token that was produced
        attempt_state state = attempt_state::started;
    };
    struct order_record {
        std::string name;
        std::uint64_t fencing = 0;
        std::string body;
        bool applied = false;
    };

    mutable absl::Mutex mutex;
    std::vector<attempt> attempts ABSL_GUARDED_BY(mutex);
    std::vector<order_record> orders ABSL_GUARDED_BY(mutex);
    std::map<std::string, std::uint64_t> highest_fencing ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_ENGINE_LEDGER_H_
