#include "sardinestream/testing/emulator/store_emulator.h"

#include <algorithm>

#include "sardinestream/testing/emulator/wire_words.h"

#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A page ends after so many objects or bytes.
constexpr std::size_t page_size = 500;
constexpr std::size_t page_bytes = 1U << 20U;
constexpr milliseconds slow_answer{300};
constexpr milliseconds watch_step{5};
constexpr std::chrono::seconds silence{30};

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_gone = 410;
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;

std::int64_t number_of(const std::string& text)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

} // namespace

absl::StatusOr<std::unique_ptr<store_emulator>> store_emulator::start(const address& local)
{
    std::unique_ptr<store_emulator> made(new store_emulator());
    absl::StatusOr<std::unique_ptr<connection_server>> server = connection_server::start(
        local, [raw = made.get()](served_connection& connection) { raw->serve(connection); });
    if (!server.ok()) {
        return server.status();
    }
    made->server = *std::move(server);
    return made;
}

std::int64_t store_emulator::put(const std::string& kind, const std::string& name,
                                 const json& specification)
{
    const absl::MutexLock lock(&this->mutex);
    stored& object = this->objects[kind][name];
    if (object.specification == specification) {
        return this->newest;
    }
    object = {++this->newest, specification};
    this->history.push_back({kind, name, this->newest, specification, false});
    return this->newest;
}

void store_emulator::remove(const std::string& kind, const std::string& name)
{
    const absl::MutexLock lock(&this->mutex);
    const auto removed = this->objects[kind].extract(name);
    if (!removed.empty()) {
        this->history.push_back({kind, name, ++this->newest, removed.mapped().specification, true});
    }
}

std::vector<std::string> store_emulator::names(const std::string& kind) const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> all;
    const auto of_kind = this->objects.find(kind);
    if (of_kind == this->objects.end()) {
        return all;
    }
    for (const auto& [name, object] : of_kind->second) {
        all.push_back(name);
    }
    return all;
}

std::optional<json> store_emulator::get(const std::string& kind, const std::string& name) const
{
    const absl::MutexLock lock(&this->mutex);
    const auto of_kind = this->objects.find(kind);
    if (of_kind == this->objects.end()) {
        return std::nullopt;
    }
    const auto found = of_kind->second.find(name);
    return found == of_kind->second.end() ? std::nullopt
                                          : std::optional<json>(found->second.specification);
}

void store_emulator::set_trouble(store_trouble wanted)
{
    const absl::MutexLock lock(&this->mutex);
    this->current = wanted;
}

void store_emulator::silence_connections(const std::string& kind)
{
    const absl::MutexLock lock(&this->mutex);
    this->silenced = {kind, steady_clock::now()};
}

bool store_emulator::stays_silent(const caller& from, const std::string& kind) const
{
    {
        const absl::MutexLock lock(&this->mutex);
        const bool concerns = this->silenced.kind.empty() || this->silenced.kind == kind;
        if (!concerns || from.opened >= this->silenced.at) {
            return false;
        }
    }
    while (from.connection.work_for(silence)) {
    }
    from.connection.finish();
    return true;
}

store_trouble store_emulator::trouble() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->current;
}

void store_emulator::compact()
{
    const absl::MutexLock lock(&this->mutex);
    this->history.clear();
    this->oldest = ++this->newest;
}

void store_emulator::take_copy()
{
    const absl::MutexLock lock(&this->mutex);
    this->kept = {this->objects, this->newest};
}

void store_emulator::restore_copy()
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->kept.has_value()) {
        return;
    }
    this->objects = this->kept->objects;
    this->newest = this->kept->newest;
    std::erase_if(this->history,
                  [this](const change& lost) { return lost.revision > this->newest; });
    ++this->era;
}

void store_emulator::answer(served_connection& connection, int status,
                            const std::string& body) const
{
    std::int64_t named = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        named = this->era;
    }
    connection.answer(status, {{words::store_era, std::to_string(named)}}, body);
}

