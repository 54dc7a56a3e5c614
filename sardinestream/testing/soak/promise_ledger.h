// What callers sent and got and what servers ran, and whether that keeps the promises:
//
//   - a server runs only what a caller sent, under the service and the team that it belongs to;
//   - a request that is not idempotent runs at most once, any other on no more servers than its
//     route allows;
//   - an answer that says "not run" is true, then and later;
//   - a success is the whole answer of the server, a stream has all its events once and in order;
//   - servers stop soon after the caller has left;
//   - attempts beyond the first stay within the budget;
//   - a planned stop or reload loses no request, and ends within its grace;
//   - an entry sends nothing new to a server a while after it has passed on an answer in which that
//     server says that it leaves, and hardly anything to one that holds off;
//   - entries together keep the rate that a server names, from a while after it first did;
//   - a while after the fifth server has crashed under one part of a prompt, hardly any request
//   with
//     that part reaches a server;
//   - a change of the desired state is in force within its bound.
//
//     ledger.note_sent(request);
//     ledger.note_begun(run);
//     ledger.note_answer(id, 503);
//     for (const std::string& broken : ledger.judge()) { ... }
//
// Some promises hold only away from unplanned trouble: `note_trouble` says when there was some.
// Thread-safe.

#ifndef SARDINESTREAM_TESTING_SOAK_PROMISE_LEDGER_H_
#define SARDINESTREAM_TESTING_SOAK_PROMISE_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sardinestream/http/socket.h"
#include "sardinestream/testing/emulator/backend_emulator.h"
#include "sardinestream/testing/soak/retry_arrivals.h"

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream::testing {

enum class soak_kind : std::uint8_t { idempotent, non_idempotent, streaming };

struct sent_request {
    std::string id;
    soak_kind kind = soak_kind::idempotent;
    std::string method;
    std::string target;
    std::string body;
    std::string team;
    // Empty where any service of a moving route may run it.
    std::string service;
    int most_servers = 1;
    // The entry that it is sent to.
    std::string entry;
    // The parts of a stream's prompt; may be empty.
    std::string prompt;
    // Its prompt has the part that crashes servers.
    bool crashes_servers = false;
    // The caller's time and its route's timeout.
    std::chrono::milliseconds timeout{3000};
    // A stream goes on behind this event.
    std::int64_t resumes_after = 0;
};

struct ledger_options {
    retry_budget_terms retries{};
    std::chrono::milliseconds config_bound{3000};
    // Between the answer in which a server says that it leaves and the last new request for it.
    std::chrono::milliseconds leaving_bound{1000};
    // From the SIGTERM of a planned stop to the SIGKILL.
    std::chrono::milliseconds grace{4000};
    // From when a server's limit, a part that has crashed five servers, or an evacuation must be
    // heeded.
    std::chrono::milliseconds reaction_time{3000};
};

class promise_ledger {
public:
    explicit promise_ledger(ledger_options chosen) : options(chosen) {}

    void note_sent(const sent_request& request);
    void note_answer(const std::string& id, int status);
    void note_left(const std::string& id);
    // The last byte of the request was written.
    void note_written(const std::string& id);
    // The connection to the entry ended without a complete answer after the request was written
    // whole; `how` says in which way, kNotFound if nothing of an answer had come, and `at` when.
    void note_lost(const std::string& id, const std::string& entry,
                   const absl::Status& how = absl::NotFoundError("nothing came"),
                   steady_time at = steady_clock::now());
    void note_broken(const std::string& what);

    void note_arrival(const std::string& id, const std::string& service,
                      const std::string& server_id);
    // What a server says of itself in its answer to the request.
    void note_leaving_said(const std::string& id, const std::string& server_id);
    void note_hold_off_said(const std::string& id, const std::string& server_id, steady_time until);
    // The server's answers name the rate until `until`.
    void note_limit_said(const std::string& id, const std::string& server_id, double per_s,
                         steady_time until);
    // The store has taken the request that nothing more be sent to the data centre, or its end.
    void note_evacuation(const std::string& data_centre);
    void note_evacuation_end(const std::string& data_centre);
    // The request has reached a server in the data centre.
    void check_evacuation(const std::string& id, const std::string& server_id,
                          const std::string& data_centre);
    // A server has crashed under a request with the crashing part.
    void note_crash();
    // The entry starts again, and has forgotten what servers said.
    void note_entry_restart(const std::string& entry);
    void note_begun(const begun_run& run);
    void note_ended(const std::string& id);
    // The server itself broke off the run that it began last.
    void note_broke_off(const std::string& id);

    // Unplanned trouble anywhere, from now until `until`.
    void note_trouble(steady_time until);
    // The entry is sent SIGTERM, or SIGHUP. `log_path` is where it logs.
    void note_planned_stop(const std::string& entry, const std::string& log_path = "");
    void note_planned_reload(const std::string& entry, const std::string& log_path = "");
    // The store has taken a desired state in which the moving route leads to `service`.
    void note_config(const std::string& service);

    // Each broken promise in a line.
    [[nodiscard]] std::vector<std::string> judge() const;

    struct totals {
        int sent = 0;
        int succeeded = 0;
        int not_run = 0;
        int failed = 0;
        int left = 0;
        int runs = 0;
    };
    [[nodiscard]] totals count() const;
    // Successes against answers of requests that were sent between the two, 0 to 1.
    [[nodiscard]] double success_share(steady_time since, steady_time until) const;

private:
    // Trouble shows for so long after it has ended.
    static constexpr std::chrono::milliseconds trouble_echo{3000};

    struct request_record {
        sent_request request;
        steady_time sent_at{};
        int status = 0;
        bool left = false;
        steady_time left_at{};
        int arrivals = 0;
        // The service that it reached first.
        std::string reached;
        std::vector<begun_run> runs;
        steady_time last_end{};
        // Unset while its last byte is not written.
        std::optional<steady_time> written_at;
        // How many runs had begun when a server broke one off; zero where none did.
        std::size_t runs_at_break = 0;
        std::size_t runs_ended = 0;
        // Servers that said in their answers that they leave.
        std::vector<std::string> leaving_servers;
    };
    // What a server has reported to an entry.
    struct announced_hold_off {
        steady_time at{};
        steady_time until{};
        int arrivals = 0;
    };
    // The rate that a server names.
    struct named_limit {
        double per_s = 0;
        steady_time first_said{};
        // From then on the server's answers name none.
        steady_time until{};
        // When each entry first had an answer with it.
        std::map<std::string, steady_time> informed;
        // Of requests from entries that had been informed.
        std::vector<steady_time> arrivals;
    };
    // The entry, and the id of a start of a server.
    using entry_and_server = std::pair<std::string, std::string>;
    struct span {
        steady_time begin{};
        steady_time end{};
    };
    struct planned_signal {
        steady_time at{};
        bool stops = false;
        std::string log_path;
    };
    // A connection that ended without a complete answer.
    struct lost_answer {
        std::string id;
        std::string entry;
        absl::Status how;
        steady_time at{};
    };
    struct config_change {
        steady_time at{};
        std::string service;
    };

    void check_run(const request_record& record, const begun_run& run)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void check_moving(const request_record& record, const begun_run& run)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void check_notices(const request_record& record, const std::string& server_id)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void check_limit(const request_record& record, const std::string& server_id)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void check_crashing(const request_record& record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether the entry has run without a restart or trouble for a while.
    [[nodiscard]] bool is_in_touch(const std::string& entry, steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    [[nodiscard]] bool is_untroubled(steady_time begin, steady_time end) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether there was neither trouble nor a crash.
    [[nodiscard]] bool is_calm(steady_time begin, steady_time end) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void judge_request(const request_record& record, std::vector<std::string>& all) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void judge_lost(const lost_answer& lost, std::vector<std::string>& all) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns whether the entry had taken the request: it reached a server, or there was time to.
    [[nodiscard]] static bool was_taken(const request_record& record, steady_time lost_at);
    // Returns whether nothing of an answer came from an entry that had been stopped before.
    [[nodiscard]] bool was_dropped(const lost_answer& lost, const request_record& record) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // The loss in a line, with times since the signal.
    [[nodiscard]] static std::string describe(const lost_answer& lost, const request_record& record,
                                              const planned_signal& signal);
    // Returns whether the rules excuse the loss at any time.
    [[nodiscard]] static bool is_excused(const lost_answer& lost, const request_record& record);
    // Returns whether the request counts as lost around this signal.
    [[nodiscard]] bool counts_around(const planned_signal& signal, const request_record& record,
                                     steady_time lost_at) const;
    // Returns whether a server was still at work in the last sixth of the grace.
    [[nodiscard]] bool ran_out_of_grace(const planned_signal& signal, const request_record& record,
                                        steady_time lost_at) const;
    void judge_left(std::vector<std::string>& all) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the service to which the request's route led.
    [[nodiscard]] std::string service_of(const request_record& record) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void judge_budget(std::vector<std::string>& all) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ledger_options options;
    mutable absl::Mutex mutex;
    std::map<std::string, request_record> requests ABSL_GUARDED_BY(mutex);
    // By service; without the requests that were sent, which `judge_budget` adds.
    std::map<std::string, retry_arrivals> arrivals ABSL_GUARDED_BY(mutex);
    std::vector<span> troubles ABSL_GUARDED_BY(mutex);
    // When the entry passed on an answer in which the server says that it leaves.
    std::map<entry_and_server, steady_time> leaving_passed_on ABSL_GUARDED_BY(mutex);
    std::map<entry_and_server, announced_hold_off> hold_offs ABSL_GUARDED_BY(mutex);
    // By the id of a start of a server.
    std::map<std::string, named_limit> limits ABSL_GUARDED_BY(mutex);
    // When those in force began, by data centre.
    std::map<std::string, steady_time> evacuations ABSL_GUARDED_BY(mutex);
    std::vector<steady_time> crashes ABSL_GUARDED_BY(mutex);
    int arrivals_after_crashes ABSL_GUARDED_BY(mutex) = 0;
    std::map<std::string, steady_time> restarts ABSL_GUARDED_BY(mutex);
    // By entry, in order of time.
    std::map<std::string, std::vector<planned_signal>> planned_signals ABSL_GUARDED_BY(mutex);
    std::vector<lost_answer> lost_answers ABSL_GUARDED_BY(mutex);
    std::vector<config_change> configs ABSL_GUARDED_BY(mutex);
    std::vector<std::string> broken ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_PROMISE_LEDGER_H_
