// Implements `object_store` over HTTP and JSON with the conventions of the Kubernetes API.

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include <httplib.h>

#include "sardinestream/base/bounded_body.h"
#include "sardinestream/base/error.h"
#include "sardinestream/base/http_status.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"
#include "sardinestream/base/percent_encoding.h"
#include "sardinestream/store/object_json.h"
#include "sardinestream/store/object_store.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::platform {
namespace {

constexpr char json_type[] = "application/json";
constexpr char merge_patch_type[] = "application/merge-patch+json";
constexpr absl::Duration max_connect_timeout = absl::Seconds(1);
// How long after the requested duration a watch may end before its connection is considered lost.
constexpr absl::Duration watch_grace = absl::Seconds(2);
constexpr std::size_t max_idle_connections = 16;
// Limit on an answer, and on a line of a watch.
constexpr std::size_t max_answer_bytes = 8 << 20;
// Limit on the answers that a list of several pages consists of.
constexpr std::size_t max_list_bytes = 64 << 20;

bool is_read(const httplib::Request& request)
{
    return request.method == "GET";
}

// Returns true for errors that occur before any byte of the request is sent.
bool is_unsent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

absl::StatusCode status_code_for(const httplib::Response& answer, bool read)
{
    if (!is_final_status(answer.status)) {
        return read ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown;
    }
    const bool already_exists = parse_error_reason(answer.body) == "AlreadyExists";
    switch (answer.status) {
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return already_exists ? absl::StatusCode::kAlreadyExists : absl::StatusCode::kAborted;
    case 410:
        return absl::StatusCode::kOutOfRange;
    case 413:
        return absl::StatusCode::kResourceExhausted;
    case 429:
        return absl::StatusCode::kUnavailable;
    default:
        break;
    }
    if (answer.status < 500) {
        return absl::StatusCode::kInvalidArgument;
    }
    // A gateway also responds with 502 to 504 after it has forwarded a request and lost the
    // response, so a change may have taken effect.
    return read ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown;
}

bool is_success(int http_status)
{
    return http_status >= 200 && http_status < 300;
}

// Splits the chunks of a watch response into lines.
class line_reader {
public:
    // Calls `on_line` for each complete line until it returns false; returns its last result, or
    // false if a line is too long.
    bool append(absl::string_view chunk, const std::function<bool(absl::string_view)>& on_line)
    {
        if (this->pending.size() + chunk.size() > max_answer_bytes) {
            return false;
        }
        this->pending.append(chunk.data(), chunk.size());
        std::size_t begin = 0;
        bool wanted = true;
        while (wanted) {
            const std::size_t end = this->pending.find('\n', begin);
            if (end == std::string::npos) {
                break;
            }
            wanted = on_line(absl::string_view(this->pending).substr(begin, end - begin));
            begin = end + 1;
        }
        this->pending.erase(0, begin);
        return wanted;
    }

private:
    std::string pending;
};

class http_object_store : public object_store {
public:
    explicit http_object_store(object_store_options options)
        : settings(std::move(options)), idle(this->settings.servers.size())
    {
    }

    absl::StatusOr<object> get(absl::string_view kind, absl::string_view name) override
    {
        return this->call_for_object(
            kind, make_request("GET", this->path_of(kind, name), {}, json_type), "store_get");
    }

    absl::StatusOr<object_list> list(absl::string_view kind) override
    {
        std::size_t bytes = 0;
        absl::StatusOr<object_list> all = this->list_page(kind, "", bytes);
        while (all.ok() && !all->continuation.empty()) {
            absl::StatusOr<object_list> page = this->list_page(kind, all->continuation, bytes);
            if (!page.ok()) {
                return page.status();
            }
            if (page->continuation == all->continuation || bytes > max_list_bytes) {
                return make_error(absl::StatusCode::kDataLoss, "store_list", "platform",
                                  "the list does not end");
            }
            std::move(page->objects.begin(), page->objects.end(), std::back_inserter(all->objects));
            all->continuation = std::move(page->continuation);
        }
        return all;
    }

    absl::StatusOr<object> create_object(absl::string_view kind, absl::string_view name,
                                         absl::string_view spec) override
    {
        return this->call_for_object(
            kind,
            make_request("POST", this->path_of(kind), body_of(kind, name, spec, 0), json_type),
            "store_create");
    }

    absl::StatusOr<object> update(absl::string_view kind, absl::string_view name,
                                  absl::string_view spec, std::uint64_t version) override
    {
        return this->call_for_object(kind,
                                     make_request("PUT", this->path_of(kind, name),
                                                  body_of(kind, name, spec, version), json_type),
                                     "store_update");
    }

