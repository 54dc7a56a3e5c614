// Writes structured logs: one line of key=value pairs for each event, through log4cxx.
//
//     log_event("request_refused", {{"request", id}, {"code", code}, {"outcome", "not_run"}});
//
// writes `time=2026-12-04T08:00:00.123Z level=info event=request_refused request=... code=...`.
// Event names are stable; docs/OPERATIONS.md lists them. Never pass a secret as a value.

#ifndef SARDINESTREAM_BASE_LOG_H_
#define SARDINESTREAM_BASE_LOG_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace sardinestream {

enum class log_level { debug, info, warning, error };

// One key=value pair of a log line. Numbers are formatted. Text that is empty or has blanks,
// quotes, equal signs or anything but printable ASCII is quoted, with escape sequences as in C.
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

// Directs logs to standard output and drops events below `minimum`. Call once, before any
// thread is started. A separate thread writes the lines: if the reader of the output stalls, lines
// beyond a bound are dropped and counted in a separate line, and no caller blocks. Every line
// starts with `process` and `instance`. From then on, an exception that no thread catches is logged
// as `terminated` before the process aborts.
void start_logging(log_level minimum, absl::string_view process, absl::string_view instance);

// Writes the lines that are still queued and ends logging; call last, before the process exits.
// Returns after `max_wait` at the latest, even if the reader of the output stalls or the process is
// out of threads or memory. Lines that other threads log from then on may be lost.
void finish_logging(std::chrono::milliseconds max_wait);

// How long an exiting process waits for its last lines to be written.
inline constexpr std::chrono::milliseconds max_exit_log_wait{400};

// Changes the minimum level that is logged. Thread-safe.
void set_log_minimum(log_level minimum);

// Parses debug, info, warning or error. Returns false for any other text.
[[nodiscard]] bool parse_log_level(absl::string_view text, log_level& level);

// Writes one event. Thread-safe.
void log_event(absl::string_view event, std::initializer_list<log_field> fields,
               log_level level = log_level::info);

// Writes the last event of the process; whatever is logged later is dropped. Thread-safe.
void log_last_event(absl::string_view event, std::initializer_list<log_field> fields);

// Writes one event of a kind that occurs for every successful request, at most
// `most_routine_lines` per second; events above this limit are counted and reported in one
// `lines_left_out` line per second. Thread-safe.
void log_routine_event(absl::string_view event, std::initializer_list<log_field> fields);

inline constexpr int most_routine_lines = 1000;

// Limits the number of routine lines written per second. Not thread-safe.
class line_budget {
public:
    explicit line_budget(int lines_per_second) : max_lines(lines_per_second) {}

    // Requests one line at `second` of any clock. Returns false if the line must be dropped.
    [[nodiscard]] bool take(std::int64_t second);

    // Returns the number of lines dropped in earlier seconds and resets it, so that each dropped
    // line is reported once.
    [[nodiscard]] int take_left_out();

private:
    const int max_lines; // per second
    std::int64_t current_second = 0;
    int lines_taken = 0;
    // Lines dropped in the current second, and in earlier seconds.
    int dropped = 0;
    int dropped_before = 0;
};

// Writes one event about a failure, with the status's code, step, peer and message. Thread-safe.
void log_failure(absl::string_view event, const absl::Status& status,
                 std::initializer_list<log_field> fields = {});

// Returns the line's key=value part, for tests and for the writer itself.
[[nodiscard]] std::string format_event(absl::string_view event,
                                       std::initializer_list<log_field> fields);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_LOG_H_
