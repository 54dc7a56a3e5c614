#include "sardinestream/testing/emulator/backend_emulator.h"

#include <utility>

#include "sardinestream/base/digest.h"
#include "sardinestream/testing/emulator/endless_answer.h"
#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds mute_time{20000};
// An order without an answer.
constexpr milliseconds order_silence{80};
constexpr milliseconds shortest_lateness{300};
constexpr milliseconds lateness_range{2200};
// Requests that wait beyond the slots before the server refuses.
constexpr int queue_factor = 2;

constexpr int http_ok = 200;
constexpr int http_misdirected = 421;
constexpr int http_server_error = 500;
constexpr int http_unavailable = 503;

http_headers refusal_headers(http_headers headers)
{
    headers.push_back({words::not_executed, "1"});
    return headers;
}

// Returns one event of a stream as it stands in the answer.
std::string event_text(const std::string& request_id, std::int64_t number)
{
    return absl::StrCat("id: ", event_id(number), "\ndata: ", expected_event(request_id, number),
                        "\n\n");
}

} // namespace

backend_emulator::backend_emulator(backend_options chosen, backend_hooks callbacks)
    : options(std::move(chosen)), hooks(std::move(callbacks)), own_id(options.id)
{
}

backend_emulator::~backend_emulator()
{
    this->stop();
    this->late_orders.wait_until_empty();
}

absl::Status backend_emulator::start(const std::string& id)
{
    absl::StatusOr<std::unique_ptr<connection_server>> started = connection_server::start(
        this->options.local, [this](served_connection& connection) { this->serve(connection); });
    if (!started.ok()) {
        return started.status();
    }
    if (this->options.group != nullptr && !this->is_running()) {
        this->options.group->return_rank(this->options.rank);
    }
    const absl::MutexLock lock(&this->mutex);
    this->own_id = id;
    this->born_ms = absl::ToUnixMillis(absl::Now());
    this->draining = false;
    this->says_leaving = false;
    this->held_until = {};
    this->limited_until = {};
    this->current = {};
    this->server = *std::move(started);
    return absl::OkStatus();
}

void backend_emulator::stop()
{
    std::unique_ptr<connection_server> ended;
    {
        const absl::MutexLock lock(&this->mutex);
        ended = std::move(this->server);
    }
    if (ended != nullptr && this->options.group != nullptr) {
        this->options.group->end_rank(this->options.rank);
    }
}

bool backend_emulator::is_running() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->server != nullptr;
}

void backend_emulator::set_trouble(const backend_trouble& wanted)
{
    const absl::MutexLock lock(&this->mutex);
    this->current = wanted;
}

backend_trouble backend_emulator::trouble() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->current;
}

void backend_emulator::set_draining(bool leaves)
{
    const absl::MutexLock lock(&this->mutex);
    this->draining = leaves;
}

void backend_emulator::say_leaving()
{
    const absl::MutexLock lock(&this->mutex);
    this->says_leaving = true;
}

void backend_emulator::hold_off(steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    this->held_until = until;
}

void backend_emulator::name_limit(double per_s, steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    this->limit_per_s = per_s;
    this->limited_until = until;
}

void backend_emulator::add_limit(const std::string& request_id, http_headers& headers) const
{
    double per_s = 0;
    steady_time until;
    std::string limited_id;
    {
        const absl::MutexLock lock(&this->mutex);
        per_s = this->limit_per_s;
        until = this->limited_until;
        limited_id = steady_clock::now() < this->limited_until ? this->own_id : "";
    }
    if (!limited_id.empty()) {
        headers.push_back({words::server_limit, absl::StrFormat("%.3f", per_s)});
        this->hooks.on_limit_said(request_id, limited_id, per_s, until);
    }
}

http_headers backend_emulator::answer_headers(const std::string& request_id) const
{
    http_headers headers = {{words::request_id, request_id},
                            {words::signature, sha256_hex(request_id)},
                            {"Keep-Alive", "timeout=5"}};
    std::string leaving_id;
    {
        const absl::MutexLock lock(&this->mutex);
        leaving_id = this->says_leaving ? this->own_id : "";
    }
    if (!leaving_id.empty()) {
        headers.push_back({words::server_leaving, "1"});
        this->hooks.on_leaving_said(request_id, leaving_id);
    }
    this->add_limit(request_id, headers);
    return headers;
}

