#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace anvildrum::wire {

/// A secret that all instances of one deployment share, for SipHash-2-4 (128-bit MAC).
using Key = std::array<std::uint8_t, 16>;

/// Keys that are accepted; the first one seals. For a rotation each instance first accepts the new
/// key beside the old one, then seals with the new one, then drops the old one.
struct KeyRing {
  std::vector<Key> keys;
};

}  // namespace anvildrum::wire
