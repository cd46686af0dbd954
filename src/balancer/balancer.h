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
  /// Rate at which packets of flows that are not known to be established may open a flow. Packets
  /// over this rate are sent with may_open = false, so that they still reach an existing flow.
  double openings_per_second = 4000;
  double openings_burst = 8000;
  std::size_t established_bits = 1 << 22;  ///< size of each of the two filters of established flows
  /// Interval between two rotations of the filters.
  base::Duration established_period = base::minutes(5);
  /// Traces one packet in this number; 0: none.
  std::uint64_t trace_one_in = 0;
  base::Duration table_tick = base::seconds(1);
};

/// The balancer's life cycle; internal/life_cycle.cc has the transitions.
enum class Phase : std::uint8_t {
  kStarting,  ///< no configuration or no targets yet; packets are dropped and counted
  kReady,
  kStopping,  ///< requested to stop; forwards until the fabric has withdrawn it
  kStopped,
};

struct BalancerCounters {
  std::uint64_t client_packets = 0;
  std::uint64_t to_owner = 0;  ///< sent by an entry of the flow table
  std::uint64_t to_home = 0;
  std::uint64_t to_second = 0;  ///< sent to the second home because the first is suspect
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
  std::uint64_t malformed = 0;      ///< authentic tunnel messages with invalid content
  std::uint64_t misdirected = 0;    ///< tunnel messages meant for agents
  std::uint64_t wrong_service = 0;  ///< replies of a service that is not configured
};

/// The routing data of a service. `targets` and `candidates` have the same order.
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

/// Flows that got a reply through this balancer, in two Bloom filters (Bloom, 1970). Flows are
/// added to the current filter and looked up in both; the filters are rotated in turn. The memory
/// is fixed, whatever clients send.
struct EstablishedFilter {
  std::vector<std::uint64_t> current;
  std::vector<std::uint64_t> previous;
  base::TimePoint rotated_at{};
};

struct Balancer {
  BalancerPolicy policy;
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;  ///< of this balancer, for replies
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

/// A client's datagram for a local address. The payload is used during the call only.
struct ClientPacket {
  base::Endpoint service_address;
  base::Endpoint client;
  wire::BytesView payload;
};
/// A tunnel datagram: Reply, Hint, Refused, DrainNotice or RestartNotice. Probes are handled by the
/// monitor; others are counted.
struct TunnelMessage {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView payload;
};
/// Also sent when this instance's own suspicions change.
struct ViewChanged {
  const membership::View* view = nullptr;
};
/// Numbers lower than the one in force are ignored.
struct ConfigChanged {
  const config::Configuration* configuration = nullptr;
};
struct Timer {};
struct StopRequested {};
/// The fabric no longer sends packets to this balancer, or the time limit for that has passed.
struct FabricWithdrawn {};

using Event = std::variant<ClientPacket, TunnelMessage, ViewChanged, ConfigChanged, Timer,
                           StopRequested, FabricWithdrawn>;

struct SendTunnel {
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  wire::BytesView payload;
};
struct SendClient {
  base::Endpoint service_address;  ///< source address of the datagram
  base::Endpoint client;
  wire::BytesView payload;
};

/// Payload views refer to the event's buffer.
struct Effects {
  std::vector<SendTunnel> tunnel;
  std::vector<SendClient> client;
  bool view_changed = false;  ///< a DrainNotice changed `Balancer::view`
};

/// Applies an event and returns its effects.
auto Step(Balancer& state, const Event& event, base::TimePoint now) -> Effects;

enum class RouteKind : std::uint8_t {
  kOwner,
  kHome,
  kSecond,
  kUnknownAddress,
  kNoTarget,
  kNotReady
};

/// The routing decision for a client's packet.
struct Route {
  RouteKind kind = RouteKind::kNoTarget;
  base::Endpoint to;
  base::Endpoint service_address;
  base::FlowKey flow;
  bool may_open = true;
  std::uint64_t trace_id = 0;  ///< 0: not sampled
  std::uint64_t span_id = 0;
};

/// Returns the routing decision for a packet, without the allocations of Effects, and counts it.
/// Step uses this function as well.
auto RoutePacket(Balancer& state, const base::Endpoint& service_address,
                 const base::Endpoint& client, base::TimePoint now) -> Route;

/// Writes the tunnel header of a routed packet. The message's memory is reused.
auto WritePacketHeader(const Balancer& state, const Route& route, wire::pb::TunnelHeader& header)
    -> void;

/// Returns the source address of a service's replies: its first address in the configuration.
/// Returns null if the service is not configured.
auto ServiceAddress(const Balancer& state, base::ServiceId service) -> const base::Endpoint*;

}  // namespace anvildrum::balancer
