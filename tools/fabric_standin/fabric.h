#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::fabric {

/// A balancer that the fabric sprays packets to.
struct Balancer {
  std::string id;
  std::map<std::string, base::Endpoint, std::less<>> addresses;  ///< by service name
  bool sprayed = true;  ///< gets new packets; what it sends passes either way
  bool cut = false;     ///< nothing passes in either direction
};

/// Faults put on every packet. Percentages are 0 to 100 a packet and direction.
struct Faults {
  unsigned drop_percent = 0;
  unsigned duplicate_percent = 0;
  unsigned reorder_percent = 0;
  base::Duration reorder_delay{};   ///< added to the packets that are held back
  base::Duration client_delay{};    ///< one way, between client and fabric
  base::Duration balancer_delay{};  ///< one way, between fabric and balancer
};

struct Counts {
  std::uint64_t to_balancers = 0;
  std::uint64_t to_clients = 0;
  std::uint64_t dropped = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t reordered = 0;
  std::uint64_t cut = 0;
  std::uint64_t no_balancer = 0;
  std::uint64_t unknown_sender = 0;  ///< passed on, from an address of no balancer
  std::uint64_t socket_errors = 0;
  std::uint64_t control_errors = 0;
  std::map<std::string, std::uint64_t> by_balancer;  ///< packets sprayed to each
};

struct Fabric {
  std::vector<Balancer> balancers;
  Faults faults;
  Counts counts;
  std::mt19937_64 random;
};

/// One copy of a packet to send after `delay`.
struct Delivery {
  base::Endpoint to;
  base::Duration delay{};
};

/// Where a client's packet for `service` goes: one balancer at random, copies and delays by the
/// faults. Empty when the packet is lost.
auto SprayToBalancers(Fabric& fabric, std::string_view service) -> std::vector<Delivery>;

/// How a packet that came from `sender` (a balancer) goes back to `client`. Empty when it is lost.
auto ReturnToClient(Fabric& fabric, const base::Endpoint& sender, const base::Endpoint& client)
    -> std::vector<Delivery>;

/// The balancer named `id`, or null.
auto FindBalancer(Fabric& fabric, std::string_view id) -> Balancer*;

}  // namespace anvildrum::fabric
