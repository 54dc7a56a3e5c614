#include "sardinestream/testing/emulator/rank_group.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace sardinestream::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds tick{1};
// Choices that one stream makes in a set at each pass.
constexpr int choices_per_pass = 12;

constexpr int http_ok = 200;
constexpr int http_accepted = 202;
constexpr int http_bad_request = 400;
constexpr int http_conflict = 409;

absl::Time to_absl(steady_time time)
{
    return absl::Now() + absl::FromChrono(time - steady_clock::now());
}

} // namespace

rank_group::rank_group(rank_group_options chosen,
                       std::function<void(const std::string&)> on_mixed_maps)
    : options(std::move(chosen)), on_mixed_maps(std::move(on_mixed_maps))
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->ranks.resize(static_cast<std::size_t>(this->options.shape.ranks));
        const auto choices = static_cast<std::size_t>(this->options.shape.sets) *
                             static_cast<std::size_t>(this->options.shape.experts);
        for (rank_state& state : this->ranks) {
            state.map = initial_map(this->options.shape);
            state.counts.assign(choices, 0);
        }
    }
    this->passing = std::thread([this] { this->run(); });
}

rank_group::~rank_group()
{
    {
        const absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->passing.join();
}

rank_group::stream::stream(rank_group& owner, int on_rank) : group(owner), rank(on_rank)
{
    const absl::MutexLock lock(&this->group.mutex);
    ++this->group.ranks[static_cast<std::size_t>(this->rank)].streams;
    this->last_pass = this->group.step;
}

rank_group::stream::~stream()
{
    const absl::MutexLock lock(&this->group.mutex);
    --this->group.ranks[static_cast<std::size_t>(this->rank)].streams;
}

bool rank_group::stream::wait_for_pass(steady_time deadline)
{
    const absl::MutexLock lock(&this->group.mutex);
    const auto passed = [this] {
        this->group.mutex.AssertHeld();
        return this->group.step > this->last_pass;
    };
    const bool came =
        this->group.mutex.AwaitWithDeadline(absl::Condition(&passed), to_absl(deadline));
    this->last_pass = this->group.step;
    return came;
}

void rank_group::run()
{
    while (true) {
        {
            const absl::MutexLock lock(&this->mutex);
            if (this->stopping) {
                return;
            }
            const steady_time now = steady_clock::now();
            if (this->may_begin_pass(now)) {
                this->next_pass = now + this->pass_time();
                this->begin_pass();
            }
        }
        std::this_thread::sleep_for(tick);
    }
}

milliseconds rank_group::pass_time() const
{
    double slowest = 1;
    for (const rank_state& state : this->ranks) {
        slowest = std::max(slowest, state.slowness);
    }
    return std::chrono::duration_cast<milliseconds>(this->options.pass_time * slowest);
}

bool rank_group::all_alive() const
{
    return std::all_of(this->ranks.begin(), this->ranks.end(),
                       [](const rank_state& state) { return state.alive; });
}

bool rank_group::may_begin_pass(steady_time now) const
{
    if (now < this->next_pass || now < this->opens_at || !this->all_alive()) {
        return false;
    }
    bool busy = false;
    for (const rank_state& state : this->ranks) {
        if (state.held_step == this->step + 1) {
            return false;
        }
        busy = busy || state.streams > 0;
    }
    return busy;
}

void rank_group::begin_pass()
{
    ++this->step;
    for (rank_state& state : this->ranks) {
        if (state.armed.has_value() && state.armed->step == this->step) {
            state.version = state.armed->version;
            state.map = state.prepared;
            state.prepared_version = 0;
            state.armed.reset();
        }
    }
    this->check_maps();
    const map_shape& shape = this->options.shape;
    for (rank_state& state : this->ranks) {
        for (int set = 0; set < shape.sets; ++set) {
            for (int choice = 0; choice < choices_per_pass * state.streams; ++choice) {
                // Half of the choices fall on two experts.
                const int liked = choice % 2 == 0 ? choice / 2 % 2 : choice;
                const int expert = (this->taste + set + liked) % shape.experts;
                ++state.counts[static_cast<std::size_t>(set) *
                                   static_cast<std::size_t>(shape.experts) +
                               static_cast<std::size_t>(expert)];
            }
        }
    }
}

void rank_group::check_maps()
{
    const rank_state& first = this->ranks.front();
    for (const rank_state& state : this->ranks) {
        if (state.version != first.version || !(state.map == first.map)) {
            this->on_mixed_maps(absl::StrCat("pass ", this->step, " of ", this->options.name,
                                             " began with maps ", first.version, " and ",
                                             state.version));
            return;
        }
    }
}

void rank_group::form_anew()
{
    ++this->epoch;
    this->opens_at = steady_clock::now() + this->options.form_time;
    for (rank_state& state : this->ranks) {
        state.version = 0;
        state.map = initial_map(this->options.shape);
        state.prepared_version = 0;
        state.armed.reset();
        state.held_step.reset();
    }
}

void rank_group::end_rank(int rank)
{
    const absl::MutexLock lock(&this->mutex);
    this->ranks[static_cast<std::size_t>(rank)].alive = false;
}

void rank_group::return_rank(int rank)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->ranks[static_cast<std::size_t>(rank)];
    state.alive = true;
    state.highest = 0;
    std::fill(state.counts.begin(), state.counts.end(), 0);
    this->form_anew();
}

bool rank_group::is_open() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->all_alive() && steady_clock::now() >= this->opens_at;
}

bool rank_group::is_switching() const
{
    const absl::MutexLock lock(&this->mutex);
    return std::any_of(this->ranks.begin(), this->ranks.end(),
                       [](const rank_state& state) { return state.armed.has_value(); });
}

