#include "kit.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const clock_type::time_point script_start = clock_type::now();
std::mutex record_mutex;
std::ofstream record_file;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string trim(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

sockaddr_in native(const std::string& ip, int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

message parse_head(const std::string& text)
{
    message parsed;
    std::size_t begin = 0;
    while (begin < text.size()) {
        std::size_t end = text.find("\r\n", begin);
        end = end == std::string::npos ? text.size() : end;
        const std::string line = text.substr(begin, end - begin);
        begin = end + 2;
        if (parsed.start.empty()) {
            parsed.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            parsed.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
        }
    }
    return parsed;
}

std::string json_answer(int status, const json& body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) +
           " x\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - script_start).count();
}

void sleep_ms(std::int64_t duration)
{
    std::this_thread::sleep_for(milliseconds(std::max<std::int64_t>(0, duration)));
}

void sleep_until_ms(std::int64_t time)
{
    sleep_ms(time - now_ms());
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool has_trouble()
{
    const char* const wanted = std::getenv("TROUBLE");
    return wanted == nullptr || std::string(wanted) != "0";
}

void open_record(const std::string& path)
{
    const std::lock_guard lock(record_mutex);
    record_file.open(path, std::ios::trunc);
}

void record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(now_ms()) / 1000);
    const std::lock_guard lock(record_mutex);
    record_file << time << line << "\n" << std::flush;
}

std::string message::header(const std::string& name) const
{
    for (const auto& [key, value] : this->headers) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return "";
}

std::string message::method() const
{
    return this->start.substr(0, this->start.find(' '));
}

