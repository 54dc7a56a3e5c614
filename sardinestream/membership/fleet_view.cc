#include "sardinestream/membership/fleet_view.h"

#include <utility>

namespace sardinestream::membership {

std::unique_ptr<fleet_view> fleet_view::create(std::string own_id, std::vector<address> seeds,
                                               platform::object_store& store,
                                               peer_directory& directory)
{
    std::unique_ptr<fleet_view> made(
        new fleet_view(std::move(own_id), std::move(seeds), directory));
    directory.set_addresses(made->seeds);
    platform::instance_list_options options;
    options.on_change = [view = made.get()](const std::vector<platform::instance>& listed) {
        view->apply(listed);
    };
    made->list = platform::instance_list::create(std::move(options), store);
    return made;
}

fleet_view::fleet_view(std::string id, std::vector<address> seed_addresses, peer_directory& known)
    : own_id(std::move(id)), seeds(std::move(seed_addresses)), directory(known)
{
}

void fleet_view::apply(const std::vector<platform::instance>& listed)
{
    std::vector<address> wanted = this->seeds;
    std::set<std::string> ids;
    for (const platform::instance& each : listed) {
        ids.insert(each.id);
        if (each.id == this->own_id) {
            continue;
        }
        wanted.push_back(each.links);
        if (each.leaving) {
            this->directory.note_leaving(each.id, each.incarnation);
        }
    }
    this->directory.set_addresses(wanted);
    const absl::MutexLock lock(&this->mutex);
    this->listed_before.insert(ids.begin(), ids.end());
    this->listed_now = std::move(ids);
}

bool fleet_view::is_removed(const std::string& id) const
{
    const absl::MutexLock lock(&this->mutex);
    return this->listed_before.count(id) > 0 && this->listed_now.count(id) == 0;
}

} // namespace sardinestream::membership
