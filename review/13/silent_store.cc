// A server leaves without `draining`, and the entry's open channels to the store go silent before
// it has heard of that. The entry is in touch again three seconds later and still sends to the
// server.

#include "../standin-3/fleet.h"

namespace review {
namespace {

constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t stable_window_ms = 3000;
// How long a server that leaves serves on after `drain-ms`.
constexpr std::int64_t serves_on_ms = 2200;
constexpr std::int64_t work_ms = 300;
constexpr int rounds = 3;
constexpr int payers = 8;

struct arrival {
    std::string request_id;
    std::string server_id;
    std::int64_t at = 0;
};

struct seen {
    std::mutex mutex;
    std::vector<arrival> arrivals;
    // When the entry took each request from its requester.
    std::map<std::string, std::int64_t> sent_at;
    int payments = 0;
    int paid = 0;
    int refused = 0;
    int unknown = 0;
};

bool run_payment(server& self, connection& caller, const message& request, seen& all)
{
    const std::string id = request.header("X-Sardinestream-Request-Id");
    {
        const std::lock_guard lock(all.mutex);
        all.arrivals.push_back({id, self.id(), now_ms()});
    }
    sleep_ms(work_ms);
    return self.answer(caller, request, 200, "paid " + id);
}

void pay(const entry_node& node, int number, const std::atomic<bool>& over, seen& all)
{
    requester caller(node.ip, node.front_port);
    for (int sent = 1; !over; ++sent) {
        const std::string id = "p" + std::to_string(number) + "-" + std::to_string(sent);
        {
            const std::lock_guard lock(all.mutex);
            all.sent_at[id] = now_ms();
        }
        const answer got = caller.send(request_text("POST", "/pay/a", host,
                                                    {{"X-Sardinestream-Request-Id", id},
                                                     {"Authorization", std::string("Token ") + key},
                                                     {"X-Sardinestream-Deadline-Ms", "3000"}},
                                                    "a deposit"),
                                       4000);
        const std::lock_guard lock(all.mutex);
        ++all.payments;
        all.paid += got.complete && got.status == 200 ? 1 : 0;
        all.refused += got.complete && got.status == 503 ? 1 : 0;
        if (!got.complete || got.status == 502 || got.status == 504) {
            ++all.unknown;
            record("payment " + id + " is answered " + std::to_string(got.status) +
                   (got.complete ? "" : ", cut off") + ": its server ended");
        }
    }
}

// Lets one server leave. Returns how many requests reached it later than the rule allows.
int play_round(fleet& deployment, server& leaving, server& other, seen& all)
{
    const std::string id = leaving.id();
    // A change of another server's entry: the entry of this fleet hears of it and pauses before its
    // next call, as after every change.
    other.write_entry();
    sleep_ms(80);
    leaving.remove_entry();
    const std::int64_t acknowledged = now_ms();
    record("the store acknowledges that " + id + " is gone");
    sleep_ms(60);
    const std::int64_t silent = now_ms();
    if (has_trouble()) {
        deployment.entries.front().gate->silence_server_channel();
        record("one of two open channels to the store, which watches the servers, goes silent; new "
               "ones work");
    }
    sleep_until_ms(acknowledged + drain_ms + serves_on_ms);
    leaving.crash();
    record("server " + id + " exits");
    sleep_ms(500);
    // Without trouble the machine is in touch all the time.
    const std::int64_t in_touch = has_trouble() ? silent + stable_window_ms : acknowledged;
    int late = 0;
    const std::lock_guard lock(all.mutex);
    for (const arrival& each : all.arrivals) {
        const bool counts = each.server_id == id && each.at > acknowledged + drain_ms &&
                            all.sent_at[each.request_id] > in_touch;
        if (counts) {
            ++late;
            record("request " + each.request_id + " reached " + id + " " +
                   std::to_string(each.at - acknowledged) + " ms after the acknowledgement, sent " +
                   std::to_string(all.sent_at[each.request_id] - silent) +
                   " ms after the channel went silent");
        }
    }
    return late;
}

int play()
{
    seen all;
    fleet deployment(1);
    deployment.put_config(
        json::array({route("pay", "/pay/", "non_idempotent", "till", 3000, 300, 2)}), {"till"});
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(std::make_unique<server>(
            deployment.platform, "till", network_ip(3, i),
            [&all](server& self, connection& caller, const message& request) {
                return run_payment(self, caller, request, all);
            }));
        servers.back()->start();
    }
    if (!deployment.start()) {
        finish(not_run, "the entry does not become ready");
    }
    sleep_ms(stable_window_ms + 1000);
    std::atomic<bool> over = false;
    std::vector<std::thread> threads;
    threads.reserve(payers);
    for (int i = 0; i < payers; ++i) {
        threads.emplace_back([&, i] { pay(deployment.entries.front(), i, over, all); });
    }
    int late = 0;
    for (int round = 0; round < rounds; ++round) {
        sleep_ms(2000);
        server& leaving = *servers[static_cast<std::size_t>(round)];
        server& other = *servers[static_cast<std::size_t>((round + 1) % 3)];
        late += play_round(deployment, leaving, other, all);
        leaving.start();
        sleep_ms(stable_window_ms);
    }
    over = true;
    for (std::thread& each : threads) {
        each.join();
    }
    const std::lock_guard lock(all.mutex);
    finish(late > 0 ? broken : held,
           "requests that reached a server later than drain-ms after its removal was "
           "acknowledged, from a machine in touch: " +
               std::to_string(late) + "; payments " + std::to_string(all.payments) + ", paid " +
               std::to_string(all.paid) + ", refused " + std::to_string(all.refused) +
               ", outcome unknown " + std::to_string(all.unknown));
}

} // namespace
} // namespace review

int main()
{
    review::open_record("record.txt");
    return review::play();
}
