#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "steering/placement.h"

namespace anvildrum::bench {

/// Who finds the target of an established flow.
enum class Finder : std::uint8_t {
  kHashAndCache,   ///< balancers hash; each remembers the flows that it saw
  kPreviousChain,  ///< balancers hash; a target that lacks the flow asks the previous view's target
  kDirectory,      ///< home agents; only a dead target loses its flows
};

/// What is wrong with target 0 (or with the one that joins, for kCold).
enum class Condition : std::uint8_t { kEqual, kCold, kSlow, kLying };

struct Variant {
  std::string name;
  Finder finder = Finder::kDirectory;
  steering::PlacementKind placement = steering::PlacementKind::kHomeFirst;
  std::uint32_t balancers = 64;
  double lifetime = 60;  ///< seconds of a flow, in the mean; 6,000 are open whatever it is
  bool hints = false;    ///< homes hint flows to balancers, at the rate of DirectoryPolicy
  /// The slow target has half the weight in the rendezvous order, from the start.
  bool reweighs = false;
};

struct Result {
  std::uint64_t flows = 0;
  std::uint64_t broken_planned = 0;
  std::uint64_t broken_unplanned = 0;  ///< beyond those whose own target died
  double steady_max_over_mean = 0;     ///< connections, mean over the steady minute
  double steady_cv = 0;
  double join_max_over_mean = 0;  ///< 10 s after the join
  double busy_max_over_mean = 0;  ///< requests in flight, steady
  double busy_cv = 0;
  double p99_queue_ms = 0;
  double hops = 0;  ///< extra hops a packet, steady
};

/// One run of the model: 7 targets of 4 slots in 3 failure domains, 64 balancers, 100 new flows a
/// second of a minute each on average, a request every 2 s. (With longer flows all times below are
/// longer in proportion.) At 240 s a target joins, at 280 s one drains, at 282 s another joins, at
/// 320 s one dies; each balancer hears of a change up to 3 s late. The steady state is measured
/// from 110 s to 240 s. The same seed draws the same for each variant.
auto RunModel(const Variant& variant, Condition condition, std::uint32_t seed) -> Result;

}  // namespace anvildrum::bench
