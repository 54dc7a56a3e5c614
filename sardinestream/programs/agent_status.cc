#include "sardinestream/programs/agent_status.h"

#include <nlohmann/json.hpp>

#include "sardinestream/base/metrics.h"

namespace sardinestream {
namespace {

std::string status_json(const agent_status& status)
{
    const nlohmann::json fields = {{"engine_answers", status.engine_answers},
                                   {"group", status.group},
                                   {"rank", status.rank},
                                   {"epoch", status.epoch},
                                   {"step", status.step},
                                   {"pass_ms", status.pass_ms},
                                   {"running", status.running},
                                   {"waiting", status.waiting},
                                   {"map_version", status.map_version},
                                   {"prepared_version", status.prepared_version},
                                   {"term", status.term},
                                   {"coordinator_rank", status.coordinator_rank},
                                   {"coordinating", status.coordinating},
                                   {"entries", status.entries},
                                   {"age_ms", status.age.count()}};
    return fields.dump();
}

void show(const agent_status& status)
{
    constexpr double ms_per_s = 1000;
    set_gauge("sardine_engine_answers", {}, status.engine_answers ? 1 : 0);
    set_gauge("sardine_engine_requests", {{"state", "running"}}, status.running);
    set_gauge("sardine_engine_requests", {{"state", "waiting"}}, status.waiting);
    set_gauge("sardine_pass_seconds", {}, status.pass_ms / ms_per_s);
    set_gauge("sardine_group_epoch", {}, static_cast<double>(status.epoch));
    set_gauge("sardine_map_version", {}, static_cast<double>(status.map_version));
    set_gauge("sardine_coordinating", {}, status.coordinating ? 1 : 0);
    set_gauge("sardine_entries", {{"seen", "alive"}}, status.entries);
}

} // namespace

operator_pages make_pages(const agent_status& status)
{
    return {[status] { show(status); }, [status] { return status_json(status); }};
}

} // namespace sardinestream
