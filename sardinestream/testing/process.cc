#include "sardinestream/testing/process.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "sardinestream/base/error.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

constexpr absl::Duration poll_interval = absl::Milliseconds(3);
constexpr int exec_failed_status = 127;
constexpr int signal_status_base = 128;
constexpr char listening_prefix[] = "listening=";

std::string binary_directory()
{
    const char* configured = std::getenv("SARDINE_BIN_DIR");
    if (configured != nullptr) {
        return configured;
    }
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string read_file(const std::string& path, std::streamoff begin)
{
    std::ifstream file(path);
    file.seekg(begin);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Replaces the forked child by the program. Only calls that are safe after a fork.
[[noreturn]] void become(const std::vector<char*>& arguments, int output, int errors, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(exec_failed_status);
    }
    dup2(output, STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(exec_failed_status);
}

int open_log(const std::string& path)
{
    constexpr int log_mode = 0644;
    return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
}

// Forks on one thread that lives as long as the test, since the system takes the death of the
// forking thread for the death of the parent.
class spawner {
public:
    static spawner& instance()
    {
        static auto* const only = new spawner();
        return *only;
    }

    pid_t spawn(const std::function<pid_t()>& fork_and_exec)
    {
        const absl::MutexLock one_at_a_time(&this->turn);
        absl::Notification done;
        pid_t made = -1;
        {
            const absl::MutexLock lock(&this->mutex);
            this->work = [&] {
                made = fork_and_exec();
                done.Notify();
            };
        }
        done.WaitForNotification();
        return made;
    }

private:
    spawner()
    {
        std::thread([this] { this->serve(); }).detach();
    }

    [[noreturn]] void serve()
    {
        while (true) {
            const absl::MutexLock lock(&this->mutex);
            const auto has_work = [this] { return this->work != nullptr; };
            this->mutex.Await(absl::Condition(&has_work));
            std::exchange(this->work, nullptr)();
        }
    }

    absl::Mutex turn;
    absl::Mutex mutex;
    std::function<void()> work ABSL_GUARDED_BY(mutex);
};

} // namespace

bool wait_until(const std::function<bool()>& condition, absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    while (!condition()) {
        if (absl::Now() > deadline) {
            return false;
        }
        absl::SleepFor(poll_interval);
    }
    return true;
}

temp_directory::temp_directory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "sardine-XXXXXX";
    this->directory = mkdtemp(pattern.data());
}

temp_directory::~temp_directory()
{
    if (std::getenv("SARDINE_KEEP_LOGS") != nullptr) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

port_reservation::port_reservation() : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    // Bound but not listening: a listener with the same option may share the address.
    const int on = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(bind(this->descriptor, reinterpret_cast<const sockaddr*>(&any), sizeof(any)));
    socklen_t size = sizeof(any);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&any), &size);
    this->local = {"127.0.0.1", ntohs(any.sin_port)};
}

port_reservation::~port_reservation()
{
    close(this->descriptor);
}

absl::StatusOr<std::unique_ptr<process>> process::start(process_options options)
{
    if (options.name.empty()) {
        options.name = options.binary;
    }
    std::unique_ptr<process> made(new process(std::move(options)));
    const absl::MutexLock lock(&made->mutex);
    SARDINE_RETURN_IF_ERROR(made->launch());
    return made;
}

process::process(process_options configured) : options(std::move(configured)) {}

process::~process()
{
    this->kill();
}

absl::Status process::launch()
{
    const std::string path = absl::StrCat(binary_directory(), "/", this->options.binary);
    std::vector<std::string> arguments{path};
    arguments.insert(arguments.end(), this->options.flags.begin(), this->options.flags.end());
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    const int output = open_log(this->log_path("out"));
    const int errors = open_log(this->log_path("err"));
    this->output_begin = lseek(output, 0, SEEK_END);
    this->errors_begin = lseek(errors, 0, SEEK_END);
    const pid_t parent = getpid();
    const pid_t made = spawner::instance().spawn([&] {
        const pid_t forked = fork();
        if (forked == 0) {
            become(pointers, output, errors, parent);
        }
        return forked;
    });
    close(output);
    close(errors);
    if (made < 0) {
        return make_error(absl::StatusCode::kUnavailable, "start_process", this->options.name,
                          std::strerror(errno));
    }
    this->child = made;
    this->exit_status.reset();
    return absl::OkStatus();
}

