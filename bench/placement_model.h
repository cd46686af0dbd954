#pragma once

#include <cstdint>
#include <string>

namespace anvildrum::bench {

/// How a balancer chooses the agent that an opening is sent to.
enum class Choice : std::uint8_t {
  kRandom,
  kRendezvous,     ///< the first of the flow's order, whatever its load
  kLeastReported,  ///< the least loaded of all, by the last reports alone
  kPowerOfTwo,     ///< the less loaded of two drawn ones, by the last reports alone
  kProduct,        ///< packets::RoutePacket
};

struct PlacementVariant {
  std::string name;
  Choice choice = Choice::kProduct;
  bool limited = true;  ///< agents pass on what their target has no place for, or refuse it
};

struct PlacementLoad {
  double of_slots = 0.8;          ///< requests arriving, as a share of what all slots can do
  std::uint32_t report_ms = 250;  ///< between two reports of an agent to a balancer
  double slow_factor = 1;         ///< of the first three targets' work
};

struct PlacementResult {
  double max_over_mean = 0;  ///< requests at a target, the busiest over the mean, mean over time
  double cv = 0;             ///< coefficient of variation over targets, mean over time
  double in_aim = 0;         ///< share of requests answered within kAimMs of the first try
  double served = 0;         ///< share answered within kDeadlineMs
  double p99_ms = 0;         ///< of the answered ones, from the first try
  double tries = 0;          ///< openings for each request
  double hops = 0;           ///< agents that passed an opening on, for each opening
};

inline constexpr auto kAimMs = 250.0;
inline constexpr auto kDeadlineMs = 1500.0;

/// One run of the model: 34 targets of 3 slots behind real agents, 17 real balancers, 20 seconds of
/// requests that each open a flow of their own; work of 43 ms in the mean (lognormal, spread 0.5).
/// A client whose opening is refused tries again at once, twice at most; one whose answer comes
/// after its deadline has failed. Virtual time; the same seed draws the same arrivals for each
/// variant.
auto RunPlacement(const PlacementVariant& variant, const PlacementLoad& load, std::uint32_t seed)
    -> PlacementResult;

}  // namespace anvildrum::bench
