#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

using wire::pb::TunnelHeader;

constexpr auto kMostTracedFlows = std::size_t{4096};

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

auto CopyOf(wire::BytesView view) -> wire::Bytes { return {view.begin(), view.end()}; }

auto RememberTrace(Agent& agent, const steering::Deliver& delivery) -> void {
  if (delivery.trace_id == 0) return;
  if (agent.traces.size() >= kMostTracedFlows) agent.traces.clear();
  agent.traces[delivery.flow] = {delivery.trace_id, delivery.span_id};
}

auto DeliverPacket(Context& context, const steering::Deliver& delivery) -> void {
  RememberTrace(context.agent, delivery);
  if (delivery.opened) RunRequests(context, requests::FlowOpened{delivery.flow});
  RunRequests(context, requests::ClientDatagram{delivery.flow, delivery.payload});
}

auto DropFlow(Context& context, const base::FlowKey& flow) -> void {
  context.agent.traces.erase(flow);
  context.effects.emplace_back(CloseTarget{flow});
  RunRequests(context, requests::FlowClosed{flow});
}

auto EndFlow(Context& context, const base::FlowKey& flow) -> void {
  context.agent.traces.erase(flow);
  context.effects.emplace_back(CloseTarget{flow});
  RunDirectory(context, steering::FlowEnded{flow});
}

auto MarkSpan(Context& context, const requests::TraceMark& mark) -> void {
  auto trace = context.agent.traces.find(mark.flow);
  if (trace == context.agent.traces.end()) return;
  context.effects.emplace_back(
      SpanMark{trace->second.trace_id, trace->second.span_id, mark.request, mark.mark});
}

auto Carry(Context& context, requests::Effect effect) -> void {
  std::visit(
      Overloaded{
          [&](requests::SendToTarget& send) {
            context.effects.emplace_back(SendTarget{send.flow, std::move(send.bytes)});
          },
          [&](requests::SendToClient& send) {
            SendReply(context, send.flow, std::move(send.bytes));
          },
          [&](requests::OfferHandOn& offer) { SendHandOn(context, std::move(offer)); },
          [&](requests::AnswerHandOn& answer) { SendHandOnAnswer(context, std::move(answer)); },
          [&](requests::CloseFlow& close) { EndFlow(context, close.flow); },
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
      return true;
    default:
      return false;
  }
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

auto RunDirectory(Context& context, const steering::DirectoryEvent& event) -> void {
  auto effects = steering::Step(context.agent.directory, event, context.now);
  for (auto& send : effects.sends) {
    context.effects.emplace_back(SendTunnel{send.to, std::move(send.header), CopyOf(send.payload)});
  }
  for (const auto& taken : effects.taken) AdoptFlow(context, taken);
  for (const auto& dropped : effects.dropped) DropFlow(context, dropped.flow);
  for (const auto& delivery : effects.deliveries) DeliverPacket(context, delivery);
}

auto RunRequests(Context& context, const requests::Event& event) -> void {
  auto effects = requests::Step(*context.agent.requests, event, context.now);
  for (auto& effect : effects) Carry(context, std::move(effect));
}

auto OnTunnelMessage(Context& context, const TunnelMessage& message) -> void {
  const auto& header = *message.header;
  ++context.agent.counters.tunnel_packets;
  ObservePeers(context, membership::Heard{{{header.sender()}, header.incarnation()}});
  if (IsForDirectory(header.body_case())) {
    RunDirectory(context, steering::TunnelArrived{message.from, &header, message.payload});
    return;
  }
  switch (header.body_case()) {
    case TunnelHeader::kProbe:
      return OnProbe(context, message.from, header.probe());
    case TunnelHeader::kProbeAnswer:
      return OnProbeAnswer(context, header);
    case TunnelHeader::kDrainNotice:
      return OnDrainNotice(context, header.drain_notice());
    case TunnelHeader::kHandOver:
      return OnHandOver(context, message);
    case TunnelHeader::kHandOn:
      return OnHandOn(context, header, message.payload);
    case TunnelHeader::kHandOnAnswer:
      return OnHandOnAnswer(context, header, message.payload);
    default:
      ++context.agent.counters.malformed;
  }
}

}  // namespace anvildrum::agent