std::string message::target() const
{
    const std::size_t begin = this->start.find(' ') + 1;
    return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

std::string message::path() const
{
    const std::string whole = this->target();
    return whole.substr(0, whole.find('?'));
}

std::string message::parameter(const std::string& name) const
{
    const std::string whole = this->target();
    std::size_t begin = whole.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = whole.find('&', begin + 1);
        const std::string part = whole.substr(begin + 1, end - begin - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        begin = end;
    }
    return "";
}

int message::status() const
{
    return this->start.size() > 12 ? std::atoi(this->start.substr(9, 3).c_str()) : 0;
}

bool connection::fill(std::int64_t wait_ms)
{
    pollfd polled = {this->fd, POLLIN, 0};
    if (this->fd < 0 || ::poll(&polled, 1, static_cast<int>(wait_ms)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t length = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (length <= 0) {
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(length));
    return true;
}

bool connection::read_head(message& into, std::int64_t wait_ms)
{
    const std::int64_t end = now_ms() + wait_ms;
    std::size_t length = 0;
    while ((length = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(std::max<std::int64_t>(0, end - now_ms()))) {
            return false;
        }
    }
    into = parse_head(this->buffer.substr(0, length));
    this->buffer.erase(0, length + 4);
    return true;
}

bool connection::read_message(message& into, std::int64_t wait_ms)
{
    const std::int64_t end = now_ms() + wait_ms;
    if (!this->read_head(into, wait_ms)) {
        return false;
    }
    const auto more = [&] { return this->fill(std::max<std::int64_t>(0, end - now_ms())); };
    if (lower(into.header("transfer-encoding")) == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = this->buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < line + 2 + size + 2) {
                if (!more()) {
                    return false;
                }
            }
            into.body += this->buffer.substr(line + 2, size);
            this->buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t length = std::strtoul(into.header("content-length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
        if (!more()) {
            into.body = this->buffer;
            return false;
        }
    }
    into.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return true;
}

bool connection::write(const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t length =
            ::send(this->fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (length <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

bool connection::peer_closed() const
{
    pollfd polled = {this->fd, POLLRDHUP, 0};
    return this->fd < 0 || ::poll(&polled, 1, 0) > 0;
}

void connection::reset()
{
    const linger end = {1, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &end, sizeof(end));
    this->close();
}

void connection::close()
{
    const int open = this->fd.exchange(-1);
    if (open >= 0) {
        ::close(open);
    }
}

tcp_server::tcp_server(std::string on, int port, handler serving)
    : ip(std::move(on)), serve(std::move(serving))
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on_value = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on_value, sizeof(on_value));
    sockaddr_in at = native(this->ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || ::listen(fd, 512) != 0) {
        std::fprintf(stderr, "cannot listen at %s:%d: %s\n", this->ip.c_str(), port,
                     std::strerror(errno));
        std::exit(not_run);
    }
    socklen_t length = sizeof(at);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
    this->bound_port = ntohs(at.sin_port);
    this->listener = fd;
    this->accepting = std::thread([this] { this->accept_connections(); });
}

tcp_server::~tcp_server()
{
    this->stop();
    while (this->running > 0) {
        sleep_ms(5);
    }
}

std::string tcp_server::address() const
{
    return this->ip + ":" + std::to_string(this->bound_port);
}

void tcp_server::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    this->accepting.join();
    ::close(this->listener.exchange(-1));
    const std::lock_guard lock(this->mutex);
    for (const int fd : this->open) {
        const linger end = {1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &end, sizeof(end));
        // Resets the peer's side; the thread that serves it closes the descriptor.
        sockaddr unspecified{};
        unspecified.sa_family = AF_UNSPEC;
        (void)::connect(fd, &unspecified, sizeof(unspecified));
        ::shutdown(fd, SHUT_RDWR);
    }
}

void tcp_server::accept_connections()
{
    while (!this->stopping) {
        pollfd polled = {this->listener, POLLIN, 0};
        if (::poll(&polled, 1, 5) <= 0) {
            continue;
        }
        const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on_value = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on_value, sizeof(on_value));
        ++this->running;
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(fd);
        }
        std::thread([this, fd] {
            {
                connection caller(::fcntl(fd, F_DUPFD_CLOEXEC, 0));
                this->serve(caller);
            }
            {
                const std::lock_guard lock(this->mutex);
                this->open.erase(fd);
                ::close(fd);
            }
            --this->running;
        }).detach();
    }
}

int free_port(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = native(ip, 0);
    (void)::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t length = sizeof(at);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
    ::close(fd);
    return ntohs(at.sin_port);
}

std::int64_t store::put(const std::string& kind, const std::string& name, const json& specification)
{
    const std::lock_guard lock(this->mutex);
    object& known = this->objects[kind][name];
    if (known.revision > 0 && known.specification == specification) {
        return known.revision;
    }
    known = {++this->revision, specification};
    this->history.push_back({kind, name, known, false});
    this->changed.notify_all();
    return this->revision;
}

std::int64_t store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) {
        return this->revision;
    }
    object last = found->second;
    last.revision = ++this->revision;
    this->objects[kind].erase(found);
    this->history.push_back({kind, name, last, true});
    this->changed.notify_all();
    return this->revision;
}

json store::list(const std::string& kind)
{
    const std::lock_guard lock(this->mutex);
    json items = json::array();
    for (const auto& [name, known] : this->objects[kind]) {
        items.push_back({{"metadata", {{"name", name}, {"revision", known.revision}}},
                         {"specification", known.specification},
                         {"status", json::object()}});
    }
    return {{"items", items}, {"has-more", false}, {"at", this->revision}};
}

json store::watch(const std::string& kind, std::int64_t from, std::int64_t wait_ms)
{
    std::unique_lock lock(this->mutex);
    json events = json::array();
    const auto collect = [&] {
        for (const change& each : this->history) {
            if (each.kind == kind && each.last.revision > from) {
                events.push_back(
                    {{"object",
                      {{"metadata", {{"name", each.name}, {"revision", each.last.revision}}},
                       {"specification", each.last.specification},
                       {"status", json::object()}}},
                     {"removed", each.removed}});
            }
        }
        return !events.empty();
    };
    this->changed.wait_for(lock, milliseconds(wait_ms), collect);
    return {{"events", events}, {"at", this->revision}};
}

