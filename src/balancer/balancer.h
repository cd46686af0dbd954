#pragma once

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/types/configuration.h"
#include "membership/view.h"
#include "steering/flow_table.h"
#include "steering/rendezvous.h"
#include "steering/types/token_bucket.h"
#include "wire/datagram.h"

namespace anvildrum::balancer {

/// Parameters of a balancer.
struct BalancerPolicy {
  std::size_t flow_table_capacity = 1 << 17;
  /// Packets of flows that are not known to be established may open a flow at this rate; those over
  /// it travel with may_open = false, so that an existing flow still gets them.
  double openings_per_second = 4000;
  double openings_burst = 8000;
  std::size_t established_bits = 1 << 22;  ///< of each of the two filters of established flows
  base::Duration established_period = base::minutes(5);  ///< after which a filter is renewed
  std::uint64_t trace_one_in = 0;                        ///< sample; 0: none
  base::Duration table_tick = base::seconds(1);
};

/// Life cycle; the transitions are in internal/life_cycle.cc.
enum class Phase : std::uint8_t {
  kStarting,  ///< no configuration or no targets yet: packets are dropped and counted
  kReady,
  kStopping,  ///< told to stop: forwards until the fabric has let go of it
  kStopped,
};

struct BalancerCounters {
  std::uint64_t client_packets = 0;
  std::uint64_t to_owner = 0;  ///< by the flow table
  std::uint64_t to_home = 0;
  std::uint64_t to_second = 0;  ///< the home is suspect
  std::uint64_t replies = 0;
  std::uint64_t unknown_address = 0;  ///< no service at the local address
  std::uint64_t no_target = 0;
  std::uint64_t not_ready = 0;
  std::uint64_t over_limit = 0;  ///< sent with may_open = false
  std::uint64_t hints = 0;
  std::uint64_t stale_hints = 0;
  std::uint64_t refused_wrong_service = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_unknown_flow = 0;
  std::uint64_t refused_hop_limit = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t malformed = 0;      ///< tunnel messages that were sealed right but make no sense
  std::uint64_t misdirected = 0;    ///< tunnel messages that are for agents
  std::uint64_t wrong_service = 0;  ///< replies for a service that is not configured
};

/// One service as the balancer steers it; `targets` and `candidates` are in the same order.
struct ServiceRoute {
  base::ServiceId service;
  std::vector<base::Endpoint> addresses;
  struct Target {
    base::TargetId id;
    base::Incarnation incarnation = 0;
    base::Endpoint tunnel;
    bool suspect = false;
    bool draining = false;
  };
  std::vector<Target> targets;
  steering::CandidateSet candidates;
};

/// Flows that got a reply through this balancer: two Bloom filters (Bloom, 1970), the younger one
/// filled, both asked, renewed in turn. Memory is fixed, whatever the clients send.
struct EstablishedFilter {
  std::vector<std::uint64_t> current;
  std::vector<std::uint64_t> previous;
  base::TimePoint rotated_at{};
};

struct Balancer {
  BalancerPolicy policy;
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;  ///< this balancer's own, for replies
  Phase phase = Phase::kStarting;
  std::uint64_t config_number = 0;
  std::unordered_map<base::Endpoint, std::uint32_t> service_at;  ///< index into routes
  std::vector<ServiceRoute> routes;                              ///< sorted by service
  membership::View view;
  steering::FlowTable flows;
  EstablishedFilter established;
  steering::TokenBucket openings;
  std::uint64_t packets_until_trace = 0;
  std::uint64_t next_trace = 0;
  base::TimePoint next_tick{};
  BalancerCounters counters;
};

class BalancerBuilder {
 public:
  auto WithPolicy(const BalancerPolicy& policy) -> BalancerBuilder&;
  auto WithInstance(base::InstanceId instance, base::Incarnation incarnation) -> BalancerBuilder&;
  auto WithTunnel(const base::Endpoint& tunnel) -> BalancerBuilder&;
  auto WithSeed(std::uint64_t seed) -> BalancerBuilder&;
  auto Build() const -> Balancer;

 private:
  BalancerPolicy policy;
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;
  std::uint64_t seed = 1;
};

/// A client's datagram at a local address. The payload is used during the call only.
struct ClientPacket {
  base::Endpoint service_address;
  base::Endpoint client;
  wire::BytesView payload;
};
/// A datagram of the tunnel: Reply, Hint, Refused, DrainNotice; others are ignored.
struct TunnelMessage {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView payload;
};
/// Also after this instance's own suspicion changed.
struct ViewChanged {
  const membership::View* view = nullptr;
};
/// Lower numbers than the one in force are ignored.
struct ConfigChanged {
  const config::Configuration* configuration = nullptr;
};
struct Timer {};
struct StopRequested {};
/// The fabric no longer sends packets here (or the time allowed for it has passed).
struct FabricWithdrawn {};

using Event = std::variant<ClientPacket, TunnelMessage, ViewChanged, ConfigChanged, Timer,
                           StopRequested, FabricWithdrawn>;

struct SendTunnel {
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  wire::BytesView payload;
};
struct SendClient {
  base::Endpoint service_address;  ///< to send from
  base::Endpoint client;
  wire::BytesView payload;
};

/// Payloads view the event's buffer.
struct Effects {
  std::vector<SendTunnel> tunnel;
  std::vector<SendClient> client;
  bool view_changed = false;  ///< a DrainNotice changed `Balancer::view`
};

/// The balancer's one entry.
auto Step(Balancer& state, const Event& event, base::TimePoint now) -> Effects;

enum class RouteKind : std::uint8_t {
  kOwner,
  kHome,
  kSecond,
  kUnknownAddress,
  kNoTarget,
  kNotReady
};

/// Where a client's packet goes.
struct Route {
  RouteKind kind = RouteKind::kNoTarget;
  base::Endpoint to;
  base::Endpoint service_address;
  base::FlowKey flow;
  bool may_open = true;
  std::uint64_t trace_id = 0;  ///< 0: not sampled
  std::uint64_t span_id = 0;
};

/// The decision for one packet without the allocations of Effects; Step uses it as well. Counts.
auto RoutePacket(Balancer& state, const base::Endpoint& service_address,
                 const base::Endpoint& client, base::TimePoint now) -> Route;

/// Writes the header that carries a routed packet; the message's memory is reused.
auto WritePacketHeader(const Balancer& state, const Route& route, wire::pb::TunnelHeader& header)
    -> void;

/// The address from which replies of a service leave: its first in the configuration. Null when the
/// service is not configured.
auto ServiceAddress(const Balancer& state, base::ServiceId service) -> const base::Endpoint*;

}  // namespace anvildrum::balancer
