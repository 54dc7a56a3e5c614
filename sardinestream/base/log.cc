#include "sardinestream/base/log.h"

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "sardinestream/base/crash_log.h"
#include "sardinestream/base/error.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_replace.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

namespace sardinestream {
namespace {

constexpr char logger_name[] = "sardinestream";
// Maximum number of lines that wait to be written.
constexpr int max_queued_lines = 1024;
// How long an aborting process waits for its last lines to be written.
constexpr std::chrono::milliseconds abort_log_wait{500};

// Closes the queue of lines on a thread of its own, since that takes forever if the reader of the
// output stalls. The thread is started with the log: a process that exits may be out of threads and
// memory. Only types of the standard library are used, which wait without allocating memory.
class queue_closer {
public:
    explicit queue_closer(std::shared_ptr<log4cxx::AsyncAppender> lines) : queue(std::move(lines))
    {
        std::thread([this] { this->run(); }).detach();
    }

    // Returns once all queued lines are written, or after `max_wait`.
    void close(std::chrono::milliseconds max_wait)
    {
        std::unique_lock lock(this->mutex);
        this->requested = true;
        this->changed.notify_all();
        this->changed.wait_for(lock, max_wait, [this] { return this->closed; });
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->requested; });
        lock.unlock();
        try {
            this->queue->close();
        }
        catch (const std::exception&) {
            // Out of memory: what is still queued is lost.
        }
        lock.lock();
        this->closed = true;
        this->changed.notify_all();
    }

    const std::shared_ptr<log4cxx::AsyncAppender> queue;
    std::mutex mutex;
    std::condition_variable changed;
    bool requested = false;
    bool closed = false;
};

// Set by `start_logging`; null before. Never destroyed, since its thread outlives `main`.
queue_closer* log_closer = nullptr;

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger(logger_name);
    return instance;
}

// Whether the last event has been written. A line is queued while `mutex` is held for reading, so
// that none follows the last event.
struct log_end {
    absl::Mutex mutex;
    bool is_over ABSL_GUARDED_BY(mutex) = false;
};

log_end& end_of_log()
{
    // Never destroyed, since threads may log until the process is gone.
    static log_end* const instance = new log_end();
    return *instance;
}

void queue_line(const log4cxx::LevelPtr& level, const std::string& line)
{
    log_end& end = end_of_log();
    const absl::ReaderMutexLock lock(&end.mutex);
    if (!end.is_over) {
        logger()->forcedLog(level, line);
    }
}

log4cxx::LevelPtr to_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

// Anything but printable ASCII is escaped within quotes: a zero byte would end the line, a control
// character might begin another one for its reader, and the library replaces what is no ASCII.
bool needs_quotes(absl::string_view value)
{
    return value.empty() || !std::all_of(value.begin(), value.end(), [](char letter) {
               return absl::ascii_isgraph(letter) && letter != '=' && letter != '"';
           });
}

void append_field(std::string& line, const log_field& field)
{
    if (needs_quotes(field.value)) {
        absl::StrAppend(&line, " ", field.key, "=\"", absl::CEscape(field.value), "\"");
        return;
    }
    absl::StrAppend(&line, " ", field.key, "=", field.value);
}

// Returns the message of the exception that is being handled.
std::string current_exception_text()
{
    const std::exception_ptr thrown = std::current_exception();
    if (thrown == nullptr) {
        return "terminate called without an exception";
    }
    try {
        std::rethrow_exception(thrown);
    }
    catch (const std::exception& error) {
        return error.what();
    }
    catch (...) {
        return "unknown exception";
    }
}

[[noreturn]] void log_and_abort()
{
    log_event("terminated", {{"reason", current_exception_text()}}, log_level::error);
    finish_logging(abort_log_wait);
    std::abort();
}

} // namespace

void start_logging(log_level minimum, absl::string_view process, absl::string_view instance)
{
    std::string origin;
    append_field(origin, {"process", process});
    append_field(origin, {"instance", instance});
    // A percent sign would begin a part of the pattern.
    const std::string pattern = absl::StrCat("time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p",
                                             absl::StrReplaceAll(origin, {{"%", "%%"}}), " %m%n");
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(max_queued_lines);
    queue->setBlocking(false);
    queue->addAppender(appender);
    log4cxx::BasicConfigurator::configure(queue);
    logger()->setLevel(to_level(minimum));
    log_closer = new queue_closer(std::move(queue));
    std::set_terminate(log_and_abort);
    log_fatal_signals(process, instance);
    // A reader of the output that has gone must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void finish_logging(std::chrono::milliseconds max_wait)
{
    if (log_closer != nullptr) {
        log_closer->close(max_wait);
    }
}

void set_log_minimum(log_level minimum)
{
    logger()->setLevel(to_level(minimum));
}

bool parse_log_level(absl::string_view text, log_level& level)
{
    if (text == "debug") {
        level = log_level::debug;
    }
    else if (text == "info") {
        level = log_level::info;
    }
    else if (text == "warning") {
        level = log_level::warning;
    }
    else if (text == "error") {
        level = log_level::error;
    }
    else {
        return false;
    }
    return true;
}

std::string format_event(absl::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = absl::StrCat("event=", event);
    for (const log_field& field : fields) {
        append_field(line, field);
    }
    return line;
}

void log_event(absl::string_view event, std::initializer_list<log_field> fields, log_level level)
{
    const log4cxx::LevelPtr native_level = to_level(level);
    if (!logger()->isEnabledFor(native_level)) {
        return;
    }
    queue_line(native_level, format_event(event, fields));
}

void log_last_event(absl::string_view event, std::initializer_list<log_field> fields)
{
    log_end& end = end_of_log();
    const absl::MutexLock lock(&end.mutex);
    if (!std::exchange(end.is_over, true)) {
        logger()->forcedLog(log4cxx::Level::getInfo(), format_event(event, fields));
    }
}

bool line_budget::take(std::int64_t second)
{
    if (second != this->current_second) {
        this->current_second = second;
        this->lines_taken = 0;
        this->dropped_before += this->dropped;
        this->dropped = 0;
    }
    if (this->lines_taken >= this->max_lines) {
        ++this->dropped;
        return false;
    }
    ++this->lines_taken;
    return true;
}

int line_budget::take_left_out()
{
    return std::exchange(this->dropped_before, 0);
}

void log_routine_event(absl::string_view event, std::initializer_list<log_field> fields)
{
    static absl::Mutex mutex;
    static line_budget budget(most_routine_lines);
    bool allowed = false;
    int left_out = 0;
    {
        const absl::MutexLock lock(&mutex);
        allowed = budget.take(absl::ToUnixSeconds(absl::Now()));
        left_out = budget.take_left_out();
    }
    if (left_out > 0) {
        log_event("lines_left_out", {{"count", left_out}}, log_level::warning);
    }
    if (allowed) {
        log_event(event, fields);
    }
}

void log_failure(absl::string_view event, const absl::Status& status,
                 std::initializer_list<log_field> fields)
{
    std::string line = format_event(event, fields);
    append_field(line, {"status", absl::StatusCodeToString(status.code())});
    append_field(line, {"step", step_of(status)});
    append_field(line, {"peer", peer_of(status)});
    append_field(line, {"message", std::string(status.message())});
    queue_line(log4cxx::Level::getWarn(), line);
}

} // namespace sardinestream
