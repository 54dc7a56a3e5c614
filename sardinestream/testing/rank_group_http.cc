#include "sardinestream/testing/rank_group_http.h"

#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;

constexpr int threads_per_rank = 8;
constexpr char json_type[] = "application/json";

engine_order order_from(const json& body)
{
    engine_order order;
    order.fencing_number = body.at("fencing_number").get<std::uint64_t>();
    order.group_incarnation = body.at("group_incarnation").get<std::uint64_t>();
    if (!body.contains("map")) {
        return order;
    }
    order.map.epoch = body.at("map").at("epoch").get<std::uint64_t>();
    order.map.ranks = body.at("map").at("ranks").get<std::vector<std::uint16_t>>();
    order.map.digest = body.at("digest").get<std::string>();
    order.map.json = body.at("map").dump();
    order.map.proposal_id = body.value("proposal_id", std::uint64_t{0});
    order.map.from_step = body.value("from_step", std::uint64_t{0});
    return order;
}

json to_json(const engine_placement& map)
{
    return {{"epoch", map.epoch}, {"proposal_id", map.proposal_id}, {"from_step", map.from_step}};
}

std::string state_json(const engine_snapshot& seen)
{
    json state{{"engine_incarnation", seen.engine_incarnation},
               {"group_incarnation", seen.group_incarnation},
               {"step", seen.step},
               {"step_started", seen.step_started},
               {"map", to_json(seen.current)},
               {"staged_digest", seen.staged_digest},
               {"due", nullptr},
               {"hold", nullptr}};
    if (seen.due.has_value()) {
        state["due"] = to_json(*seen.due);
    }
    if (seen.hold.has_value()) {
        state["hold"] = {{"step", seen.hold->step}, {"token", seen.hold->token}};
    }
    return state.dump();
}

std::string load_json(const engine_snapshot& seen)
{
    return json{{"step", seen.step},
                {"tokens", seen.tokens},
                {"busy_us", seen.busy_us},
                {"step_us", seen.step_us}}
        .dump();
}

std::string ledger_json(const rank_ledger& ledger)
{
    json all = json::array();
    for (const auto& rank : ledger) {
        json segments = json::array();
        for (const ledger_segment& segment : rank) {
            segments.push_back({{"group_incarnation", segment.group_incarnation},
                                {"first_step", segment.first_step},
                                {"last_step", segment.last_step},
                                {"epoch", segment.epoch},
                                {"digest", segment.digest}});
        }
        all.push_back(std::move(segments));
    }
    json result{{"ranks", std::move(all)}, {"split", nullptr}};
    if (const auto split = find_split_step(ledger)) {
        result["split"] = {{"group_incarnation", split->first}, {"step", split->second}};
    }
    return result.dump();
}

std::string stats_json(const rank_group_stats& stats)
{
    return json{{"steps", stats.steps},
                {"step_us", stats.step_us},
                {"mean_busy_us", stats.mean_busy_us},
                {"experts_fetched", stats.experts_fetched},
                {"held_us", stats.held_us},
                {"refused_orders", stats.refused_orders}}
        .dump();
}

int http_status_of(const absl::Status& status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return 200;
    case absl::StatusCode::kFailedPrecondition:
        return 409;
    case absl::StatusCode::kUnavailable:
        return 503;
    default:
        return 400;
    }
}

void answer(httplib::Response& response, const absl::Status& status)
{
    response.status = http_status_of(status);
    response.set_content(json{{"code", std::string(status.message())}}.dump(), json_type);
}

