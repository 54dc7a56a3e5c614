#include "sardinestream/store/instance_list.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/error.h"
#include "sardinestream/base/log.h"
#include "sardinestream/base/metrics.h"

#include "absl/random/random.h"

namespace sardinestream::platform {
namespace {

using nlohmann::json;

constexpr absl::Duration shortest_pause = absl::Milliseconds(200);
constexpr absl::Duration longest_pause = absl::Seconds(5);

std::string text_of(const json& spec, const char* field)
{
    auto found = spec.find(field);
    return found != spec.end() && found->is_string() ? found->get<std::string>() : "";
}

absl::Status bad_instance(const object& listed, absl::string_view what)
{
    return make_error(absl::StatusCode::kInvalidArgument, "parse_instance", listed.name, what);
}

} // namespace

absl::StatusOr<instance> parse_instance(const object& listed)
{
    const json spec = json::parse(listed.spec, nullptr, false);
    if (!spec.is_object()) {
        return bad_instance(listed, "spec is not a JSON object");
    }
    instance parsed;
    parsed.id = listed.name;
    const std::string role = text_of(spec, "role");
    if (role != "entry" && role != "agent") {
        return bad_instance(listed, "role is neither entry nor agent");
    }
    parsed.role = role == "entry" ? instance_role::entry : instance_role::agent;
    absl::StatusOr<address> links = parse_address(text_of(spec, "address"));
    if (!links.ok()) {
        return bad_instance(listed, "address is not of the form IP:PORT");
    }
    parsed.links = *std::move(links);
    parsed.data_centre = text_of(spec, "data_centre");
    if (auto found = spec.find("incarnation"); found != spec.end() && found->is_number_unsigned()) {
        parsed.incarnation = found->get<std::uint64_t>();
    }
    if (auto found = spec.find("leaving"); found != spec.end() && found->is_boolean()) {
        parsed.leaving = found->get<bool>();
    }
    return parsed;
}

std::vector<instance> with_seeds(std::vector<instance> listed, const std::vector<address>& seeds,
                                 instance_role role)
{
    for (const address& seed : seeds) {
        const bool known = std::any_of(listed.begin(), listed.end(),
                                       [&seed](const instance& one) { return one.links == seed; });
        if (known) {
            continue;
        }
        instance added;
        added.role = role;
        added.links = seed;
        listed.push_back(std::move(added));
    }
    return listed;
}

std::unique_ptr<instance_list> instance_list::create(instance_list_options options,
                                                     object_store& store)
{
    std::unique_ptr<instance_list> made(new instance_list(std::move(options), store));
    made->watch_thread = std::thread([list = made.get()] { list->run_watch_loop(); });
    return made;
}

instance_list::instance_list(instance_list_options options, object_store& platform_store)
    : settings(std::move(options)), store(platform_store)
{
}

instance_list::~instance_list()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->watch_thread.join();
}

std::vector<instance> instance_list::current() const
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<instance> listed;
    listed.reserve(this->instances.size());
    for (const auto& [id, one] : this->instances) {
        listed.push_back(one);
    }
    return listed;
}

bool instance_list::has_answered() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->answered;
}

absl::Time instance_list::confirmed_at() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->confirmed;
}

void instance_list::run_watch_loop()
{
    absl::BitGen random;
    absl::Duration next_pause = shortest_pause;
    while (!this->pause(absl::ZeroDuration())) {
        absl::StatusOr<std::uint64_t> version = this->read_all();
        absl::Status followed = version.status();
        while (followed.ok() && !this->pause(absl::ZeroDuration())) {
            next_pause = shortest_pause;
            followed = this->watch_from(*version);
            const absl::MutexLock lock(&this->mutex);
            version = this->seen_version;
        }
        count("sardine_instance_list_retries_total",
              {{"reason", absl::StatusCodeToString(followed.code())}});
        this->pause(next_pause * absl::Uniform(random, 0.75, 1.25));
        next_pause = std::min(2 * next_pause, longest_pause);
    }
}

absl::StatusOr<std::uint64_t> instance_list::read_all()
{
    const absl::StatusOr<object_list> listed = this->store.list(instance_kind);
    if (!listed.ok()) {
        return listed.status();
    }
    std::map<std::string, instance> complete;
    for (const object& one : listed->objects) {
        absl::StatusOr<instance> parsed = parse_instance(one);
        if (!parsed.ok()) {
            log_failure("instance_refused", parsed.status());
            continue;
        }
        complete.emplace(one.name, *std::move(parsed));
    }
    {
        const absl::MutexLock lock(&this->mutex);
        this->instances = std::move(complete);
        this->seen_version = listed->version;
        this->answered = true;
        this->confirmed = absl::Now();
    }
    this->notify();
    return listed->version;
}

absl::Status instance_list::watch_from(std::uint64_t version)
{
    const absl::Status watched = this->store.watch(
        instance_kind, version, this->settings.longest_watch, [this](const object_change& change) {
            this->apply_change(change);
            return true;
        });
    if (watched.ok()) {
        const absl::MutexLock lock(&this->mutex);
        this->confirmed = absl::Now();
    }
    return watched;
}

void instance_list::apply_change(const object_change& change)
{
    absl::StatusOr<instance> parsed = parse_instance(change.changed);
    {
        const absl::MutexLock lock(&this->mutex);
        this->seen_version = std::max(this->seen_version, change.changed.version);
        this->confirmed = absl::Now();
        if (change.change == change_kind::removed) {
            this->instances.erase(change.changed.name);
        }
        else if (parsed.ok()) {
            this->instances.insert_or_assign(change.changed.name, *std::move(parsed));
        }
        else {
            log_failure("instance_refused", parsed.status());
        }
    }
    this->notify();
}

void instance_list::notify()
{
    const std::vector<instance> listed = this->current();
    set_gauge("sardine_instances_listed", {}, static_cast<double>(listed.size()));
    if (this->settings.on_change) {
        this->settings.on_change(listed);
    }
}

bool instance_list::pause(absl::Duration time)
{
    const absl::MutexLock lock(&this->mutex);
    return this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), time);
}

} // namespace sardinestream::platform
