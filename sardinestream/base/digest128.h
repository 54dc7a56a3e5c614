// Provides 128-bit digests that identify keys, requests and fingerprints in large tables.
//
// They are the first half of a SHA-256 over a domain and a list of fields, each preceded by its
// length, so two different lists never share an encoding:
//
//     const digest128 key = digest_of("caller_key", {team, service, idempotency_key});

#ifndef SARDINESTREAM_BASE_DIGEST128_H_
#define SARDINESTREAM_BASE_DIGEST128_H_

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"

namespace sardinestream {

struct digest128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // Returns 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_hex() const;

    friend bool operator==(const digest128&, const digest128&) = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive for a comparison that is rewritten.
    friend auto operator<=>(const digest128&, const digest128&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const digest128& digest) // NOLINT: name set by Abseil
    {
        return Hash::combine(std::move(state), digest.high, digest.low);
    }
};

// `domain` separates digests of different meaning over the same fields.
[[nodiscard]] digest128 digest_of(absl::string_view domain,
                                  std::initializer_list<absl::string_view> fields);

// Parses the output of `to_hex`; returns nullopt for any other text.
[[nodiscard]] std::optional<digest128> parse_digest(absl::string_view hex);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_DIGEST128_H_