void rank_group::set_slowness(int rank, double slowness)
{
    const absl::MutexLock lock(&this->mutex);
    this->ranks[static_cast<std::size_t>(rank)].slowness = slowness;
}

void rank_group::delay_passes(steady_time until)
{
    const absl::MutexLock lock(&this->mutex);
    this->next_pass = std::max(this->next_pass, until);
}

void rank_group::set_demand(int wanted)
{
    const absl::MutexLock lock(&this->mutex);
    this->taste = wanted;
}

json rank_group::report(int rank) const
{
    const absl::MutexLock lock(&this->mutex);
    const rank_state& state = this->ranks[static_cast<std::size_t>(rank)];
    const bool open = this->all_alive() && steady_clock::now() >= this->opens_at;
    json report = {{"group",
                    {{"name", this->options.name},
                     {"epoch", this->epoch},
                     {"rank", rank},
                     {"state", open ? "open" : "broken"}}},
                   {"size", this->options.shape.ranks},
                   {"step", this->step},
                   {"map", state.version}};
    if (state.prepared_version > 0 && steady_clock::now() >= state.prepared_at) {
        report["prepared"] = state.prepared_version;
    }
    if (state.armed.has_value()) {
        report["armed"] = {{"version", state.armed->version}, {"step", state.armed->step}};
    }
    if (state.held_step.has_value()) {
        report["held"] = *state.held_step;
    }
    return report;
}

json rank_group::counts(int rank) const
{
    const absl::MutexLock lock(&this->mutex);
    return {{"step", this->step},
            {"epoch", this->epoch},
            {"counts", this->ranks[static_cast<std::size_t>(rank)].counts}};
}

json rank_group::experts(int rank) const
{
    const absl::MutexLock lock(&this->mutex);
    const rank_state& state = this->ranks[static_cast<std::size_t>(rank)];
    json sets = json::array();
    for (int set = 0; set < this->options.shape.sets; ++set) {
        sets.push_back(state.map.experts_of(set, rank));
    }
    return {{"map", {{"version", state.version}, {"experts", sets}}}};
}

int rank_group::order(int rank, const json& order)
{
    const absl::MutexLock lock(&this->mutex);
    rank_state& state = this->ranks[static_cast<std::size_t>(rank)];
    if (order.value("epoch", this->epoch) != this->epoch || !state.alive) {
        return http_conflict;
    }
    const auto operation = order.value("operation", std::string());
    if (operation == "prepare") {
        return this->prepare(state, rank, order);
    }
    if (operation == "arm") {
        return this->arm(state, order);
    }
    if (operation == "hold") {
        return this->hold(state, order);
    }
    return operation == "go" ? release(state, order) : http_bad_request;
}

std::optional<expert_map> rank_group::decode_map(const json& sets) const
{
    const map_shape& shape = this->options.shape;
    expert_map map(shape);
    if (static_cast<int>(sets.size()) != shape.sets) {
        return std::nullopt;
    }
    for (int set = 0; set < shape.sets; ++set) {
        const json& of_set = sets[static_cast<std::size_t>(set)];
        if (static_cast<int>(of_set.size()) != shape.ranks) {
            return std::nullopt;
        }
        for (int rank = 0; rank < shape.ranks; ++rank) {
            for (const int expert : of_set[static_cast<std::size_t>(rank)]) {
                map.add(set, rank, expert);
            }
        }
    }
    return map.check().ok() ? std::optional<expert_map>(map) : std::nullopt;
}

int rank_group::prepare(rank_state& state, int rank, const json& order)
{
    const auto version = order.value("version", std::int64_t{0});
    const std::optional<expert_map> map = this->decode_map(order.at("map"));
    if (!map.has_value() || version <= state.highest || state.armed.has_value()) {
        return http_conflict;
    }
    int copies = 0;
    for (int set = 0; set < this->options.shape.sets; ++set) {
        int copies_of_set = 0;
        for (const int expert : map->experts_of(set, rank)) {
            copies_of_set += state.map.holds(set, rank, expert) ? 0 : 1;
        }
        if (copies_of_set > this->options.most_new_experts) {
            return http_conflict;
        }
        copies += copies_of_set;
    }
    state.highest = version;
    state.prepared_version = version;
    state.prepared = *map;
    state.prepared_at = steady_clock::now() + copies * this->options.copy_time_per_expert;
    return http_accepted;
}

int rank_group::arm(rank_state& state, const json& order)
{
    const armed_map wanted = {order.value("version", std::int64_t{0}),
                              order.value("step", std::int64_t{0})};
    if (state.armed.has_value() && state.armed->version == wanted.version &&
        state.armed->step == wanted.step) {
        return http_ok;
    }
    if (state.prepared_version != wanted.version || steady_clock::now() < state.prepared_at ||
        wanted.step <= this->step) {
        return http_conflict;
    }
    state.armed = wanted;
    return http_accepted;
}

int rank_group::hold(rank_state& state, const json& order)
{
    const auto wanted = order.value("step", std::int64_t{0});
    if (state.held_step == wanted) {
        return http_ok;
    }
    if (state.held_step.has_value() || wanted <= this->step) {
        return http_conflict;
    }
    state.held_step = wanted;
    return http_accepted;
}

int rank_group::release(rank_state& state, const json& order)
{
    if (state.held_step.has_value() && *state.held_step != order.value("step", std::int64_t{0})) {
        return http_conflict;
    }
    state.held_step.reset();
    return http_ok;
}

std::int64_t rank_group::map_version() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->ranks.front().version;
}

std::int64_t rank_group::passes() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->step;
}

} // namespace sardinestream::testing
