#include "sardinestream/testing/standin_engine.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "sardinestream/testing/engine_tokens.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int crash_exit_code = 139;
constexpr absl::Duration longest_sleep = absl::Milliseconds(20);
constexpr char json_type[] = "application/json";
constexpr char event_stream_type[] = "text/event-stream";

void answer(httplib::Response& response, int status, const json& body)
{
    response.status = status;
    response.set_content(body.dump(), json_type);
}

bool write(httplib::DataSink& sink, const std::string& text)
{
    return sink.write(text.data(), text.size());
}

json choice_of(bool chat, const std::string& text, bool delta)
{
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (!chat) {
        choice["text"] = text;
        return choice;
    }
    json message{{"content", text}};
    if (!delta) {
        message["role"] = "assistant";
    }
    choice[delta ? "delta" : "message"] = std::move(message);
    return choice;
}

} // namespace

absl::StatusOr<std::unique_ptr<standin_engine>>
standin_engine::create(standin_engine_options options)
{
    std::unique_ptr<standin_engine> made(new standin_engine(std::move(options)));
    absl::StatusOr<std::unique_ptr<http_server>> server =
        http_server::create({.local = made->options.local, .keep_alive = absl::Seconds(1)});
    if (!server.ok()) {
        return server.status();
    }
    made->server = *std::move(server);
    made->add_routes();
    made->add_admin_routes();
    made->server->start();
    return made;
}

standin_engine::standin_engine(standin_engine_options configured)
    : options(std::move(configured)), batch(options.batch), lasting_ledger(options.ledger_file)
{
}

standin_engine::~standin_engine()
{
    this->stalled = false;
    this->server->stop();
}

void standin_engine::add_routes()
{
    httplib::Server& routes = this->server->routes();
    routes.Post("/v1/completions", [this](const auto& request, auto& response) {
        this->handle_completion(request, response, false);
    });
    routes.Post("/v1/chat/completions", [this](const auto& request, auto& response) {
        this->handle_completion(request, response, true);
    });
    routes.Post(
        R"(/orders/(load_model|load_adapter|set_version|set_role))",
        [this](const auto& request, auto& response) { this->handle_order(request, response); });
    routes.Get("/health", [](const auto&, auto& response) {
        answer(response, 200, {{"ok", true}});
    });
    routes.Get("/load", [this](const auto&, auto& response) { this->handle_load(response); });
}

void standin_engine::add_admin_routes()
{
    httplib::Server& routes = this->server->routes();
    routes.Get("/admin/ledger", [this](const auto&, auto& response) {
        answer(response, 200, this->ledger.to_json());
    });
    routes.Post("/admin/speed", [this](const auto& request, auto& response) {
        this->batch.set_speed(json::parse(request.body).at("factor").template get<double>());
        answer(response, 200, json::object());
    });
    routes.Post("/admin/stall", [this](const auto&, auto& response) {
        this->stalled = true;
        answer(response, 200, json::object());
    });
    routes.Post("/admin/unstall", [this](const auto&, auto& response) {
        this->stalled = false;
        answer(response, 200, json::object());
    });
    routes.Post("/admin/events", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body);
        const absl::MutexLock lock(&this->mutex);
        this->faults = {.duplicate_every = body.value("duplicate_every", 0),
                        .swap_every = body.value("swap_every", 0),
                        .late_every = body.value("late_every", 0),
                        .late = absl::Milliseconds(body.value("late_ms", 0))};
        answer(response, 200, json::object());
    });
}

void standin_engine::handle_completion(const httplib::Request& request, httplib::Response& response,
                                       bool chat)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer(response, 400, {{"error", "not a JSON object"}});
        return;
    }
    completion work{.id = body.value("request_id", ""),
                    .prompt = prompt_of(body),
                    .max_tokens = body.value("max_tokens", 16),
                    .resume_from = body.value("resume_from", 0),
                    .priority = body.value("priority", 1),
                    .stream = body.value("stream", false),
                    .chat = chat};
    this->lasting_ledger.append(work.id);
    if (!this->options.crash_marker.empty() &&
        absl::StrContains(work.prompt, this->options.crash_marker)) {
        _exit(crash_exit_code);
    }
    const bool resume_text_right =
        body.value("resume_text", "") == expected_text(work.prompt, 0, work.resume_from);
    work.attempt = this->ledger.start(work.id, work.prompt, work.priority, work.resume_from,
                                      resume_text_right);
    // Whole answers go through a provider as well: only there can a caller that left be noticed.
    response.set_chunked_content_provider(
        work.stream ? event_stream_type : json_type,
        [this, work = std::move(work)](std::size_t, httplib::DataSink& sink) {
            const bool finished = this->run(work, sink);
            this->ledger.end(work.attempt,
                             finished ? attempt_state::finished : attempt_state::cancelled);
            if (finished) {
                sink.done();
            }
            return finished;
        });
}

