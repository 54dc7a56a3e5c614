// HTTP in front of the stand-in of a rank group: one port for each rank's engine, one for tests.
//
// The ranks' ports speak what `experts/engine_client.h` expects. The admin port offers
// GET /ledger, GET /stats, GET /ports, and POST /fault with
// {"rank":1,"fault":"stall|wake|kill|start|slow|lose_answer|delay|drop","order":"hold",
//  "times":1,"delay_ms":100,"factor":3}.
//
//     auto group = rank_group_server::create(options, {"127.0.0.1", 0}, 0).value();
//     address engine = group->engine_address(2);

#ifndef SARDINESTREAM_TESTING_RANK_GROUP_HTTP_H_
#define SARDINESTREAM_TESTING_RANK_GROUP_HTTP_H_

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sardinestream/base/settings.h"
#include "sardinestream/testing/rank_group_engines.h"

#include "absl/status/statusor.h"

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace sardinestream::testing {

enum class order_fault_kind : std::uint8_t {
    none,
    lose_answer, // carried out, but the connection is cut in place of an answer
    delay,       // carried out late
    drop,        // refused with 503, not carried out
};

struct order_fault {
    order_fault_kind kind = order_fault_kind::none;
    int times = 1; // how many orders of the kind it affects
    absl::Duration delay = absl::ZeroDuration();
};

// Thread-safe.
class rank_group_server {
public:
    // Rank r listens on `first_port` + r, the admin port after the last rank; with `first_port` 0
    // the system chooses them all.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<rank_group_server>>
    create(const rank_group_options& options, const std::string& ip, int first_port);

    ~rank_group_server();
    rank_group_server(const rank_group_server&) = delete;
    rank_group_server& operator=(const rank_group_server&) = delete;

    [[nodiscard]] address engine_address(int rank) const { return {this->ip, this->ports[rank]}; }
    [[nodiscard]] address admin_address() const { return {this->ip, this->ports.back()}; }
    [[nodiscard]] rank_group_engines& engines() { return this->group; }

    // Arms a fault for the next orders of one kind ("stage", "hold", "map", "release", "join").
    void arm(int rank, const std::string& order, const order_fault& fault);

private:
    rank_group_server(const rank_group_options& options, std::string ip);

    [[nodiscard]] absl::Status listen(std::unique_ptr<httplib::Server> server, int port);
    [[nodiscard]] std::unique_ptr<httplib::Server> make_engine_server(int rank);
    [[nodiscard]] std::unique_ptr<httplib::Server> make_admin_server();
    void serve_order(int rank, const std::string& order, const httplib::Request& request,
                     httplib::Response& response);
    [[nodiscard]] absl::Status run_order(int rank, const std::string& order,
                                         const std::string& body);
    [[nodiscard]] order_fault take_fault(int rank, const std::string& order);
    [[nodiscard]] absl::Status run_admin(const std::string& body);

    const std::string ip;
    rank_group_engines group;
    absl::Mutex mutex;
    std::map<std::pair<int, std::string>, order_fault> faults ABSL_GUARDED_BY(mutex);
    std::vector<int> ports;
    std::vector<std::unique_ptr<httplib::Server>> servers;
    std::vector<std::thread> threads;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_RANK_GROUP_HTTP_H_
