#include "steering/internal/directory_parts.h"

namespace anvildrum::steering {
namespace {

using wire::pb::Refused;

// Returns the packet to forward; nothing if it has passed too many agents. Safeguard: two agents
// with different views could send a packet back and forth indefinitely.
auto NextHop(StepContext& context, const PacketArrival& arrival)
    -> std::optional<wire::pb::Packet> {
  auto& directory = context.directory;
  if (arrival.packet.hops() >= directory.policy.hop_limit) {
    ++directory.counters.hop_limit;
    SendRefused(context, arrival.packet, Refused::REASON_HOP_LIMIT);
    return std::nullopt;
  }
  auto packet = arrival.packet;
  packet.set_hops(packet.hops() + 1);
  packet.set_opening(false);
  packet.set_declined(false);
  return packet;
}

}  // namespace

auto ForwardPacket(StepContext& context, const base::Endpoint& to, const PacketArrival& arrival,
                   const TargetRef* opens) -> void {
  auto packet = NextHop(context, arrival);
  if (!packet) return;
  packet->set_opening(opens != nullptr);
  packet->set_opening_incarnation(opens != nullptr ? opens->incarnation : 0);
  ++context.directory.counters.passed_on;
  SendPacket(context, to, *packet, arrival.payload);
}

auto Refuse(StepContext& context, const PacketArrival& arrival, Refused::Reason reason,
            std::uint64_t& counter) -> void {
  ++counter;
  SendRefused(context, arrival.packet, reason);
}

auto Decline(StepContext& context, const PeerTarget& home, const PacketArrival& arrival) -> void {
  auto packet = NextHop(context, arrival);
  if (!packet) return;
  packet->set_declined(true);
  SendPacket(context, home.tunnel, *packet, arrival.payload);
}

auto DeclineToHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto home = ActingHomeOf(directory, arrival.flow);
  auto* peer = home ? FindPeer(directory, *home) : nullptr;
  if (peer != nullptr) {
    Decline(context, *peer, arrival);
  } else {
    Refuse(context, arrival, Refused::REASON_DRAINING, directory.counters.draining);
  }
}

auto ForwardToHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto index = FindActingHome(directory.candidates, base::HashFlow(arrival.flow));
  if (index == kNone) {
    Refuse(context, arrival, Refused::REASON_DRAINING, directory.counters.draining);
    return;
  }
  auto* peer = FindPeer(directory, directory.candidates.candidates[index].target);
  ForwardPacket(context, peer->tunnel, arrival, nullptr);
}

}  // namespace anvildrum::steering
