#include "sardinestream/testing/platform_standin.h"

#include <utility>

#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/base/error.h"
#include "sardinestream/base/thread_group.h"
#include "sardinestream/testing/platform_standin_wire.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using platform::object;

constexpr char instance_kind[] = "instances";
constexpr int listen_backlog = 1024;
constexpr std::size_t most_requests_per_connection = 1U << 30;
constexpr int keep_alive_s = 600;
constexpr int highest_descriptor = 4096;

// One thread for each connection.
class thread_per_connection : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> work) override
    {
        if (!this->connections.spawn(std::move(work))) {
            std::abort();
        }
    }
    void shutdown() override { this->connections.wait_until_empty(); }

private:
    thread_group connections;
};

int port_of(const sockaddr_in& endpoint)
{
    return ntohs(endpoint.sin_port);
}

// Ends the connection that carries the request without an answer. The library does not hand out its
// descriptors, so the one with the request's two ports is looked for.
void cut_connection(const httplib::Request& request, int local_port)
{
    for (int descriptor = 3; descriptor < highest_descriptor; ++descriptor) {
        sockaddr_in remote{};
        sockaddr_in local{};
        socklen_t length = sizeof(remote);
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote), &length) != 0 ||
            remote.sin_family != AF_INET || port_of(remote) != request.remote_port) {
            continue;
        }
        length = sizeof(local);
        if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length) != 0 ||
            port_of(local) != local_port) {
            continue;
        }
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

std::string kind_of_path(const std::string& path)
{
    constexpr std::size_t kind_position = 6; // after /apis/GROUP/VERSION/namespaces/NAMESPACE
    std::size_t begin = 0;
    for (std::size_t i = 0; i < kind_position; ++i) {
        begin = path.find('/', begin);
        if (begin == std::string::npos) {
            return {};
        }
        ++begin;
    }
    return path.substr(begin, path.find('/', begin) - begin);
}

} // namespace

platform_standin::platform_standin() : server(std::make_unique<httplib::Server>()) {}

absl::StatusOr<std::unique_ptr<platform_standin>> platform_standin::create(const address& local)
{
    std::unique_ptr<platform_standin> made(new platform_standin());
    SARDINE_RETURN_IF_ERROR(made->listen(local));
    return made;
}

absl::Status platform_standin::listen(const address& local)
{
    this->server->new_task_queue = [] { return new thread_per_connection(); };
    this->server->set_tcp_nodelay(true);
    this->server->set_keep_alive_max_count(most_requests_per_connection);
    this->server->set_keep_alive_timeout(keep_alive_s);
    this->server->set_socket_options([this](int descriptor) {
        const int yes = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        this->listening_descriptor = descriptor;
    });
    this->server->set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
            return this->apply_fault_before(request, response)
                       ? httplib::Server::HandlerResponse::Handled
                       : httplib::Server::HandlerResponse::Unhandled;
        });
    this->add_api_routes();
    this->add_admin_routes();
    int port = local.port;
    if (port == 0) {
        port = this->server->bind_to_any_port(local.ip);
    }
    else if (!this->server->bind_to_port(local.ip, port)) {
        port = -1;
    }
    if (port < 0) {
        return make_error(absl::StatusCode::kUnavailable, "listen", local.to_string(),
                          "address in use or not this machine's");
    }
    ::listen(this->listening_descriptor, listen_backlog);
    this->local_address = {local.ip, port};
    this->serving = std::thread([this] { this->server->listen_after_bind(); });
    this->changing_instances = std::thread([this] { this->change_instances_when_due(); });
    while (!this->server->is_running()) {
        std::this_thread::yield();
    }
    return absl::OkStatus();
}

platform_standin::~platform_standin()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->objects.wake();
    if (!this->serving.joinable()) {
        return;
    }
    this->server->stop();
    // Idle connections would hold their threads until the keep-alive time runs out.
    for (int descriptor = 3; descriptor < highest_descriptor; ++descriptor) {
        sockaddr_in local{};
        socklen_t length = sizeof(local);
        if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length) == 0 &&
            local.sin_family == AF_INET && port_of(local) == this->local_address.port) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    this->serving.join();
    this->changing_instances.join();
}

