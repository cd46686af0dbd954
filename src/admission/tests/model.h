#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "admission/controller.h"

/// A model of a service's targets and clients in virtual time.
namespace anvildrum::admission::model {

/// Requests that arrive at random, with log-normal service times.
struct Route {
  RequestClass request;
  base::Duration work{};  ///< mean service time
  double per_second = 0;  ///< requests per second without a burst
};

/// A decision of a controller, with the load that it was made for.
struct Verdict {
  const Controller& before;
  Candidate candidate;
  TargetLoad load;
  base::TimePoint at;
  Limit limit;
};

struct Scenario {
  Policy policy;
  std::uint32_t targets = 40;
  std::uint32_t slots = 3;   ///< of each target
  std::uint32_t queue = 12;  ///< requests that each target queues; it rejects further ones
  std::vector<Route> routes;
  double burst = 1;  ///< factor of the rates between `burst_from` and `burst_until`
  base::Duration burst_from = base::seconds{2};
  base::Duration burst_until{};
  base::Duration end = base::seconds{10};  ///< no requests start after this time
  std::uint64_t seed = 1;
  std::function<void(const Verdict&)> on_verdict;  ///< may be empty
};

enum class End : std::uint8_t {
  kInTime,    ///< answered within the objective
  kLate,      ///< answered within the timeout
  kRefused,   ///< three resets
  kTimedOut,  ///< not answered within the timeout, or no answer to its opening
  kRejected   ///< the target's queue was full
};

struct Request {
  std::size_t route = 0;
  base::Duration started{};
  base::Duration work{};
  std::uint32_t tries = 1;
  std::uint32_t hops = 0;  ///< packets between agents
  bool admitted = false;   ///< its present opening
  bool refused = false;    ///< its present opening
  End end = End::kTimedOut;
};

/// Plays the scenario. Returns all requests with their ends.
auto Play(const Scenario& scenario) -> std::vector<Request>;

}  // namespace anvildrum::admission::model
