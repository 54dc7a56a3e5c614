// The handler calls only what is async-signal-safe: memory may be damaged, and locks held.

#include "sardinestream/base/crash_log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>

#include <poll.h>
#include <unistd.h>

namespace sardinestream {
namespace {

constexpr std::array fatal_signals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

// A line of text in a buffer of its own. Text beyond its size is dropped.
class fixed_line {
public:
    void add(absl::string_view text)
    {
        const std::size_t length = std::min(text.size(), this->buffer.size() - this->used);
        std::copy_n(text.begin(), length, this->buffer.begin() + this->used);
        this->used += length;
    }

    // Adds `value` with leading zeros up to `width` digits, at most `max_digits`.
    void add_number(unsigned value, int width)
    {
        std::array<char, max_digits> digits{};
        int count = 0;
        for (; (value > 0 || count < width) && count < max_digits; value /= 10) {
            digits.at(static_cast<std::size_t>(max_digits - ++count)) =
                static_cast<char>('0' + value % 10);
        }
        const absl::string_view all(digits.data(), digits.size());
        this->add(all.substr(static_cast<std::size_t>(max_digits - count)));
    }

    [[nodiscard]] absl::string_view text() const { return {this->buffer.data(), this->used}; }

private:
    static constexpr int max_digits = 10;

    std::array<char, 512> buffer{};
    std::size_t used = 0;
};

// What names the process in its lines. Constant once the handlers are installed.
fixed_line& origin()
{
    static fixed_line line;
    return line;
}

void add_time(fixed_line& line)
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::system_clock::now();
    const auto day = std::chrono::floor<std::chrono::days>(now);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(duration_cast<std::chrono::milliseconds>(now - day));
    line.add_number(static_cast<unsigned>(static_cast<int>(date.year())), 4);
    line.add("-");
    line.add_number(static_cast<unsigned>(date.month()), 2);
    line.add("-");
    line.add_number(static_cast<unsigned>(date.day()), 2);
    line.add("T");
    line.add_number(static_cast<unsigned>(time.hours().count()), 2);
    line.add(":");
    line.add_number(static_cast<unsigned>(time.minutes().count()), 2);
    line.add(":");
    line.add_number(static_cast<unsigned>(time.seconds().count()), 2);
    line.add(".");
    line.add_number(static_cast<unsigned>(time.subseconds().count()), 3);
    line.add("Z");
}

void on_fatal_signal(int number)
{
    fixed_line line;
    line.add("time=");
    add_time(line);
    line.add(origin().text());
    line.add(" event=crashed signal=");
    line.add_number(static_cast<unsigned>(number), 1);
    line.add("\n");
    // An output that is not read must not keep the process. A line is no longer than what a pipe
    // that is ready takes.
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) == 1) {
        const ssize_t written = ::write(STDOUT_FILENO, line.text().data(), line.text().size());
        (void)written;
    }
    // The handler is reset already.
    ::raise(number);
}

} // namespace

void log_fatal_signals(absl::string_view process, absl::string_view instance)
{
    fixed_line named;
    named.add(" level=ERROR process=");
    named.add(process.substr(0, max_crash_name));
    named.add(" instance=");
    named.add(instance.substr(0, max_crash_name));
    origin() = named;
    struct sigaction action = {};
    action.sa_handler = on_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    for (const int number : fatal_signals) {
        ::sigaction(number, &action, nullptr);
    }
}

} // namespace sardinestream
