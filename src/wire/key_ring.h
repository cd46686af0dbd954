#pragma once

#include <vector>

#include "base/siphash.h"

namespace anvildrum::wire {

/// A secret that all instances of one deployment share, for SipHash-2-4 (128-bit MAC).
using Key = base::SipHashKey;

/// Keys that are accepted; the first one seals. For a rotation each instance first accepts the new
/// key beside the old one, then seals with the new one, then drops the old one.
struct KeyRing {
  std::vector<Key> keys;
};

}  // namespace anvildrum::wire
