// Implements the HTTP routes of the platform's stand-in.

#include <algorithm>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/store/object_json.h"
#include "sardinestream/testing/platform_standin.h"
#include "sardinestream/testing/platform_standin_wire.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using platform::object;
using platform::object_change;

constexpr std::size_t largest_recorded_spec_bytes = 64U << 10;
constexpr char api_path[] = "/apis/sardinestream.dev/v1/namespaces/[^/]+/([^/]+)";

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

} // namespace

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
