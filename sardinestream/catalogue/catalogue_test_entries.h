// Builds catalogue entries for tests.

#ifndef SARDINESTREAM_CATALOGUE_CATALOGUE_TEST_ENTRIES_H_
#define SARDINESTREAM_CATALOGUE_CATALOGUE_TEST_ENTRIES_H_

#include <string>

#include "sardinestream/base/digest.h"

#include "absl/strings/str_cat.h"

namespace sardinestream::catalogue {

// Returns the JSON of a valid entry whose bearer key is `key`.
inline std::string make_entry(absl::string_view key, int max_in_flight = 4)
{
    return absl::StrCat(R"({"owner":"mehulaakso","service":"assistant","work_class":"model",)",
                        R"("repeat":"all","limits":{"max_in_flight":)", max_in_flight,
                        R"(},"key_digests":[")", sha256_hex(key), R"("]})");
}

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_CATALOGUE_TEST_ENTRIES_H_
