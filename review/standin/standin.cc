#include "review/standin/standin.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const steady::time_point started = steady::now();
std::mutex record_mutex;
std::FILE* record_file = nullptr;

bool same_name(const std::string& one, const std::string& other)
{
    return ::strcasecmp(one.c_str(), other.c_str()) == 0;
}

int ms_until(steady::time_point deadline)
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - steady::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 3'600'000));
}

sockaddr_in to_native(const std::string& at, int port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, at.c_str(), &made.sin_addr);
    return made;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos) {
        return "";
    }
    std::istringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
    }
    return "";
}

} // namespace

bool with_trouble()
{
    const char* const given = std::getenv("TROUBLE");
    return given == nullptr || std::strcmp(given, "0") != 0;
}

double seconds_since_start()
{
    return std::chrono::duration<double>(steady::now() - started).count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void open_record()
{
    const char* const folder = std::getenv("CASE");
    const std::string path = std::string(folder == nullptr ? "." : folder) + "/record.txt";
    record_file = std::fopen(path.c_str(), "w");
    if (record_file == nullptr) {
        std::fprintf(stderr, "cannot write %s\n", path.c_str());
        std::exit(2);
    }
    ::signal(SIGPIPE, SIG_IGN);
    record(with_trouble() ? "with the disruption" : "without the disruption");
}

void record(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(record_mutex);
    if (record_file != nullptr) {
        std::fprintf(record_file, "%8.3f  %s\n", seconds_since_start(), line.c_str());
        std::fflush(record_file);
    }
}

int verdict(bool broken, const std::string& reason)
{
    const std::string line = (broken ? "BROKEN: " : "held: ") + reason;
    record(line);
    std::printf("%s\n", line.c_str());
    return broken ? 1 : 0;
}

void cannot_run(const std::string& reason)
{
    record("cannot run: " + reason);
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::exit(2);
}

std::string message::header(const std::string& name) const
{
    for (const auto& [known, value] : this->headers) {
        if (same_name(known, name)) {
            return value;
        }
    }
    return "";
}

std::string message::method() const
{
    return this->start_line.substr(0, this->start_line.find(' '));
}

std::string message::target() const
{
    const std::size_t begin = this->start_line.find(' ') + 1;
    return this->start_line.substr(begin, this->start_line.find(' ', begin) - begin);
}

int message::status() const
{
    return this->start_line.rfind("HTTP/", 0) == 0
               ? std::atoi(this->start_line.c_str() + this->start_line.find(' ') + 1)
               : 0;
}

channel::channel(channel&& other) noexcept
    : fd(std::exchange(other.fd, -1)), buffer(std::move(other.buffer))
{
}

channel& channel::operator=(channel&& other) noexcept
{
    if (this != &other) {
        this->close();
        this->fd = std::exchange(other.fd, -1);
        this->buffer = std::move(other.buffer);
    }
    return *this;
}

channel channel::connect(const std::string& at, int port, milliseconds timeout)
{
    channel made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in peer = to_native(at, port);
    if (::connect(made.fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) != 0) {
        pollfd polled = {made.fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&polled, 1, static_cast<int>(timeout.count())) <= 0 ||
            ::getsockopt(made.fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            made.close();
        }
    }
    return made;
}

bool channel::write(const std::string& bytes, steady::time_point deadline)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t length =
            ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (length > 0) {
            done += static_cast<std::size_t>(length);
            continue;
        }
        pollfd polled = {this->fd, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EINTR) || ::poll(&polled, 1, ms_until(deadline)) <= 0) {
            return false;
        }
    }
    return true;
}

