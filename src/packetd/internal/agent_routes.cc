#include <utility>

#include "base/clock.h"
#include "packetd/addresses.h"
#include "packetd/agent_node.h"

// The part of AgentNode that asks balancers about routes, and holds packets until they answer.
namespace anvildrum::packetd {
namespace {

// Shortest time between two reports to senders of packets that are for another service.
constexpr auto kCorrectionInterval = base::milliseconds{20};

}  // namespace

auto AgentNode::OnPeerPacket(packets::Address sender, std::span<const std::uint8_t> datagram)
    -> void {
  const auto packet = this->adapter.decode_packet(datagram);
  if (!packet) {
    ++this->malformed;
    return;
  }
  const auto now = base::Now();
  const auto verdict = this->DecideOnPacket(sender, *packet, now);
  if (std::holds_alternative<packets::AwaitRoute>(verdict)) {
    return this->awaiting.Keep(packet->destination, sender, datagram, now);
  }
  const auto* discard = std::get_if<packets::Discard>(&verdict);
  if (discard != nullptr && discard->reason == packets::DiscardReason::kWrongService) {
    this->CorrectSender(sender, now);
  }
  this->ApplyVerdict(datagram, *packet, verdict);
}

auto AgentNode::DecideOnPacket(packets::Address sender, const packets::Packet& packet,
                               base::TimePoint now) -> packets::AgentVerdict {
  auto verdict = packets::FromPeer(this->core, packet, now);
  if (const auto query = packets::TakeRouteQuery(this->core)) {
    this->AskRoute(*query, sender, packet.stamp);
  }
  if (packets::TakeAddedRoutes(this->core, now)) this->ReportToAll();
  return verdict;
}

// Asks the balancer that sent the packet. Of an opening that another agent has passed on, the stamp
// names the balancer; if it is not known, any other one is asked.
auto AgentNode::AskRoute(const packets::RouteQuery& query, packets::Address sender,
                         const packets::Stamp& stamp) -> void {
  if (stamp.hops == 0) return this->SendControl(sender, query);
  const auto balancers = packets::BalancersOf(this->core, stamp.origin);
  for (const auto balancer : balancers) this->SendControl(balancer, query);
  if (!balancers.empty() || this->core.balancers.empty()) return;
  this->SendControl(this->core.balancers.begin()->first, query);
}

// Delivers the packets of the route that awaited the answer. An opening may have been overtaken by
// a copy of it, so that a refusal would prove nothing. Where the answer does not confirm a packet,
// only its own sender's word ends the wait, since another balancer may have an older configuration.
auto AgentNode::OnRouteAnswer(packets::Address balancer, const packets::RouteAnswer& answer)
    -> void {
  const auto now = base::Now();
  if (!packets::TakeRouteAnswer(this->core, answer, now)) return;
  for (auto& awaiting : this->awaiting.Take(answer.route)) {
    auto packet = *this->adapter.decode_packet(awaiting.datagram);
    if (packets::IsOpening(packet)) packet.stamp.refusable = false;
    const auto verdict = this->DecideOnPacket(awaiting.sender, packet, now);
    if (!std::holds_alternative<packets::AwaitRoute>(verdict)) {
      this->ApplyVerdict(awaiting.datagram, packet, verdict);
    } else if (awaiting.sender != balancer) {
      this->awaiting.Keep(answer.route, awaiting.sender, awaiting.datagram, awaiting.since);
    } else {
      this->CorrectSender(balancer, now);
      this->LogDecision("packet_dropped", packet, NameOf(packets::DiscardReason::kWrongService));
    }
  }
}

auto AgentNode::StepAwaiting(base::TimePoint now) -> void {
  this->expired_packets += this->awaiting.Expire(now);
  for (const auto* awaiting : this->awaiting.FirstOfRoutes()) {
    const auto query = packets::RepeatRouteQuery(this->core, awaiting->route, now);
    const auto packet = this->adapter.decode_packet(awaiting->datagram);
    if (query) this->AskRoute(*query, awaiting->sender, packet->stamp);
  }
}

// Tells a balancer that still takes this agent's target for another service's which service it has.
auto AgentNode::CorrectSender(packets::Address sender, base::TimePoint now) -> void {
  if (now - this->corrected_at < kCorrectionInterval) return;
  this->corrected_at = now;
  this->Report(sender);
}

}  // namespace anvildrum::packetd
