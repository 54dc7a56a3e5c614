// `make demo`: the whole system once, as separate processes, with each answer printed.
//
// Starts the stand-ins of the platform, two model engines and a plain service, the agents beside
// them and two entries; then plays a caller and an operator. Exits with 0 only where every answer
// is what it should be.

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/store/object_store.h"
#include "sardinestream/testing/process.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace sardinestream::testing {
namespace {

using json = nlohmann::json;

constexpr char fleet_key[] = "demo fleet key, not a secret";
constexpr char line_staff_key[] = "demo-key-of-the-line-staff";
constexpr char order_system_key[] = "demo-key-of-the-order-system";
constexpr absl::Duration in_force_bound = absl::Seconds(16);

[[noreturn]] void fail(absl::string_view what)
{
    std::printf("FAILED: %s\n", std::string(what).c_str());
    std::exit(1);
}

void require(bool condition, absl::string_view what)
{
    if (!condition) {
        fail(what);
    }
}

// One process of the demo with the address that callers or peers use.
struct running {
    std::unique_ptr<process> handle;
    address at;
};

class demo {
public:
    void run()
    {
        this->start_fleet();
        this->show_completion();
        this->show_dispatch();
        this->show_refusal();
        this->show_edit();
        this->show_engine_orders();
        this->show_operators_view();
        std::printf("\nall steps done\n");
    }

private:
    running start(const std::string& binary, const std::string& name,
                  std::vector<std::string> flags)
    {
        process_options options;
        options.binary = binary;
        options.name = name;
        options.flags = std::move(flags);
        options.log_directory = this->logs.path();
        absl::StatusOr<std::unique_ptr<process>> started = process::start(std::move(options));
        require(started.ok(), absl::StrCat("start ", name));
        absl::StatusOr<address> at = (*started)->wait_until_listening();
        require(at.ok(), absl::StrCat(name, " did not become ready: ", (*started)->output()));
        std::printf("  %-10s %s\n", name.c_str(), at->to_string().c_str());
        return {*std::move(started), *at};
    }

    running start_agent(const std::string& id, const address& backend, const std::string& serves)
    {
        return this->start("sardine-agent", id,
                           {"--id=" + id, "--data_centre=fi/a", "--listen=127.0.0.1:0",
                            "--backend=" + backend.to_string(), "--serves=" + serves,
                            absl::StrCat("--fleet_key=", fleet_key)});
    }

    running start_entry(const std::string& id, const std::string& seeds)
    {
        return this->start("sardine-entry", id,
                           {"--id=" + id, "--data_centre=fi/a", "--listen=127.0.0.1:0",
                            "--link_listen=127.0.0.1:0",
                            "--platform=" + this->platform.at.to_string(), "--seeds=" + seeds,
                            absl::StrCat("--fleet_key=", fleet_key)});
    }

    void start_fleet()
    {
        std::printf("processes:\n");
        this->platform = this->start("standin_platform", "platform", {});
        this->engines.push_back(this->start("standin_engine", "engine-1", {"--token_us=20000"}));
        this->engines.push_back(this->start("standin_engine", "engine-2", {"--token_us=20000"}));
        this->service = this->start("standin_service", "orders", {});
        this->agents.push_back(this->start_agent("agent-1", this->engines[0].at, "assistant"));
        this->agents.push_back(this->start_agent("agent-2", this->engines[1].at, "assistant"));
        this->agents.push_back(this->start_agent("agent-3", this->service.at, "orders"));
        platform::object_store_options options;
        options.servers = {this->platform.at};
        this->store = platform::object_store::create(std::move(options)).value();
        this->create_entries();
        std::string seeds;
        for (const running& agent : this->agents) {
            absl::StrAppend(&seeds, seeds.empty() ? "" : ",", agent.at.to_string());
        }
        this->entries.push_back(this->start_entry("entry-1", seeds));
        this->entries.push_back(this->start_entry("entry-2", seeds));
        for (const running& entry : this->entries) {
            const bool ready = wait_until([&] {
                const auto answer =
                    this->call(entry, order_system_key, "GET", "/services/orders/stock", "", {});
                return answer && answer->status == 200;
            });
            require(ready, "an entry did not become ready: " + entry.handle->output());
        }
    }

    void create_entries()
    {
        const json assistant = {{"owner", "line-staff"},
                                {"service", "assistant"},
                                {"work_class", "model"},
                                {"repeat", "all"},
                                {"priority", "interactive"},
                                {"limits", {{"max_in_flight", 8}, {"requests_per_s", 50}}},
                                {"key_digests", {sha256_hex(line_staff_key)}}};
        const json orders = {{"owner", "order-system"},
                             {"service", "orders"},
                             {"work_class", "plain"},
                             {"repeat", "reads_only"},
                             {"priority", "reserved"},
                             {"limits", {{"max_in_flight", 8}, {"requests_per_s", 50}}},
                             {"key_digests", {sha256_hex(order_system_key)}}};
        for (const auto& [name, spec] : std::vector<std::pair<std::string, json>>{
                 {"line-staff-assistant", assistant}, {"order-system-orders", orders}}) {
            const auto made = this->store->create_object("catalogueentries", name, spec.dump());
            require(made.ok(), absl::StrCat("create entry: ", made.status().ToString()));
        }
    }

    static httplib::Result call(const running& entry, const std::string& key,
                                const std::string& method, const std::string& path,
                                const std::string& body, httplib::Headers headers)
    {
        httplib::Client client(entry.at.ip, entry.at.port);
        client.set_read_timeout(30);
        headers.emplace("Authorization", "Bearer " + key);
        if (method == "GET") {
            return client.Get(path, headers);
        }
        return client.Post(path, headers, body, "application/json");
    }

