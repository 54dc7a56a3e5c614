#include "sardinestream/base/ops_server.h"

#include <utility>

#include "sardinestream/base/http_server.h"
#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

constexpr int http_unavailable = 503;
constexpr char text_type[] = "text/plain";
constexpr char json_type[] = "application/json";

} // namespace

absl::StatusOr<std::unique_ptr<ops_server>> ops_server::create(const address& local,
                                                               ops_hooks hooks)
{
    http_server_options options;
    options.local = local;
    absl::StatusOr<std::unique_ptr<http_server>> http = http_server::create(std::move(options));
    if (!http.ok()) {
        return http.status();
    }
    std::unique_ptr<ops_server> made(new ops_server(std::move(hooks)));
    made->http = *std::move(http);
    made->add_routes();
    made->http->start();
    return made;
}

ops_server::ops_server(ops_hooks callbacks) : hooks(std::move(callbacks)) {}

ops_server::~ops_server() = default;

const address& ops_server::local() const
{
    return this->http->local();
}

void ops_server::add_routes()
{
    httplib::Server& routes = this->http->routes();
    routes.Get("/healthz", [](const httplib::Request&, httplib::Response& answer) {
        answer.set_content("ok\n", text_type);
    });
    routes.Get("/readyz", [this](const httplib::Request&, httplib::Response& answer) {
        const bool ready = !this->hooks.is_ready || this->hooks.is_ready();
        answer.status = ready ? answer.status : http_unavailable;
        answer.set_content(ready ? "ready\n" : "not_ready\n", text_type);
    });
    routes.Get("/metrics", [this](const httplib::Request&, httplib::Response& answer) {
        if (this->hooks.update_gauges) {
            this->hooks.update_gauges();
        }
        answer.set_content(render_metrics(), "text/plain; version=0.0.4");
    });
    routes.Get("/status", [this](const httplib::Request&, httplib::Response& answer) {
        answer.set_content(this->hooks.status_json ? this->hooks.status_json() : "{}", json_type);
    });
    routes.Get("/", [this](const httplib::Request&, httplib::Response& answer) {
        answer.set_content(this->hooks.status_html ? this->hooks.status_html() : "", "text/html");
    });
}

} // namespace sardinestream
