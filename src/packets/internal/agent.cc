#include "packets/agent.h"

#include <algorithm>
#include <utility>

#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto SetAtWork(Agent& agent, FlowState& flow, bool at_work) -> void {
  if (flow.at_work == at_work) return;
  flow.at_work = at_work;
  agent.at_work += at_work ? 1 : -1;
}

auto Erase(Agent& agent, const FlowId& flow) -> void {
  const auto entry = agent.flows.find(flow);
  if (entry == agent.flows.end()) return;
  SetAtWork(agent, entry->second, false);
  if (entry->second.stage == FlowStage::kEnded) --agent.ended;
  agent.flows.erase(entry);
}

// The target has sent its last data. What the client repeats until it has closed the flow too is
// told from new work by this state.
auto End(Agent& agent, const FlowId& id, FlowState& flow) -> void {
  if (flow.client_finished) return Erase(agent, id);
  SetAtWork(agent, flow, false);
  if (flow.stage != FlowStage::kEnded) ++agent.ended;
  flow.stage = FlowStage::kEnded;
}

// Safeguard: an opening is answered by two targets, or its client is gone; the target that the
// client did not go on with holds it half open for seconds. Counted as load, such flows filled the
// limit of targets that were idle: in a rush of copies 0.7 of the openings were refused while half
// of the slots were free.
auto ExpireOffers(Agent& agent, base::TimePoint now) -> void {
  while (!agent.offered.empty()) {
    const auto& oldest = agent.offered.front();
    if (now - oldest.at < agent.policy.opening_for) return;
    const auto entry = agent.flows.find(oldest.flow);
    const auto waits = entry != agent.flows.end() && (entry->second.stage == FlowStage::kOffered ||
                                                      entry->second.stage == FlowStage::kAnswered);
    if (waits) SetAtWork(agent, entry->second, false);
    agent.offered.pop_front();
  }
}

// Safeguard: when more comes than the targets can work on, a queue at the target delays everybody:
// after an outage all requests of some seconds were answered, and all of them late. An opening that
// finds no place in time goes to a target that has one, or is refused at once.
auto HasPlace(const Agent& agent, const Packet& packet) -> bool {
  const auto first = packet.acknowledged == 0;
  const auto limit = first ? agent.policy.opening_limit : agent.policy.copy_limit;
  const auto slots = std::max<std::uint32_t>(agent.target.last.slots, 1);
  return agent.at_work < limit * slots;
}

auto TakesOpenings(const Agent& agent, base::TimePoint now) -> bool {
  return StateOf(agent, now) == TargetState::kReady && !agent.stopping;
}

// An agent that has just started does not know its target yet, but the target may be alive and hold
// flows: withheld until its first heartbeat, their packets would go round all other agents.
auto TakesPackets(const Agent& agent, base::TimePoint now) -> bool {
  if (agent.target.state != TargetState::kAbsent) return true;
  return now - agent.target.left_at < agent.policy.leave_for;
}

// Safeguard: a client that goes on with a flow of a target that is gone waits until its deadline,
// and each of its packets goes round all agents. After all machines lost power 1,500 requests of
// long flows failed so that a new flow would have served. A reset is true when every target that
// can be alive has given the packet back; while an agent is away, or one may be unknown to some
// balancer, nobody can tell. A packet without data proves nothing: a target also gives back the
// last acknowledgement of a flow that has just ended in good order.
auto KnowsAll(const Agent& agent, base::TimePoint now) -> bool {
  auto heard = false;
  for (const auto& [balancer, hello] : agent.balancers) {
    if (now - hello.at > agent.policy.hello_for) continue;
    if (!hello.complete) return false;
    heard = true;
  }
  return heard;
}

// Whether this agent counts the same others as those before it on the way. Only then has a packet
// that went one round been at each of them: a way that leads over an agent which the last one does
// not count ends one short of the target that may hold the flow.
auto SameRound(const Agent& agent, const Stamp& stamp, base::TimePoint now) -> bool {
  if (now - agent.peers_since < agent.policy.settle_for) return false;
  const auto listed = std::binary_search(agent.peers.begin(), agent.peers.end(), agent.own);
  return listed && (stamp.hops == 0 || stamp.peers_digest == agent.peers_digest);
}

auto OthersOf(const Agent& agent) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(agent.peers.begin(), agent.peers.end(),
                                                [&](Address peer) { return peer != agent.own; }));
}