    absl::Status update_status(absl::string_view kind, absl::string_view name,
                               absl::string_view status) override
    {
        return this
            ->call(make_request("PATCH", absl::StrCat(this->path_of(kind, name), "/status"),
                                absl::StrCat("{\"status\":", status, "}"), merge_patch_type),
                   "store_update_status")
            .status();
    }

    absl::Status remove(absl::string_view kind, absl::string_view name) override
    {
        return this
            ->call(make_request("DELETE", this->path_of(kind, name), {}, json_type), "store_remove")
            .status();
    }

    absl::Status watch(absl::string_view kind, std::uint64_t version, absl::Duration longest,
                       const std::function<bool(const object_change&)>& on_change) override;

    void cancel_watches() override
    {
        const absl::MutexLock lock(&this->mutex);
        this->watches_cancelled = true;
        for (httplib::Client* watching : this->watchers) {
            watching->stop();
        }
    }

private:
    using client_pointer = std::unique_ptr<httplib::Client>;

    static httplib::Request make_request(const std::string& method, const std::string& path,
                                         std::string body, const std::string& type)
    {
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = std::move(body);
        request.set_header("Content-Type", type);
        return request;
    }

    static std::string body_of(absl::string_view kind, absl::string_view name,
                               absl::string_view spec, std::uint64_t version)
    {
        object written;
        written.kind = std::string(kind);
        written.name = std::string(name);
        written.spec = std::string(spec);
        written.version = version;
        return format_object(written);
    }

    std::string path_of(absl::string_view kind) const
    {
        return absl::StrCat("/apis/sardinestream.dev/v1/namespaces/", this->settings.name_space,
                            "/", kind);
    }

    // The client library keeps the escapes.
    std::string path_of(absl::string_view kind, absl::string_view name) const
    {
        return absl::StrCat(this->path_of(kind), "/", percent_encode(name));
    }

    // Adds the length of the answer to `bytes`.
    absl::StatusOr<object_list> list_page(absl::string_view kind, absl::string_view continuation,
                                          std::size_t& bytes)
    {
        const std::string query =
            continuation.empty() ? "" : absl::StrCat("?continue=", percent_encode(continuation));
        absl::StatusOr<std::string> body = this->call(
            make_request("GET", this->path_of(kind) + query, {}, json_type), "store_list");
        if (!body.ok()) {
            return body.status();
        }
        bytes += body->size();
        return parse_object_list(kind, *body);
    }

    client_pointer make_client(std::size_t server) const
    {
        const address& remote = this->settings.servers[server];
        auto client = std::make_unique<httplib::Client>(remote.ip, remote.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(
            absl::ToChronoMicroseconds(std::min(max_connect_timeout, this->settings.timeout)));
        client->set_read_timeout(absl::ToChronoMicroseconds(this->settings.timeout));
        client->set_write_timeout(absl::ToChronoMicroseconds(this->settings.timeout));
        return client;
    }

    client_pointer take_client(std::size_t server)
    {
        {
            const absl::MutexLock lock(&this->mutex);
            std::vector<client_pointer>& pool = this->idle[server];
            if (!pool.empty()) {
                client_pointer taken = std::move(pool.back());
                pool.pop_back();
                return taken;
            }
        }
        return this->make_client(server);
    }

    void return_client(std::size_t server, client_pointer client)
    {
        const absl::MutexLock lock(&this->mutex);
        std::vector<client_pointer>& pool = this->idle[server];
        if (pool.size() < max_idle_connections) {
            pool.push_back(std::move(client));
        }
    }

    // Returns the servers in the order in which to try them: the last one that responded comes
    // first.
    std::vector<std::size_t> servers_by_preference() const
    {
        const absl::MutexLock lock(&this->mutex);
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < this->settings.servers.size(); ++i) {
            order.push_back((this->preferred + i) % this->settings.servers.size());
        }
        return order;
    }

    void prefer(std::size_t server)
    {
        const absl::MutexLock lock(&this->mutex);
        this->preferred = server;
    }

    absl::StatusOr<std::string> call(const httplib::Request& request, absl::string_view step);

    absl::StatusOr<object> call_for_object(absl::string_view kind, const httplib::Request& request,
                                           absl::string_view step)
    {
        absl::StatusOr<std::string> body = this->call(request, step);
        return body.ok() ? parse_object(kind, *body) : body.status();
    }

    absl::Status watch_on(std::size_t server, const httplib::Request& request,
                          absl::Duration longest);

