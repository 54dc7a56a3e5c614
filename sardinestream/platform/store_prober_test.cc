#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/platform/store_prober.h"
#include "sardinestream/testing/scripted_server.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::platform {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds interval{100};
constexpr milliseconds observed_time{1000};

class store_prober_test : public testing::Test {
protected:
    // Lets a prober run; `status` is what the store answers, zero for none.
    void observe(int status, const std::function<void()>& meanwhile)
    {
        scripted_server store([&](scripted_connection& connection) {
            while (connection.read_request()) {
                ++this->probes;
                if (status == 0) {
                    (void)connection.wait_for_end(milliseconds(5000));
                    return;
                }
                connection.write(
                    absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: 2\r\n\r\n{}"));
            }
        });
        const store_prober prober(store.local(), interval, this->contact);
        const steady_time end = steady_clock::now() + observed_time;
        while (steady_clock::now() < end) {
            meanwhile();
            std::this_thread::sleep_for(interval / 4);
        }
        this->connections = store.connections();
    }

    std::atomic<int> probes = 0;
    int connections = 0;
    std::shared_ptr<store_contact> contact = std::make_shared<store_contact>();
};

TEST_F(store_prober_test, asks_on_a_new_connection_each_time_and_records_the_answer)
{
    this->contact->note_answer(steady_clock::now());
    for (const int status : {200, 404}) {
        this->probes = 0;
        const steady_time begun = steady_clock::now();
        this->observe(status, [] {});
        EXPECT_GT(this->probes, 2);
        EXPECT_EQ(this->connections, this->probes);
        EXPECT_GT(this->contact->last_answer(), begun + observed_time / 2);
    }
}

// Guards against calls, which the operator pays for, that nobody needs.
TEST_F(store_prober_test, asks_nothing_while_other_calls_are_answered)
{
    this->contact->note_answer(steady_clock::now());
    // Times at which this test itself recorded no answer for too long, on a busy machine.
    int stalls = 1;
    this->observe(200, [&] {
        const steady_time now = steady_clock::now();
        stalls += now - this->contact->last_answer() >= interval * 3 / 4 ? 1 : 0;
        this->contact->note_answer(now);
    });
    EXPECT_LE(this->probes, stalls);
}

TEST_F(store_prober_test, asks_nothing_before_the_first_answer)
{
    this->observe(200, [] {});
    EXPECT_EQ(this->probes, 0);
}

// Guards against a store that is there for nobody and passes for one that answers.
TEST_F(store_prober_test, a_refusal_or_silence_is_no_answer_and_begins_no_outage)
{
    for (const int status : {429, 500, 503, 0}) {
        const steady_time answered = steady_clock::now();
        this->contact->note_answer(answered);
        this->observe(status, [] {});
        EXPECT_GT(this->probes, 0) << status;
        EXPECT_EQ(this->contact->last_answer(), answered) << status;
        EXPECT_EQ(this->contact->last_outage().begun, steady_time{}) << status;
    }
}

} // namespace
} // namespace sardinestream::platform