// Cuts the connection in the middle of the answer.
void cut_answer(httplib::Response& response)
{
    response.set_content_provider(
        1, json_type, [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

order_fault_kind fault_kind_from(const std::string& name)
{
    if (name == "lose_answer") {
        return order_fault_kind::lose_answer;
    }
    if (name == "delay") {
        return order_fault_kind::delay;
    }
    return name == "drop" ? order_fault_kind::drop : order_fault_kind::none;
}

} // namespace

absl::StatusOr<std::unique_ptr<rank_group_server>>
rank_group_server::create(const rank_group_options& options, const std::string& ip, int first_port)
{
    std::unique_ptr<rank_group_server> made(new rank_group_server(options, ip));
    for (int rank = 0; rank < options.ranks; ++rank) {
        absl::Status status =
            made->listen(made->make_engine_server(rank), first_port == 0 ? 0 : first_port + rank);
        if (!status.ok()) {
            return status;
        }
    }
    absl::Status status =
        made->listen(made->make_admin_server(), first_port == 0 ? 0 : first_port + options.ranks);
    if (!status.ok()) {
        return status;
    }
    return made;
}

rank_group_server::rank_group_server(const rank_group_options& options, std::string local_ip)
    : ip(std::move(local_ip)), group(options)
{
}

rank_group_server::~rank_group_server()
{
    for (const auto& server : this->servers) {
        server->stop();
    }
    for (std::thread& thread : this->threads) {
        thread.join();
    }
}

absl::Status rank_group_server::listen(std::unique_ptr<httplib::Server> server, int port)
{
    server->new_task_queue = [] { return new httplib::ThreadPool(threads_per_rank); };
    server->set_tcp_nodelay(true);
    server->set_keep_alive_max_count(1'000'000);
    if (port == 0) {
        port = server->bind_to_any_port(this->ip.c_str());
    }
    else if (!server->bind_to_port(this->ip.c_str(), port)) {
        port = -1;
    }
    if (port <= 0) {
        return absl::UnavailableError("cannot listen");
    }
    this->ports.push_back(port);
    this->threads.emplace_back([listening = server.get()] { listening->listen_after_bind(); });
    while (!server->is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    this->servers.push_back(std::move(server));
    return absl::OkStatus();
}

std::unique_ptr<httplib::Server> rank_group_server::make_engine_server(int rank)
{
    auto server = std::make_unique<httplib::Server>();
    const auto serve_read = [this, rank](std::string (*render)(const engine_snapshot&)) {
        return [this, rank, render](const httplib::Request&, httplib::Response& response) {
            const absl::StatusOr<engine_snapshot> seen = this->group.read(rank);
            if (!seen.ok()) {
                answer(response, seen.status());
                return;
            }
            response.set_content(render(*seen), json_type);
        };
    };
    server->Get("/v1/rank/state", serve_read(&state_json));
    server->Get("/v1/rank/load", serve_read(&load_json));
    server->Get("/v1/rank/map",
                serve_read([](const engine_snapshot& seen) { return seen.current.json; }));
    for (const char* order : {"stage", "hold", "map", "release", "join"}) {
        server->Post(
            absl::StrCat("/v1/rank/", order),
            [this, rank, order](const httplib::Request& request, httplib::Response& response) {
                this->serve_order(rank, order, request, response);
            });
    }
    return server;
}

void rank_group_server::serve_order(int rank, const std::string& order,
                                    const httplib::Request& request, httplib::Response& response)
{
    const order_fault fault = this->take_fault(rank, order);
    if (fault.kind == order_fault_kind::drop) {
        answer(response, absl::UnavailableError("fault"));
        return;
    }
    if (fault.kind == order_fault_kind::delay) {
        absl::SleepFor(fault.delay);
    }
    const absl::Status status = this->run_order(rank, order, request.body);
    if (fault.kind == order_fault_kind::lose_answer) {
        cut_answer(response);
        return;
    }
    answer(response, status);
}

absl::Status rank_group_server::run_order(int rank, const std::string& order,
                                          const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    try {
        if (order == "release") {
            return this->group.release(rank, parsed.at("token").get<std::string>());
        }
        const engine_order requested = order_from(parsed);
        if (order == "stage") {
            return this->group.stage(rank, requested);
        }
        if (order == "hold") {
            return this->group.set_hold(
                rank, requested,
                {parsed.at("step").get<std::uint64_t>(), parsed.at("token").get<std::string>()});
        }
        return order == "map" ? this->group.apply_map(rank, requested)
                              : this->group.join(rank, requested);
    }
    catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

void rank_group_server::arm(int rank, const std::string& order, const order_fault& fault)
{
    const absl::MutexLock lock(&this->mutex);
    this->faults[{rank, order}] = fault;
}

order_fault rank_group_server::take_fault(int rank, const std::string& order)
{
    const absl::MutexLock lock(&this->mutex);
    auto found = this->faults.find({rank, order});
    if (found == this->faults.end()) {
        return {};
    }
    const order_fault fault = found->second;
    if (--found->second.times <= 0) {
        this->faults.erase(found);
    }
    return fault;
}

std::unique_ptr<httplib::Server> rank_group_server::make_admin_server()
{
    auto server = std::make_unique<httplib::Server>();
    server->Get("/ledger", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(ledger_json(this->group.ledger()), json_type);
    });
    server->Get("/stats", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(stats_json(this->group.stats()), json_type);
    });
    server->Get("/ports", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(json(this->ports).dump(), json_type);
    });
    server->Post("/fault", [this](const httplib::Request& request, httplib::Response& response) {
        answer(response, this->run_admin(request.body));
    });
    return server;
}

absl::Status rank_group_server::run_admin(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    try {
        const int rank = parsed.at("rank").get<int>();
        const auto fault = parsed.at("fault").get<std::string>();
        if (rank < 0 || rank >= this->group.ranks()) {
            return absl::InvalidArgumentError("no such rank");
        }
        if (fault == "stall" || fault == "wake") {
            this->group.stall(rank, fault == "stall");
            return absl::OkStatus();
        }
        if (fault == "kill") {
            this->group.kill(rank);
            return absl::OkStatus();
        }
        if (fault == "start") {
            this->group.start_again(rank);
            return absl::OkStatus();
        }
        if (fault == "slow") {
            this->group.slow_down(rank, parsed.at("factor").get<double>());
            return absl::OkStatus();
        }
        this->arm(rank, parsed.at("order").get<std::string>(),
                  {fault_kind_from(fault), parsed.value("times", 1),
                   absl::Milliseconds(parsed.value("delay_ms", 0))});
        return absl::OkStatus();
    }
    catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace sardinestream::testing