bool backend_emulator::refuse_held_off(served_connection& connection, const std::string& request_id,
                                       const http_headers& headers)
{
    steady_time until{};
    {
        const absl::MutexLock lock(&this->mutex);
        until = this->held_until;
    }
    const std::chrono::duration<double> left = until - steady_clock::now();
    if (left.count() <= 0) {
        return false;
    }
    http_headers refusal = refusal_headers(headers);
    refusal.push_back({words::retry_after, absl::StrFormat("%.3f", left.count())});
    this->hooks.on_hold_off_said(request_id, this->id(), until);
    connection.answer(http_unavailable, refusal, "{}");
    return true;
}

std::string backend_emulator::id() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->own_id;
}

bool backend_emulator::happens(double share)
{
    const absl::MutexLock lock(&this->mutex);
    return std::bernoulli_distribution(share)(this->random);
}

std::size_t backend_emulator::draw_endless_kind()
{
    const absl::MutexLock lock(&this->mutex);
    return std::uniform_int_distribution<std::size_t>(0, endless_kinds - 1)(this->random);
}

json backend_emulator::entry(const address& reached_at) const
{
    const absl::MutexLock lock(&this->mutex);
    return {{"service", this->options.service},
            {"address", reached_at.to_string()},
            {"zone", this->options.data_centre},
            {"version", "1"},
            {"slots", this->options.slots},
            {"state", this->draining ? "draining" : "ready"},
            {"cold-remaining-ms", 0},
            {"born", this->born_ms}};
}

void backend_emulator::serve(served_connection& connection)
{
    emulated_request request;
    while (connection.read(request)) {
        const std::string& path = request.path();
        if (path == words::order_path) {
            this->answer_order(connection, request);
            continue;
        }
        if (path == words::report_path || path == words::counts_path) {
            this->answer_call(connection, request);
            continue;
        }
        this->hooks.on_arrival(request.header(words::request_id), this->options.service,
                               this->id());
        this->answer_request(connection, request);
    }
}

void backend_emulator::answer_call(served_connection& connection, const emulated_request& request)
{
    const rank_group* const group = this->options.group;
    if (request.path() == words::counts_path && group != nullptr) {
        const json answer = request.parameter("lists").empty() ? group->counts(this->options.rank)
                                                               : group->experts(this->options.rank);
        connection.answer(http_ok, {}, answer.dump());
        return;
    }
    json report = group == nullptr ? json::object() : group->report(this->options.rank);
    const int in_progress = this->running;
    report["running"] = std::min(in_progress, this->options.slots);
    report["waiting"] = std::max(0, in_progress - this->options.slots);
    report["pace"] = this->trouble().slowness;
    connection.answer(http_ok, {}, report.dump());
}

void backend_emulator::answer_order(served_connection& connection, const emulated_request& request)
{
    const json order = json::parse(request.body, nullptr, false);
    if (this->options.group == nullptr || !order.is_object()) {
        connection.answer(http_server_error, {}, "{}");
        return;
    }
    rank_group* const group = this->options.group;
    const int rank = this->options.rank;
    if (!this->happens(this->trouble().late_order_share)) {
        connection.answer(group->order(rank, order), {}, "{}");
        return;
    }
    milliseconds delay = shortest_lateness;
    {
        const absl::MutexLock lock(&this->mutex);
        delay += milliseconds(
            std::uniform_int_distribution<std::int64_t>(0, lateness_range.count())(this->random));
    }
    // Where no thread is left, the order is lost instead.
    static_cast<void>(this->late_orders.spawn([group, rank, order, delay] {
        std::this_thread::sleep_for(delay);
        static_cast<void>(group->order(rank, order));
    }));
    static_cast<void>(connection.work_for(order_silence));
    connection.finish();
}

begun_run backend_emulator::describe(const emulated_request& request) const
{
    begun_run run;
    run.request_id = request.header(words::request_id);
    run.server_id = this->id();
    run.service = this->options.service;
    run.method = request.head.method;
    run.target = request.head.target;
    run.body = request.body;
    run.team = request.header(words::team);
    std::int64_t last_id = 0;
    if (absl::SimpleAtoi(request.header(words::last_event_id), &last_id)) {
        run.resumed_after = event_number(last_id);
    }
    return run;
}

void backend_emulator::answer_request(served_connection& connection,
                                      const emulated_request& request)
{
    const std::string request_id = request.header(words::request_id);
    const http_headers headers = this->answer_headers(request_id);
    if (request.header(words::expected_server) != this->id()) {
        connection.answer(http_misdirected, refusal_headers(headers), "{}");
        return;
    }
    if (this->refuse_held_off(connection, request_id, headers)) {
        return;
    }
    const bool full = this->running >= this->options.slots * queue_factor;
    const bool group_broken = this->options.group != nullptr && !this->options.group->is_open();
    if (full || group_broken || this->happens(this->trouble().refusal_share)) {
        connection.answer(http_unavailable, refusal_headers(headers), "{}");
        return;
    }
    ++this->running;
    this->hooks.on_begin(this->describe(request));
    const bool is_stream = absl::StartsWith(request.head.target, "/chat/");
    const bool is_whole = is_stream ? this->run_stream(connection, request, headers)
                                    : this->run_plain(connection, request, headers);
    if (!is_whole && !this->is_running()) {
        this->hooks.on_broke_off(request_id);
    }
    this->hooks.on_end(request_id);
    --this->running;
}

