#pragma once

#include <cstdint>

namespace anvildrum::outlier {

/// Finished requests of a target during the last one to two seconds.
struct Counts {
  std::uint32_t answered = 0;  ///< all finished requests, failed ones included
  std::uint32_t failed = 0;
  auto operator==(const Counts&) const -> bool = default;
};

}  // namespace anvildrum::outlier
