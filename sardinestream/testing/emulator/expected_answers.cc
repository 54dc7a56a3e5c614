// What a sound server answers, as its target and its request's id say.

#include <vector>

#include "sardinestream/base/digest.h"
#include "sardinestream/testing/emulator/backend_emulator.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace sardinestream::testing {

using std::chrono::milliseconds;

namespace {

// The mean of the steps between ids.
constexpr std::int64_t event_id_step = 3;

} // namespace

std::string expected_answer(const std::string& request_id, const std::string& target,
                            const std::string& body)
{
    return absl::StrCat(request_id, " ", target, " ", sha256_hex(body), "\n");
}

std::string expected_event(const std::string& request_id, std::int64_t number)
{
    return absl::StrCat(request_id, ":", number);
}

std::int64_t event_id(std::int64_t number)
{
    return event_id_step * number + number % 2;
}

std::int64_t event_number(std::int64_t id)
{
    return id / event_id_step;
}

std::int64_t events_of(const std::string& target)
{
    std::int64_t events = 0;
    return absl::SimpleAtoi(target.substr(target.rfind('/') + 1), &events) ? events : 0;
}

milliseconds pace_of(const std::string& target)
{
    const std::vector<std::string> parts = absl::StrSplit(target, '/');
    std::int64_t pace_ms = 0;
    return parts.size() == 4 && absl::SimpleAtoi(parts[2], &pace_ms) ? milliseconds(pace_ms)
                                                                     : milliseconds(0);
}

} // namespace sardinestream::testing
