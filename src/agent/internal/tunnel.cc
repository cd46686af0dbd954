#include <algorithm>

#include "agent/internal/parts.h"
#include "base/overloaded.h"
#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

using wire::pb::TunnelHeader;

constexpr auto kMaxTracedFlows = std::size_t{4096};

auto CopyOf(wire::BytesView view) -> wire::Bytes { return {view.begin(), view.end()}; }

auto RecordTrace(Agent& agent, const steering::Deliver& delivery) -> void {
  if (delivery.trace_id == 0) return;
  if (agent.traces.size() >= kMaxTracedFlows) agent.traces.clear();
  agent.traces[delivery.flow] = {delivery.trace_id, delivery.span_id};
}

// A held packet is delivered in a later step than the one in which it arrived. Its lookup then
// counts from the later step, since the directory keeps no arrival times.
auto RecordHop(Context& context, Hop hop, std::uint64_t trace_id, std::uint64_t span_id) -> void {
  if (trace_id == 0) return;
  context.effects.emplace_back(HopPassed{hop, trace_id, span_id, context.now});
}

auto DeliverPacket(Context& context, const steering::Deliver& delivery) -> void {
  RecordTrace(context.agent, delivery);
  RecordHop(context, Hop::kHomeLookup, delivery.trace_id, delivery.span_id);
  if (delivery.opened) {
    auto adopted = IsAdopted(context.agent, delivery.flow);
    if (adopted) ++context.agent.counters.adopted;
    RunRequests(context, requests::FlowOpened{delivery.flow, adopted});
  }
  RunRequests(context, requests::ClientDatagram{delivery.flow, delivery.payload});
}

auto DropFlow(Context& context, const base::FlowKey& flow) -> void {
  context.agent.traces.erase(flow);
  context.effects.emplace_back(CloseTarget{flow});
  RunRequests(context, requests::FlowClosed{flow});
}

// Safeguard: the flow ends while answers are still due, such as the answer of a request that was
// handed on, or the final message to a stream's client with its retransmissions. If they were
// dropped because the flow has no owner, the client would have to wait for its timeout. The flow's
// answers are therefore sent for some more time.
auto EndFlow(Context& context, const base::FlowKey& flow) -> void {
  context.agent.traces.erase(flow);
  auto& ended_flows = context.agent.ended_flows;
  if (ended_flows.size() < context.agent.policy.max_ended_flows) {
    ended_flows[flow] = context.now + context.agent.policy.ended_flow_ttl;
  }
  context.effects.emplace_back(CloseTarget{flow});
  RunDirectory(context, steering::FlowEnded{flow});
}

// Requests that end without a mark, for example with their flow, would otherwise never be removed.
constexpr auto kMaxTimedRequests = std::size_t{4096};

auto TimeRequest(Context& context, const requests::TraceMark& mark) -> void {
  auto& sent = context.agent.sent;
  if (mark.mark == requests::Mark::kSentToTarget) {
    if (sent.size() >= kMaxTimedRequests) sent.clear();
    sent[mark.request] = context.now;
    return;
  }
  auto found = sent.find(mark.request);
  if (found == sent.end()) return;
  if (mark.mark == requests::Mark::kAnswered) {
    context.effects.emplace_back(RequestAnswered{context.now - found->second});
  }
  sent.erase(found);
}

auto MarkSpan(Context& context, const requests::TraceMark& mark) -> void {
  TimeRequest(context, mark);
  auto trace = context.agent.traces.find(mark.flow);
  if (trace == context.agent.traces.end()) return;
  context.effects.emplace_back(
      SpanMark{trace->second.trace_id, trace->second.span_id, mark.request, mark.mark});
}

auto ApplyEffect(Context& context, requests::Effect effect) -> void {
  std::visit(
      base::Overloaded{
          [&](requests::SendToTarget& send) {
            context.effects.emplace_back(SendTarget{send.flow, std::move(send.bytes)});
          },
          [&](requests::SendToClient& send) {
            SendReply(context, send.flow, std::move(send.bytes));
          },
          [&](requests::OfferHandOn& offer) { SendHandOn(context, std::move(offer)); },
          [&](requests::AnswerHandOn& answer) { SendHandOnAnswer(context, std::move(answer)); },
          [&](requests::CloseFlow& close) { EndFlow(context, close.flow); },
          [&](requests::FlowShed& shed) { QueueShedFlow(context, shed.flow); },
          [&](requests::SetTimer& timer) { context.agent.request_timer = timer.at; },
          [&](requests::Count& count) {
            ++context.agent.counters.requests.at(static_cast<std::size_t>(count.counter));
          },
          [&](requests::TraceMark& mark) { MarkSpan(context, mark); },
      },
      effect);
}