json store_emulator::object_json(const std::string& name, std::int64_t revision,
                                 const json& specification)
{
    return {{"metadata", {{"name", name}, {"revision", revision}}},
            {"specification", specification}};
}

json store_emulator::list(const std::string& kind, const std::string& after) const
{
    const absl::MutexLock lock(&this->mutex);
    json page = {{"items", json::array()}, {"has-more", false}, {"at", this->newest}};
    const auto of_kind = this->objects.find(kind);
    if (of_kind == this->objects.end()) {
        return page;
    }
    std::size_t bytes = 0;
    for (const auto& [name, object] : of_kind->second) {
        if (name <= after) {
            continue;
        }
        if (page["items"].size() == page_size || bytes >= page_bytes) {
            page["has-more"] = true;
            break;
        }
        page["items"].push_back(object_json(name, object.revision, object.specification));
        bytes += name.size() + object.specification.dump().size();
    }
    return page;
}

json store_emulator::changes_after(const std::string& kind, std::int64_t revision) const
{
    const absl::MutexLock lock(&this->mutex);
    if (revision < this->oldest || revision > this->newest) {
        return {};
    }
    json events = json::array();
    for (const change& one : this->history) {
        if (one.kind != kind || one.revision <= revision) {
            continue;
        }
        events.push_back({{"object", object_json(one.name, one.revision, one.specification)},
                          {"removed", one.removed}});
    }
    return {{"events", events}, {"at", this->newest}};
}

void store_emulator::serve(served_connection& connection)
{
    const caller from = {connection, steady_clock::now()};
    emulated_request request;
    while (connection.read(request)) {
        switch (this->trouble()) {
        case store_trouble::none:
            break;
        case store_trouble::slow:
            if (!connection.work_for(slow_answer)) {
                return;
            }
            break;
        case store_trouble::busy:
            this->answer(connection, http_unavailable, "{}");
            continue;
        case store_trouble::limited:
            this->answer(connection, http_too_many, "{}");
            continue;
        case store_trouble::reset:
            connection.reset();
            return;
        case store_trouble::silent:
            static_cast<void>(connection.work_for(silence));
            return;
        }
        this->answer_call(from, request);
    }
}

void store_emulator::answer_call(const caller& from, const emulated_request& request)
{
    served_connection& connection = from.connection;
    const std::string& path = request.path();
    absl::string_view kind = path;
    if (request.head.method != "GET" || !absl::ConsumePrefix(&kind, words::objects_path)) {
        this->answer(connection, http_not_found, "{}");
        return;
    }
    if (this->stays_silent(from, std::string(kind))) {
        return;
    }
    if (!request.parameter("watch").empty()) {
        this->answer_watch(from, request, std::string(kind));
        return;
    }
    this->answer(connection, http_ok,
                 this->list(std::string(kind), request.parameter("after")).dump());
}

void store_emulator::answer_watch(const caller& from, const emulated_request& request,
                                  const std::string& kind)
{
    served_connection& connection = from.connection;
    const std::int64_t revision = number_of(request.parameter("watch"));
    const steady_time end =
        steady_clock::now() + milliseconds(number_of(request.parameter("wait-ms")));
    while (!this->stays_silent(from, kind)) {
        const json changes = this->changes_after(kind, revision);
        if (changes.is_null()) {
            this->answer(connection, http_gone, "{}");
            return;
        }
        if (!changes["events"].empty() || steady_clock::now() >= end) {
            this->answer(connection, http_ok, changes.dump());
            return;
        }
        // A watch that waits is cut off when the store falls into trouble.
        const store_trouble now = this->trouble();
        if (now != store_trouble::none && now != store_trouble::slow) {
            connection.reset();
            return;
        }
        if (!connection.work_for(watch_step)) {
            return;
        }
    }
}

} // namespace sardinestream::testing
