// Starts the project's binaries as processes of a test, and does to them what instances suffer:
// kill, graceful stop, freeze, wake, restart.
//
//     temp_directory logs;
//     auto engine = process::start({.binary = "standin_engine", .log_directory = logs.path()});
//     address at = *(*engine)->wait_until_listening();
//     (*engine)->freeze();
//
// A process ends when its object does, and when the test itself dies. Only processes that were
// started here are ever signalled. Thread-safe.

#ifndef SARDINESTREAM_TESTING_PROCESS_H_
#define SARDINESTREAM_TESTING_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "sardinestream/base/settings.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

// Last resort for conditions that are expected within a second or two.
constexpr absl::Duration generous_timeout = absl::Seconds(60);

// Asks `condition` every few milliseconds until it holds; returns false after `timeout`.
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              absl::Duration timeout = generous_timeout);

// A directory that is removed on destruction, unless SARDINE_KEEP_LOGS is set.
class temp_directory {
public:
    temp_directory();
    ~temp_directory();
    temp_directory(const temp_directory&) = delete;
    temp_directory& operator=(const temp_directory&) = delete;

    [[nodiscard]] const std::string& path() const { return this->directory; }

private:
    std::string directory;
};

// A port on 127.0.0.1 that no other socket gets by chance while this object lives, but that a
// process may listen on, again and again.
class port_reservation {
public:
    port_reservation();
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    [[nodiscard]] const address& reserved() const { return this->local; }

private:
    int descriptor = -1;
    address local;
};

struct process_options {
    // Name of a binary in $SARDINE_BIN_DIR, or else beside the running test.
    std::string binary;
    std::vector<std::string> flags;
    // Where the output goes, as NAME.out and NAME.err.
    std::string log_directory;
    std::string name; // the binary's where empty
};

class process {
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<process>> start(process_options options);

    // Kills the process.
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Waits for the line `listening=IP:PORT` of the present run. Fails when the process ends first.
    [[nodiscard]] absl::StatusOr<address>
    wait_until_listening(absl::Duration timeout = generous_timeout);

    // Waits for `text` in the output of the present run.
    [[nodiscard]] bool wait_for_output(absl::string_view text,
                                       absl::Duration timeout = generous_timeout);

    // SIGKILL; returns once the process is gone.
    void kill();
    // SIGTERM.
    void terminate();
    // SIGHUP.
    void hang_up();
    // SIGSTOP and SIGCONT.
    void freeze();
    void wake();

    // Returns the exit status, 128 + N after signal N, or nothing at the time-out.
    [[nodiscard]] std::optional<int> wait_for_exit(absl::Duration timeout = generous_timeout);

    // Kills the process where it still runs and starts it with the same flags, or with `flags`.
    [[nodiscard]] absl::Status restart();
    [[nodiscard]] absl::Status restart(std::vector<std::string> flags);

    [[nodiscard]] bool alive();
    // What the present run has written to standard output and standard error.
    [[nodiscard]] std::string output() const;
    // The last line that the present run has ended on standard output; empty where there is none.
    [[nodiscard]] std::string last_line() const;
    // The file that standard output is appended to.
    [[nodiscard]] std::string output_path() const;
    [[nodiscard]] const std::string& name() const { return this->options.name; }
    [[nodiscard]] pid_t id() const;
    // Resident memory in MiB; zero if the process is gone.
    [[nodiscard]] double resident_mb() const;

private:
    explicit process(process_options configured);

    [[nodiscard]] absl::Status launch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Takes the exit status where the process has ended.
    void reap() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void send_signal(int number);
    [[nodiscard]] std::string log_path(absl::string_view suffix) const;
    // Of the present run alone.
    [[nodiscard]] std::string standard_output() const;

    process_options options;
    mutable absl::Mutex mutex;
    pid_t child ABSL_GUARDED_BY(mutex) = -1;
    // Sizes of the two logs when the present run began.
    std::int64_t output_begin ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t errors_begin ABSL_GUARDED_BY(mutex) = 0;
    // Set once the child has been waited for; its id may then belong to another process.
    std::optional<int> exit_status ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_PROCESS_H_
