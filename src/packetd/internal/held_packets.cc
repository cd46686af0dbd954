#include "packetd/held_packets.h"

namespace anvildrum::packetd {

auto HeldPackets::Keep(const packets::FlowId& flow, std::span<const std::uint8_t> datagram)
    -> void {
  if (this->bytes + datagram.size() > kMaxBytes) return;
  auto& kept = this->flows[flow];
  if (kept.size() >= kMaxPacketsPerFlow) {
    this->bytes -= kept.front().size();
    kept.erase(kept.begin());
  }
  kept.emplace_back(datagram.begin(), datagram.end());
  this->bytes += datagram.size();
}

auto HeldPackets::Of(const packets::FlowId& flow) const -> std::span<const Datagram> {
  const auto entry = this->flows.find(flow);
  if (entry == this->flows.end()) return {};
  return entry->second;
}

auto HeldPackets::Drop(const packets::FlowId& flow) -> void {
  const auto entry = this->flows.find(flow);
  if (entry == this->flows.end()) return;
  for (const auto& datagram : entry->second) this->bytes -= datagram.size();
  this->flows.erase(entry);
}

}  // namespace anvildrum::packetd
