// Requests and options that the tests of blame share.

#ifndef SARDINESTREAM_SUSPECTS_BLAME_TEST_REQUESTS_H_
#define SARDINESTREAM_SUSPECTS_BLAME_TEST_REQUESTS_H_

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "sardinestream/suspects/blame.h"
#include "sardinestream/suspects/suspect_registry.h"

namespace sardinestream::suspects {

inline constexpr int many_crashes = 5;
inline constexpr std::size_t max_evidence = 10;

inline digest128 part(const std::string& name)
{
    return prompt_part_trait("assistant", name);
}

inline request_traits request(const std::vector<std::string>& parts)
{
    request_traits traits;
    std::transform(parts.begin(), parts.end(), std::back_inserter(traits), part);
    return traits;
}

inline absl::Time at_second(double second)
{
    return absl::FromUnixSeconds(1000) + absl::Seconds(second);
}

inline blame_options shared_server_options()
{
    return {.unproven = {.crashes = 3, .moments = 2, .crashes_at_once = 5},
            .proven = {.crashes = 5, .moments = 2},
            .moment = absl::Milliseconds(500)};
}

} // namespace sardinestream::suspects

#endif // SARDINESTREAM_SUSPECTS_BLAME_TEST_REQUESTS_H_
