#include "packets/balancer.h"

#include <algorithm>
#include <span>
#include <utility>

#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto WasTried(const Hint& hint, Address agent) -> bool {
  const auto* end = hint.tried.begin() + hint.offers;
  return std::find(hint.tried.begin(), end, agent) != end;
}

// Requests at work for each slot. Openings that were sent since the report count as requests:
// without them all openings between two reports would go to the agent that looked emptiest.
auto LoadOf(const BalancerPolicy& policy, const Member& member) -> double {
  const auto& report = member.report;
  auto requests = static_cast<double>(report.in_flight + member.offered) +
                  policy.held_weight * static_cast<double>(report.held);
  if (report.cold) requests = (requests + 1) * policy.cold_factor;
  return requests / std::max(1.0, static_cast<double>(report.slots));
}

// The least loaded of the first `count` in the order; 0 where there is none.
auto LeastLoaded(const Balancer& balancer, std::span<const Address> order, std::size_t count)
    -> std::pair<Address, double> {
  auto best = std::pair<Address, double>{};
  for (const auto agent : order.first(std::min(order.size(), count))) {
    const auto load = LoadOf(balancer.policy, balancer.view.members.at(agent));
    if (best.first == 0 || load < best.second) best = {agent, load};
  }
  return best;
}

// Where the head of the order is busy, all others are looked at: one more hop for the packets of a
// flow that is forgotten costs less than a request that waits.
auto ChooseAgent(const Balancer& balancer, const FlowId& flow, base::ServiceId service,
                 const Hint& hint, base::TimePoint now) -> Address {
  auto usable = PlacementSet(balancer.view, service, now);
  std::erase_if(usable, [&](Address agent) { return WasTried(hint, agent); });
  const auto order = RendezvousOrder(flow, usable);
  const auto near = LeastLoaded(balancer, order, balancer.policy.candidates);
  if (near.second < balancer.policy.busy) return near.first;
  return LeastLoaded(balancer, order, order.size()).first;
}

// An opening that is repeated went without an answer for as long as the client waits for one.
// Safeguard: an agent or target that is gone would be given its share of all openings until its
// reports are missed; each of them costs its client this wait. A member that has reported or
// answered a flow since the opening is not suspected, since the packet may just have been lost.
auto Suspect(Balancer& balancer, const Hint& hint, base::TimePoint now) -> void {
  const auto entry = balancer.view.members.find(hint.agent);
  if (entry == balancer.view.members.end()) return;
  auto& member = entry->second;
  if (member.heard > hint.offered_at) return;
  member.suspected_until = now + balancer.view.policy.suspect_for;
  ++balancer.counters.suspicions;
}

// The flow's hint, or `forgotten` where no more are kept.
auto HintOf(Balancer& balancer, const FlowId& flow, Hint& forgotten) -> Hint& {
  const auto entry = balancer.hints.find(flow);
  if (entry != balancer.hints.end()) return entry->second;
  if (balancer.hints.size() >= balancer.policy.most_hints) return forgotten;
  return balancer.hints[flow];
}

auto Offer(Hint& hint, Member& member, base::TimePoint now) -> void {
  hint.agent = member.agent;
  hint.offered_at = now;
  hint.opened = false;
  if (hint.offers < kMaxOffers) hint.tried.at(hint.offers++) = member.agent;
  ++member.offered;
}

// `doubtful`: it may have waited for longer than its client did, so that a refusal proves nothing.
auto RouteOpening(Balancer& balancer, const Packet& packet, base::ServiceId service, bool doubtful,
                  base::TimePoint now) -> BalancerVerdict {
  const auto flow = FlowFromClient(packet);
  ++balancer.counters.openings;
  auto forgotten = Hint{};
  auto& hint = HintOf(balancer, flow, forgotten);
  hint.seen = now;
  if (packet.acknowledged != 0) ++balancer.counters.copies;
  if (hint.offers != 0 && !hint.opened) Suspect(balancer, hint, now);
  const auto sole = packet.acknowledged == 0 && hint.offers == 0 && !doubtful;
  const auto agent = ChooseAgent(balancer, flow, service, hint, now);
  if (agent != 0) {
    Offer(hint, balancer.view.members.at(agent), now);
    return ForwardToAgent{agent, {0, sole, 0, TagOf(service)}};
  }
  if (hint.agent != 0) return ForwardToAgent{hint.agent, {0, false, 0, TagOf(service)}};
  balancer.hints.erase(flow);
  ++balancer.counters.no_target;
  if (!sole) return Discard{DiscardReason::kNoTarget};
  ++balancer.counters.refused;
  return RefuseOpening{DiscardReason::kNoTarget};
}

