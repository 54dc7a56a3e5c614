// Tests requests while open connections to servers have gone silent for good, as after a loss of
// state in the network: new connections work.

#include <gtest/gtest.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds mute_time{3000};
// Long enough for a server that failed once to be used again.
constexpr milliseconds exclusion_time{1500};
// Makes the requests that fill the pool overlap.
constexpr milliseconds work_time{50};

class severed_connections_test : public frontend_test {
protected:
    // Serves requests on connections that it accepted after the cut; on earlier ones it stays
    // silent until the peer gives up.
    scripted_server::script serving()
    {
        return [this](scripted_connection& connection) {
            const bool before_cut = !this->is_cut;
            while (connection.read_request()) {
                if (before_cut && this->is_cut) {
                    (void)connection.wait_for_end(mute_time);
                    return;
                }
                std::this_thread::sleep_for(before_cut ? work_time : milliseconds(0));
                std::string answer = answer_to(connection, "served");
                answer.insert(answer.find("Id: "), "Keep-Alive: timeout=10\r\n");
                connection.write(answer);
            }
        };
    }

    // Leaves idle connections to both servers behind.
    void fill_pool()
    {
        constexpr int requests = 6;
        std::vector<std::thread> callers;
        callers.reserve(requests);
        for (int i = 0; i < requests; ++i) {
            callers.emplace_back([this, i] {
                EXPECT_EQ(this->call("/read/", absl::StrCat("f", i)).body, "served");
            });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
    }

    std::atomic<bool> is_cut = false;
};

// Guards against a retry that waits on a second connection which was cut with the first.
TEST_F(severed_connections_test, a_retry_does_not_use_a_connection_that_was_idle)
{
    scripted_server first(this->serving());
    scripted_server second(this->serving());
    this->use({&first, &second});
    this->fill_pool();
    this->is_cut = true;
    const steady_time begun = steady_clock::now();
    EXPECT_EQ(this->call("/read/", "r1").body, "served");
    // One silence timeout of 1.5 latency targets (450 ms) and the retry, not a second timeout.
    EXPECT_LT(steady_clock::now() - begun, milliseconds(850));
    this->stop();
    this->channels.close_stale({});
}

// Guards against later requests that wait on the other connections to the same server.
TEST_F(severed_connections_test, the_other_idle_connections_to_a_silent_server_are_not_used)
{
    scripted_server server(this->serving());
    this->use({&server});
    this->fill_pool();
    this->is_cut = true;
    EXPECT_EQ(this->call("/read/", "r1").head.status, 502);
    std::this_thread::sleep_for(exclusion_time);
    const steady_time begun = steady_clock::now();
    EXPECT_EQ(this->call("/read/", "r2").body, "served");
    EXPECT_LT(steady_clock::now() - begun, milliseconds(400));
    this->stop();
    this->channels.close_stale({});
}

} // namespace
} // namespace sardinestream
