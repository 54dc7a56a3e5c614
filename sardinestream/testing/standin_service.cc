#include "sardinestream/testing/standin_service.h"

#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "sardinestream/base/digest.h"

#include "absl/strings/match.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int crash_exit_code = 139;
constexpr char json_type[] = "application/json";

std::string key_of(const httplib::Request& request)
{
    const std::string run_id = request.get_header_value("x-run-id");
    return run_id.empty() ? request.get_header_value("Idempotency-Key") : run_id;
}

// Ends the connection without an answer.
void cut(httplib::Response& response)
{
    response.set_content_provider(
        1, json_type, [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace

absl::StatusOr<std::unique_ptr<standin_service>>
standin_service::create(standin_service_options options)
{
    std::unique_ptr<standin_service> made(new standin_service(std::move(options)));
    absl::StatusOr<std::unique_ptr<http_server>> server =
        http_server::create({.local = made->options.local, .keep_alive = absl::Seconds(1)});
    if (!server.ok()) {
        return server.status();
    }
    made->server = *std::move(server);
    made->add_routes();
    made->server->start();
    return made;
}

standin_service::standin_service(standin_service_options configured)
    : options(std::move(configured)), delay(options.delay), lasting_ledger(options.ledger_file)
{
}

standin_service::~standin_service()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->server->stop();
}

int standin_service::runs(const std::string& key) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->runs_by_key.find(key);
    return found == this->runs_by_key.end() ? 0 : found->second;
}

void standin_service::add_routes()
{
    httplib::Server& routes = this->server->routes();
    routes.Get("/admin/ledger", [this](const auto&, auto& response) {
        const absl::MutexLock lock(&this->mutex);
        int total = 0;
        for (const auto& [key, count] : this->runs_by_key) {
            total += count;
        }
        const json ledger{{"runs", this->runs_by_key}, {"total", total}};
        response.set_content(ledger.dump(), json_type);
    });
    routes.Post("/admin/faults", [this](const auto& request, auto& response) {
        this->set_faults(request.body);
        response.set_content("{}", json_type);
    });
    routes.Get("/health", [](const auto&, auto& response) {
        response.set_content("{\"ok\":true}", json_type);
    });
    const auto any = [this](const httplib::Request& request, httplib::Response& response) {
        this->handle(request, response);
    };
    constexpr char any_path[] = "/.*";
    routes.Get(any_path, any);
    routes.Post(any_path, any);
    routes.Put(any_path, any);
    routes.Patch(any_path, any);
    routes.Delete(any_path, any);
    routes.Options(any_path, any);
}

void standin_service::handle(const httplib::Request& request, httplib::Response& response)
{
    if (!this->options.crash_marker.empty() &&
        absl::StrContains(request.body, this->options.crash_marker)) {
        _exit(crash_exit_code);
    }
    if (this->take(&service_faults::close_before)) {
        cut(response);
        return;
    }
    const std::string key = key_of(request);
    int runs = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        runs = ++this->runs_by_key[key];
    }
    this->lasting_ledger.append(key);
    this->wait_for_delay_and_hang();
    if (this->take(&service_faults::close_after)) {
        cut(response);
        return;
    }
    const json body{{"runs", runs},
                    {"key", key},
                    {"method", request.method},
                    {"path", request.path},
                    {"body_digest", sha256_hex(request.body)}};
    response.set_content(body.dump(), json_type);
    response.status = this->take(&service_faults::fail) ? 500 : 200;
}

void standin_service::set_faults(const std::string& body)
{
    const json wanted = json::parse(body, nullptr, false);
    if (!wanted.is_object()) {
        return;
    }
    const absl::MutexLock lock(&this->mutex);
    this->delay = absl::Milliseconds(
        wanted.value("delay_ms", absl::ToInt64Milliseconds(this->options.delay)));
    this->faults = {.hang = wanted.value("hang", false),
                    .close_before = wanted.value("close_before", 0),
                    .close_after = wanted.value("close_after", 0),
                    .fail = wanted.value("fail", 0)};
}

void standin_service::wait_for_delay_and_hang()
{
    const absl::MutexLock lock(&this->mutex);
    this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), this->delay);
    const auto may_answer = [this] { return !this->faults.hang || this->stopping; };
    this->mutex.Await(absl::Condition(&may_answer));
}

bool standin_service::take(int service_faults::*fault)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->faults.*fault == 0) {
        return false;
    }
    --(this->faults.*fault);
    return true;
}

} // namespace sardinestream::testing
