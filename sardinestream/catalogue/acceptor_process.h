// The processes of an acceptor test, on a platform that a test can interrupt between two calls.

#ifndef SARDINESTREAM_CATALOGUE_ACCEPTOR_PROCESS_H_
#define SARDINESTREAM_CATALOGUE_ACCEPTOR_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/catalogue/acceptor.h"
#include "sardinestream/catalogue/catalogue_test_entries.h"
#include "sardinestream/catalogue/store_sync.h"

namespace sardinestream::catalogue {

// Forwards to a real store and runs `interrupt` once before a chosen call, so that a test can place
// writes of others between two calls.
class interrupted_store : public platform::object_store {
public:
    explicit interrupted_store(const address& server)
        : inner(platform::object_store::create({.servers = {server}}).value())
    {
    }

    void interrupt_before(int call, std::function<void()> action)
    {
        this->calls_left = call;
        this->interrupt = std::move(action);
    }

    absl::StatusOr<platform::object> get(absl::string_view kind, absl::string_view name) override
    {
        this->step();
        return this->inner->get(kind, name);
    }
    absl::StatusOr<platform::object_list> list(absl::string_view kind) override
    {
        this->step();
        return this->inner->list(kind);
    }
    absl::StatusOr<platform::object> create_object(absl::string_view kind, absl::string_view name,
                                                   absl::string_view spec) override
    {
        this->step();
        return this->inner->create_object(kind, name, spec);
    }
    absl::StatusOr<platform::object> update(absl::string_view kind, absl::string_view name,
                                            absl::string_view spec, std::uint64_t version) override
    {
        this->step();
        return this->inner->update(kind, name, spec, version);
    }
    absl::Status update_status(absl::string_view kind, absl::string_view name,
                               absl::string_view status) override
    {
        this->step();
        return this->inner->update_status(kind, name, status);
    }
    absl::Status remove(absl::string_view kind, absl::string_view name) override
    {
        this->step();
        return this->inner->remove(kind, name);
    }
    absl::Status
    watch(absl::string_view kind, std::uint64_t version, absl::Duration longest,
          const std::function<bool(const platform::object_change&)>& on_change) override
    {
        return this->inner->watch(kind, version, longest, on_change);
    }
    void cancel_watches() override { this->inner->cancel_watches(); }

private:
    void step()
    {
        if (this->interrupt && this->calls_left-- <= 0) {
            const std::function<void()> action = std::move(this->interrupt);
            this->interrupt = nullptr;
            action();
        }
    }

    const std::unique_ptr<platform::object_store> inner;
    int calls_left = 0;
    std::function<void()> interrupt;
};

// One process: an acceptor's options, its connection to the platform and its catalogue state.
struct process {
    process(const std::string& id, const address& server) : options{.id = id}, store(server)
    {
        this->state.on_change([this](const std::shared_ptr<const catalogue_snapshot>& snapshot) {
            this->numbers.push_back(snapshot->number());
        });
    }

    absl::Status decide() { return acceptor::decide_once(this->options, this->store, this->state); }

    absl::Status read()
    {
        const absl::StatusOr<stored_index> stored = read_index(this->store);
        return stored.ok() ? load_index(this->store, this->state, stored->index) : stored.status();
    }

    acceptor_options options;
    interrupted_store store;
    catalogue_state state;
    std::vector<std::uint64_t> numbers;
};

inline std::string entry_name(int entry)
{
    return absl::StrCat("entry-", entry);
}

// Variants 0 to 2 use keys shared between entries and so conflict, 3 and 4 use the entry's own
// keys, 5 is invalid.
inline std::string entry_spec(int entry, int variant)
{
    if (variant == 5) {
        return R"({"owner":7})";
    }
    const std::string key =
        variant < 3 ? absl::StrCat("shared-", variant) : absl::StrCat("own-", entry, "-", variant);
    return make_entry(key, 1 + variant);
}

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_ACCEPTOR_PROCESS_H_