auto NoneLeft(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  ++agent.counters.none_left;
  if (!packet.stamp.refusable) return Discard{DiscardReason::kNoneLeft};
  if (IsOpening(packet)) {
    ++agent.counters.refused;
    return RefuseOpening{DiscardReason::kNoneLeft};
  }
  const auto whole_round = packet.stamp.hops >= OthersOf(agent);
  const auto proven = packet.payload != 0 && whole_round && SameRound(agent, packet.stamp, now) &&
                      KnowsAll(agent, now);
  if (!proven) return Discard{DiscardReason::kNoneLeft};
  ++agent.counters.resets;
  return ResetFlow{};
}

// To the next agent in the flow's order. The stamp counts the agents that the packet has seen, so
// that it ends after one round whatever each of them believes of the others.
auto PassOn(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  const auto flow = FlowFromClient(packet);
  const auto others = OthersOf(agent);
  const auto most = IsOpening(packet) ? agent.policy.opening_hops : kMaxHops;
  if (packet.stamp.hops >= std::min<std::size_t>(others, most)) return NoneLeft(agent, packet, now);
  const auto next = NextInOrder(flow, agent.peers, agent.own);
  if (next == 0) return NoneLeft(agent, packet, now);
  ++agent.counters.passed_on;
  auto stamp = packet.stamp;
  if (!IsOpening(packet) && !SameRound(agent, stamp, now)) stamp.refusable = false;
  stamp.peers_digest = agent.peers_digest;
  ++stamp.hops;
  return ForwardToAgent{next, stamp};
}

// Whether the packet carries data that has not been delivered before.
//
// Safeguard: a client sends a request again whose answer is late or lost, and the copy comes when
// the answer has been given. The target acknowledges it without data. Counted as work that is never
// done, six of them closed a target of three slots for 16 s while it was idle.
auto IsNewData(const FlowState& flow, const Packet& packet) -> bool {
  if (packet.payload == 0 || flow.stage == FlowStage::kEnded) return false;
  const auto end = packet.sequence + packet.payload;
  return !flow.asked_up_to || static_cast<std::int32_t>(end - *flow.asked_up_to) > 0;
}

auto CountFromClient(Agent& agent, const Packet& packet, base::TimePoint now) -> void {
  const auto flow = FlowFromClient(packet);
  if (packet.reset) return Erase(agent, flow);
  auto entry = agent.flows.find(flow);
  if (entry == agent.flows.end()) {
    const auto empty = !IsOpening(packet) && packet.payload == 0;
    if (empty || agent.flows.size() >= agent.policy.most_flows) return;
    entry = agent.flows.emplace(flow, FlowState{}).first;
    SetAtWork(agent, entry->second, true);
    if (IsOpening(packet)) {
      agent.offered.push_back({flow, now});
    } else {
      entry->second.stage = FlowStage::kAssumed;
    }
  }
  if (entry->second.stage == FlowStage::kAssumed) ++entry->second.unanswered;
  if (IsNewData(entry->second, packet)) {
    SetAtWork(agent, entry->second, true);
    entry->second.asked_at = now;
    entry->second.asked_up_to = packet.sequence + packet.payload;
  }
  entry->second.seen = now;
  if (!packet.finish) return;
  entry->second.client_finished = true;
  if (entry->second.stage == FlowStage::kEnded) Erase(agent, flow);
}

// How long the request took that the packet begins the answer to.
auto TakeAnswer(FlowState& flow, base::TimePoint now) -> std::optional<base::Duration> {
  if (flow.asked_at == base::TimePoint{}) return std::nullopt;
  return now - std::exchange(flow.asked_at, {});
}

auto CountFromTarget(Agent& agent, const Packet& packet, base::TimePoint now)
    -> std::optional<base::Duration> {
  const auto entry = agent.flows.find(FlowFromTarget(packet));
  if (entry == agent.flows.end()) return std::nullopt;
  auto& flow = entry->second;
  const auto answered = packet.payload != 0 ? TakeAnswer(flow, now) : std::nullopt;
  if (packet.reset) {
    Erase(agent, entry->first);
    return answered;
  }
  if (packet.synchronize && flow.stage == FlowStage::kOffered) {
    flow.stage = FlowStage::kAnswered;
    flow.target_sequence = packet.sequence;
  }
  if (!packet.synchronize && flow.stage == FlowStage::kAssumed) flow.stage = FlowStage::kOpen;
  if (packet.payload != 0) SetAtWork(agent, flow, false);
  flow.seen = now;
  if (packet.finish) End(agent, entry->first, flow);
  return answered;
}

auto NotRefusable(Packet packet) -> Packet {
  packet.stamp.refusable = false;
  return packet;
}

// Openings only: a packet of an open flow that waited is still its target's, which takes it.
auto WithoutStaleRefusal(Agent& agent, const Packet& packet, base::TimePoint now) -> Packet {
  const auto doubtful = NoteEvent(agent.stall, now);
  return doubtful && IsOpening(packet) ? NotRefusable(packet) : packet;
}

