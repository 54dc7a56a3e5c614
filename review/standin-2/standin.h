// Small stand-ins for the scripts of this review: the platform's store, model and plain servers, a
// requester, and the processes under test. Plain sockets on loopback addresses, nothing else.

#ifndef REVIEW_STANDIN_2_STANDIN_H_
#define REVIEW_STANDIN_2_STANDIN_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

inline steady::time_point began()
{
    static const steady::time_point at = steady::now();
    return at;
}

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - began()).count();
}

inline void pause_for(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// record.txt: what was sent, answered and run.
class record_file {
public:
    void open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (std::FILE* out : {this->file, stdout}) {
            if (out == nullptr) {
                continue;
            }
            std::fprintf(out, "%8.3f ", seconds());
            va_list words;
            va_start(words, format);
            std::vfprintf(out, format, words);
            va_end(words);
            std::fputc('\n', out);
            std::fflush(out);
        }
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

inline record_file& record()
{
    static record_file one;
    return one;
}

// Shows line ends and other control bytes.
inline std::string shown(const std::string& bytes)
{
    std::string text;
    for (const char letter : bytes) {
        if (letter == '\r') {
            text += "\\r";
        }
        else if (letter == '\n') {
            text += "\\n";
        }
        else {
            text += letter;
        }
    }
    return text;
}

inline sockaddr_in native(const std::string& ip, int port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &made.sin_addr);
    return made;
}

inline int connect_to(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = native(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline void reset(int fd)
{
    const linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

// Appends what arrives within `ms`. Returns 1 for bytes, 0 for the end, -1 for a reset, -2 for
// nothing.
inline int receive(int fd, std::string& into, int ms)
{
    pollfd polled = {fd, POLLIN, 0};
    if (poll(&polled, 1, ms) <= 0) {
        return -2;
    }
    char bytes[16384];
    const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n > 0) {
        into.append(bytes, static_cast<std::size_t>(n));
        return 1;
    }
    return n == 0 ? 0 : -1;
}

// A request as a server got it.
struct request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), ::tolower);
    return text;
}

inline void parse_headers(const std::string& head, std::map<std::string, std::string>& headers)
{
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
}

// Reads one request. The system sends bodies with a length. Returns false at the end.
inline bool read_request(int fd, std::string& buffered, request& got)
{
    std::size_t end = 0;
    while ((end = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (receive(fd, buffered, 60000) <= 0) {
            return false;
        }
    }
    const std::string head = buffered.substr(0, end + 2);
    buffered.erase(0, end + 4);
    got = {};
    std::istringstream first(head);
    first >> got.method >> got.target;
    parse_headers(head, got.headers);
    const std::size_t length = std::strtoul(got.header("content-length").c_str(), nullptr, 10);
    while (buffered.size() < length) {
        if (receive(fd, buffered, 60000) <= 0) {
            return false;
        }
    }
    got.body = buffered.substr(0, length);
    buffered.erase(0, length);
    return true;
}

// A listener with a thread for each channel.
class listener {
public:
    using handler = std::function<void(int fd)>;

    listener(const std::string& ip, handler handle) : listener(ip, 0, std::move(handle)) {}
    listener(const std::string& ip, int wanted, handler handle) : handle(std::move(handle))
    {
        this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in local = native(ip, wanted);
        if (bind(this->fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0 ||
            listen(this->fd, 512) != 0) {
            std::perror("bind");
            std::exit(2);
        }
        socklen_t length = sizeof(local);
        getsockname(this->fd, reinterpret_cast<sockaddr*>(&local), &length);
        this->port = ntohs(local.sin_port);
        std::thread([this] { this->run(); }).detach();
    }
    int port = 0;

private:
    void run()
    {
        while (true) {
            const int got = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (got < 0) {
                return;
            }
            const int one = 1;
            setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, got] {
                this->handle(got);
                close(got);
            }).detach();
        }
    }
    int fd = -1;
    handler handle;
};

