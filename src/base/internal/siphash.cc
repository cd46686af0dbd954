#include "base/siphash.h"

#include <sodium.h>

namespace anvildrum::base {

static_assert(std::tuple_size_v<SipHashKey> == crypto_shorthash_siphash24_KEYBYTES);
static_assert(std::tuple_size_v<SipHashKey> == crypto_shorthash_siphashx24_KEYBYTES);

auto SipHash64(const SipHashKey& key, std::span<const std::uint8_t> bytes)
    -> std::array<std::uint8_t, 8> {
  auto code = std::array<std::uint8_t, crypto_shorthash_siphash24_BYTES>{};
  crypto_shorthash_siphash24(code.data(), bytes.data(), bytes.size(), key.data());
  return code;
}

auto SipHash128(const SipHashKey& key, std::span<const std::uint8_t> bytes)
    -> std::array<std::uint8_t, 16> {
  auto code = std::array<std::uint8_t, crypto_shorthash_siphashx24_BYTES>{};
  crypto_shorthash_siphashx24(code.data(), bytes.data(), bytes.size(), key.data());
  return code;
}

auto SameCode(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right) -> bool {
  return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace anvildrum::base
