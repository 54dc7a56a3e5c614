// Stand-ins for the platform, its servers and its requesters, for the scripts of the third review.
//
// A script is one program: it serves the platform's store and the servers from its own threads,
// starts the project's programs as processes, and sends requests. All addresses are loopback ones.

#ifndef REVIEW_STANDIN_3_KIT_H_
#define REVIEW_STANDIN_3_KIT_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit status of a script.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int not_run = 2;

// Milliseconds since the start of the script.
[[nodiscard]] std::int64_t now_ms();
void sleep_ms(std::int64_t duration);
// Sleeps until `time` on the clock of `now_ms`.
void sleep_until_ms(std::int64_t time);
[[nodiscard]] std::int64_t unix_ms();

// Whether the disruption is played (TROUBLE is not 0).
[[nodiscard]] bool has_trouble();

// Opens the record; each line gets the time.
void open_record(const std::string& path);
void record(const std::string& line);

struct message {
    // Request line or status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string parameter(const std::string& name) const;
    [[nodiscard]] int status() const;
};

// A connection with a buffer. Not thread-safe.
class connection {
public:
    explicit connection(int opened) : fd(opened) {}
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Reads bytes into the buffer; false at the end, on an error or after the time.
    bool fill(std::int64_t wait_ms);
    // Reads one message with a body that has a length or chunks; false if none arrives.
    bool read_message(message& into, std::int64_t wait_ms);
    bool read_head(message& into, std::int64_t wait_ms);
    bool write(const std::string& text);
    // Whether the peer has closed or reset the connection.
    [[nodiscard]] bool peer_closed() const;
    void reset();
    void close();
    [[nodiscard]] int descriptor() const { return this->fd; }

    std::string buffer;

private:
    std::atomic<int> fd;
};

// A TCP server with a thread for each connection. `stop` closes the listener first and then resets
// all connections, as the end of a process does.
class tcp_server {
public:
    using handler = std::function<void(connection&)>;
    tcp_server(std::string ip, int port, handler serve);
    ~tcp_server();
    void stop();
    [[nodiscard]] int port() const { return this->bound_port; }
    [[nodiscard]] std::string address() const;

private:
    void accept_connections();

    std::string ip;
    int bound_port = 0;
    handler serve;
    std::atomic<int> listener = -1;
    std::mutex mutex;
    std::set<int> open;
    std::atomic<int> running = 0;
    std::atomic<bool> stopping = false;
    std::thread accepting;
};

// Returns a port that is free on the loopback address.
[[nodiscard]] int free_port(const std::string& ip);

// The platform's store. Each gate is an address of its own, so that the channels of one process can
// be disturbed.
class store {
public:
    class gate {
    public:
        gate(store& owner, const std::string& ip);
        [[nodiscard]] std::string address() const { return this->server->address(); }
        // The open channel that watches the servers answers nothing any more; new ones work, and so
        // do those of other kinds.
        void silence_server_channel() { ++this->generation; }
        // Calls are answered 503.
        void set_busy(bool wanted) { this->busy = wanted; }

    private:
        void serve(connection& caller);
        store& owner;
        std::atomic<int> generation = 0;
        std::atomic<bool> busy = false;
        std::unique_ptr<tcp_server> server;
    };

    // Return the revision.
    std::int64_t put(const std::string& kind, const std::string& name, const json& specification);
    std::int64_t remove(const std::string& kind, const std::string& name);

private:
    struct object {
        std::int64_t revision = 0;
        json specification;
    };
    struct change {
        std::string kind;
        std::string name;
        object last;
        bool removed = false;
    };
    [[nodiscard]] json list(const std::string& kind);
    [[nodiscard]] json watch(const std::string& kind, std::int64_t from, std::int64_t wait_ms);

    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t revision = 1;
    std::map<std::string, std::map<std::string, object>> objects;
    std::vector<change> history;
};

// One of the project's programs.
class program {
public:
    // Writes the settings to a file in `folder` and starts `binary` with them.
    program(std::string folder, std::string name, std::string binary, std::string settings);
    ~program();
    void start();
    void send_signal(int number) const;
    // Sends SIGKILL and waits.
    void kill();
    [[nodiscard]] bool is_running();

private:
    std::string folder;
    std::string name;
    std::string binary;
    std::string settings;
    pid_t pid = -1;
};

// The result of one request.
struct answer {
    bool complete = false;
    int status = 0;
    message head;
    std::string body;
    std::int64_t sent_at = 0;
    std::int64_t ended_at = 0;
};

// A requester's channel to an entry.
class requester {
public:
    requester(std::string ip, int port) : ip(std::move(ip)), port(port) {}
    // Sends a request and reads the answer. Opens a channel if none is open.
    answer send(const std::string& text, std::int64_t wait_ms);
    void close() { this->channel.reset(); }

private:
    std::string ip;
    int port;
    std::unique_ptr<connection> channel;
};

// Connects; returns -1 if that fails.
[[nodiscard]] int connect_to(const std::string& ip, int port, std::int64_t wait_ms);

// Returns a request as text.
[[nodiscard]] std::string
request_text(const std::string& method, const std::string& target, const std::string& host,
             const std::vector<std::pair<std::string, std::string>>& headers,
             const std::string& body);

// Waits until the entry's readiness is 200; false if it does not become so.
[[nodiscard]] bool wait_until_ready(const std::string& ip, int port, std::int64_t wait_ms);

// A loopback network of this run: 127.x.y.z with x and y of its own.
[[nodiscard]] std::string network_ip(int group, int number);

// A temporary folder of this run, removed at its end.
[[nodiscard]] std::string temporary_folder();

// Path of the project's program, in target/bin.
[[nodiscard]] std::string binary_path(const std::string& name);

} // namespace review

#endif // REVIEW_STANDIN_3_KIT_H_
