#include "sardinestream/base/bounded_body.h"

namespace sardinestream {

bool bounded_body::append(absl::string_view bytes)
{
    if (this->text.size() + bytes.size() > this->max_bytes) {
        return false;
    }
    if (held_bytes.fetch_add(bytes.size()) + bytes.size() > max_held_bytes) {
        held_bytes -= bytes.size();
        return false;
    }
    this->counted += bytes.size();
    this->text.append(bytes.data(), bytes.size());
    return true;
}

} // namespace sardinestream
