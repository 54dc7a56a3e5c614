// Validates one version of a catalogue entry.
//
// A pure function of the entry's name and JSON text. A refusal consists of a code, the field and
// the allowed values, so that tools can present it in any language:
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

// Why a version was refused. The meanings of the codes never change; docs/OPERATIONS.md lists them.
enum class entry_code : std::uint8_t {
    none = 0,
    not_an_object,
    unknown_field,
    missing_field,
    wrong_type,
    out_of_range,
    not_in_set,
    bad_format,
    duplicate_key, // the key or the engine target is already taken for the service
    too_large,
    catalogue_full,
};

struct entry_refusal {
    entry_code code = entry_code::none;
    std::string field;   // dotted path, such as "limits.max_tokens"
    std::string allowed; // a range "1..16", a set "model|plain", a type or a pattern
    // For `duplicate_key`: name of the conflicting entry; empty if the entry repeats its own key.
    std::string other;

    friend bool operator==(const entry_refusal&, const entry_refusal&) = default;
};

using entry_verdict = std::variant<catalogue_entry, entry_refusal>;

// Maximum size of an entry's JSON text.
constexpr std::size_t max_entry_bytes = 16U << 10;

// How to treat fields that this release does not know.
enum class unknown_fields : std::uint8_t {
    refuse, // for specs that an operator wrote
    ignore, // for specs that a newer release has accepted
};

// Returns the parsed entry, or the first reason to refuse it.
[[nodiscard]] entry_verdict validate_entry(absl::string_view name, absl::string_view spec,
                                           unknown_fields unknown = unknown_fields::refuse);

// Returns the code's name, such as "out_of_range".
[[nodiscard]] absl::string_view to_string(entry_code code);
// Returns the code with this name; `none` if there is no such code.
[[nodiscard]] entry_code entry_code_from(absl::string_view name);

[[nodiscard]] absl::string_view to_string(work_class work);
[[nodiscard]] absl::string_view to_string(repeat_rule repeat);
[[nodiscard]] absl::string_view to_string(priority_class priority);

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_ENTRY_VALIDATION_H_