    void show_completion()
    {
        std::printf("\n1. a streamed completion through entry-1:\n");
        const json body = {{"model", "assistant"},
                           {"prompt", "Label wording for blackcurrant cordial, 0.5 l"},
                           {"max_tokens", 8},
                           {"stream", true}};
        const auto answer = this->call(this->entries[0], line_staff_key, "POST", "/v1/completions",
                                       body.dump(), {});
        require(answer && answer->status == 200, "completion");
        std::string text;
        for (absl::string_view line : absl::StrSplit(answer->body, '\n', absl::SkipEmpty())) {
            const json event = json::parse(line.substr(6).begin(), line.end(), nullptr, false);
            if (event.is_object() && event.contains("choices")) {
                text += event["choices"][0].value("text", "");
            }
        }
        std::printf("   HTTP %d, text: %s\n", answer->status, text.c_str());
        require(answer->body.find("[DONE]") != std::string::npos, "the stream has an explicit end");
    }

    void show_dispatch()
    {
        std::printf("\n2. one dispatch confirmation, sent through both entries with one key:\n");
        for (const running& entry : this->entries) {
            const auto answer =
                this->call(entry, order_system_key, "POST", "/services/orders/dispatch",
                           R"({"pallet": 17})", {{"Idempotency-Key", "dispatch-17"}});
            require(answer && answer->status == 200, "dispatch");
            std::printf("   %s: HTTP %d replayed=%s %s\n", entry.handle->name().c_str(),
                        answer->status, answer->has_header("Sardine-Replayed") ? "yes" : "no",
                        answer->body.c_str());
            require(json::parse(answer->body).value("runs", 0) == 1, "the dispatch ran once");
        }
    }

    void show_refusal()
    {
        std::printf("\n3. a dispatch without a key is refused before anything runs:\n");
        const auto answer = this->call(this->entries[0], order_system_key, "POST",
                                       "/services/orders/dispatch", "{}", {});
        require(answer && answer->status == 428, "refusal");
        std::printf("   HTTP %d %s\n", answer->status, answer->body.c_str());
    }

    // Sends completions until the entry's answer shows the new limit.
    static bool refuses_long_completions(const running& entry)
    {
        const json body = {{"model", "assistant"}, {"prompt", "x"}, {"max_tokens", 5}};
        const auto answer = call(entry, line_staff_key, "POST", "/v1/completions", body.dump(), {});
        return answer && answer->status == 400;
    }

    void show_edit()
    {
        std::printf("\n4. an operator lowers max_tokens to 4 in the catalogue:\n");
        const absl::Time edited = absl::Now();
        this->edit_entry([](json& spec) { spec["limits"]["max_tokens"] = 4; });
        for (const running& entry : this->entries) {
            require(wait_until([&] { return refuses_long_completions(entry); }, in_force_bound),
                    "the edit is in force");
            std::printf("   %s: in force after %d ms\n", entry.handle->name().c_str(),
                        static_cast<int>(absl::ToInt64Milliseconds(absl::Now() - edited)));
        }
    }

    // Changes the entry of the line staff by conditional update.
    void edit_entry(const std::function<void(json&)>& change)
    {
        absl::StatusOr<platform::object> current =
            this->store->get("catalogueentries", "line-staff-assistant");
        require(current.ok(), "read the entry");
        json spec = json::parse(current->spec);
        change(spec);
        require(
            this->store
                ->update("catalogueentries", "line-staff-assistant", spec.dump(), current->version)
                .ok(),
            "edit the entry");
    }

    // Returns the orders that an engine has applied, one after another.
    static std::string applied_orders(const running& engine)
    {
        httplib::Client client(engine.at.ip, engine.at.port);
        const auto answer = client.Get("/admin/ledger");
        const json ledger = answer ? json::parse(answer->body, nullptr, false) : json();
        std::string names;
        if (!ledger.is_object()) {
            return names;
        }
        for (const json& order : ledger.value("orders", json::array())) {
            absl::StrAppend(&names, names.empty() ? "" : ", ", order.value("name", ""));
        }
        return names;
    }

    void show_engine_orders()
    {
        std::printf("\n5. an operator sets the engines' version to v2 in the catalogue:\n");
        this->edit_entry([](json& spec) { spec["engine"] = {{"version", "v2"}}; });
        for (const running& engine : this->engines) {
            require(wait_until([&] {
                        return applied_orders(engine).find("set_role") != std::string::npos;
                    }),
                    "the engine got its orders");
            std::printf("   %s: %s\n", engine.handle->name().c_str(),
                        applied_orders(engine).c_str());
        }
    }

    void show_operators_view()
    {
        std::printf("\n6. what entry-1 shows its operators (/status, part of /metrics):\n");
        const std::string output = this->entries[0].handle->output();
        const std::size_t start = output.find("ops=") + 4;
        const address ops =
            parse_address(output.substr(start, output.find('\n', start) - start)).value();
        httplib::Client client(ops.ip, ops.port);
        const auto status = client.Get("/status");
        const auto metrics = client.Get("/metrics");
        require(status && metrics && status->status == 200, "status page");
        std::printf("   %s\n", status->body.c_str());
        for (absl::string_view line : absl::StrSplit(metrics->body, '\n')) {
            if (line.find("sardine_refusals_total") == 0) {
                std::printf("   %s\n", std::string(line).c_str());
            }
        }
    }

    temp_directory logs;
    std::unique_ptr<platform::object_store> store;
    running platform;
    std::vector<running> engines;
    running service;
    std::vector<running> agents;
    std::vector<running> entries;
};

} // namespace
} // namespace sardinestream::testing

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    sardinestream::testing::demo().run();
    return 0;
}