// Whether the flow is known to be held here and balancers have not been told lately.
auto TellsLocation(Agent& agent, const Packet& packet, base::TimePoint now) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  if (entry == agent.flows.end() || entry->second.stage != FlowStage::kOpen) return false;
  if (now - entry->second.told_at < agent.policy.tell_every) return false;
  entry->second.told_at = now;
  return true;
}

// An agent that was started again does not know whether its target holds a flow or holds it half
// open. A target that holds it reacts within some ten milliseconds, long before the client repeats
// a packet; where it has not, every other packet goes on to the others, one of whom may hold it.
auto TurnsToOthers(FlowState& flow) -> bool {
  if (flow.unanswered % 2 == 0) return false;
  ++flow.unanswered;
  return true;
}

// Whether the client went on with another target's answer to its opening.
//
// Safeguard: copies of an opening go to different targets, both answer, and the client goes on with
// one of them. The other holds the flow half open: it neither serves its packets nor gives them
// back, and the flow would be silent for good at a balancer that sends them there. Until the target
// has sent data of its own, a packet that is meant for it acknowledges exactly its answer.
auto OpenedElsewhere(Agent& agent, const Packet& packet) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  if (entry == agent.flows.end() || IsOpening(packet)) return false;
  auto& flow = entry->second;
  if (flow.stage == FlowStage::kAnswered) {
    const auto ours = packet.acknowledged - flow.target_sequence <= 1;
    flow.stage = ours ? FlowStage::kOpen : FlowStage::kElsewhere;
  }
  if (flow.stage == FlowStage::kAssumed) return TurnsToOthers(flow);
  if (flow.stage != FlowStage::kElsewhere) return false;
  SetAtWork(agent, flow, false);
  ++agent.counters.elsewhere;
  return true;
}

auto AgentsOf(const Hello& hello) -> std::vector<Address> {
  auto agents = std::vector<Address>{};
  for (const auto& peer : hello.peers) agents.push_back(peer.agent);
  return agents;
}

// Keeps a part of a balancer's list. The whole list once every part of it has come.
auto Gather(BalancerHello& known, const Hello& hello) -> std::optional<std::vector<Address>> {
  if (known.gathered_digest != hello.digest || known.gathered.size() != hello.parts) {
    known.gathered_digest = hello.digest;
    known.gathered.assign(hello.parts, {});
  }
  known.gathered[hello.part] = AgentsOf(hello);
  auto whole = std::vector<Address>{};
  for (const auto& part : known.gathered) {
    if (part.empty() && hello.parts > 1) return std::nullopt;
    whole.insert(whole.end(), part.begin(), part.end());
  }
  known.gathered.clear();
  return whole;
}

// The agents that any balancer holds for alive.
auto UnitePeers(Agent& agent, base::TimePoint now) -> void {
  agent.united_at = now;
  auto all = std::vector<Address>{};
  for (const auto& [balancer, hello] : agent.balancers) {
    if (now - hello.at > agent.policy.hello_for) continue;
    all.insert(all.end(), hello.peers.begin(), hello.peers.end());
  }
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  if (all == agent.peers) return;
  agent.peers = std::move(all);
  agent.peers_digest = DigestOf(agent.peers);
  agent.peers_since = now;
}

}  // namespace

// Safeguard: an address is used again by another service while a balancer still has the old record;
// the packet would be run by a service that it was not meant for. The stamp names the service that
// the balancer chose, and only the agent's own service is delivered.
auto FromPeer(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.stamp.service_tag != TagOf(agent.service)) {
    ++agent.counters.wrong_service;
    return Discard{DiscardReason::kWrongService};
  }
  // A draining target would still take an opening. Passing it on here keeps the promise without
  // any balancer having heard of it.
  if (IsOpening(packet) && !TakesOpenings(agent, now)) return PassOn(agent, packet, now);
  ExpireOffers(agent, now);
  if (IsOpening(packet) && !HasPlace(agent, packet)) {
    ++agent.counters.over_limit;
    return PassOn(agent, packet, now);
  }
  if (!TakesPackets(agent, now)) return PassOn(agent, packet, now);
  if (OpenedElsewhere(agent, packet)) return PassOn(agent, NotRefusable(packet), now);
  CountFromClient(agent, packet, now);
  ++agent.counters.delivered;
  return DeliverToTarget{packet.stamp.hops != 0 && TellsLocation(agent, packet, now)};
}

auto FromTarget(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.returned) {
    ++agent.counters.returned;
    Erase(agent, FlowFromClient(packet));
    return PassOn(agent, packet, now);
  }
  ++agent.counters.replies;
  return SendToClient{CountFromTarget(agent, packet, now)};
}

