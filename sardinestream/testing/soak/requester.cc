#include "sardinestream/testing/soak/requester.h"

#include <algorithm>
#include <utility>

#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace sardinestream::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds pause_after_failure{60};
constexpr milliseconds longest_pause{500};
// An answer may be so much later than its timeout.
constexpr milliseconds timeout_slack{1500};
constexpr std::size_t largest_answer = 1U << 20U;
constexpr int largest_body = 20000;
constexpr int most_events = 30;
constexpr int topics = 5;
// Of so many requests one has the crashing part, if it is a stream.
constexpr int requests_per_crashing_one = 6;
// Of callers that last: shares of what takes long, and how long it takes at most.
constexpr double lasting_stream_share = 0.5;
constexpr double resumed_share = 0.2;
constexpr double slow_upload_share = 0.3;
constexpr double slow_read_share = 0.15;
constexpr double hurry_share = 0.4;
constexpr milliseconds longest_upload{2000};
constexpr milliseconds longest_read_pause{100};
constexpr milliseconds longest_wait_to_read{1200};
constexpr milliseconds longest_stay{200};
constexpr milliseconds longest_lasting_stay{2000};
constexpr milliseconds wait_step{5};
constexpr int upload_pieces = 10;
// Between the events of a stream that lasts.
constexpr milliseconds shortest_pace{20};
constexpr milliseconds pace_range{110};

} // namespace

requester::requester(requester_options chosen, promise_ledger& shared)
    : options(std::move(chosen)), ledger(shared), random(options.seed)
{
}

requester::~requester()
{
    this->stop();
}

void requester::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void requester::ask_to_stop()
{
    this->stopping = true;
}

void requester::stop()
{
    this->ask_to_stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

double requester::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void requester::run()
{
    while (!this->stopping) {
        this->wait_for_turn(this->send_one());
    }
}

void requester::wait_for_turn(milliseconds wanted)
{
    if (this->options.next_send != nullptr) {
        std::this_thread::sleep_until(this->options.next_send());
        return;
    }
    const auto spread = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(this->options.pause.count()) * (0.5 + this->draw())));
    if (!std::exchange(this->hurries, false)) {
        std::this_thread::sleep_for(wanted + spread);
    }
}

sent_request requester::draw_request()
{
    sent_request request;
    const int number = ++this->sent;
    request.id = absl::StrCat(this->options.name, "-", number);
    request.team = this->options.team;
    request.timeout = this->options.timeout;
    request.body.assign(static_cast<std::size_t>(this->draw() * this->draw() * largest_body), 'b');
    const bool is_plain_stream =
        this->options.plain_stream_share > 0 && this->draw() < this->options.plain_stream_share;
    const double kind = is_plain_stream ? 0 : this->draw();
    if (kind < 0.35) {
        request.kind = soak_kind::streaming;
        request.method = "POST";
        request.target = absl::StrCat("/chat/", 1 + static_cast<int>(this->draw() * most_events));
        request.service = "assistant";
        request.most_servers = 3;
        this->add_prompt(request);
        request.timeout = this->options.stream_timeout;
        if (is_plain_stream) {
            const std::string pace = this->options.stream_pace > milliseconds(0)
                                         ? absl::StrCat(this->options.stream_pace.count(), "/")
                                         : "";
            request.target = absl::StrCat("/chat/", pace, this->options.events);
        }
        if (this->options.lasts) {
            this->draw_lasting_stream(request);
        }
        return request;
    }
    if (kind < 0.6) {
        request.kind = soak_kind::non_idempotent;
        request.method = "POST";
        request.target = absl::StrCat("/deposits/", number);
        request.service = "till-a";
        request.most_servers = 3;
        return request;
    }
    request.method = "GET";
    request.body.clear();
    request.most_servers = 3;
    request.target = absl::StrCat(kind < 0.8 ? "/stock/" : "/moving/", number);
    request.service = kind < 0.8 ? "till-a" : "";
    return request;
}

void requester::draw_lasting_stream(sent_request& request)
{
    const std::int64_t events = events_of(request.target);
    if (this->draw() < lasting_stream_share) {
        const milliseconds pace =
            shortest_pace + milliseconds(static_cast<std::int64_t>(
                                this->draw() * static_cast<double>(pace_range.count())));
        request.target = absl::StrCat("/chat/", pace.count(), "/", events);
    }
    if (this->draw() < resumed_share) {
        request.resumes_after =
            static_cast<std::int64_t>(this->draw() * static_cast<double>(events) / 2);
    }
}

