// Which fault hits which message on a proxied link, and how often a rule has fired.
//
//     fault_rule rule{.at = frame_pattern(wire::frame_type::request_open),
//                     .when = fault_time::after,
//                     .fault = fault_kind::cut};
//     std::shared_ptr<armed_rule> armed = rules.add(std::move(rule));
//     armed->wait_until_fired();
//
// A marker ties a rule to one request: it must occur in the message that opened the exchange (the
// HTTP request, or the first frame of the stream), so that tests can share a proxy.
//
// Owns the matching and the counting. It never touches a connection. Thread-safe.

#ifndef SARDINESTREAM_TESTING_FAULT_RULES_H_
#define SARDINESTREAM_TESTING_FAULT_RULES_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/testing/process.h"
#include "sardinestream/wire/frame.h"

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace sardinestream::testing {

enum class message_kind : std::uint8_t {
    http_request, // head and body
    http_answer,  // the first bytes of an answer
    http_event,   // one `data: ` of a streamed answer
    http_rest,    // any other bytes of an answer; matches no rule
    frame,
};

enum class toward : std::uint8_t { server, client, either };

// One message as a relay sees it.
struct message_info {
    message_kind kind = message_kind::frame;
    toward direction = toward::server;
    std::string line = ""; // HTTP: method, space, path and query of the request
    wire::frame_type type = wire::frame_type::hello;
    // What opened the exchange that the message belongs to.
    absl::string_view opening = {};
    // Identity in the client's hello; empty for HTTP.
    absl::string_view client = {};
};

struct message_pattern {
    message_kind kind = message_kind::frame;
    toward direction = toward::either;
    std::string line_prefix;
    std::string line_part; // must occur anywhere in the line
    wire::frame_type type = wire::frame_type::hello;
    std::string marker;
    std::string client;

    [[nodiscard]] bool matches(const message_info& message) const;
};

// Patterns for the usual cases; the marker may be empty.
[[nodiscard]] message_pattern request_pattern(absl::string_view line_prefix,
                                              absl::string_view marker = "");
[[nodiscard]] message_pattern answer_pattern(absl::string_view line_prefix,
                                             absl::string_view marker = "");
[[nodiscard]] message_pattern event_pattern(absl::string_view line_prefix,
                                            absl::string_view marker = "");
[[nodiscard]] message_pattern frame_pattern(wire::frame_type type, absl::string_view marker = "");

enum class fault_time : std::uint8_t { before, after };

enum class fault_kind : std::uint8_t {
    cut,         // closes the connection; new ones work
    black_hole,  // swallows everything on the link, with the sockets open, until it is healed
    delay,       // holds the message, and what follows it in its direction
    lose_answer, // passes the message on, whatever `when` says, then cuts in place of the answer
    none,        // the hook alone
};

struct fault_rule {
    message_pattern at;
    int nth = 1; // fires at the n-th match and never again
    fault_time when = fault_time::before;
    fault_kind fault = fault_kind::none;
    absl::Duration delay = absl::Milliseconds(300);
    // Called before the fault takes effect, on the relay's thread; may kill or freeze a process.
    std::function<void()> hook = nullptr;
    // Counts the matches. Rules that share it, on one proxy or several, fire once between them.
    std::shared_ptr<std::atomic<int>> matches = std::make_shared<std::atomic<int>>(0);
};

// A rule that waits for its message.
class armed_rule {
public:
    explicit armed_rule(fault_rule wanted) : rule(std::move(wanted)) {}

    // Counts the message where it matches; returns true at the n-th.
    [[nodiscard]] bool inject(const message_info& message) const;

    // Marks the fault as done.
    void mark_fired();

    [[nodiscard]] bool fired() const;
    [[nodiscard]] bool wait_until_fired(absl::Duration timeout = generous_timeout) const;

    const fault_rule rule;

private:
    mutable absl::Mutex mutex;
    bool done ABSL_GUARDED_BY(mutex) = false;
};

class fault_rules {
public:
    std::shared_ptr<armed_rule> add(fault_rule rule);

    // Removes every rule.
    void clear();

    // Returns the rule that fires at this message, or null.
    [[nodiscard]] std::shared_ptr<armed_rule> inject(const message_info& message);

private:
    mutable absl::Mutex mutex;
    std::vector<std::shared_ptr<armed_rule>> armed ABSL_GUARDED_BY(mutex);
};

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_FAULT_RULES_H_