int channel::fill(steady::time_point deadline)
{
    char bytes[65536];
    while (true) {
        const ssize_t length = ::recv(this->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (length >= 0) {
            this->buffer.append(bytes, static_cast<std::size_t>(length));
            return length > 0 ? 1 : 0;
        }
        pollfd polled = {this->fd, POLLIN, 0};
        if ((errno != EAGAIN && errno != EINTR) || ::poll(&polled, 1, ms_until(deadline)) <= 0) {
            return -1;
        }
    }
}

bool channel::read_head(message& into, steady::time_point deadline)
{
    into = {};
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (this->fill(deadline) <= 0) {
            return false;
        }
    }
    std::istringstream lines(this->buffer.substr(0, end + 2));
    this->buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (into.start_line.empty()) {
            into.start_line = line;
        }
        else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            into.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
        }
    }
    return true;
}

bool channel::read_body(message& into, bool is_answer, steady::time_point deadline)
{
    const std::string length = into.header("Content-Length");
    if (same_name(into.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (this->fill(deadline) <= 0) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (this->fill(deadline) <= 0) {
                    return false;
                }
            }
            into.body.append(this->buffer, end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    if (!length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (this->buffer.size() < size) {
            if (this->fill(deadline) <= 0) {
                into.body = std::exchange(this->buffer, "");
                return false;
            }
        }
        into.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }
    if (!is_answer) {
        return true;
    }
    int got = 1;
    while (got > 0) {
        got = this->fill(deadline);
    }
    into.body = std::exchange(this->buffer, "");
    return got == 0;
}

bool channel::read_message(message& into, bool is_answer, steady::time_point deadline)
{
    return this->read_head(into, deadline) && this->read_body(into, is_answer, deadline);
}

bool channel::wait_for_end(steady::time_point deadline)
{
    pollfd polled = {this->fd, POLLRDHUP, 0};
    return ::poll(&polled, 1, ms_until(deadline)) > 0;
}

void channel::close()
{
    if (this->fd >= 0) {
        ::close(this->fd);
    }
    this->fd = -1;
}

void channel::reset()
{
    const linger abrupt = {1, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
    this->close();
}

listener::listener(const std::string& at, int port, std::function<void(channel&)> given)
    : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), serve(std::move(given))
{
    const int on = 1;
    ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = to_native(at, port);
    if (::bind(this->fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
        ::listen(this->fd, 1024) != 0) {
        cannot_run("no socket at " + at + ":" + std::to_string(port));
    }
    this->accepting = std::thread([this] { this->run(); });
}

listener::~listener()
{
    this->stopping = true;
    ::shutdown(this->fd, SHUT_RDWR);
    this->accepting.join();
    ::close(this->fd);
}

void listener::run()
{
    while (!this->stopping) {
        const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        // The case ends with std::_Exit, so that these threads never outlive what they use.
        std::thread([this, accepted] {
            channel served(accepted);
            this->serve(served);
        }).detach();
    }
}

store::store(const std::string& at, int port)
{
    this->listening.emplace(at, port, [this](channel& caller) { this->serve(caller); });
}

void store::put(const std::string& kind, const std::string& name, const std::string& specification)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const change made = {kind, name, ++this->newest, specification};
    this->objects[kind].insert_or_assign(name, made);
    this->history.push_back(made);
    this->changed.notify_all();
}

std::string store::object_json(const change& of)
{
    return "{\"metadata\":{\"name\":\"" + of.name +
           "\",\"revision\":" + std::to_string(of.revision) +
           ",\"create-revision\":1,\"finalizers\":[],\"deleting\":false},\"specification\":" +
           of.specification + ",\"status\":null}";
}

std::string store::answer(const std::string& target)
{
    const std::string prefix = "/v1/objects/";
    const std::string kind = target.substr(prefix.size(), target.find('?') == std::string::npos
                                                              ? std::string::npos
                                                              : target.find('?') - prefix.size());
    std::unique_lock<std::mutex> lock(this->mutex);
    std::string items;
    const std::string watched = parameter(target, "watch");
    if (watched.empty()) {
        for (const auto& [name, object] : this->objects[kind]) {
            items += (items.empty() ? "" : ",") + object_json(object);
        }
        return "{\"items\":[" + items +
               "],\"has-more\":false,\"at\":" + std::to_string(this->newest) + "}";
    }
    const std::int64_t after = std::atoll(watched.c_str());
    const auto deadline =
        steady::now() + milliseconds(std::atoll(parameter(target, "wait-ms").c_str()));
    const auto has_news = [&] {
        return std::any_of(this->history.begin(), this->history.end(), [&](const change& made) {
            return made.kind == kind && made.revision > after;
        });
    };
    this->changed.wait_until(lock, deadline, has_news);
    for (const change& made : this->history) {
        if (made.kind == kind && made.revision > after) {
            items += (items.empty() ? "" : ",") +
                     ("{\"removed\":false,\"object\":" + object_json(made) + "}");
        }
    }
    return "{\"events\":[" + items + "],\"at\":" + std::to_string(this->newest) + "}";
}

void store::serve(channel& caller)
{
    message request;
    while (caller.read_message(request, false, steady::now() + std::chrono::seconds(60))) {
        const std::string body = this->answer(request.target());
        if (!caller.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body,
                          steady::now() + std::chrono::seconds(5))) {
            return;
        }
    }
}

std::string server_answer(int status, const std::string& request_id, const std::string& more,
                          const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nX-Sardinestream-Request-Id: " + request_id +
           "\r\nX-Sardinestream-Response-Signature: sig-" + request_id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string outcome::text() const
{
    const std::string answer = this->answered ? std::to_string(this->status) : "no answer";
    return answer + (this->complete ? ", complete" : ", " + this->trouble);
}

outcome call(const std::string& at, int port, const std::string& method, const std::string& path,
             const std::string& request_id, const std::string& more_headers,
             const std::string& body, milliseconds time_limit)
{
    outcome result;
    const auto deadline = steady::now() + time_limit;
    channel made = channel::connect(at, port, milliseconds(1000));
    if (!made.is_open()) {
        result.trouble = "no channel";
        return result;
    }
    const std::string head =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Sardinestream-Request-Id: " + request_id +
        "\r\nX-Sardinestream-Deadline-Ms: " + std::to_string(time_limit.count()) +
        "\r\nAuthorization: Token " + key + "\r\n" + more_headers +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!made.write(head, deadline) || !made.write(body, deadline)) {
        result.trouble = "channel closed while the request was written";
    }
    message got;
    if (!made.read_head(got, deadline)) {
        result.trouble = steady::now() >= deadline ? "time limit" : "channel closed";
        return result;
    }
    result.answered = true;
    result.status = got.status();
    result.complete = made.read_body(got, true, deadline);
    result.body = got.body;
    if (!result.complete) {
        result.trouble = steady::now() >= deadline ? "time limit in the answer" : "cut";
    }
    return result;
}

const std::string& temporary_folder()
{
    static const std::string path = [] {
        const char* const given = std::getenv("FOLDER");
        if (given == nullptr) {
            cannot_run("FOLDER names no temporary folder");
        }
        return std::string(given);
    }();
    return path;
}

program::program(std::string chosen, std::string given, const std::string& settings)
    : binary(std::move(chosen)), name(std::move(given)),
      settings_path(temporary_folder() + "/" + this->name + ".settings"),
      log(temporary_folder() + "/" + this->name + ".log")
{
    std::ofstream(this->settings_path) << settings;
    if (::access(this->binary.c_str(), X_OK) != 0) {
        cannot_run(this->binary + " is not built");
    }
}

program::~program()
{
    this->kill();
}

void program::start()
{
    const std::string variable = "SARDINESTREAM_SETTINGS=" + this->settings_path;
    const pid_t parent = ::getpid();
    this->child = ::fork();
    if (this->child == 0) {
        // Ends with the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(2);
        }
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        std::string path = this->binary;
        std::string environment = variable;
        char* arguments[] = {path.data(), nullptr};
        // DEPLOY.md names this variable among those that the platform sets, without a value. A low
        // one keeps the memory of the process small: without it every figure is larger.
        const char* const chosen = std::getenv("ARENAS");
        std::string arenas = "MALLOC_ARENA_MAX=" + std::string(chosen == nullptr ? "2" : chosen);
        char* variables[] = {environment.data(), arenas.data(), nullptr};
        ::execve(path.c_str(), arguments, variables);
        ::_exit(127);
    }
    record(this->name + " started, process " + std::to_string(this->child));
}

