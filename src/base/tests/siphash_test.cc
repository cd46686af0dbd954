#include "base/siphash.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

namespace anvildrum::base {
namespace {

// The key 00 01 ... 0f of the reference vectors.
auto ReferenceKey() -> SipHashKey {
  auto key = SipHashKey{};
  std::iota(key.begin(), key.end(), std::uint8_t{0});
  return key;
}

// Instances of different builds must agree: the paper's vector for the input 00 01 ... 0e, and the
// first vector of its authors' reference code for 128 bits.
BOOST_AUTO_TEST_CASE(siphash_gives_the_reference_vectors) {
  auto input = std::array<std::uint8_t, 15>{};
  std::iota(input.begin(), input.end(), std::uint8_t{0});
  const auto short_code =
      std::array<std::uint8_t, 8>{0xe5, 0x45, 0xbe, 0x49, 0x61, 0xca, 0x29, 0xa1};
  BOOST_CHECK(SipHash64(ReferenceKey(), input) == short_code);
  const auto long_code =
      std::array<std::uint8_t, 16>{0xa3, 0x81, 0x7f, 0x04, 0xba, 0x25, 0xa8, 0xe6,
                                   0x6d, 0xf6, 0x72, 0x14, 0xc7, 0x55, 0x02, 0x93};
  BOOST_CHECK(SipHash128(ReferenceKey(), {}) == long_code);
  BOOST_TEST(SameCode(long_code, long_code));
  BOOST_TEST(!SameCode(long_code, short_code));
}

}  // namespace
}  // namespace anvildrum::base