absl::StatusOr<address> process::wait_until_listening(absl::Duration timeout)
{
    std::string found;
    const bool settled = wait_until(
        [&] {
            const bool was_alive = this->alive();
            const std::string text = this->standard_output();
            std::vector<absl::string_view> lines = absl::StrSplit(text, '\n');
            lines.pop_back(); // not yet ended by a line feed
            for (absl::string_view line : lines) {
                if (absl::ConsumePrefix(&line, listening_prefix)) {
                    found = std::string(line);
                    return true;
                }
            }
            return !was_alive;
        },
        timeout);
    if (!settled || found.empty()) {
        return make_error(absl::StatusCode::kUnavailable, "wait_until_listening",
                          this->options.name, this->output());
    }
    return parse_address(found);
}

bool process::wait_for_output(absl::string_view text, absl::Duration timeout)
{
    return wait_until([&] { return absl::StrContains(this->output(), text); }, timeout);
}

void process::reap()
{
    int status = 0;
    if (this->exit_status.has_value() || waitpid(this->child, &status, WNOHANG) != this->child) {
        return;
    }
    this->exit_status =
        WIFEXITED(status) ? WEXITSTATUS(status) : signal_status_base + WTERMSIG(status);
}

void process::send_signal(int number)
{
    const absl::MutexLock lock(&this->mutex);
    this->reap();
    if (!this->exit_status.has_value()) {
        ::kill(this->child, number);
    }
}

void process::kill()
{
    this->send_signal(SIGKILL);
    static_cast<void>(this->wait_for_exit(absl::InfiniteDuration()));
}

void process::hang_up()
{
    this->send_signal(SIGHUP);
}

void process::terminate()
{
    this->send_signal(SIGTERM);
}

void process::freeze()
{
    this->send_signal(SIGSTOP);
}

void process::wake()
{
    this->send_signal(SIGCONT);
}

std::optional<int> process::wait_for_exit(absl::Duration timeout)
{
    static_cast<void>(wait_until([&] { return !this->alive(); }, timeout));
    const absl::MutexLock lock(&this->mutex);
    return this->exit_status;
}

absl::Status process::restart()
{
    this->kill();
    const absl::MutexLock lock(&this->mutex);
    return this->launch();
}

absl::Status process::restart(std::vector<std::string> flags)
{
    this->kill();
    const absl::MutexLock lock(&this->mutex);
    this->options.flags = std::move(flags);
    return this->launch();
}

bool process::alive()
{
    const absl::MutexLock lock(&this->mutex);
    this->reap();
    return !this->exit_status.has_value();
}

std::string process::output() const
{
    std::streamoff begin = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        begin = this->errors_begin;
    }
    return absl::StrCat(this->standard_output(), read_file(this->log_path("err"), begin));
}

std::string process::standard_output() const
{
    std::streamoff begin = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        begin = this->output_begin;
    }
    return read_file(this->log_path("out"), begin);
}

std::string process::last_line() const
{
    const std::string text = this->standard_output();
    const std::vector<absl::string_view> lines = absl::StrSplit(text, '\n');
    return lines.size() < 2 ? "" : std::string(lines[lines.size() - 2]);
}

std::string process::output_path() const
{
    return this->log_path("out");
}

double process::resident_mb() const
{
    std::ifstream memory(absl::StrCat("/proc/", this->id(), "/statm"));
    double total_pages = 0;
    double resident_pages = 0;
    memory >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

pid_t process::id() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->child;
}

std::string process::log_path(absl::string_view suffix) const
{
    return absl::StrCat(this->options.log_directory, "/", this->options.name, ".", suffix);
}

} // namespace sardinestream::testing