// Places by which the search moves on with each packet. One packet's way ends after kMaxHops
// agents: where there are more, the next packet goes on behind it. Moved on by one place, a flow at
// the 150th of 200 agents was found by its client's 88th packet; so it is found by the third.
auto SearchStep(std::size_t agents) -> std::size_t { return agents > kMaxHops + 1U ? kMaxHops : 1; }

// Where the search for a flow's agent begins: at the head of its order, and further on with each
// packet, so that an agent on the way that has just ended does not swallow all of them.
auto SearchFrom(Balancer& balancer, const FlowId& flow, Hint& hint, base::ServiceId service,
                base::TimePoint now) -> Address {
  ++balancer.counters.unhinted;
  const auto order = RendezvousOrder(flow, SearchSet(balancer.view, service, now));
  if (order.empty()) return 0;
  return order[(hint.searches++ * SearchStep(order.size())) % order.size()];
}

// Whether a hint is worth following: the agent is known, stands beside a target of the service that
// has not left, and is not
// silent for good. One that is silent for a moment keeps its flows.
auto MayStillHold(const View& view, Address agent, base::ServiceId service, base::TimePoint now)
    -> bool {
  const auto entry = view.members.find(agent);
  if (entry == view.members.end()) return false;
  const auto& member = entry->second;
  if (member.service != service || member.report.state == TargetState::kAbsent) return false;
  return member.listed || IsAlive(view, member, now) || member.heard == base::TimePoint{};
}

auto RouteOther(Balancer& balancer, const Packet& packet, base::ServiceId service,
                base::TimePoint now) -> BalancerVerdict {
  const auto flow = FlowFromClient(packet);
  auto forgotten = Hint{};
  auto& hint = HintOf(balancer, flow, forgotten);
  hint.seen = now;
  hint.opened = true;
  if (!MayStillHold(balancer.view, hint.agent, service, now)) hint.agent = 0;
  const auto agent = hint.agent != 0 ? hint.agent : SearchFrom(balancer, flow, hint, service, now);
  if (packet.reset) balancer.hints.erase(flow);
  if (agent != 0) return ForwardToAgent{agent, {0, true, 0, TagOf(service)}};
  ++balancer.counters.no_target;
  return Discard{DiscardReason::kNoTarget};
}

}  // namespace

auto NameOf(DiscardReason reason) -> std::string_view {
  switch (reason) {
    case DiscardReason::kNoConfiguration:
      return "no configuration yet";
    case DiscardReason::kNoRoute:
      return "no route";
    case DiscardReason::kNoTarget:
      return "no target known";
    case DiscardReason::kWrongService:
      return "other service";
    case DiscardReason::kNoneLeft:
      return "no target took it";
  }
  return "unknown";
}

auto RoutePacket(Balancer& balancer, const Packet& packet, base::TimePoint now) -> BalancerVerdict {
  const auto doubtful = NoteEvent(balancer.stall, now);
  if (!balancer.routes) return Discard{DiscardReason::kNoConfiguration};
  const auto service = ServiceOf(*balancer.routes, FlowFromClient(packet));
  if (!service) {
    ++balancer.counters.no_route;
    return Discard{DiscardReason::kNoRoute};
  }
  auto verdict = IsOpening(packet) ? RouteOpening(balancer, packet, *service, doubtful, now)
                                   : RouteOther(balancer, packet, *service, now);
  if (std::holds_alternative<ForwardToAgent>(verdict)) ++balancer.counters.forwarded;
  return verdict;
}

auto TakeLocated(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now)
    -> void {
  const auto entry = balancer.hints.find(flow);
  if (entry == balancer.hints.end()) return;
  entry->second.agent = agent;
  entry->second.seen = now;
}

auto ForgetHints(Balancer& balancer, base::TimePoint now) -> void {
  const auto idle = balancer.routes ? balancer.routes->idle_limit : balancer.policy.hint_idle;
  std::erase_if(balancer.hints, [&](const auto& entry) { return now - entry.second.seen > idle; });
}

auto PutInForce(Balancer& balancer, Routes routes) -> bool {
  if (balancer.routes && routes.version < balancer.routes->version) return false;
  balancer.routes = std::move(routes);
  return true;
}

}  // namespace anvildrum::packets
