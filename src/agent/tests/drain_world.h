#pragma once

#include <array>
#include <map>
#include <queue>
#include <set>
#include <vector>

#include "agent/agent.h"

// Agents with one target each and one balancer, connected by a queue with a virtual clock.
namespace anvildrum::agent {

inline const auto kDeskService = base::ServiceIdOf("desk");

/// A stream at a target, which sends a notification every period.
struct TargetStream {
  base::FlowKey flow;
  std::array<std::uint8_t, 8> token{};  ///< chosen by the agent
  std::uint32_t sequence = 2;
};

struct Desk {
  Agent agent;
  base::Endpoint tunnel;
  std::vector<TargetStream> streams;
  std::uint64_t posts = 0;  ///< requests that ran
  bool refuses = false;     ///< the target answers 5.03
  bool drained = false;     ///< drained or killed
  base::TimePoint drained_at{};
};

/// A datagram received by a client.
struct Received {
  base::TimePoint at{};
  std::size_t from = 0;  ///< index of the desk
  wire::Bytes bytes;
};

struct InQueue {
  base::TimePoint due{};
  std::uint64_t order = 0;
  base::Endpoint from;
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  wire::Bytes payload;
};
struct IsLater {
  auto operator()(const InQueue& one, const InQueue& other) const -> bool {
    return std::pair(one.due, one.order) > std::pair(other.due, other.order);
  }
};

struct DrainWorld {
  base::TimePoint now{base::hours(1)};
  base::TimePoint next_notification{};
  base::Duration notification_period = base::milliseconds(100);
  std::uint64_t order = 0;
  std::vector<Desk> desks;
  std::priority_queue<InQueue, std::vector<InQueue>, IsLater> queue;
  std::map<base::FlowKey, std::vector<Received>> received;
  /// Disconnected tunnels, in both directions.
  std::set<std::pair<base::Endpoint, base::Endpoint>> cuts;
};

/// `hand_overs`: number of flows that a draining agent offers per period; 0: none.
auto MakeDrainWorld(std::size_t desks, std::size_t hand_overs) -> DrainWorld;
auto RunFor(DrainWorld& world, base::Duration span) -> void;
auto FlowOfClient(std::uint32_t client) -> base::FlowKey;
/// Sends a client's datagram through the balancer to the first desk that accepts packets.
auto FromClient(DrainWorld& world, const base::FlowKey& flow, const wire::Bytes& bytes) -> void;
auto BeginDrain(DrainWorld& world, std::size_t desk) -> void;
/// Ends the desk's target and agent; their record stays.
auto Kill(DrainWorld& world, std::size_t desk) -> void;
/// Tells the other desks that the desk's record was removed.
auto RemoveRecord(DrainWorld& world, std::size_t desk) -> void;
auto Cut(DrainWorld& world, std::size_t one, std::size_t other) -> void;
/// Returns the desk that serves the flow; the number of desks if there is none.
auto OwnerOf(const DrainWorld& world, const base::FlowKey& flow) -> std::size_t;

/// GET /feed with Observe 0 and token 5.
auto ObserveGet() -> wire::Bytes;
/// POST /hold with this token; see requests::WithEcho for the answer to its challenge.
auto PostHold(std::uint16_t message_id, std::uint8_t token) -> wire::Bytes;

}  // namespace anvildrum::agent