bool standin_engine::run(const completion& work, httplib::DataSink& sink)
{
    const std::unique_ptr<engine_slot> slot =
        this->batch.wait_for_slot(work.priority, [&sink] { return !sink.is_writable(); });
    if (slot == nullptr || !this->wait(this->batch.prefill_time(work.prompt), sink)) {
        return false;
    }
    if (!this->decode(work, sink)) {
        return false;
    }
    if (work.stream) {
        return write(sink, "data: [DONE]\n\n");
    }
    json choice = choice_of(work.chat, expected_text(work.prompt, 0, work.max_tokens), false);
    choice["finish_reason"] = "length";
    const json whole{{"id", work.id},
                     {"object", work.chat ? "chat.completion" : "text_completion"},
                     {"model", this->options.model},
                     {"choices", json::array({choice})},
                     {"usage", {{"completion_tokens", work.max_tokens}}}};
    return write(sink, whole.dump());
}

bool standin_engine::decode(const completion& work, httplib::DataSink& sink)
{
    for (int index = work.resume_from; index < work.max_tokens; ++index) {
        if (!this->wait(this->batch.token_time(), sink)) {
            return false;
        }
        this->ledger.token(work.attempt, index);
        if (work.stream && !this->write_events(work, index, sink)) {
            return false;
        }
    }
    return true;
}

bool standin_engine::write_events(const completion& work, int index, httplib::DataSink& sink)
{
    const event_faults faulty = this->faults_now();
    const int last = work.max_tokens - 1;
    const auto is_due = [](int every, int at) { return every > 0 && at % every == every - 1; };
    const auto write_one = [&](int at) {
        json choice = choice_of(work.chat, token_text(work.prompt, at), true);
        if (at == last) {
            choice["finish_reason"] = "length";
        }
        const json event{{"id", work.id},
                         {"object", work.chat ? "chat.completion.chunk" : "text_completion"},
                         {"model", this->options.model},
                         {"token_index", at},
                         {"choices", json::array({choice})}};
        return write(sink, absl::StrCat("data: ", event.dump(), "\n\n"));
    };
    if (is_due(faulty.late_every, index) && !this->wait(faulty.late, sink)) {
        return false;
    }
    // A swapped token goes out after its successor.
    if (is_due(faulty.swap_every, index) && index != last) {
        return true;
    }
    if (!write_one(index)) {
        return false;
    }
    if (is_due(faulty.swap_every, index - 1) && index > work.resume_from && !write_one(index - 1)) {
        return false;
    }
    return !is_due(faulty.duplicate_every, index) || write_one(index);
}

bool standin_engine::wait(absl::Duration time, httplib::DataSink& sink) const
{
    const absl::Time until = absl::Now() + time;
    while (this->stalled || absl::Now() < until) {
        if (!sink.is_writable()) {
            return false;
        }
        const absl::Duration left = until - absl::Now();
        absl::SleepFor(left > absl::ZeroDuration() ? std::min(left, longest_sleep) : longest_sleep);
    }
    return sink.is_writable();
}

standin_engine::event_faults standin_engine::faults_now() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->faults;
}

void standin_engine::handle_order(const httplib::Request& request, httplib::Response& response)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("fencing")) {
        answer(response, 400, {{"error", "fencing is missing"}});
        return;
    }
    const bool applied =
        this->ledger.order(request.matches[1].str(), body["fencing"].get<std::uint64_t>(),
                           request.body, this->options.check_fencing);
    answer(response, applied ? 200 : 409, {{"applied", applied}});
}

void standin_engine::handle_load(httplib::Response& response)
{
    const absl::MutexLock lock(&this->mutex);
    if (absl::Now() - this->load_reported_at >= this->options.load_lag) {
        this->reported_load = this->batch.load();
        this->load_reported_at = absl::Now();
    }
    answer(response, 200,
           {{"running", this->reported_load.running},
            {"waiting", this->reported_load.waiting},
            {"slots", this->options.batch.slots},
            {"prompt_tokens", this->reported_load.prompt_tokens},
            {"cached_prompt_tokens", this->reported_load.cached_prompt_tokens}});
}

} // namespace sardinestream::testing
