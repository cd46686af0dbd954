#pragma once

#include <vector>

#include "base/siphash.h"

namespace anvildrum::wire {

/// A secret shared by all instances of one deployment, for SipHash-2-4 (128-bit MAC).
using Key = base::SipHashKey;

/// Accepted keys, of which the first one is used to seal. In a rotation each instance first accepts
/// the new key besides the old one, then seals with the new one, then removes the old one.
struct KeyRing {
  std::vector<Key> keys;
};

}  // namespace anvildrum::wire
