#include "sardinestream/base/http_server.h"

#include <chrono>
#include <utility>

#include <sys/socket.h>

#include "sardinestream/base/error.h"
#include "sardinestream/base/thread_group.h"

namespace sardinestream {
namespace {

constexpr int listen_backlog = 1024;
constexpr int overload_status = 503;
// Effectively unlimited: no connection is closed because of its number of requests.
constexpr std::size_t max_requests_per_connection = 1U << 30;

// True on the threads of connections above the limit.
thread_local bool refusing_connection = false;

// Runs each connection on its own thread. Owned by the library's accept loop.
class connection_threads : public httplib::TaskQueue {
public:
    connection_threads(int served_limit, int refused_limit, std::shared_ptr<std::atomic<int>> open)
        : max_served(served_limit), max_refused(refused_limit), open_connections(std::move(open))
    {
    }

    // Blocks the accept loop while all threads for refusals are busy.
    void enqueue(std::function<void()> serve_connection) override
    {
        const bool refuse = this->reserve();
        std::function<void()> task = [this, refuse, serve = std::move(serve_connection)] {
            refusing_connection = refuse;
            serve();
            refusing_connection = false;
            this->release(refuse);
        };
        if (!this->threads.spawn(task)) {
            // No thread was available, but the task must run because it owns the socket.
            task();
        }
    }

    void shutdown() override { this->threads.wait_until_empty(); }

private:
    // Reserves a thread for a connection. Returns true if the connection is to be refused.
    bool reserve()
    {
        const absl::MutexLock lock(&this->mutex);
        const auto has_room = [this] {
            return this->served < this->max_served || this->refused < this->max_refused;
        };
        this->mutex.Await(absl::Condition(&has_room));
        ++*this->open_connections;
        const bool refuse = this->served >= this->max_served;
        ++(refuse ? this->refused : this->served);
        return refuse;
    }

    void release(bool refuse)
    {
        const absl::MutexLock lock(&this->mutex);
        --*this->open_connections;
        --(refuse ? this->refused : this->served);
    }

    const int max_served;
    const int max_refused;
    const std::shared_ptr<std::atomic<int>> open_connections;
    absl::Mutex mutex;
    int served = 0;
    int refused = 0;
    thread_group threads;
};

} // namespace

absl::StatusOr<std::unique_ptr<http_server>> http_server::create(http_server_options options)
{
    std::unique_ptr<http_server> made(new http_server(std::move(options)));
    made->configure();
    SARDINE_RETURN_IF_ERROR(made->bind());
    return made;
}

http_server::http_server(http_server_options configured) : options(std::move(configured)) {}

http_server::~http_server()
{
    this->stop();
}

void http_server::configure()
{
    const auto seconds = [](absl::Duration time) { return absl::ToChronoSeconds(time).count(); };
    this->server.set_tcp_nodelay(true);
    this->server.set_keep_alive_max_count(max_requests_per_connection);
    this->server.set_keep_alive_timeout(seconds(this->options.keep_alive));
    this->server.set_read_timeout(seconds(this->options.read_timeout));
    this->server.set_write_timeout(seconds(this->options.write_timeout));
    this->server.set_payload_max_length(this->options.max_body_bytes);
    this->server.new_task_queue = [this] {
        return new connection_threads(this->options.max_connections,
                                      this->options.max_refused_connections,
                                      this->open_connections);
    };
    this->server.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
            using result = httplib::Server::HandlerResponse;
            if (refusing_connection) {
                close_after_answer();
                response.status = overload_status;
                response.set_header("Connection", "close");
                if (this->options.refuse_request) {
                    this->options.refuse_request(request, response);
                }
                return result::Handled;
            }
            const bool handled =
                this->options.before_routes && this->options.before_routes(request, response);
            if (handled) {
                close_after_answer();
            }
            return handled ? result::Handled : result::Unhandled;
        });
}

absl::Status http_server::bind()
{
    int listening = -1;
    this->server.set_socket_options([&listening](int descriptor) {
        listening = descriptor;
        const int on = 1;
        // Allows bind while closed connections are in TIME_WAIT; a live listener makes it fail.
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    this->local_address = this->options.local;
    const bool any_port = this->options.local.port == 0;
    const int bound = any_port ? this->server.bind_to_any_port(this->options.local.ip)
                      : this->server.bind_to_port(this->options.local.ip, this->options.local.port)
                          ? this->options.local.port
                          : -1;
    if (bound <= 0) {
        return make_error(absl::StatusCode::kUnavailable, "listen", this->options.local.to_string(),
                          "cannot bind the address");
    }
    this->local_address.port = bound;
    // The library listens with a backlog of 5, which drops connections in a burst.
    if (::listen(listening, listen_backlog) != 0) {
        return make_error(absl::StatusCode::kUnavailable, "listen", this->options.local.to_string(),
                          "cannot increase the listen backlog");
    }
    return absl::OkStatus();
}

void http_server::start()
{
    const absl::MutexLock lock(&this->stop_mutex);
    this->accepting = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
        std::this_thread::yield();
    }
}

void http_server::stop()
{
    const absl::MutexLock lock(&this->stop_mutex);
    if (!this->accepting.joinable()) {
        return;
    }
    this->close_listener();
    this->accepting.join();
}

// The library allows only one call of its `stop`.
void http_server::close_listener()
{
    if (!std::exchange(this->listener_closed, true)) {
        this->server.stop();
    }
}

bool http_server::stop_accepting(std::chrono::steady_clock::time_point deadline)
{
    constexpr std::chrono::milliseconds poll_interval{10};
    {
        const absl::MutexLock lock(&this->stop_mutex);
        this->close_listener();
    }
    while (*this->open_connections > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    return *this->open_connections == 0;
}

} // namespace sardinestream
