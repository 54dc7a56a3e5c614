#include "sardinestream/testing/platform_standin.h"

#include <algorithm>
#include <utility>

#include <arpa/inet.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "sardinestream/base/error.h"
#include "sardinestream/base/thread_group.h"
#include "sardinestream/store/object_json.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using platform::object;
using platform::object_change;

constexpr char json_type[] = "application/json";
constexpr char entry_kind[] = "catalogueentries";
constexpr char instance_kind[] = "instances";
constexpr int listen_backlog = 1024;
constexpr std::size_t most_requests_per_connection = 1U << 30;
constexpr int keep_alive_s = 600;
constexpr int highest_descriptor = 4096;
constexpr std::size_t largest_recorded_spec_bytes = 64U << 10;
constexpr char api_path[] = "/apis/sardinestream.dev/v1/namespaces/[^/]+/([^/]+)";

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

void answer_failure(httplib::Response& response, int http_status, absl::string_view reason)
{
    response.status = http_status;
    response.set_content(platform::format_error(http_status, reason), json_type);
}

void answer(httplib::Response& response, const absl::StatusOr<object>& result)
{
    switch (result.status().code()) {
    case absl::StatusCode::kOk:
        response.status = 200;
        response.set_content(platform::format_object(*result), json_type);
        return;
    case absl::StatusCode::kNotFound:
        return answer_failure(response, 404, "NotFound");
    case absl::StatusCode::kAlreadyExists:
        return answer_failure(response, 409, "AlreadyExists");
    case absl::StatusCode::kAborted:
        return answer_failure(response, 409, "Conflict");
    case absl::StatusCode::kResourceExhausted:
        return answer_failure(response, 413, "RequestEntityTooLarge");
    default:
        return answer_failure(response, 422, "Invalid");
    }
}

std::int64_t number_parameter(const httplib::Request& request, const char* name)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(request.get_param_value(name), &number) ? number : 0;
}

outage_mode parse_outage(const std::string& text)
{
    if (text == "drop") {
        return outage_mode::drop;
    }
    if (text == "hang") {
        return outage_mode::hang;
    }
    return text == "refuse" ? outage_mode::refuse : outage_mode::none;
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

void platform_standin::serve_list(const httplib::Request& request, httplib::Response& response)
{
    if (request.has_param("watch")) {
        return this->serve_watch(request, response);
    }
    const std::string kind = request.matches[1];
    response.set_content(platform::format_object_list(kind, this->objects.list(kind)), json_type);
}

void platform_standin::serve_watch(const httplib::Request& request, httplib::Response& response)
{
    const std::string kind = request.matches[1];
    auto version = static_cast<std::uint64_t>(number_parameter(request, "resourceVersion"));
    const absl::Time deadline =
        absl::Now() + absl::Seconds(number_parameter(request, "timeoutSeconds"));
    if (absl::IsOutOfRange(
            this->objects.changes_after(kind, version, absl::InfinitePast()).status())) {
        return answer_failure(response, 410, "Expired");
    }
    response.set_chunked_content_provider(
        json_type,
        [this, kind, version, deadline](std::size_t /*offset*/, httplib::DataSink& sink) mutable {
            // Waits in short turns, to notice an outage and a watcher that has gone.
            constexpr absl::Duration turn = absl::Milliseconds(100);
            const absl::StatusOr<std::vector<object_change>> changes =
                this->objects.changes_after(kind, version, std::min(deadline, absl::Now() + turn));
            if (!changes.ok()) {
                const std::string line = R"({"type":"ERROR","object":{"code":410}})"
                                         "\n";
                sink.write(line.data(), line.size());
                sink.done();
                return true;
            }
            {
                const absl::MutexLock lock(&this->mutex);
                if (this->stopping || this->outage == outage_mode::drop) {
                    return false;
                }
                if (this->outage != outage_mode::none) {
                    const auto is_over = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                        return this->stopping || this->outage == outage_mode::none;
                    };
                    this->mutex.Await(absl::Condition(&is_over));
                    return false;
                }
            }
            for (const object_change& change : *changes) {
                const std::string line = platform::format_change(change) + "\n";
                if (!sink.write(line.data(), line.size())) {
                    return false;
                }
                version = change.changed.version;
            }
            if (absl::Now() >= deadline) {
                sink.done();
                return true;
            }
            return sink.is_writable();
        });
}