// Returns a port that is free now on `ip`.
inline int free_port(const std::string& ip, int type = SOCK_STREAM)
{
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in local = native(ip, 0);
    bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local));
    socklen_t length = sizeof(local);
    getsockname(fd, reinterpret_cast<sockaddr*>(&local), &length);
    close(fd);
    return ntohs(local.sin_port);
}

// The platform's store: objects of kinds, lists and watches.
class store {
public:
    explicit store(const std::string& ip) : front(ip, [this](int fd) { this->serve(fd); }) {}
    int port() const { return this->front.port; }

    // `specification` is JSON. Returns when the change is acknowledged.
    void put(const std::string& kind, const std::string& name, const std::string& specification)
    {
        this->change(kind, name, specification, false);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        this->change(kind, name, "null", true);
    }
    // The same, and the watches of `kind` that wait at that moment are cut off, unanswered.
    void remove_and_cut_watches(const std::string& kind, const std::string& name)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            ++this->cuts[kind];
        }
        this->change(kind, name, "null", true);
    }

private:
    struct event {
        std::string kind;
        std::string name;
        std::string object;
        std::int64_t revision = 0;
        bool removed = false;
    };

    static std::string object_text(const std::string& name, std::int64_t revision,
                                   const std::string& specification)
    {
        const std::string number = std::to_string(revision);
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + number +
               ",\"create-revision\":" + number +
               ",\"finalizers\":[],\"deleting\":false},\"specification\":" + specification +
               ",\"status\":null}";
    }

    void change(const std::string& kind, const std::string& name, const std::string& specification,
                bool removed)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->revision;
        const std::string before = this->specifications[kind][name];
        const std::string text =
            object_text(name, this->revision, removed ? before : specification);
        this->events.push_back({kind, name, text, this->revision, removed});
        if (removed) {
            this->objects[kind].erase(name);
            this->specifications[kind].erase(name);
        }
        else {
            this->objects[kind][name] = text;
            this->specifications[kind][name] = specification;
        }
        this->changed.notify_all();
    }

    static std::string number_after(const std::string& target, const std::string& key)
    {
        const std::size_t at = target.find(key);
        return at == std::string::npos ? "" : target.substr(at + key.size());
    }

    // Returns an empty text for a watch that is cut off.
    std::string answer(const request& got)
    {
        const std::string prefix = "/v1/objects/";
        if (got.method != "GET" || got.target.rfind(prefix, 0) != 0) {
            return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        }
        const std::string path = got.target.substr(prefix.size());
        const std::string kind = path.substr(0, path.find_first_of("?/"));
        std::unique_lock<std::mutex> lock(this->mutex);
        std::string body;
        const std::string watch = number_after(path, "watch=");
        if (watch.empty()) {
            for (const auto& [name, object] : this->objects[kind]) {
                body += (body.empty() ? "" : ",") + object;
            }
            body = "{\"items\":[" + body +
                   "],\"has-more\":false,\"at\":" + std::to_string(this->revision) + "}";
        }
        else {
            const std::int64_t from = std::atoll(watch.c_str());
            const steady::time_point until =
                steady::now() + milliseconds(std::atoi(number_after(path, "wait-ms=").c_str()));
            const int cuts_before = this->cuts[kind];
            const auto collect = [&] {
                body.clear();
                for (const event& one : this->events) {
                    if (one.kind == kind && one.revision > from) {
                        body += (body.empty() ? "" : ",") +
                                std::string(one.removed ? "{\"removed\":true,\"object\":"
                                                        : "{\"removed\":false,\"object\":") +
                                one.object + "}";
                    }
                }
                return !body.empty();
            };
            while (!collect() && steady::now() < until) {
                this->changed.wait_until(lock, until);
                if (this->cuts[kind] != cuts_before) {
                    return "";
                }
            }
            body = "{\"events\":[" + body + "],\"at\":" + std::to_string(this->revision) + "}";
        }
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void serve(int fd)
    {
        std::string buffered;
        request got;
        while (read_request(fd, buffered, got)) {
            const std::string text = this->answer(got);
            if (text.empty() || !send_all(fd, text)) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t revision = 100;
    std::map<std::string, std::map<std::string, std::string>> objects;
    std::map<std::string, std::map<std::string, std::string>> specifications;
    std::vector<event> events;
    std::map<std::string, int> cuts;
    listener front;
};

// One of the system's programs, as a process of its own.
class process {
public:
    process(std::string program, std::string settings, std::string log)
        : program(std::move(program)), settings(std::move(settings)), log(std::move(log))
    {
        this->start();
    }
    ~process() { this->end(SIGKILL); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start()
    {
        this->pid = fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("SARDINESTREAM_SETTINGS", this->settings.c_str(), 1);
            execl(this->program.c_str(), this->program.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    void signal(int number) const { kill(this->pid, number); }
    // Sends the signal, if the process still runs, and waits for its end.
    void end(int number)
    {
        if (this->pid > 0) {
            kill(this->pid, number);
            waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }
    [[nodiscard]] bool has_ended()
    {
        if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
            this->pid = -1;
        }
        return this->pid < 0;
    }

private:
    const std::string program;
    const std::string settings;
    const std::string log;
    pid_t pid = -1;
};

inline void write_file(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

// Asks GET /v1/readiness until it answers 200.
inline bool wait_until_ready(const std::string& ip, int port, int ms)
{
    const steady::time_point until = steady::now() + milliseconds(ms);
    while (steady::now() < until) {
        const int fd = connect_to(ip, port);
        if (fd >= 0) {
            send_all(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            std::string got;
            while (got.size() < 12 && receive(fd, got, 500) > 0) {
            }
            close(fd);
            if (got.rfind("HTTP/1.1 200", 0) == 0) {
                return true;
            }
        }
        pause_for(50);
    }
    return false;
}

// An answer as a requester reads it, strictly by its framing.
struct answer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    // Whole, by its length or its last chunk.
    bool complete = false;
    // Why not: the channel's end or reset, a time-out, or bytes that are no answer.
    std::string fault;
};

// Reads one answer from the front of `buffered` and the channel; leaves what follows in `buffered`.
// `on_part` sees the body as it grows, and returns false to stop reading.
inline answer read_answer(int fd, std::string& buffered, int ms,
                          const std::function<bool(const std::string& body)>& on_part = nullptr)
{
    answer got;
    const steady::time_point until = steady::now() + milliseconds(ms);
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        const int result = left <= 0 ? -2 : receive(fd, buffered, static_cast<int>(left));
        got.fault = result == 0 ? "channel ended" : result == -1 ? "channel reset" : "time-out";
        return result > 0;
    };
    std::size_t end = 0;
    while ((end = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (buffered.size() >= 5 && buffered.rfind("HTTP/", 0) != 0) {
            got.fault = "bytes that are no answer";
            return got;
        }
        if (!more()) {
            return got;
        }
    }
    if (buffered.rfind("HTTP/1.1 ", 0) != 0) {
        got.fault = "bytes that are no answer";
        return got;
    }
    got.status = std::atoi(buffered.c_str() + 9);
    parse_headers(buffered.substr(0, end + 2), got.headers);
    buffered.erase(0, end + 4);
    const auto note = [&] { return !on_part || on_part(got.body); };
    if (got.headers["transfer-encoding"] == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = buffered.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return got;
                }
            }
            const std::size_t size = std::strtoul(buffered.c_str(), nullptr, 16);
            while (buffered.size() < line + 2 + size + 2) {
                if (!more()) {
                    return got;
                }
            }
            got.body += buffered.substr(line + 2, size);
            buffered.erase(0, line + 2 + size + 2);
            if (size == 0) {
                break;
            }
            if (!note()) {
                got.fault = "reading stopped";
                return got;
            }
        }
    }
    else {
        const std::size_t size = std::strtoul(got.headers["content-length"].c_str(), nullptr, 10);
        while (buffered.size() < size) {
            if (!more()) {
                return got;
            }
        }
        got.body = buffered.substr(0, size);
        buffered.erase(0, size);
    }
    got.complete = true;
    got.fault.clear();
    return got;
}

inline bool troubled()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace standin

#endif // REVIEW_STANDIN_2_STANDIN_H_