milliseconds requester::draw_delay(double share, milliseconds whole)
{
    if (!this->options.lasts || this->draw() >= share) {
        return milliseconds(0);
    }
    return milliseconds(
        static_cast<std::int64_t>(this->draw() * static_cast<double>(whole.count())));
}

void requester::add_prompt(sent_request& request) const
{
    if (!this->options.sends_crashing_part) {
        return;
    }
    request.crashes_servers = this->sent % requests_per_crashing_one == 0;
    const std::string topic =
        request.crashes_servers ? crashing_part : absl::StrCat("topic", this->sent % topics);
    request.prompt = absl::StrCat("first:40,", topic, ":20,", request.id, ":5");
}

bool requester::connect()
{
    const address entry = this->options.choose_entry(this->draw());
    absl::StatusOr<tcp_socket> socket =
        tcp_socket::connect(entry, steady_clock::now() + connect_timeout, hangup_watch());
    if (!socket.ok()) {
        return false;
    }
    this->open = std::make_unique<connection>(*std::move(socket), entry);
    return true;
}

std::vector<std::string> requester::encode(const sent_request& request)
{
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    append_header(text, "Host", this->options.host);
    append_header(text, words::request_id, request.id);
    append_header(text, words::authorization, absl::StrCat(words::key_scheme, this->options.key));
    append_header(text, words::time_left_ms, absl::StrCat(request.timeout.count()));
    if (!request.prompt.empty()) {
        append_header(text, words::prompt_parts, request.prompt);
    }
    if (request.resumes_after > 0) {
        append_header(text, words::last_event_id, absl::StrCat(event_id(request.resumes_after)));
    }
    if (request.method != "POST") {
        return {absl::StrCat(text, "\r\n")};
    }
    const bool chunked = this->draw() < 0.3;
    append_header(text, chunked ? "Transfer-Encoding" : "Content-Length",
                  chunked ? "chunked" : absl::StrCat(request.body.size()));
    std::vector<std::string> pieces = {absl::StrCat(text, "\r\n")};
    const std::size_t size = request.body.size() / (this->options.lasts ? upload_pieces : 1) + 1;
    for (std::size_t at = 0; at < request.body.size(); at += size) {
        const std::string piece = request.body.substr(at, size);
        pieces.push_back(chunked ? encode_chunk(piece) : piece);
    }
    if (chunked) {
        pieces.emplace_back(last_chunk);
    }
    return pieces;
}

absl::Status requester::write_request(const sent_request& request, steady_time timeout)
{
    const std::vector<std::string> pieces = this->encode(request);
    const milliseconds lasting =
        pieces.size() > 1 ? this->draw_delay(slow_upload_share, longest_upload) : milliseconds(0);
    if (lasting == milliseconds(0)) {
        return this->open->socket.write_all(absl::StrJoin(pieces, ""), timeout, hangup_watch());
    }
    for (const std::string& piece : pieces) {
        const absl::Status written = this->open->socket.write_all(piece, timeout, hangup_watch());
        if (!written.ok()) {
            return written;
        }
        if (&piece != &pieces.back()) {
            std::this_thread::sleep_for(lasting / static_cast<int>(pieces.size() - 1));
        }
    }
    return absl::OkStatus();
}

std::optional<steady_time> requester::wait_to_read()
{
    const hangup_watch watch(this->open->socket.descriptor());
    const steady_time end =
        steady_clock::now() + this->draw_delay(slow_read_share, longest_wait_to_read);
    std::optional<steady_time> ended;
    while (steady_clock::now() < end) {
        if (!ended.has_value() && watch.has_hung_up()) {
            ended = steady_clock::now();
        }
        std::this_thread::sleep_for(wait_step);
    }
    return ended;
}

