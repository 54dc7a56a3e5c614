// Stand-ins for the cases of the review: the platform's store, backend servers, callers, and the
// product's programs as processes. They speak what the platform's pages describe, on loopback
// addresses, and depend on nothing but POSIX and the C++ library.

#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Returns whether the case is to be played with its disruption (TROUBLE is not 0).
bool with_trouble();

// Writes one line to record.txt in the folder of the case, with the seconds since the start.
void record(const std::string& line);
// Opens record.txt in the folder that the variable CASE names; exits with 2 if that fails.
void open_record();
// Prints and records the verdict, and returns the exit status of the case.
int verdict(bool broken, const std::string& reason);
// Ends the case with exit status 2.
[[noreturn]] void cannot_run(const std::string& reason);

double seconds_since_start();
std::int64_t unix_ms();

// An HTTP message, a request or an answer.
struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const;
    // Of a request.
    std::string method() const;
    std::string target() const;
    // Of an answer; zero if there is none.
    int status() const;
};

// A TCP channel. Reads and writes block up to a deadline.
class channel {
public:
    explicit channel(int given = -1) : fd(given) {}
    ~channel() { this->close(); }
    channel(channel&& other) noexcept;
    channel& operator=(channel&& other) noexcept;

    static channel connect(const std::string& ip, int port, milliseconds timeout);

    bool is_open() const { return this->fd >= 0; }
    bool write(const std::string& bytes, steady::time_point deadline);
    // Reads up to the end of the head.
    bool read_head(message& into, steady::time_point deadline);
    // Reads the body that the head announces: a length, chunks, or up to the end of the channel.
    bool read_body(message& into, bool is_answer, steady::time_point deadline);
    bool read_message(message& into, bool is_answer, steady::time_point deadline);
    // Waits until the peer ends the channel, or until the deadline. Returns whether it ended.
    bool wait_for_end(steady::time_point deadline);
    void close();
    void reset();

private:
    // Reads more bytes; returns 1, 0 at the end of the channel, -1 on an error or the deadline.
    int fill(steady::time_point deadline);

    int fd = -1;
    std::string buffer;
};

// Accepts channels and serves each on a thread of its own. `serve` returns when it is done.
class listener {
public:
    listener(const std::string& ip, int port, std::function<void(channel&)> serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

private:
    void run();

    int fd = -1;
    std::function<void(channel&)> serve;
    bool stopping = false;
    std::thread accepting;
};

// The platform's object store: lists and watches of the kinds `config` and `servers`.
class store {
public:
    store(const std::string& ip, int port);
    // Writes an object; `specification` is JSON text.
    void put(const std::string& kind, const std::string& name, const std::string& specification);

private:
    struct change {
        std::string kind;
        std::string name;
        std::int64_t revision;
        std::string specification;
    };
    void serve(channel& caller);
    std::string answer(const std::string& target);
    static std::string object_json(const change& of);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, change>> objects;
    std::vector<change> history;
    std::int64_t newest = 1;
    std::optional<listener> listening;
};

// An answer of a server with the headers that the pages ask for.
std::string server_answer(int status, const std::string& request_id, const std::string& more,
                          const std::string& body);

struct outcome {
    // The head of an answer has arrived.
    bool answered = false;
    // The whole body has arrived.
    bool complete = false;
    int status = 0;
    std::string body;
    // What happened instead of a whole answer.
    std::string trouble;

    std::string text() const;
};

// One attempt of a caller on a new channel.
outcome call(const std::string& ip, int port, const std::string& method, const std::string& path,
             const std::string& request_id, const std::string& more_headers,
             const std::string& body, milliseconds time_limit);

// One of the product's programs.
class program {
public:
    // `binary` is a path below the repository's root, as in the deploy file.
    program(std::string binary, std::string name, const std::string& settings);
    ~program();
    program(const program&) = delete;
    program& operator=(const program&) = delete;

    void start();
    void signal(int number);
    // Kills the process and waits for its end.
    void kill();
    // Returns whether the process runs; records its end otherwise.
    bool alive();
    // Resident memory in MiB; zero if the process is gone.
    double resident_mb() const;
    pid_t id() const { return this->child; }
    const std::string& log_path() const { return this->log; }

private:
    std::string binary;
    std::string name;
    std::string settings_path;
    std::string log;
    pid_t child = -1;
};

// The folder for settings and logs, which run.sh makes and removes.
const std::string& temporary_folder();

// A loopback network of this run: ip(1, 2) is 127.N.1.2.
std::string ip(int group, int number);

// Waits until the readiness endpoint answers 200.
bool wait_until_ready(const std::string& at, int port, milliseconds timeout);

inline constexpr int front_port = 8080;
inline constexpr int ready_port = 8081;
inline constexpr int news_port = 7340;
inline constexpr int server_port = 8228;
inline constexpr int store_port = 8223;
inline constexpr char host[] = "review.example";
inline constexpr char key[] = "n2ctnfzs989anu6wsjnb";

// The settings of an entry, as `deploy/entry.settings` with its placeholders filled in.
std::string entry_settings(int number, int entries);

// A route of the desired state; `more` holds further fields with a comma before each.
std::string route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms, int attempts,
                  const std::string& more);
// The desired state: routes and services as JSON, with the limits and one tenant.
std::string desired_state(int version, const std::string& routes, const std::string& services);
// A service without an engine.
std::string plain_service(const std::string& name);

// The specification of a server's entry in the store.
std::string server_entry(const std::string& service, const std::string& address, int slots);

} // namespace review

#endif // REVIEW_STANDIN_STANDIN_H_