store::gate::gate(store& served, const std::string& ip) : owner(served)
{
    this->server =
        std::make_unique<tcp_server>(ip, 0, [this](connection& caller) { this->serve(caller); });
}

void store::gate::serve(connection& caller)
{
    const int opened_in = this->generation;
    message call;
    const std::string prefix = "/v1/objects/";
    while (caller.read_message(call, 120'000)) {
        std::string text;
        if (this->busy) {
            text = json_answer(503, json::object());
        }
        else if (call.path().rfind(prefix, 0) != 0) {
            text = json_answer(404, json::object());
        }
        else {
            const std::string kind = call.path().substr(prefix.size());
            const std::string from = call.parameter("watch");
            text = json_answer(
                200, from.empty()
                         ? this->owner.list(kind)
                         : this->owner.watch(kind, std::atoll(from.c_str()),
                                             std::atoll(call.parameter("wait-ms").c_str())));
        }
        if (this->generation != opened_in && call.path() == prefix + "servers") {
            // Silent for good.
            while (!caller.peer_closed()) {
                sleep_ms(20);
            }
            return;
        }
        if (!caller.write(text)) {
            return;
        }
    }
}

program::program(std::string in, std::string called, std::string run, std::string with)
    : folder(std::move(in)), name(std::move(called)), binary(std::move(run)),
      settings(std::move(with))
{
    std::ofstream(this->folder + "/" + this->name + ".settings") << this->settings;
}

program::~program()
{
    this->kill();
}

void program::start()
{
    const std::string path = this->folder + "/" + this->name + ".settings";
    const std::string output = this->folder + "/" + this->name + ".log";
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(not_run);
        }
        ::setenv("SARDINESTREAM_SETTINGS", path.c_str(), 1);
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(this->binary.c_str(), this->binary.c_str(), nullptr);
        ::_exit(not_run);
    }
}

void program::send_signal(int number) const
{
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

void program::kill()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

bool program::is_running()
{
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->pid = -1;
    }
    return this->pid > 0;
}

int connect_to(const std::string& ip, int port, std::int64_t wait_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in at = native(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
        pollfd polled = {fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&polled, 1, static_cast<int>(wait_ms)) <= 0 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on_value = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on_value, sizeof(on_value));
    return fd;
}

answer requester::send(const std::string& text, std::int64_t wait_ms)
{
    answer got;
    got.sent_at = now_ms();
    if (this->channel == nullptr) {
        const int fd = connect_to(this->ip, this->port, 1000);
        if (fd < 0) {
            got.ended_at = now_ms();
            return got;
        }
        this->channel = std::make_unique<connection>(fd);
    }
    if (this->channel->write(text)) {
        got.complete = this->channel->read_message(got.head, wait_ms);
        got.status = got.head.status();
        got.body = got.head.body;
    }
    got.ended_at = now_ms();
    if (!got.complete || lower(got.head.header("connection")) == "close") {
        this->channel.reset();
    }
    return got;
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& host,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

bool wait_until_ready(const std::string& ip, int port, std::int64_t wait_ms)
{
    const std::int64_t end = now_ms() + wait_ms;
    while (now_ms() < end) {
        requester platform(ip, port);
        if (platform.send(request_text("GET", "/v1/readiness", ip, {}, ""), 500).status == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

std::string network_ip(int group, int number)
{
    static const int own = 1 + static_cast<int>(::getpid() % 120);
    static const int part = static_cast<int>(::getpid() / 120 % 250);
    return "127." + std::to_string(own) + "." + std::to_string(part) + "." +
           std::to_string(group * 40 + number);
}

std::string temporary_folder()
{
    static const std::string folder = [] {
        std::string pattern = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
        return std::string(::mkdtemp(pattern.data()));
    }();
    return folder;
}

std::string binary_path(const std::string& name)
{
    const char* const folder = std::getenv("SARDINE_TARGET_BIN");
    return (folder != nullptr ? std::string(folder) : "target/bin") + "/" + name;
}

} // namespace review
