#pragma once

#include <algorithm>

#include "base/types/time.h"

namespace anvildrum::steering {

/// Tokens are added at a fixed rate up to a maximum, the burst.
struct TokenBucket {
  double tokens = 0;
  base::TimePoint filled{};
};

/// Takes a token. Returns false if there is none.
inline auto TakeToken(TokenBucket& bucket, double per_second, double burst, base::TimePoint now)
    -> bool {
  auto elapsed = std::chrono::duration<double>(now - bucket.filled).count();
  bucket.tokens = std::min(burst, bucket.tokens + elapsed * per_second);
  bucket.filled = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace anvildrum::steering
