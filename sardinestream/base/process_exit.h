// Ends a process whose work is done, without losing what it has logged.

#ifndef SARDINESTREAM_BASE_PROCESS_EXIT_H_
#define SARDINESTREAM_BASE_PROCESS_EXIT_H_

namespace sardinestream {

// Writes the queued log lines and ends the process with `status`, without waiting for its threads
// and without running destructors. Takes at most `max_exit_log_wait`.
[[noreturn]] void exit_process(int status);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_PROCESS_EXIT_H_