bool backend_emulator::run_plain(served_connection& connection, const emulated_request& request,
                                 const http_headers& headers)
{
    const backend_trouble now = this->trouble();
    const auto work =
        std::chrono::duration_cast<milliseconds>(this->options.work_time * now.slowness);
    if (!connection.work_for(this->happens(now.mute_share) ? mute_time : work)) {
        connection.finish();
        return false;
    }
    if (this->happens(now.error_share)) {
        return connection.answer(http_server_error, headers, "{}");
    }
    if (this->happens(now.endless_share)) {
        send_endless_answer(connection, headers, this->draw_endless_kind());
        return false;
    }
    const std::string body =
        expected_answer(request.header(words::request_id), request.head.target, request.body);
    if (this->happens(now.cut_share)) {
        const answer_head head = {http_ok, "", headers, body.size()};
        connection.write(encode_answer_head(head) + body.substr(0, body.size() / 2));
        this->hooks.on_broke_off(request.header(words::request_id));
        connection.reset();
        return false;
    }
    const bool is_whole = connection.answer(http_ok, headers, body);
    if (this->happens(now.surplus_share)) {
        connection.answer(http_ok, headers, body);
    }
    return is_whole;
}

void backend_emulator::crash(served_connection& connection, const answer_head& head)
{
    static_cast<void>(connection.write(encode_answer_head(head)));
    this->hooks.on_crash();
    static_cast<void>(connection.work_for(mute_time));
    connection.reset();
}

bool backend_emulator::run_stream(served_connection& connection, const emulated_request& request,
                                  const http_headers& headers)
{
    const begun_run run = this->describe(request);
    const std::int64_t last = events_of(request.head.target);
    const milliseconds pace = pace_of(request.head.target);
    const backend_trouble now = this->trouble();
    const std::int64_t middle = (run.resumed_after + last) / 2;
    const std::int64_t cut_after = this->happens(now.cut_share) ? middle : last;
    const bool truncates = this->happens(now.truncated_event_share);
    const bool delays = this->happens(now.late_event_share);
    const bool repeats = this->happens(now.repeated_event_share);
    const bool mute = this->happens(now.mute_share);
    rank_group::stream stream(*this->options.group, this->options.rank);
    answer_head head;
    head.status = http_ok;
    head.headers = headers;
    head.headers.push_back({"Content-Type", "text/event-stream"});
    head.chunked = true;
    if (absl::StrContains(request.header(words::prompt_parts), crashing_part)) {
        this->crash(connection, head);
        return false;
    }
    std::string text = encode_answer_head(head);
    for (std::int64_t number = run.resumed_after + 1; number <= last; ++number) {
        const bool passed = stream.wait_for_pass(steady_clock::now() + this->options.stall);
        const bool alive = connection.work_for(milliseconds(0)) && (!mute || number == 1);
        if (!passed || !alive || number > cut_after) {
            // A mute server keeps the connection, the others break off.
            static_cast<void>(mute && alive && connection.work_for(mute_time));
            if (alive) {
                this->hooks.on_broke_off(run.request_id);
            }
            connection.reset();
            return false;
        }
        if (truncates && number > middle && number + 1 < last) {
            const std::string partial = event_text(run.request_id, number + 2);
            absl::StrAppend(&text, encode_chunk(absl::StrCat(
                                       event_text(run.request_id, number),
                                       event_text(run.request_id, number + 1),
                                       absl::string_view(partial).substr(0, partial.size() / 2))));
            break;
        }
        std::string event = event_text(run.request_id, number);
        if (delays && number == middle + 1 && number < last) {
            event = event_text(run.request_id, number + 1) + event;
        }
        if (repeats && number == middle + 1) {
            event += event;
        }
        absl::StrAppend(&text, encode_chunk(event));
        if (!connection.write(text)) {
            return false;
        }
        text.clear();
        if (number < last) {
            static_cast<void>(connection.work_for(pace));
        }
    }
    return connection.write(text + "0\r\n\r\n");
}

} // namespace sardinestream::testing
