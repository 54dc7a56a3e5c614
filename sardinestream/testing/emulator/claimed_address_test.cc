// Tests that an entry of the list which claims the address of a sound server does not take it out
// of use: the server's answer shows who it is.

#include <atomic>
#include <memory>

#include "sardinestream/testing/emulator/entry_fleet_fixture.h"

namespace sardinestream::testing {
namespace {

constexpr char sound_id[] = "sound";

class claimed_address_test : public entry_fleet_test {
protected:
    void start_server()
    {
        this->server =
            *connection_server::start({fleet_server_ip, 0}, [this](served_connection& connection) {
                emulated_request request;
                while (connection.read(request)) {
                    if (request.header(words::expected_server) != sound_id) {
                        ++this->misdirected;
                        connection.answer(
                            421, {{words::request_id, request.header(words::request_id)}}, "");
                        continue;
                    }
                    write_stream_head(connection, request, {});
                    write_whole_stream(connection);
                }
            });
    }

    [[nodiscard]] listed_server listed(const std::string& id, std::int64_t born_ms) const
    {
        backend_server described;
        described.id = id;
        described.service = fleet_service;
        described.slots = 8;
        described.born_ms = born_ms;
        described.endpoint = this->server->local();
        return {described, {1}};
    }

    std::unique_ptr<connection_server> server;
    std::atomic<int> misdirected = 0;
};

// Guards against a server that stays hidden behind another writer's entry after it has answered.
TEST_F(claimed_address_test, a_claim_of_a_later_start_ends_with_the_first_answer)
{
    constexpr int requests = 5;
    this->start_server();
    this->start_entry({{this->listed(sound_id, 1), this->listed("claim", 2)}, {2}});
    std::atomic<int> served = 0;
    for (int i = 0; i < requests; ++i) {
        this->send("first:10", served);
        this->wait_for_answers();
    }
    // The first one may be refused: the budget for retries starts empty.
    EXPECT_GE(served, requests - 1);
    EXPECT_EQ(this->misdirected, 1);
    this->entries.clear();
}

} // namespace
} // namespace sardinestream::testing
