// Provides hashes, message authentication codes and random identifiers, all through OpenSSL.
//
// Use `sha256_hex` for names that must not reveal their input (bearer keys, idempotency keys),
// `hmac_sha256_hex` for tokens that callers send back, and `random_u64` for incarnations.

#ifndef SARDINESTREAM_BASE_DIGEST_H_
#define SARDINESTREAM_BASE_DIGEST_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace sardinestream {

// Returns the SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(absl::string_view data);

// Returns HMAC-SHA-256 of `data` under `key` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string hmac_sha256_hex(absl::string_view key, absl::string_view data);

// Compares two strings in time that depends only on their lengths.
[[nodiscard]] bool equal_constant_time(absl::string_view left, absl::string_view right);

// Returns a stable 64-bit hash of `data`: the same in every process and release.
[[nodiscard]] std::uint64_t stable_hash(absl::string_view data);

// Returns a cryptographically random number, never zero.
[[nodiscard]] std::uint64_t random_u64();

// Returns `bytes` random bytes in hexadecimal.
[[nodiscard]] std::string random_hex(int bytes);

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_DIGEST_H_