void program::signal(int number)
{
    if (this->child > 0) {
        record("signal " + std::to_string(number) + " to " + this->name);
        ::kill(this->child, number);
    }
}

void program::kill()
{
    if (this->child > 0) {
        ::kill(this->child, SIGKILL);
        ::waitpid(this->child, nullptr, 0);
        this->child = -1;
    }
}

bool program::alive()
{
    int status = 0;
    if (this->child > 0 && ::waitpid(this->child, &status, WNOHANG) == this->child) {
        record(this->name + " ended: " +
               (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                    : "exit " + std::to_string(WEXITSTATUS(status))));
        this->child = -1;
    }
    return this->child > 0;
}

double program::resident_mb() const
{
    std::ifstream status("/proc/" + std::to_string(this->child) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atof(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

std::string ip(int group, int number)
{
    static const int network = [] {
        for (int i = 0; i < 200; ++i) {
            const int candidate = 20 + (static_cast<int>(::getpid()) + i) % 200;
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in claimed =
                to_native("127." + std::to_string(candidate) + ".0.1", 20010);
            // The socket stays open, so that no other case takes the network.
            if (::bind(fd, reinterpret_cast<const sockaddr*>(&claimed), sizeof(claimed)) == 0 &&
                ::listen(fd, 1) == 0) {
                return candidate;
            }
            ::close(fd);
        }
        cannot_run("no loopback network is free");
    }();
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." +
           std::to_string(number);
}

bool wait_until_ready(const std::string& at, int port, milliseconds timeout)
{
    const auto deadline = steady::now() + timeout;
    while (steady::now() < deadline) {
        if (call(at, port, "GET", "/v1/readiness", "ready", "", "", milliseconds(500)).status ==
            200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::string entry_settings(int number, int entries)
{
    const std::string own = ip(1, number);
    std::string seeds;
    for (int i = 1; i <= std::min(entries, 3); ++i) {
        seeds += (seeds.empty() ? "" : ",") + ip(1, i) + ":" + std::to_string(news_port);
    }
    return "--id=front-" + std::to_string(number) + "\n--data_centre=a\n--ip=" + own +
           "\n--news_port=" + std::to_string(news_port) + "\n--front_listen=" + own + ":" +
           std::to_string(front_port) + "\n--ready_listen=" + own + ":" +
           std::to_string(ready_port) + "\n--store=" + ip(4, 1) + ":" + std::to_string(store_port) +
           "\n--seeds=" + seeds +
           "\n--file_descriptors=4200\n--retry_ratio=0.2\n--retry_slack=88\n--heartbeat_ms=1200\n"
           "--grace_s=8\n";
}

std::string route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms, int attempts, const std::string& more)
{
    return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path-prefix\":\"" + prefix +
           "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":400,\"priority\":1,\"service\":\"" + service +
           "\",\"attempts\":" + std::to_string(attempts) + ",\"public\":false" + more + "}";
}

std::string desired_state(int version, const std::string& routes, const std::string& services)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
           "],\"services\":[" + services +
           "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
           "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":"
           "\"hule930\",\"api-keys\":[\"" +
           key + "\"],\"priority\":1}]}";
}

std::string plain_service(const std::string& name)
{
    return "{\"name\":\"" + name +
           "\",\"health-path\":\"/health\",\"connection-limit\":408,\"protocol\":\"h1\","
           "\"tls\":false}";
}

std::string server_entry(const std::string& service, const std::string& address, int slots)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address +
           "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":" +
           std::to_string(unix_ms()) + "}";
}

} // namespace review
