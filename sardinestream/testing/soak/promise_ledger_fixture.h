// A ledger with short times, and requests and runs to tell it of.

#ifndef SARDINESTREAM_TESTING_SOAK_PROMISE_LEDGER_FIXTURE_H_
#define SARDINESTREAM_TESTING_SOAK_PROMISE_LEDGER_FIXTURE_H_

#include <chrono>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "sardinestream/testing/soak/promise_ledger.h"

namespace sardinestream::testing {

class promise_ledger_test : public ::testing::Test {
protected:
    static sent_request make_request(soak_kind kind)
    {
        sent_request request;
        request.id = "r1";
        request.kind = kind;
        request.method = "POST";
        request.target = "/deposits/1";
        request.body = "five";
        request.team = "kasongan";
        request.service = "till-a";
        request.most_servers = 2;
        return request;
    }

    static begun_run make_run(const sent_request& request)
    {
        begun_run run;
        run.request_id = request.id;
        run.server_id = "i-1";
        run.service = request.service.empty() ? "till-a" : request.service;
        run.method = request.method;
        run.target = request.target;
        run.body = request.body;
        run.team = request.team;
        return run;
    }

    sent_request send(soak_kind kind)
    {
        const sent_request request = make_request(kind);
        this->ledger.note_sent(request);
        return request;
    }

    static steady_time far_future() { return steady_clock::now() + std::chrono::hours(1); }

    // Another request of the same entry reaches the server.
    void reach(const std::string& id)
    {
        sent_request request = make_request(soak_kind::idempotent);
        request.id = id;
        this->ledger.note_sent(request);
        this->ledger.note_arrival(id, "till-a", "i-1");
    }

    static void pass(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

    // A request that a server has begun to run, with the entry's SIGTERM behind it.
    sent_request begin_before_stop()
    {
        const sent_request request = this->send(soak_kind::streaming);
        this->ledger.note_begun(make_run(request));
        this->ledger.note_planned_stop("entry", "entry.out");
        return request;
    }

    static constexpr std::chrono::milliseconds grace{120};

    promise_ledger ledger{ledger_options{{0.2, 1},
                                         std::chrono::milliseconds(20),
                                         std::chrono::milliseconds(30),
                                         grace,
                                         std::chrono::milliseconds(50)}};
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_SOAK_PROMISE_LEDGER_FIXTURE_H_