void platform_standin::set_outage(outage_mode mode)
{
    const absl::MutexLock lock(&this->mutex);
    this->outage = mode;
}

void platform_standin::set_delay(absl::Duration added)
{
    const absl::MutexLock lock(&this->mutex);
    this->delay = added;
}

void platform_standin::lose_answers(absl::string_view method, absl::string_view kind, int count)
{
    const absl::MutexLock lock(&this->mutex);
    this->answers_to_lose[{std::string(method), std::string(kind)}] = count;
}

void platform_standin::put(absl::string_view kind, absl::string_view name, absl::string_view spec)
{
    while (true) {
        const absl::StatusOr<object> current = this->objects.get(kind, name);
        const absl::Status written =
            current.ok() ? this->objects.update(kind, name, spec, current->version).status()
                         : this->objects.create(kind, name, spec).status();
        if (!absl::IsAborted(written) && !absl::IsAlreadyExists(written) &&
            !absl::IsNotFound(written)) {
            return;
        }
    }
}

void platform_standin::put_entry(absl::string_view name, absl::string_view spec)
{
    this->put(entry_kind, name, spec);
}

void platform_standin::set_instance_lag(absl::Duration lag)
{
    const absl::MutexLock lock(&this->mutex);
    this->instance_lag = lag;
}

void platform_standin::change_instance(absl::string_view name, absl::string_view spec)
{
    const absl::MutexLock lock(&this->mutex);
    this->instance_changes.push_back(
        {absl::Now() + this->instance_lag, std::string(name), std::string(spec)});
}

void platform_standin::change_instances_when_due()
{
    constexpr absl::Duration check_interval = absl::Milliseconds(2);
    while (true) {
        instance_change change;
        {
            const absl::MutexLock lock(&this->mutex);
            this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), check_interval);
            if (this->stopping) {
                return;
            }
            if (this->instance_changes.empty() ||
                this->instance_changes.front().due > absl::Now()) {
                continue;
            }
            change = std::move(this->instance_changes.front());
            this->instance_changes.pop_front();
        }
        if (change.spec.empty()) {
            this->objects.remove(instance_kind, change.name).IgnoreError();
            continue;
        }
        this->put(instance_kind, change.name, change.spec);
    }
}

std::map<std::string, std::uint64_t> platform_standin::call_counts() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->counts;
}

bool platform_standin::apply_fault_before(const httplib::Request& request,
                                          httplib::Response& response)
{
    if (absl::StartsWith(request.path, "/admin/")) {
        return false;
    }
    const bool watch = request.has_param("watch");
    const std::string kind = kind_of_path(request.path);
    outage_mode mode = outage_mode::none;
    absl::Duration wait;
    {
        const absl::MutexLock lock(&this->mutex);
        ++this->counts[absl::StrCat(watch ? "WATCH" : request.method, " ", kind)];
        mode = this->outage;
        wait = this->delay;
        if (mode == outage_mode::hang) {
            const auto is_over = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                return this->stopping || this->outage != outage_mode::hang;
            };
            this->mutex.Await(absl::Condition(&is_over));
        }
        else if (wait > absl::ZeroDuration()) {
            this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), wait);
        }
    }
    if (mode == outage_mode::none) {
        return false;
    }
    if (mode == outage_mode::refuse) {
        answer_failure(response, 429, "TooManyRequests");
        return true;
    }
    cut_connection(request, this->local_address.port);
    return true;
}

void platform_standin::apply_fault_after(const httplib::Request& request)
{
    {
        const absl::MutexLock lock(&this->mutex);
        auto found = this->answers_to_lose.find({request.method, kind_of_path(request.path)});
        if (found == this->answers_to_lose.end() || found->second <= 0) {
            return;
        }
        --found->second;
    }
    cut_connection(request, this->local_address.port);
}

} // namespace sardinestream::testing
