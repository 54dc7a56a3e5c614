// A small deployment for the scripts of the third review: two or more entries, a store with a gate
// for each of them, and servers that register themselves.

#ifndef REVIEW_STANDIN_3_FLEET_H_
#define REVIEW_STANDIN_3_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "kit.h"

namespace review {

inline constexpr char host[] = "till.example";
inline constexpr char key[] = "k3n0q8";
inline constexpr char tenant[] = "growers";

// A server as the pages describe it. Each start is a new boot.
class server {
public:
    // Serves one request that has passed the checks of every sound server. Returns whether the
    // channel is kept.
    using run = std::function<bool(server& self, connection& caller, const message& request)>;

    server(store& registered_in, std::string service, std::string ip, run serve);
    ~server();

    // Starts under a new id and registers as ready.
    void start();
    // Ends as a crash does: the store keeps the entry until it expires.
    void crash();
    // Writes the entry once more, changed in what a heartbeat may change.
    void write_entry();
    // Removes the entry from the store, as that of a server that never reports `draining`.
    void remove_entry();
    void report_draining();
    [[nodiscard]] bool is_up();
    [[nodiscard]] std::string id();
    // Headers that every answer to the request bears.
    [[nodiscard]] std::string answer_headers(const message& request, const std::string& body);
    // Writes a whole answer with the server's signature.
    bool answer(connection& caller, const message& request, int status, const std::string& body,
                const std::string& more_headers = "");
    // Writes a refusal that states that the request was not run.
    bool refuse(connection& caller, const message& request, int status,
                const std::string& more_headers = "");

private:
    void serve(connection& caller);
    [[nodiscard]] json entry(const std::string& state) const;

    store& registry;
    const std::string service;
    const std::string ip;
    const run serve_one;
    std::mutex mutex;
    std::string own_id;
    std::int64_t born = 0;
    std::int64_t writes = 0;
    int port = 0;
    std::unique_ptr<tcp_server> listener;
    std::list<std::unique_ptr<tcp_server>> ended;
};

struct entry_node {
    std::string ip;
    int front_port = 0;
    int ready_port = 0;
    std::unique_ptr<store::gate> gate;
    std::unique_ptr<program> process;
};

class fleet {
public:
    explicit fleet(int entries, std::string more_settings = "");

    // Writes the desired state: `routes` as in the pages, `services` by name.
    void put_config(const json& routes, const std::vector<std::string>& services);
    // Starts all entries and waits until they are ready; false if one does not become ready.
    [[nodiscard]] bool start();

    store platform;
    std::vector<entry_node> entries;

private:
    std::int64_t version = 10;
};

[[nodiscard]] json route(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service, int timeout_ms,
                         int target_ms, int attempts);

// Prints the outcome, removes the temporary folder and ends the script.
[[noreturn]] void finish(int status, const std::string& reason);

} // namespace review

#endif // REVIEW_STANDIN_3_FLEET_H_