void platform_standin::add_api_routes()
{
    const std::string collection = api_path;
    const std::string one = absl::StrCat(api_path, "/([^/]+)");
    const auto after = [this](auto serve) {
        return [this, serve](const httplib::Request& request, httplib::Response& response) {
            serve(request, response);
            this->apply_fault_after(request);
        };
    };
    this->server->Get(collection,
                      [this](const httplib::Request& request, httplib::Response& response) {
                          this->serve_list(request, response);
                      });
    this->server->Get(
        one, after([this](const httplib::Request& request, httplib::Response& response) {
            answer(response, this->objects.get(request.matches[1].str(), request.matches[2].str()));
        }));
    this->server->Post(
        collection, after([this](const httplib::Request& request, httplib::Response& response) {
            const std::string kind = request.matches[1];
            const absl::StatusOr<object> sent = platform::parse_object(kind, request.body);
            answer(response, sent.ok() ? this->objects.create(kind, sent->name, sent->spec) : sent);
        }));
    this->server->Put(
        one, after([this](const httplib::Request& request, httplib::Response& response) {
            const std::string kind = request.matches[1];
            const std::string name = request.matches[2];
            const absl::StatusOr<object> sent = platform::parse_object(kind, request.body);
            if (!sent.ok() || sent->version == 0) {
                return answer_failure(response, 422, "Invalid");
            }
            answer(response, this->objects.update(kind, name, sent->spec, sent->version));
        }));
    this->server->Patch(absl::StrCat(one, "/status"),
                        after([this](const httplib::Request& request, httplib::Response& response) {
                            const std::string kind = request.matches[1];
                            const std::string name = request.matches[2];
                            const json patch = json::parse(request.body, nullptr, false);
                            const absl::StatusOr<object> current = this->objects.get(kind, name);
                            if (!current.ok() || !patch.is_object() || !patch.contains("status")) {
                                return answer(response, current);
                            }
                            json status = json::parse(current->status, nullptr, false);
                            status.merge_patch(patch["status"]);
                            answer(response,
                                   this->objects.update_status(kind, name, status.dump()));
                        }));
    this->server->Delete(
        one, after([this](const httplib::Request& request, httplib::Response& response) {
            const std::string kind = request.matches[1];
            const std::string name = request.matches[2];
            const absl::StatusOr<object> current = this->objects.get(kind, name);
            const absl::Status removed = this->objects.remove(kind, name);
            answer(response, removed.ok() ? current : removed);
        }));
}

void platform_standin::add_admin_routes()
{
    const auto done = [](httplib::Response& response) { response.set_content("{}", json_type); };
    this->server->Post("/admin/outage",
                       [=, this](const httplib::Request& request, httplib::Response& response) {
                           this->set_outage(parse_outage(request.get_param_value("mode")));
                           done(response);
                       });
    this->server->Post(
        "/admin/slow", [=, this](const httplib::Request& request, httplib::Response& response) {
            this->set_delay(absl::Milliseconds(number_parameter(request, "delay_ms")));
            done(response);
        });
    this->server->Post(
        "/admin/lose", [=, this](const httplib::Request& request, httplib::Response& response) {
            this->lose_answers(request.get_param_value("method"), request.get_param_value("kind"),
                               static_cast<int>(number_parameter(request, "count")));
            done(response);
        });
    this->server->Post("/admin/compact",
                       [=, this](const httplib::Request&, httplib::Response& response) {
                           this->objects.compact();
                           done(response);
                       });
    this->server->Post("/admin/instance_lag", [=, this](const httplib::Request& request,
                                                        httplib::Response& response) {
        this->set_instance_lag(absl::Milliseconds(number_parameter(request, "lag_ms")));
        done(response);
    });
    this->server->Post("/admin/instances/([^/]+)",
                       [=, this](const httplib::Request& request, httplib::Response& response) {
                           this->change_instance(request.matches[1].str(), request.body);
                           done(response);
                       });
    this->server->Delete("/admin/instances/([^/]+)",
                         [=, this](const httplib::Request& request, httplib::Response& response) {
                             this->change_instance(request.matches[1].str(), "");
                             done(response);
                         });
    this->server->Post("/admin/entries/([^/]+)",
                       [=, this](const httplib::Request& request, httplib::Response& response) {
                           this->put_entry(request.matches[1].str(), request.body);
                           done(response);
                       });
    this->server->Delete("/admin/entries/([^/]+)", [=, this](const httplib::Request& request,
                                                             httplib::Response& response) {
        this->objects.remove(entry_kind, request.matches[1].str()).IgnoreError();
        done(response);
    });
    this->server->Get(
        "/admin/ledger", [this](const httplib::Request& request, httplib::Response& response) {
            response.set_content(this->ledger_json(request.get_param_value("kind")), json_type);
        });
    this->server->Get("/admin/counts",
                      [this](const httplib::Request&, httplib::Response& response) {
                          response.set_content(json(this->call_counts()).dump(), json_type);
                      });
}

std::string platform_standin::ledger_json(const std::string& kind) const
{
    json changes = json::array();
    for (const recorded_change& change : this->objects.ledger()) {
        if (!kind.empty() && change.changed.kind != kind) {
            continue;
        }
        json one = {{"version", change.version},
                    {"method", change.method},
                    {"kind", change.changed.kind},
                    {"name", change.changed.name},
                    {"generation", change.changed.generation},
                    {"time_ms", absl::ToUnixMillis(change.time)}};
        if (change.changed.spec.size() <= largest_recorded_spec_bytes) {
            one["spec"] = json::parse(change.changed.spec, nullptr, false);
            one["status"] = json::parse(change.changed.status, nullptr, false);
        }
        changes.push_back(std::move(one));
    }
    return changes.dump();
}

} // namespace sardinestream::testing
