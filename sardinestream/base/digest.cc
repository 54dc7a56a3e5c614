#include "sardinestream/base/digest.h"

#include <array>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "absl/strings/escaping.h"

namespace sardinestream {
namespace {

constexpr int sha256_bytes = 32;

std::string sha256_raw(absl::string_view data)
{
    std::array<unsigned char, sha256_bytes> digest{};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return {reinterpret_cast<const char*>(digest.data()), length};
}

} // namespace

std::string sha256_hex(absl::string_view data)
{
    return absl::BytesToHexString(sha256_raw(data));
}

std::string hmac_sha256_hex(absl::string_view key, absl::string_view data)
{
    std::array<unsigned char, sha256_bytes> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data(), &length);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

bool equal_constant_time(absl::string_view left, absl::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stable_hash(absl::string_view data)
{
    const std::string digest = sha256_raw(data);
    std::uint64_t hash = 0;
    for (int i = 0; i < 8; ++i) {
        hash = (hash << 8) | static_cast<unsigned char>(digest[i]);
    }
    return hash;
}

std::uint64_t random_u64()
{
    std::uint64_t value = 0;
    while (value == 0) {
        RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value));
    }
    return value;
}

std::string random_hex(int bytes)
{
    std::vector<unsigned char> buffer(bytes);
    RAND_bytes(buffer.data(), bytes);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char*>(buffer.data()), buffer.size()));
}

} // namespace sardinestream