auto IsForDirectory(TunnelHeader::BodyCase body) -> bool {
  switch (body) {
    case TunnelHeader::kPacket:
    case TunnelHeader::kOwnerQuery:
    case TunnelHeader::kOwnerAnswer:
    case TunnelHeader::kRegister:
    case TunnelHeader::kRegisterAck:
    case TunnelHeader::kYield:
    case TunnelHeader::kYieldAck:
    case TunnelHeader::kResettle:
    case TunnelHeader::kRefused:
    case TunnelHeader::kHandOverAck:
    case TunnelHeader::kStandBy:
      return true;
    default:
      return false;
  }
}

// Safeguard: an address moves from desk to mapper while a balancer is paused or can reach only the
// clients. By its older configuration it still considers the address desk's, and a desk target
// would answer a mapper client. An agent with a newer configuration drops the packet. A balancer
// with the same or a newer configuration is trusted, so that a change that reaches balancers first
// costs no packet.
auto IsForMovedAddress(const Agent& agent, const wire::pb::Packet& packet) -> bool {
  if (packet.config_number() >= agent.config_number) return false;
  auto address = wire::ReadEndpoint(packet.service_address());
  if (!address) return false;
  return std::ranges::find(agent.addresses, *address) == agent.addresses.end();
}

auto OnDrainNotice(Context& context, const wire::pb::DrainNotice& notice) -> void {
  auto target = base::TargetId{notice.target().target()};
  auto applied = membership::ApplyDrain(context.agent.view, target, notice.target().incarnation());
  if (applied == membership::Applied::kChanged) OnViewChange(context);
}

}  // namespace

auto MakeHeader(const Agent& agent) -> TunnelHeader {
  auto header = TunnelHeader{};
  header.set_sender(agent.record.instance.value);
  header.set_incarnation(agent.record.incarnation);
  return header;
}

// Safeguard: if a flow whose owner was lost were placed at a third agent by its home, that agent
// would consider it new, and a late copy of a request could run. While such a flow may open, it
// opens at its home.
auto StepDirectory(Context& context, const steering::DirectoryEvent& event)
    -> steering::DirectoryEffects {
  auto& directory = context.agent.directory;
  auto& kind = directory.policy.placement.kind;
  auto configured = kind;
  if (MayOpenAdopted(context.agent, event)) kind = steering::PlacementKind::kRendezvous;
  auto effects = steering::Step(directory, event, context.now);
  kind = configured;
  return effects;
}

auto RunDirectory(Context& context, const steering::DirectoryEvent& event) -> void {
  auto effects = StepDirectory(context, event);
  for (auto& send : effects.sends) {
    context.effects.emplace_back(SendTunnel{send.to, std::move(send.header), CopyOf(send.payload)});
  }
  for (const auto& taken : effects.taken) AdoptFlow(context, taken);
  for (const auto& dropped : effects.dropped) DropFlow(context, dropped.flow);
  for (const auto& delivery : effects.deliveries) DeliverPacket(context, delivery);
}

auto RunRequests(Context& context, const requests::Event& event) -> void {
  auto effects = requests::Step(*context.agent.requests, event, context.now);
  for (auto& effect : effects) ApplyEffect(context, std::move(effect));
}

auto OnTunnelMessage(Context& context, const TunnelMessage& message) -> void {
  const auto& header = *message.header;
  ++context.agent.counters.tunnel_packets;
  ObservePeers(context, membership::Heard{{{header.sender()}, header.incarnation()}});
  if (header.has_packet()) {
    if (IsForMovedAddress(context.agent, header.packet())) {
      ++context.agent.counters.moved_address;
      return;
    }
    RecordHop(context, Hop::kTunnel, header.packet().trace_id(), header.packet().span_id());
  }
  if (IsForDirectory(header.body_case())) {
    RunDirectory(context, steering::TunnelArrived{message.from, &header, message.payload});
    return;
  }
  switch (header.body_case()) {
    case TunnelHeader::kProbe:
      return OnProbe(context, message.from, header);
    case TunnelHeader::kProbeAnswer:
      return OnProbeAnswer(context, header);
    case TunnelHeader::kDrainNotice:
      return OnDrainNotice(context, header.drain_notice());
    case TunnelHeader::kRestartNotice:
      return OnRestartNotice(context, message.from, header.restart_notice());
    case TunnelHeader::kHandOver:
      return OnHandOver(context, message);
    case TunnelHeader::kStandByAck:
      return OnStandByAck(context, header.stand_by_ack());
    case TunnelHeader::kHandOn:
      return OnHandOn(context, header, message.payload);
    case TunnelHeader::kHandOnAnswer:
      return OnHandOnAnswer(context, header, message.payload);
    default:
      ++context.agent.counters.malformed;
  }
}

}  // namespace anvildrum::agent
