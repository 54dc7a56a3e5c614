// Works out what comes into force next: a pure function of the catalogue in force and the entries
// that operators wrote.
//
//     acceptance_plan plan = plan_acceptance(*image, view, image->number() + 1, absl::Now());
//     if (plan.changed.empty()) { /* nothing to decide */ }
//
// An entry whose new version is refused keeps the version in force. Among new versions the earlier
// edit goes first, so that of two that clash the earlier one wins. A version that was refused for a
// clash is examined again once the catalogue changes; every other refusal is final for its version.

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

// The entries as the platform shows them, complete up to `version`.
struct entry_view {
    std::map<std::string, platform::object, std::less<>> objects;
    std::uint64_t version = 0;
};

struct acceptance_plan {
    // The new records of each shard that changes.
    std::map<std::size_t, std::vector<entry_record>> changed;
    int accepted = 0;
    int refused = 0;
    int removed = 0;
};

// Precondition: `view.version` is at least the `seen_version` of the image's index; an older view
// could bring back what was removed.
[[nodiscard]] acceptance_plan plan_acceptance(const catalogue_image& image, const entry_view& view,
                                              std::uint64_t next_number, absl::Time now);

// Returns the status object that the record calls for, as JSON with sorted names.
[[nodiscard]] std::string format_entry_status(const entry_record& record);

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_ACCEPTANCE_H_
