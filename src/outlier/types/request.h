#pragma once

#include <cstdint>

#include "base/types/time.h"

namespace anvildrum::outlier {

/// How a request ended, as seen from its packets.
enum class Ending : std::uint8_t {
  kAnswered,    ///< the answer is complete
  kClientLeft,  ///< the client closed the flow by a reset, perhaps before the end of the answer
  kReset,       ///< the target reset the flow
  kUnanswered,  ///< no answer within ResponseTimeout, or the target closed the flow without one
  kReturned,    ///< the target returned the opening or a packet of the request
};

/// A request that has ended at a target.
struct FinishedRequest {
  std::uint64_t route = 0;  ///< any key that is unique to the route
  Ending ending = Ending::kAnswered;
  std::uint32_t bytes = 0;  ///< of the whole answer
  base::Duration taken{};   ///< from the request's last packet to the first packet of its answer
};

}  // namespace anvildrum::outlier
