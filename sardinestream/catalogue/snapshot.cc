#include "sardinestream/catalogue/snapshot.h"

#include <algorithm>

namespace sardinestream::catalogue {

catalogue_snapshot::catalogue_snapshot(std::uint64_t number, std::vector<catalogue_entry> entries)
    : snapshot_number(number), all(std::move(entries))
{
    std::sort(this->all.begin(), this->all.end(),
              [](const catalogue_entry& left, const catalogue_entry& right) {
                  return left.name < right.name;
              });
    for (std::size_t i = 0; i < this->all.size(); ++i) {
        for (const std::string& digest : this->all[i].key_digests) {
            this->by_key.emplace(std::pair(digest, this->all[i].service), i);
        }
    }
}

const catalogue_entry* catalogue_snapshot::find(absl::string_view key_digest,
                                                absl::string_view service) const
{
    auto found = this->by_key.find({std::string(key_digest), std::string(service)});
    return found == this->by_key.end() ? nullptr : &this->all[found->second];
}

bool catalogue_snapshot::knows_key(absl::string_view key_digest) const
{
    auto first = this->by_key.lower_bound({std::string(key_digest), std::string()});
    return first != this->by_key.end() && first->first.first == key_digest;
}

} // namespace sardinestream::catalogue
