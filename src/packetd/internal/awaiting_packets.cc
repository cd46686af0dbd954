#include "packetd/awaiting_packets.h"

#include <algorithm>
#include <utility>

#include "packets/agent.h"

namespace anvildrum::packetd {

auto AwaitingPackets::Keep(const packets::End& route, packets::Address sender,
                           std::span<const std::uint8_t> datagram, base::TimePoint now) -> void {
  if (this->held.size() >= kMaxPackets) return;
  this->held.push_back({.route = route,
                        .sender = sender,
                        .since = now,
                        .datagram = {datagram.begin(), datagram.end()}});
}

auto AwaitingPackets::Take(const packets::End& route) -> std::vector<AwaitingPacket> {
  auto taken = std::vector<AwaitingPacket>{};
  for (auto& packet : this->held) {
    if (packet.route == route) taken.push_back(std::move(packet));
  }
  std::erase_if(this->held, [](const auto& packet) { return packet.datagram.empty(); });
  return taken;
}

auto AwaitingPackets::Expire(base::TimePoint now) -> std::size_t {
  return std::erase_if(
      this->held, [&](const auto& packet) { return now - packet.since >= packets::kMaxRouteWait; });
}

auto AwaitingPackets::FirstOfRoutes() const -> std::vector<const AwaitingPacket*> {
  auto first = std::vector<const AwaitingPacket*>{};
  for (const auto& packet : this->held) {
    const auto same = [&](const auto* other) { return other->route == packet.route; };
    if (std::none_of(first.begin(), first.end(), same)) first.push_back(&packet);
  }
  return first;
}

}  // namespace anvildrum::packetd