    const object_store_options settings;
    mutable absl::Mutex mutex;
    // For each server, the connections that are not in use.
    std::vector<std::vector<client_pointer>> idle ABSL_GUARDED_BY(mutex);
    std::size_t preferred ABSL_GUARDED_BY(mutex) = 0;
    std::set<httplib::Client*> watchers ABSL_GUARDED_BY(mutex);
    bool watches_cancelled ABSL_GUARDED_BY(mutex) = false;
};

absl::StatusOr<std::string> http_object_store::call(const httplib::Request& request,
                                                    absl::string_view step)
{
    const bool read = is_read(request);
    absl::Status failure;
    for (const std::size_t server : this->servers_by_preference()) {
        const std::string peer = this->settings.servers[server].to_string();
        client_pointer client = this->take_client(server);
        bounded_body body(max_answer_bytes);
        httplib::Request bounded = request;
        bounded.content_receiver = body.receiver();
        httplib::Result result = client->send(bounded);
        if (result) {
            result->body = body.take();
            this->prefer(server);
            this->return_client(server, std::move(client));
            count("sardine_store_calls_total", {{"step", std::string(step)}});
            if (is_success(result->status)) {
                return std::move(result->body);
            }
            return make_error(status_code_for(*result, read), step, peer,
                              absl::StrCat("status ", result->status));
        }
        count("sardine_store_failures_total",
              {{"step", std::string(step)}, {"cause", httplib::to_string(result.error())}});
        const bool retryable = read || is_unsent(result.error());
        failure =
            make_error(retryable ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown,
                       step, peer, httplib::to_string(result.error()));
        // A change is never sent to a second server once any bytes of it may have been sent.
        if (!retryable) {
            return failure;
        }
    }
    return failure;
}

absl::Status http_object_store::watch_on(std::size_t server, const httplib::Request& request,
                                         absl::Duration longest)
{
    const std::string peer = this->settings.servers[server].to_string();
    client_pointer client = this->make_client(server);
    client->set_read_timeout(absl::ToChronoMicroseconds(longest + watch_grace));
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->watches_cancelled) {
            return make_error(absl::StatusCode::kCancelled, "store_watch", peer, "shutting down");
        }
        this->watchers.insert(client.get());
    }
    count("sardine_store_calls_total", {{"step", "store_watch"}});
    const httplib::Result result = client->send(request);
    const absl::MutexLock lock(&this->mutex);
    this->watchers.erase(client.get());
    if (this->watches_cancelled) {
        return make_error(absl::StatusCode::kCancelled, "store_watch", peer, "shutting down");
    }
    if (!result) {
        return make_error(absl::StatusCode::kUnavailable, "store_watch", peer,
                          httplib::to_string(result.error()));
    }
    if (!is_success(result->status)) {
        return make_error(status_code_for(*result, true), "store_watch", peer,
                          absl::StrCat("status ", result->status));
    }
    return absl::OkStatus();
}

absl::Status http_object_store::watch(absl::string_view kind, std::uint64_t version,
                                      absl::Duration longest,
                                      const std::function<bool(const object_change&)>& on_change)
{
    const std::int64_t seconds =
        std::max<std::int64_t>(1, absl::ToInt64Seconds(absl::Ceil(longest, absl::Seconds(1))));
    httplib::Request request =
        make_request("GET",
                     absl::StrCat(this->path_of(kind), "?watch=1&resourceVersion=", version,
                                  "&timeoutSeconds=", seconds),
                     {}, json_type);
    line_reader lines;
    absl::Status line_status;
    bool ended_by_caller = false;
    bool delivered = false;
    const auto on_line = [&](absl::string_view line) {
        if (line.empty()) {
            return true;
        }
        absl::StatusOr<object_change> change = parse_change(kind, line);
        if (absl::IsInternal(change.status())) {
            log_failure("object_unreadable", change.status(), {{"kind", kind}});
            return true;
        }
        if (!change.ok()) {
            line_status = change.status();
            return false;
        }
        delivered = true;
        ended_by_caller = !on_change(*change);
        return !ended_by_caller;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t /*offset*/,
                                   std::uint64_t /*total*/) {
        return lines.append(absl::string_view(data, size), on_line);
    };
    absl::Status failure;
    for (const std::size_t server : this->servers_by_preference()) {
        failure = this->watch_on(server, request, absl::Seconds(seconds));
        if (ended_by_caller) {
            return absl::OkStatus();
        }
        if (!line_status.ok()) {
            return line_status;
        }
        // After a delivery, another server would deliver the same changes again.
        if (delivered || !absl::IsUnavailable(failure)) {
            return failure;
        }
    }
    return failure;
}

} // namespace

absl::StatusOr<std::unique_ptr<object_store>> object_store::create(object_store_options options)
{
    if (options.servers.empty()) {
        return make_error(absl::StatusCode::kInvalidArgument, "store_create", "platform",
                          "no server address is configured");
    }
    return std::make_unique<http_object_store>(std::move(options));
}

} // namespace sardinestream::platform
