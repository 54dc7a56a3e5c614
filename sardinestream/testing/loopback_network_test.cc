// Tests that no two claims, of one process or of several, get the same network.

#include <array>
#include <csignal>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "sardinestream/testing/loopback_network.h"

#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {
namespace {

// Two machines of different networks can listen on the same port.
constexpr int shared_port = 21800;

// Claims a network in a process of its own, which holds it until the object ends.
class claiming_process {
public:
    claiming_process()
    {
        std::array<int, 2> claimed{};
        EXPECT_EQ(::pipe(claimed.data()), 0);
        this->pid = ::fork();
        if (this->pid == 0) {
            run(claimed[1]);
        }
        ::close(claimed[1]);
        std::array<char, 32> text{};
        const ssize_t length = ::read(claimed[0], text.data(), text.size());
        ::close(claimed[0]);
        this->address.assign(text.data(), length > 0 ? static_cast<std::size_t>(length) : 0);
    }

    ~claiming_process()
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }

    claiming_process(const claiming_process&) = delete;
    claiming_process& operator=(const claiming_process&) = delete;

    // Empty if the claim failed.
    [[nodiscard]] const std::string& ip() const { return this->address; }

private:
    [[noreturn]] static void run(int claimed)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const absl::StatusOr<loopback_network> network = loopback_network::claim();
        if (network.ok()) {
            const std::string ip = network->ip(1, 1);
            static_cast<void>(::write(claimed, ip.data(), ip.size()));
        }
        ::close(claimed);
        while (true) {
            ::pause();
        }
    }

    pid_t pid = 0;
    std::string address;
};

TEST(loopback_network_test, two_claims_never_get_the_same_network)
{
    constexpr std::size_t threads = 4;
    constexpr std::size_t claims_per_thread = 5;
    absl::Mutex mutex;
    std::vector<loopback_network> held;
    std::vector<std::thread> claimers;
    claimers.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i) {
        claimers.emplace_back([&] {
            for (std::size_t claim = 0; claim < claims_per_thread; ++claim) {
                absl::StatusOr<loopback_network> network = loopback_network::claim();
                ASSERT_TRUE(network.ok()) << network.status();
                const absl::MutexLock lock(&mutex);
                held.push_back(*std::move(network));
            }
        });
    }
    for (std::thread& claimer : claimers) {
        claimer.join();
    }
    std::set<std::string> distinct;
    for (const loopback_network& network : held) {
        distinct.insert(network.ip(1, 1));
    }
    EXPECT_EQ(distinct.size(), threads * claims_per_thread);
}

TEST(loopback_network_test, two_processes_never_get_the_same_network)
{
    constexpr std::size_t processes = 6;
    std::vector<std::unique_ptr<claiming_process>> claimers;
    std::set<std::string> distinct;
    for (std::size_t i = 0; i < processes; ++i) {
        claimers.push_back(std::make_unique<claiming_process>());
        ASSERT_FALSE(claimers.back()->ip().empty());
        distinct.insert(claimers.back()->ip());
    }
    const absl::StatusOr<loopback_network> own = loopback_network::claim();
    ASSERT_TRUE(own.ok()) << own.status();
    distinct.insert(own->ip(1, 1));
    EXPECT_EQ(distinct.size(), processes + 1);
}

// More claims than there are networks, one after another.
TEST(loopback_network_test, a_network_can_be_claimed_again_once_its_claim_has_ended)
{
    constexpr int claims = 300;
    for (int i = 0; i < claims; ++i) {
        const absl::StatusOr<loopback_network> network = loopback_network::claim();
        ASSERT_TRUE(network.ok()) << i << ": " << network.status();
    }
}

TEST(loopback_network_test, machines_of_one_network_have_addresses_of_their_own)
{
    const absl::StatusOr<loopback_network> network = loopback_network::claim();
    ASSERT_TRUE(network.ok()) << network.status();
    std::vector<tcp_listener> listeners;
    for (const std::string& ip :
         {network->ip(1, 1), network->ip(1, 2), network->ip(2, 1), network->ip(2, 2)}) {
        absl::StatusOr<tcp_listener> listener = tcp_listener::bind({ip, shared_port});
        ASSERT_TRUE(listener.ok()) << listener.status();
        listeners.push_back(*std::move(listener));
    }
}

} // namespace
} // namespace sardinestream::testing
