// Fixture of tests that run the programs of the users' platform as processes, with a store that
// this test emulates. Machines have addresses of a loopback network of their own.

#ifndef SARDINESTREAM_TESTING_EMULATOR_PROGRAM_FLEET_FIXTURE_H_
#define SARDINESTREAM_TESTING_EMULATOR_PROGRAM_FLEET_FIXTURE_H_

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "sardinestream/http/http_client.h"
#include "sardinestream/testing/emulator/store_emulator.h"
#include "sardinestream/testing/emulator/wire_words.h"
#include "sardinestream/testing/loopback_network.h"
#include "sardinestream/testing/process.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::testing {

class program_fleet_test : public ::testing::Test {
protected:
    static constexpr int entry_group = 1;
    static constexpr int server_group = 2;
    static constexpr int store_group = 3;
    static constexpr int front_port = 8080;
    static constexpr int ready_port = 8081;
    static constexpr int gossip_port = 7340;
    static constexpr int http_ok = 200;
    static constexpr char host[] = "shop.example";

    // What a sound server writes of itself to the store.
    [[nodiscard]] static nlohmann::json server_entry(const address& local)
    {
        return {{"service", "till"}, {"address", local.to_string()},
                {"zone", "a"},       {"version", "v1"},
                {"slots", 8},        {"state", "ready"},
                {"born", 1},         {"sequence", 1}};
    }

    // Writes a desired state in which `path` leads to the service of the servers.
    void put_config(const std::string& path, const std::string& kind, int attempts) const
    {
        this->store->put(words::config_kind, words::config_name,
                         {{"version", 1},
                          {"routes",
                           {{{"name", "stock"},
                             {"host", host},
                             {"path-prefix", path},
                             {"kind", kind},
                             {"service", "till"},
                             {"timeout-ms", 3000},
                             {"attempts", attempts}}}},
                          {"services", {{{"name", "till"}}}}});
    }

    [[nodiscard]] std::string entry_ip(int entry) const
    {
        return this->network.ip(entry_group, entry + 1);
    }

    void start_entries(int count)
    {
        std::vector<std::string> seeds;
        seeds.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            seeds.push_back(absl::StrCat(this->entry_ip(i), ":", gossip_port));
        }
        for (int i = 0; i < count; ++i) {
            const std::string own = this->entry_ip(i);
            this->start("sardine-platform-entry", absl::StrCat("entry-", i),
                        absl::StrCat("--ip=", own, "\n--front_listen=", own, ":", front_port,
                                     "\n--ready_listen=", own, ":", ready_port,
                                     "\n--store=", this->store->local().to_string(),
                                     "\n--seeds=", absl::StrJoin(seeds, ","), "\n"));
        }
        this->entries = count;
    }

    void start(const std::string& binary, const std::string& name, const std::string& settings)
    {
        const std::string path = absl::StrCat(this->files.path(), "/", name, ".settings");
        std::ofstream(path) << "--id=" << name
                            << "\n--data_centre=a\n--ops_port=0\n--news_port=" << gossip_port
                            << "\n"
                            << settings;
        ::setenv("SARDINESTREAM_SETTINGS", path.c_str(), 1);
        this->programs.push_back({path, *process::start({binary, {}, this->files.path(), name})});
    }

    void restart_all()
    {
        for (const program& one : this->programs) {
            one.run->kill();
        }
        for (const program& one : this->programs) {
            ::setenv("SARDINESTREAM_SETTINGS", one.settings_path.c_str(), 1);
            ASSERT_TRUE(one.run->restart().ok());
        }
    }

    [[nodiscard]] bool is_ready(int entry) const
    {
        http_client client({this->entry_ip(entry), ready_port});
        const absl::StatusOr<http_answer> answer =
            client.call("GET", "/", "", steady_clock::now() + std::chrono::milliseconds(500));
        return answer.ok() && answer->status == http_ok;
    }

    [[nodiscard]] bool all_ready() const
    {
        constexpr absl::Duration ready_timeout = absl::Seconds(10);
        for (int i = 0; i < this->entries; ++i) {
            if (!wait_until([&] { return this->is_ready(i); }, ready_timeout)) {
                return false;
            }
        }
        return true;
    }

    // Sends one request to an entry; returns the status, zero if there is no answer.
    [[nodiscard]] int send(int entry, const std::string& target,
                           const std::string& request_id) const
    {
        const steady_time end = steady_clock::now() + std::chrono::milliseconds(5000);
        absl::StatusOr<tcp_socket> socket =
            tcp_socket::connect({this->entry_ip(entry), front_port}, end, hangup_watch());
        const std::string text =
            absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", host, "\r\nConnection: close\r\n",
                         words::request_id, ": ", request_id, "\r\n\r\n");
        if (!socket.ok() || !socket->write_all(text, end, hangup_watch()).ok()) {
            return 0;
        }
        message_reader reader(*socket);
        const absl::StatusOr<http_response_head> head =
            reader.read_response_head(message_limits(), false, end, hangup_watch());
        return head.ok() ? head->status : 0;
    }

    struct program {
        std::string settings_path;
        std::unique_ptr<process> run;
    };

    const temp_directory files;
    loopback_network network = *loopback_network::claim();
    const std::unique_ptr<store_emulator> store =
        *store_emulator::start({this->network.ip(store_group, 1), 0});
    std::vector<program> programs;
    int entries = 0;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_EMULATOR_PROGRAM_FLEET_FIXTURE_H_
