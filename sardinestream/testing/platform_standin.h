// A stand-in for the platform: its object API over HTTP, its instance list, and faults on order.
//
// In a test's own process:
//
//     auto standin = platform_standin::create({"127.0.0.1", 0}).value();
//     auto store = object_store::create({.servers = {standin->local()}}).value();
//     standin->lose_answers("PUT", "catalogueindexes", 1);
//
// As a process, the binary `standin_platform` takes the same orders over HTTP, each as `POST` with
// the parameters in the query:
//
//     /admin/outage?mode=none|drop|hang|refuse     drop: connections end unanswered, nothing done;
//                                                  hang: no answer until the outage ends, nothing
//                                                  done; refuse: 429, nothing done
//     /admin/slow?delay_ms=N                       every call takes N ms longer
//     /admin/lose?method=PUT&kind=K&count=N        the effect happens, the answer is lost
//     /admin/compact                               watches from before now get 410
//     /admin/instance_lag?lag_ms=N                 how late the instance list shows a change
//     /admin/instances/NAME  (POST body = spec, or DELETE)
//     /admin/entries/NAME    (POST body = spec, or DELETE)  an operator's edit, whatever the
//     version
//
// and answers `GET /admin/ledger?kind=K` (every change, oldest first) and `GET /admin/counts`
// (calls by method and kind). Orders work during an outage too. Thread-safe.

#ifndef SARDINESTREAM_TESTING_PLATFORM_STANDIN_H_
#define SARDINESTREAM_TESTING_PLATFORM_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sardinestream/base/settings.h"
#include "sardinestream/testing/platform_standin_store.h"

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace sardinestream::testing {

enum class outage_mode : std::uint8_t { none, drop, hang, refuse };

class platform_standin {
public:
    // Listens on `local` (port 0 takes a free one) and starts serving.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<platform_standin>>
    create(const address& local);
    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    [[nodiscard]] const address& local() const { return this->local_address; }
    // The objects themselves, for tests: no fault applies here.
    [[nodiscard]] platform_standin_store& store() { return this->objects; }

    void set_outage(outage_mode mode);
    void set_delay(absl::Duration delay);
    // The next `count` calls with this method to this kind take effect and are never answered.
    void lose_answers(absl::string_view method, absl::string_view kind, int count);

    // An operator's edit, whatever the version.
    void put_entry(absl::string_view name, absl::string_view spec);
    // Changes the instance list after the lag. An empty spec removes the instance.
    void set_instance_lag(absl::Duration lag);
    void change_instance(absl::string_view name, absl::string_view spec);

    // Calls so far by "METHOD kind"; a watch counts as "WATCH kind".
    [[nodiscard]] std::map<std::string, std::uint64_t> call_counts() const;

private:
    struct instance_change {
        absl::Time due;
        std::string name;
        std::string spec;
    };

    platform_standin();
    [[nodiscard]] absl::Status listen(const address& local);
    void add_api_routes();
    void add_admin_routes();
    // Returns true where the call must not be served: its answer is written or its connection cut.
    bool apply_fault_before(const httplib::Request& request, httplib::Response& response);
    void apply_fault_after(const httplib::Request& request);
    void serve_list(const httplib::Request& request, httplib::Response& response);
    void serve_watch(const httplib::Request& request, httplib::Response& response);
    void change_instances_when_due();
    void put(absl::string_view kind, absl::string_view name, absl::string_view spec);
    [[nodiscard]] std::string ledger_json(const std::string& kind) const;

    platform_standin_store objects;
    const std::unique_ptr<httplib::Server> server;
    int listening_descriptor = -1;
    address local_address;
    mutable absl::Mutex mutex;
    outage_mode outage ABSL_GUARDED_BY(mutex) = outage_mode::none;
    absl::Duration delay ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
    // (method, kind) -> answers still to lose
    std::map<std::pair<std::string, std::string>, int> answers_to_lose ABSL_GUARDED_BY(mutex);
    std::map<std::string, std::uint64_t> counts ABSL_GUARDED_BY(mutex);
    absl::Duration instance_lag ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
    std::deque<instance_change> instance_changes ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread serving;
    std::thread changing_instances;
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_PLATFORM_STANDIN_H_
