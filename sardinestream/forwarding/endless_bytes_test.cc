// Tests that many faulty servers, which send bytes that are no answer without end, take no more
// than the memory for messages together, and that the answers of sound servers reach their callers
// meanwhile.

#include <malloc.h>

#include "sardinestream/forwarding/frontend_fixture.h"

namespace sardinestream {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t megabyte = 1U << 20U;

// Bytes that the process has allocated, however many heaps it has.
std::size_t allocated_bytes()
{
    const struct mallinfo2 used = ::mallinfo2();
    return used.uordblks + used.hblkhd;
}

// Samples the allocated memory until it is stopped.
class memory_trace {
public:
    memory_trace() : begun_at(allocated_bytes()), thread([this] { this->sample(); }) {}

    // Returns by how much the memory grew at the most.
    std::size_t stop()
    {
        this->stopping = true;
        this->thread.join();
        return this->most - this->begun_at;
    }

private:
    void sample()
    {
        while (!this->stopping) {
            this->most = std::max<std::size_t>(this->most, allocated_bytes());
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    const std::size_t begun_at;
    std::atomic<std::size_t> most = begun_at;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

// What a faulty server sends: a beginning, and a part that it repeats.
struct endless_answer {
    std::string begin;
    std::string part;
};

std::string chunked_head(absl::string_view id, absl::string_view status, absl::string_view more)
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nSigned: 1\r\nId: ", id, "\r\n", more,
                        "Transfer-Encoding: chunked\r\n\r\n");
}

// Returns one kind of endless answer after the other.
endless_answer endless_answer_of_kind(int kind, absl::string_view id)
{
    const std::string filler(64U << 10U, 'a');
    const std::string chunks = chunk(filler);
    switch (kind % 10) {
    case 0:
        return {chunked_head(id, "200 OK", ""), chunks};
    case 1:
        return {absl::StrCat("HTTP/1.1 200 OK\r\nSigned: 1\r\nId: ", id, "\r\n\r\n"), filler};
    case 2:
        return {"HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(4000, 'a') + "\r\n"};
    case 3:
        return {"HTTP/1.1 200 OK\r\nX-Filler: ", filler};
    case 4:
        return {"", "HTTP/1.1 100 Continue\r\n\r\n"};
    case 5:
        return {chunked_head(id, "200 OK", "") + "5;x=", filler};
    case 6:
        return {chunked_head(id, "200 OK", "") + "0\r\nX: ", filler};
    case 7:
        return {chunked_head(id, "200 OK", "Content-Type: text/event-stream\r\n") +
                    chunk("id: 1\ndata: "),
                chunks};
    case 8:
        return {chunked_head(id, "503 No", "Never-Ran: 1\r\n"), chunks};
    default:
        return {chunked_head("another", "200 OK", ""), chunks};
    }
}

class endless_bytes_test : public frontend_test {
protected:
    // Has servers of the service "service" that send endless answers, of all kinds in turn, with a
    // pause after each part, and one sound server of the service "sound".
    void use_servers(const scripted_server& faulty, const scripted_server& sound)
    {
        std::vector<backend_server> list;
        constexpr int faulty_servers = 12;
        for (int i = 0; i <= faulty_servers; ++i) {
            backend_server server;
            server.id = absl::StrCat("s", i);
            server.service = i == faulty_servers ? "sound" : "service";
            server.slots = i == faulty_servers ? sound_slots : 4;
            server.born_ms = 1;
            server.endpoint = i == faulty_servers ? sound.local() : faulty.local();
            list.push_back(server);
        }
        this->servers.set_servers(list);
        auto both = make_state();
        both->routes.push_back(make_route("/sound/", request_kind::non_idempotent));
        both->routes.back().services = {{"sound", 1}};
        both->index_routes();
        this->state = both;
    }

    // Asks faulty servers from many callers until `end`.
    void call_faulty(steady_time end)
    {
        for (int i = 0; steady_clock::now() < end; ++i) {
            (void)this->call(i % 2 == 0 ? "/pay/" : "/tell/", "faulty");
        }
    }

    // Asks the sound server until `end`; returns how many of its answers did not arrive whole.
    int call_sound(steady_time end)
    {
        int lost = 0;
        while (steady_clock::now() < end) {
            tcp_socket socket = this->connect();
            EXPECT_TRUE(socket.write_all(request_text("/sound/", "sound"), soon(), {}).ok());
            message_reader reader(socket);
            const auto head = reader.read_response_head(message_limits(), false, soon(), {});
            std::string body;
            const bool whole = head.ok() && head->status == 200 &&
                               reader.read_body(sound_bytes, body, soon(), {}).ok() &&
                               body.size() == sound_bytes;
            EXPECT_TRUE(whole) << head.status() << " " << (head.ok() ? head->status : 0) << " "
                               << body.size();
            lost += whole ? 0 : 1;
            ++this->asked;
        }
        return lost;
    }

    // Plays faulty servers with a pause after each part that they send.
    void play(milliseconds pause, std::size_t max_growth)
    {
        std::atomic<int> kind = 0;
        scripted_server faulty([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            const endless_answer answer = endless_answer_of_kind(kind++, "faulty");
            connection.write(answer.begin);
            while (!connection.wait_for_end(pause)) {
                connection.write(answer.part);
            }
        });
        const std::string large = chunk(std::string(sound_bytes, 's')) + "0\r\n\r\n";
        scripted_server sound([&](scripted_connection& connection) {
            ASSERT_TRUE(connection.read_request());
            connection.write(chunked_head("sound", "200 OK", "Connection: close\r\n"));
            connection.write(large);
        });
        this->use_servers(faulty, sound);
        constexpr int faulty_callers = 40;
        constexpr int sound_callers = 2;
        std::atomic<int> lost = 0;
        memory_trace trace;
        const steady_time end = steady_clock::now() + std::chrono::seconds(4);
        std::vector<std::thread> callers;
        callers.reserve(faulty_callers + sound_callers);
        for (int i = 0; i < faulty_callers; ++i) {
            callers.emplace_back([this, end] { this->call_faulty(end); });
        }
        for (int i = 0; i < sound_callers; ++i) {
            callers.emplace_back([&] { lost += this->call_sound(end); });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        const std::size_t growth = trace.stop();
        this->RecordProperty("growth_kb", static_cast<int>(growth / 1024));
        EXPECT_EQ(lost, 0) << "of " << this->asked;
        EXPECT_GT(this->asked, 10);
        EXPECT_LT(growth, max_growth);
        this->stop();
    }

    static constexpr std::size_t sound_bytes = 2 * megabyte;
    static constexpr int sound_slots = 4;
    // Heads, lines and parts of up to 40 connections, on both sides of each, and what the test's
    // own callers receive.
    static constexpr std::size_t connections_bytes = 24 * megabyte;
    std::atomic<int> asked = 0;
};

// Guards against a process that is killed for its memory, or fails the answers of sound servers,
// because faulty servers send endless bytes of all kinds.
TEST_F(endless_bytes_test, all_kinds_together_stay_within_the_memory_and_harm_no_sound_answer)
{
    this->play(milliseconds(1), max_memory_bytes + connections_bytes);
}

TEST_F(endless_bytes_test, slow_endless_bytes_of_all_kinds_stay_within_the_memory)
{
    this->play(milliseconds(20), max_memory_bytes + connections_bytes);
}

} // namespace
} // namespace sardinestream
