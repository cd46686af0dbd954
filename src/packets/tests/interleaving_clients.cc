// Clients open flows, send data on them and retransmit.

#include "interleaving_world.h"

namespace anvildrum::packets::tests {
namespace {

using base::milliseconds;

}  // namespace

auto World::StepClients() -> void {
  if (!this->calm && this->clients.size() < 400 && this->Draw(2) == 0) {
    const auto port = static_cast<std::uint16_t>(++this->ports);
    const auto id = FlowId{{0x64400007, port}, kRoute};
    this->clients[id] = {.id = id, .next = this->now};
  }
  for (auto& [id, flow] : this->clients) {
    if (!flow.ended && flow.next <= this->now) this->Send(flow);
  }
}

auto World::Send(ClientFlow& flow) -> void {
  auto packet = Packet{.source = flow.id.client, .destination = flow.id.service};
  if (flow.target_sequence == 0) {
    if (flow.openings > 2) {
      flow.ended = true;
      return;
    }
    packet.synchronize = true;
    packet.acknowledged = flow.openings++;
    flow.next = this->now + milliseconds{flow.openings == 1 ? 200 : 400};
  } else {
    packet.acknowledge = true;
    packet.payload = 100;
    packet.acknowledged = flow.target_sequence + 1;
    ++flow.unanswered;
    flow.next = this->now + milliseconds{200 + this->Draw(400)};
  }
  this->ToBalancer(packet);
}

// Any balancer may receive any packet; most packets of a flow reach the same one.
auto World::ToBalancer(const Packet& packet) -> void {
  const auto usual = HashOf(FlowFromClient(packet)) % this->balancers.size();
  const auto index = this->Draw(10) == 0 ? this->Draw(this->balancers.size()) : usual;
  this->Carry([this, index, packet] {
    this->WhenAwake(this->balancers[index].pause,
                    [this, index, packet] { this->AtBalancer(index, packet); });
  });
}

auto World::ToClient(const Packet& packet) -> void {
  this->Carry([this, packet] {
    const auto entry = this->clients.find(FlowFromTarget(packet));
    if (entry == this->clients.end()) return;
    auto& flow = entry->second;
    if (packet.synchronize && flow.target_sequence == 0) {
      flow.target_sequence = packet.sequence;
      flow.next = this->now;
    }
    if (!packet.synchronize) flow.unanswered = 0;
  });
}

auto World::ResetClient(const FlowId& flow, const std::string& by) -> void {
  if (this->OpenAt(flow) != nullptr) this->Fault("an open flow was reset by " + by, flow);
  this->clients[flow].ended = true;
}

}  // namespace anvildrum::packets::tests