// A heartbeat of an incarnation that is gone may come late, after the next one has announced
// itself: it must neither bring a dead target back nor make a live one drain.
auto TakeHeartbeat(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> HeartbeatOutcome {
  auto& target = agent.target;
  const auto known = target.state == TargetState::kReady || target.state == TargetState::kDraining;
  const auto current = known && heartbeat.incarnation == target.last.incarnation;
  const auto stale = target.retired.contains(heartbeat.incarnation) ||
                     (current && heartbeat.sequence <= target.last.sequence);
  const auto other = heartbeat.service != agent.service;
  if (stale || other) {
    ++agent.counters.late_heartbeats;
    return stale ? HeartbeatOutcome::kStale : HeartbeatOutcome::kOtherService;
  }
  if (known && !current) {
    target.retired.insert(target.last.incarnation);
    ForgetFlows(agent);
  }
  const auto state = heartbeat.draining ? TargetState::kDraining : TargetState::kReady;
  const auto changed = !current || state != StateOf(agent, now);
  target.state = state;
  target.last = heartbeat;
  target.heard = now;
  return changed ? HeartbeatOutcome::kChanged : HeartbeatOutcome::kUnchanged;
}

auto TakeLeave(Agent& agent, std::uint64_t incarnation, base::TimePoint now) -> bool {
  auto& target = agent.target;
  target.retired.insert(incarnation);
  if (target.state != TargetState::kUnknown && target.last.incarnation != incarnation) return false;
  if (target.state == TargetState::kAbsent) return false;
  target.state = TargetState::kAbsent;
  target.left_at = now;
  ForgetFlows(agent);
  return true;
}

auto TakeHello(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now) -> bool {
  if (hello.service != agent.service) return false;
  auto& known = agent.balancers[balancer];
  const auto late = now - known.at > agent.policy.hello_for;
  known.at = now;
  auto whole = hello.listed ? Gather(known, hello) : std::nullopt;
  if (!whole && hello.digest != known.digest) {
    known.digest = 0;
    known.complete = false;
    return true;
  }
  known.complete = hello.complete;
  const auto changed = late || hello.digest != known.digest;
  if (whole) known.peers = std::move(*whole);
  known.digest = hello.digest;
  const auto stale = now - agent.united_at > agent.policy.hello_for / 2;
  if (changed || stale) UnitePeers(agent, now);
  return true;
}

auto ChangeService(Agent& agent, base::ServiceId service, base::TimePoint now) -> void {
  agent.service = service;
  agent.target = {};
  agent.balancers.clear();
  ForgetFlows(agent);
  UnitePeers(agent, now);
}

auto StateOf(const Agent& agent, base::TimePoint now) -> TargetState {
  const auto& target = agent.target;
  const auto silent = now - target.heard > agent.policy.silent_for;
  const auto present =
      target.state == TargetState::kReady || target.state == TargetState::kDraining;
  return present && silent ? TargetState::kUnknown : target.state;
}

auto MakeReport(Agent& agent, Address balancer, base::TimePoint now) -> TargetReport {
  ExpireOffers(agent, now);
  const auto& target = agent.target;
  const auto told = agent.balancers.find(balancer);
  const auto leaves = target.state == TargetState::kAbsent && TakesPackets(agent, now);
  const auto state = leaves ? TargetState::kDraining : StateOf(agent, now);
  return {.agent = agent.own,
          .service = agent.service,
          .start = agent.start,
          .sequence = ++agent.reports,
          .state = agent.stopping ? TargetState::kStopping : state,
          .in_flight = agent.at_work,
          .held = static_cast<std::uint32_t>(agent.flows.size()) - agent.ended,
          .slots = target.last.slots,
          .cold = target.last.cold_ms > 0,
          .hello_digest = told == agent.balancers.end() ? 0 : told->second.digest};
}

auto ForgetFlows(Agent& agent) -> void {
  agent.flows.clear();
  agent.at_work = 0;
  agent.ended = 0;
}

auto ForgetQuiet(Agent& agent, base::TimePoint now) -> void {
  auto quiet = std::vector<FlowId>{};
  for (const auto& [flow, state] : agent.flows) {
    const auto ended = state.stage == FlowStage::kEnded;
    const auto idle = ended ? agent.policy.ended_idle : agent.policy.flow_idle;
    if (now - state.seen > idle) quiet.push_back(flow);
  }
  for (const auto& flow : quiet) Erase(agent, flow);
  std::erase_if(agent.balancers, [&](const auto& entry) {
    return now - entry.second.at > agent.policy.balancer_for;
  });
}

}  // namespace anvildrum::packets
