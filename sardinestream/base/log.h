// Structured logs: one line of key=value pairs for each event, written through log4cxx.
//
//     log_event("request_refused", {{"request", id}, {"code", code}, {"outcome", "not_run"}});
//
// writes `time=2026-12-04T08:00:00.123Z level=info event=request_refused request=... code=...`.
// Event names are stable; docs/OPERATIONS.md lists them. Never pass a secret as a value.

#ifndef SARDINESTREAM_BASE_LOG_H_
#define SARDINESTREAM_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

enum class log_level { debug, info, warning, error };

// One key=value pair of a log line. Numbers are formatted; text is quoted only where it must be.
struct log_field {
    log_field(absl::string_view name, absl::string_view text) : key(name), value(text) {}
    log_field(absl::string_view name, const char* text) : key(name), value(text) {}
    log_field(absl::string_view name, const std::string& text) : key(name), value(text) {}
    log_field(absl::string_view name, const absl::AlphaNum& number)
        : key(name), value(number.Piece())
    {
    }

    std::string key;
    std::string value;
};

// Directs logs to standard output and drops events below `minimum`. Call once, before any thread.
// Lines are written by a thread of their own: where the reader of the output stands still, lines
// beyond a bound are dropped and counted in a line of their own, and no caller waits.
// `process` and `instance` head every line.
void start_logging(log_level minimum, absl::string_view process, absl::string_view instance);

// Changes the least level that is logged. Thread-safe.
void set_log_minimum(log_level minimum);

// Parses debug, info, warning or error. Returns false for any other text.
[[nodiscard]] bool parse_log_level(absl::string_view text, log_level& level);

// Writes one event. Thread-safe.
void log_event(absl::string_view event, std::initializer_list<log_field> fields,
               log_level level = log_level::info);

// Writes one event of a kind that comes with every request that went well, at most
// `most_routine_lines` in a second; what is beyond is counted and told in one line a second,
// `lines_left_out`. Thread-safe.
void log_routine_event(absl::string_view event, std::initializer_list<log_field> fields);

inline constexpr int most_routine_lines = 1000;

// How many routine lines may still be written in the present second. Not thread-safe.
class line_budget {
public:
    explicit line_budget(int lines_per_second) : most(lines_per_second) {}

    // Takes one line at `second` of any clock. Returns false where it must be left out.
    [[nodiscard]] bool take(std::int64_t second);

    // Lines that were left out in the seconds before the present one, told once.
    [[nodiscard]] int take_left_out();

private:
    const int most;
    std::int64_t present = 0;
    int taken = 0;
    // Of the present second, and of those before it.
    int left_out = 0;
    int left_out_before = 0;
};

// Writes one event about a failure, with the status's code, step, peer and message. Thread-safe.
void log_failure(absl::string_view event, const absl::Status& status,
                 std::initializer_list<log_field> fields = {});

// Returns the line's key=value part, for tests and for the writer itself.
[[nodiscard]] std::string format_event(absl::string_view event,
                                       std::initializer_list<log_field> fields);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_LOG_H_