milliseconds requester::send_one()
{
    if (this->open == nullptr && !this->connect()) {
        return pause_after_failure;
    }
    sent_request request = this->draw_request();
    request.entry = this->open->entry.to_string();
    const bool leaves = this->draw() < this->options.leaving_share;
    const steady_time begun = steady_clock::now();
    const steady_time timeout = begun + request.timeout + timeout_slack;
    const milliseconds stay = this->options.lasts ? longest_lasting_stay : longest_stay;
    const steady_time until = leaves
                                  ? begun + milliseconds(static_cast<std::int64_t>(
                                                this->draw() * static_cast<double>(stay.count())))
                                  : timeout;
    this->ledger.note_sent(request);
    if (!this->write_request(request, timeout).ok()) {
        this->open.reset();
        return pause_after_failure;
    }
    this->ledger.note_written(request.id);
    this->read_pause = this->draw_delay(slow_read_share, longest_read_pause);
    const std::optional<steady_time> ended = this->wait_to_read();
    const absl::StatusOr<received_answer> answer = this->read_answer(request, until);
    if (answer.ok() && answer->whole) {
        this->ledger.note_answer(request.id, answer->status);
        this->hurries = this->options.lasts && answer->keeps && is_success(answer->status) &&
                        this->draw() < hurry_share;
        if (!answer->keeps) {
            this->open.reset();
        }
        return std::min(answer->come_back, longest_pause);
    }
    if (leaves && absl::IsDeadlineExceeded(answer.status())) {
        this->ledger.note_left(request.id);
    }
    else {
        this->ledger.note_lost(request.id, request.entry, answer.status(),
                               ended.value_or(steady_clock::now()));
    }
    this->open->socket.abort();
    this->open.reset();
    return pause_after_failure;
}

absl::StatusOr<requester::received_answer> requester::read_answer(const sent_request& request,
                                                                  steady_time until)
{
    message_reader& reader = this->open->reader;
    absl::Status waited = reader.wait_for_message(until);
    if (!waited.ok()) {
        return waited;
    }
    const absl::StatusOr<http_response_head> head =
        reader.read_response_head(message_limits{}, false, until, hangup_watch());
    if (!head.ok()) {
        return head.status();
    }
    received_answer answer;
    answer.status = head->status;
    answer.keeps = head->keeps_alive();
    const std::optional<absl::string_view> owner = find_header(head->headers, words::request_id);
    if (owner.has_value() && *owner != request.id) {
        this->ledger.note_broken(
            absl::StrCat("mixed: ", request.id, " got the answer to ", *owner));
    }
    if (is_success(head->status) && !find_header(head->headers, words::signature).has_value()) {
        this->ledger.note_broken(absl::StrCat("mixed: success without signature for ", request.id));
    }
    double seconds = 0;
    const std::optional<absl::string_view> come_back = find_header(head->headers, "Retry-After");
    if (come_back.has_value() && absl::SimpleAtod(*come_back, &seconds)) {
        answer.come_back = milliseconds(static_cast<std::int64_t>(seconds * 1000));
    }
    if (is_success(head->status) && request.kind == soak_kind::streaming) {
        const absl::Status read = this->read_stream(request, until);
        answer.whole = read.ok();
        return read.ok() ? absl::StatusOr<received_answer>(answer) : read;
    }
    std::string body;
    const absl::Status read = reader.read_body(largest_answer, body, until, hangup_watch());
    if (!read.ok()) {
        return read;
    }
    answer.whole = true;
    this->check_body(request, head->status, body);
    return answer;
}

void requester::check_body(const sent_request& request, int status, const std::string& body)
{
    if (is_success(status) && body != expected_answer(request.id, request.target, request.body)) {
        this->ledger.note_broken(
            absl::StrCat("mixed: ", request.id, " got another body: ", body.substr(0, 60)));
    }
}

absl::Status requester::read_stream(const sent_request& request, steady_time until)
{
    std::string text;
    std::int64_t next = request.resumes_after + 1;
    while (true) {
        const absl::StatusOr<bool> ended =
            this->open->reader.read_body_part(text, until, hangup_watch());
        if (!ended.ok()) {
            return ended.status();
        }
        for (std::size_t end = text.find("\n\n"); end != std::string::npos;
             end = text.find("\n\n")) {
            const std::string event = text.substr(0, end);
            text.erase(0, end + 2);
            const std::string expected =
                absl::StrCat("id: ", event_id(next), "\ndata: ", expected_event(request.id, next));
            if (event != expected) {
                this->ledger.note_broken(absl::StrCat("order: ", request.id, " expected event ",
                                                      next, ", got ", event.substr(0, 40)));
            }
            ++next;
        }
        if (!*ended) {
            std::this_thread::sleep_for(this->read_pause);
            continue;
        }
        if (next - 1 != events_of(request.target) || !text.empty()) {
            this->ledger.note_broken(absl::StrCat("order: ", request.id, " looks complete after ",
                                                  next - 1, " events of ",
                                                  events_of(request.target)));
        }
        return absl::OkStatus();
    }
}

} // namespace sardinestream::testing
