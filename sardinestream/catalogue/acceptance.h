// Plans the next catalogue number: a pure function of the catalogue in force and the entries that
// operators wrote.
//
//     acceptance_plan plan = plan_acceptance(*image, view, image->number() + 1, absl::Now());
//     if (plan.changed.empty()) { /* no open decisions */ }
//
// An entry whose new version is refused keeps the version in force. New versions are examined in
// the order of their edits, so that the earlier of two conflicting versions is accepted. A version
// that was refused for a conflict is examined again after the catalogue changes; every other
// refusal is final for its version.

#ifndef SARDINESTREAM_CATALOGUE_ACCEPTANCE_H_
#define SARDINESTREAM_CATALOGUE_ACCEPTANCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sardinestream/catalogue/image.h"
#include "sardinestream/store/object_store.h"

#include "absl/time/time.h"

namespace sardinestream::catalogue {

// The entries as the platform returns them, complete up to `version`.
struct entry_view {
    std::map<std::string, platform::object, std::less<>> objects;
    std::uint64_t version = 0;
};

struct acceptance_plan {
    // Complete new records of each changed shard, by shard id.
    std::map<std::size_t, std::vector<entry_record>> changed;
    int accepted = 0;
    int refused = 0;
    int removed = 0;
};

// Returns the decisions that are open in `view`; the changed records carry `next_number`.
// Precondition: `view.version` is at least the `seen_version` of the image's index; an older view
// could restore entries that have been removed.
[[nodiscard]] acceptance_plan plan_acceptance(const catalogue_image& image, const entry_view& view,
                                              std::uint64_t next_number, absl::Time now);

// Returns the status to write to the entry's object: JSON with its keys sorted.
[[nodiscard]] std::string format_entry_status(const entry_record& record);

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_ACCEPTANCE_H_
