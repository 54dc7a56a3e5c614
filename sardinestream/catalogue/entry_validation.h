// Decides whether a version of a catalogue entry may come into force.
//
// A pure function of the entry's name and JSON text. A refusal names a code, the field and what is
// allowed there, so that it can be read without any one language:
//
//     entry_verdict verdict = validate_entry("mehulaakso-till", spec);
//     if (const auto* refused = std::get_if<entry_refusal>(&verdict)) {
//         // refused->code == entry_code::out_of_range, refused->field == "limits.max_tokens",
//         // refused->allowed == "1..1000000"
//     }

#ifndef SARDINESTREAM_CATALOGUE_ENTRY_VALIDATION_H_
#define SARDINESTREAM_CATALOGUE_ENTRY_VALIDATION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "sardinestream/catalogue/snapshot.h"

#include "absl/strings/string_view.h"

namespace sardinestream::catalogue {

// Why a version was refused. Codes never change their meaning; docs/OPERATIONS.md lists them.
enum class entry_code : std::uint8_t {
    none = 0,
    not_an_object,
    unknown_field,
    missing_field,
    wrong_type,
    out_of_range,
    not_in_set,
    bad_format,
    duplicate_key, // another entry has the same key for the same service
    too_large,
    catalogue_full,
};

struct entry_refusal {
    entry_code code = entry_code::none;
    std::string field;   // dotted path, such as "limits.max_tokens"
    std::string allowed; // a range "1..16", a set "model|plain", a type or a pattern
    std::string other;   // the entry that it clashes with, for `duplicate_key`

    friend bool operator==(const entry_refusal&, const entry_refusal&) = default;
};

using entry_verdict = std::variant<catalogue_entry, entry_refusal>;

// Largest JSON text of an entry.
constexpr std::size_t max_entry_bytes = 16U << 10;

// What to make of fields that this release does not know.
enum class unknown_fields : std::uint8_t {
    refuse, // for what an operator wrote
    ignore, // for what a newer release has accepted
};

[[nodiscard]] entry_verdict validate_entry(absl::string_view name, absl::string_view spec,
                                           unknown_fields unknown = unknown_fields::refuse);

// Returns the code's name, such as "out_of_range", or the code of a name; `none` where there is no
// such name.
[[nodiscard]] absl::string_view to_string(entry_code code);
[[nodiscard]] entry_code entry_code_from(absl::string_view name);

[[nodiscard]] absl::string_view to_string(work_class work);
[[nodiscard]] absl::string_view to_string(repeat_rule repeat);
[[nodiscard]] absl::string_view to_string(priority_class priority);

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_ENTRY_VALIDATION_H_
