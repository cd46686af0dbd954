#include "packets/balancer.h"

#include <algorithm>
#include <span>
#include <utility>

#include "packets/flow_denials.h"
#include "packets/order.h"
#include "packets/route_history.h"
#include "packets/search.h"
#include "packets/target_verdicts.h"

namespace anvildrum::packets {
namespace {

auto WasTried(const Hint& hint, Address agent) -> bool {
  const auto* end = hint.tried.begin() + hint.offers;
  return std::find(hint.tried.begin(), end, agent) != end;
}

// Returns the requests in progress per slot. Openings that were sent since the last report count as
// requests; otherwise all openings between two reports would go to the agent with the lowest load.
auto LoadOf(const BalancerPolicy& policy, const Member& member) -> double {
  const auto& report = member.report;
  auto requests = static_cast<double>(report.in_flight + member.offered) +
                  policy.held_flow_weight * static_cast<double>(report.held);
  if (report.cold) requests = (requests + 1) * policy.cold_load_factor;
  return requests / std::max(1.0, static_cast<double>(report.slots));
}

// Returns the time in seconds at which a further request would end at the member.
auto CompletionAt(const BalancerPolicy& policy, const Member& member, double service_time)
    -> double {
  const auto slots = std::max(1.0, static_cast<double>(member.report.slots));
  return std::max(1.0, LoadOf(policy, member) + 1 / slots) * service_time;
}

auto HasFreeSlot(const Member& member) -> bool {
  return member.report.in_flight + member.offered < member.report.slots;
}

// Returns the agent at which the opening's request would end first, with its load. Of agents with
// the same time, the least loaded one is preferred.
auto FirstToComplete(const Balancer& balancer, std::span<const Address> agents,
                     std::span<const double> service_times) -> std::pair<Address, double> {
  auto best = std::pair<Address, double>{};
  auto earliest = std::pair<double, double>{};
  for (auto i = std::size_t{0}; i < agents.size(); ++i) {
    const auto& member = balancer.view.members.at(agents[i]);
    const auto load = LoadOf(balancer.policy, member);
    const auto rank = std::pair{CompletionAt(balancer.policy, member, service_times[i]), load};
    if (best.first != 0 && rank >= earliest) continue;
    best = {agents[i], load};
    earliest = rank;
  }
  return best;
}

// Returns the best of the first `count` agents in the order, with its load: the least loaded one,
// or that with the earliest completion if the targets differ in speed. The agent is 0 if there is
// none.
auto BestOf(const Balancer& balancer, std::span<const Address> order, std::size_t count)
    -> std::pair<Address, double> {
  const auto agents = order.first(std::min(order.size(), count));
  if (balancer.policy.place_by_completion) {
    const auto times = ComparedServiceTimes(balancer, agents);
    if (!times.empty()) return FirstToComplete(balancer, agents, times);
  }
  auto best = std::pair<Address, double>{};
  for (const auto agent : agents) {
    const auto load = LoadOf(balancer.policy, balancer.view.members.at(agent));
    if (best.first == 0 || load < best.second) best = {agent, load};
  }
  return best;
}

// Returns the least loaded of the first few agents, or of all if these are busy. If the hint of a
// flow is lost, an extra hop for its packets costs less than a request that waits.
auto ChooseAmong(const Balancer& balancer, std::span<const Address> order) -> Address {
  const auto near = BestOf(balancer, order, balancer.policy.candidates);
  if (near.first == 0 || near.second < balancer.policy.busy_load) return near.first;
  return BestOf(balancer, order, order.size()).first;
}

// Whether running the flow's request twice does no harm. Requests of an unknown class run at most
// once.
auto MayRepeat(const Balancer& balancer, const FlowId& flow) -> bool {
  if (!balancer.routes) return false;
  const auto entry = balancer.routes->classes.find(KeyOf(flow.service));
  return entry != balancer.routes->classes.end() && entry->second.repeatable;
}

// Prefers an agent in the balancer's own failure domain, unless the least loaded of the candidates
// there has no free slot.
auto ChooseAgent(const Balancer& balancer, const FlowId& flow, base::ServiceId service,
                 const Hint& hint, base::TimePoint now) -> Address {
  auto usable = PlacementSet(balancer.view, service, now);
  std::erase_if(usable, [&](const Place& place) { return WasTried(hint, place.agent); });
  if (balancer.policy.avoid_failing_targets) {
    const auto repeatable = MayRepeat(balancer, flow);
    usable = WithoutFailing(balancer, flow, service, std::move(usable), repeatable, now);
  }
  const auto order = RendezvousOrder(flow, usable, balancer.domain);
  const auto in_domain = std::count_if(usable.begin(), usable.end(), [&](const Place& place) {
    return place.domain == balancer.domain;
  });
  const auto own = std::span{order}.first(static_cast<std::size_t>(in_domain));
  const auto choice = ChooseAmong(balancer, own);
  if (choice != 0 && HasFreeSlot(balancer.view.members.at(choice))) return choice;
  return ChooseAmong(balancer, order);
}

// A retransmitted opening was not answered within the client's retransmission time.
// Safeguard: an agent or target that is gone would get its share of all openings until its reports
// are missed, and each of them costs its client this wait. A member that has reported since the
// opening is not suspected, since the packet may only have been lost.
auto SuspectOffered(Balancer& balancer, const Hint& hint, base::TimePoint now) -> void {
  const auto entry = balancer.view.members.find(hint.agent);
  if (entry == balancer.view.members.end()) return;
  auto& member = entry->second;
  if (member.heard > hint.offered_at) return;
  if (balancer.policy.copies_awaited && !HasFreeSlot(member)) return;
  packets::Suspect(member, now);
  ++balancer.counters.suspicions;
}

// Returns the flow's hint, which is created if needed, or `forgotten` if the table is full.
auto HintOf(Balancer& balancer, const FlowId& flow, Hint& forgotten) -> Hint& {
  const auto entry = balancer.hints.find(flow);
  if (entry != balancer.hints.end()) return entry->second;
  if (balancer.hints.size() >= balancer.policy.max_hints) return forgotten;
  return balancer.hints[flow];
}

auto Offer(Hint& hint, Member& member, base::TimePoint now) -> void {
  hint.agent = member.agent;
  hint.offered_at = now;
  hint.opened = false;
  if (hint.offers < kMaxOffers) hint.tried.at(hint.offers++) = member.agent;
  ++member.offered;
}

// Whether the balancer probably knows all live agents.
// Safeguard: if all balancers restart while the platform does not answer, the first agents that
// they hear from may be in a drained domain. Clients that are refused at once use up their retries
// just before the other agents report; a client without an answer retransmits its opening later.
auto MayKnowAll(const Balancer& balancer, base::TimePoint now) -> bool {
  const auto runs_for = now - balancer.stall.running_since;
  return RecordsAreFresh(balancer, now) || runs_for > balancer.policy.discovery_time;
}

// Whether an agent that was offered the opening before may be offered it again.
auto MayTakeCopies(const View& view, Address agent) -> bool {
  const auto entry = view.members.find(agent);
  if (entry == view.members.end()) return agent != 0;
  return !IsDrained(view.drained, entry->second.report.domain);
}

// `doubtful` says that the opening may have been queued for longer than its client waited, so that
// a refusal proves nothing.
auto RouteOpening(Balancer& balancer, const Packet& packet, base::ServiceId service, bool doubtful,
                  base::TimePoint now) -> BalancerVerdict {
  const auto flow = FlowFromClient(packet);
  ++balancer.counters.openings;
  auto forgotten = Hint{};
  auto& hint = HintOf(balancer, flow, forgotten);
  hint.seen = now;
  balancer.searches.denials.erase(flow);  // of an earlier flow of this client's port
  if (packet.acknowledged != 0) ++balancer.counters.copies;
  if (hint.offers != 0 && !hint.opened) SuspectOffered(balancer, hint, now);
  const auto sole = packet.acknowledged == 0 && hint.offers == 0 && !doubtful;
  const auto agent = ChooseAgent(balancer, flow, service, hint, now);
  if (agent != 0) {
    Offer(hint, balancer.view.members.at(agent), now);
    return ForwardToAgent{agent, StampFor(balancer, service, sole)};
  }
  if (MayTakeCopies(balancer.view, hint.agent)) {
    return ForwardToAgent{hint.agent, StampFor(balancer, service)};
  }
  balancer.hints.erase(flow);
  ++balancer.counters.no_target;
  const auto held_back = IsHeldBack(balancer.view, service, now);
  const auto reason = held_back ? DiscardReason::kDrained : DiscardReason::kNoTarget;
  if (!sole || (held_back && !MayKnowAll(balancer, now))) return Discard{reason};
  ++balancer.counters.refused;
  return RefuseOpening{reason};
}

// Whether the hint's agent may still hold the flow: the agent is known, serves a service that may
// hold the flow, its target has not left, and the agent is not permanently silent. An agent that is
// silent for a short time keeps its flows, unless its machine is unreachable.
auto MayStillHold(const Balancer& balancer, Address agent, std::span<const base::ServiceId> holders,
                  base::TimePoint now) -> bool {
  const auto& view = balancer.view;
  const auto entry = view.members.find(agent);
  if (entry == view.members.end()) return false;
  const auto& member = entry->second;
  if (IsOutOfReach(view, member, balancer.stall.running_since, now)) return false;
  const auto allowed = std::find(holders.begin(), holders.end(), member.service) != holders.end();
  if (!allowed || member.report.state == TargetState::kAbsent) return false;
  return member.listed || IsAlive(view, member, now) || member.heard == base::TimePoint{};
}

// Returns the flow's hint if its agent may still hold the flow and serves the service that a new
// flow would go to. This fast path handles almost every packet and needs no list of services.
auto FollowedHint(Balancer& balancer, const Packet& packet, base::TimePoint now) -> Hint* {
  if (packet.reset) return nullptr;
  const auto flow = FlowFromClient(packet);
  const auto entry = balancer.hints.find(flow);
  if (entry == balancer.hints.end() || entry->second.agent == 0) return nullptr;
  const auto service = ServiceOf(*balancer.routes, flow);
  if (!service) return nullptr;
  const auto holds = MayStillHold(balancer, entry->second.agent, std::span{&*service, 1}, now);
  return holds ? &entry->second : nullptr;
}

auto RouteOther(Balancer& balancer, const Packet& packet, std::span<const base::ServiceId> holders,
                bool doubtful, base::TimePoint now) -> BalancerVerdict {
  const auto flow = FlowFromClient(packet);
  auto forgotten = Hint{};
  auto& hint = HintOf(balancer, flow, forgotten);
  hint.seen = now;
  hint.opened = true;
  if (!MayStillHold(balancer, hint.agent, holders, now)) hint.agent = 0;
  const auto agent = hint.agent;
  if (packet.reset) balancer.hints.erase(flow);
  if (agent != 0) {
    const auto service = balancer.view.members.at(agent).service;
    return ForwardToAgent{agent, StampFor(balancer, service)};
  }
  ++balancer.counters.hint_misses;
  if (BeginSearch(balancer, packet, holders, doubtful, now)) return AwaitSearch{};
  return Discard{DiscardReason::kTooManySearches};
}

auto RouteOf(Balancer& balancer, const Packet& packet, bool doubtful, base::TimePoint now)
    -> BalancerVerdict {
  const auto flow = FlowFromClient(packet);
  if (IsOpening(packet)) {
    const auto service = ServiceOf(*balancer.routes, flow);
    if (service) return RouteOpening(balancer, packet, *service, doubtful, now);
  } else if (auto* hint = FollowedHint(balancer, packet, now)) {
    hint->seen = now;
    hint->opened = true;
    const auto service = balancer.view.members.at(hint->agent).service;
    return ForwardToAgent{hint->agent, StampFor(balancer, service)};
  } else {
    const auto holders = HoldersOf(balancer, flow, now);
    if (!holders.empty()) return RouteOther(balancer, packet, holders, doubtful, now);
  }
  ++balancer.counters.no_route;
  return Discard{DiscardReason::kNoRoute};
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
    case DiscardReason::kDrained:
      return "all failure domains with targets are drained";
    case DiscardReason::kWrongService:
      return "other service";
    case DiscardReason::kNotAccepted:
      return "no target took it";
    case DiscardReason::kMayBeOpen:
      return "no target took it, one may have before";
    case DiscardReason::kEnded:
      return "the flow has ended";
    case DiscardReason::kStarting:
      return "agent is starting, left to the client's next copy";
    case DiscardReason::kAwaitsCopy:
      return "no capacity yet, left to the client's next copy";
    case DiscardReason::kTooManySearches:
      return "too many flows are searched for";
  }
  return "unknown";
}

auto RoutePacket(Balancer& balancer, const Packet& packet, base::TimePoint now) -> BalancerVerdict {
  const auto doubtful = NoteEvent(balancer.stall, now);
  if (!balancer.routes) return Discard{DiscardReason::kNoConfiguration};
  auto verdict = RouteOf(balancer, packet, doubtful, now);
  if (std::holds_alternative<ForwardToAgent>(verdict)) ++balancer.counters.forwarded;
  return verdict;
}

auto StampFor(const Balancer& balancer, base::ServiceId service, bool refusable) -> Stamp {
  return {0, refusable, OriginTagOf(balancer.own), TagOf(service)};
}

auto RecordsAreFresh(const Balancer& balancer, base::TimePoint now) -> bool {
  return balancer.records_at != base::TimePoint{} &&
         now - balancer.records_at < balancer.policy.records_fresh_for;
}

auto TakeRecords(Balancer& balancer, std::span<const AgentRecord> records, base::TimePoint read_at,
                 base::TimePoint now) -> void {
  for (const auto& record : records) AddRecord(balancer.view, record.agent, record.service, now);
  balancer.records_read_at = read_at;
  balancer.records_wanted = false;
}

auto ReviewDrains(Balancer& balancer, bool platform_answers, base::TimePoint now) -> DrainsStatus {
  if (!balancer.drains_unknown) return DrainsStatus::kUnchanged;
  const auto told = balancer.view.drained.revision != 0;
  const auto runs_for = now - balancer.stall.running_since;
  const auto gives_up = !platform_answers || runs_for > balancer.policy.drains_timeout;
  if (!told && !gives_up) return DrainsStatus::kUnchanged;
  balancer.drains_unknown = false;
  ++balancer.view.changes;
  return told ? DrainsStatus::kLearned : DrainsStatus::kGivenUp;
}

auto ForgetHints(Balancer& balancer, base::TimePoint now) -> void {
  const auto idle = balancer.routes ? balancer.routes->idle_limit : balancer.policy.hint_idle;
  std::erase_if(balancer.hints, [&](const auto& entry) { return now - entry.second.seen > idle; });
  ForgetDenials(balancer, now);
}

auto ApplyRoutes(Balancer& balancer, Routes routes, base::TimePoint now) -> bool {
  if (balancer.routes && routes.version < balancer.routes->version) return false;
  balancer.classes = MakeServiceClasses(routes);
  ReplaceRoutes(balancer, std::move(routes), now);
  return true;
}

}  // namespace anvildrum::packets
