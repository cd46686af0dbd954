#include <algorithm>
#include <chrono>

#include "agent/internal/parts.h"
#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

using steering::PeerTarget;

auto MillisecondsLeft(base::TimePoint deadline, base::TimePoint now) -> std::uint32_t {
  if (deadline <= now) return 0;
  auto left = std::chrono::duration_cast<base::milliseconds>(deadline - now).count();
  return static_cast<std::uint32_t>(left);
}

auto CanTake(const PeerTarget& peer, base::TargetId only_to) -> bool {
  if (only_to.value != 0) return peer.ref.target == only_to;
  return !peer.suspect && !peer.draining;
}

auto WaitingPerSlot(const PeerTarget& peer) -> double {
  auto slots = std::max<std::uint32_t>(peer.load.slots, 1);
  return static_cast<double>(peer.load.in_flight) / slots;
}

auto LeastLoaded(const Agent& agent, base::TargetId only_to) -> const PeerTarget* {
  const PeerTarget* best = nullptr;
  for (const auto& peer : agent.directory.peers) {
    if (!CanTake(peer, only_to)) continue;
    if (best == nullptr || WaitingPerSlot(peer) < WaitingPerSlot(*best)) best = &peer;
  }
  return best;
}

auto TargetOf(const Agent& agent, base::InstanceId instance) -> base::TargetId {
  for (const auto& peer : agent.directory.peers) {
    if (peer.instance == instance) return peer.ref.target;
  }
  return {};
}

auto AsNotRun(const requests::OfferHandOn& offer) -> requests::HandOnAnswered {
  return {offer.flow, offer.request, offer.only_to, true, {}};
}

}  // namespace

auto SendHandOn(Context& context, requests::OfferHandOn offer) -> void {
  const auto* peer = LeastLoaded(context.agent, offer.only_to);
  if (peer == nullptr) {
    ++context.agent.counters.hand_ons_without_target;
    RunRequests(context, AsNotRun(offer));
    return;
  }
  auto header = MakeHeader(context.agent);
  auto* message = header.mutable_hand_on();
  wire::WriteFlow(offer.flow, *message->mutable_flow());
  message->set_request(offer.request);
  message->set_deadline_ms(MillisecondsLeft(offer.deadline, context.now));
  ++context.agent.counters.hand_ons_sent;
  context.effects.emplace_back(SendTunnel{peer->tunnel, std::move(header), std::move(offer.bytes)});
}

auto SendHandOnAnswer(Context& context, requests::AnswerHandOn answer) -> void {
  const auto* to = TunnelOf(context.agent.view, answer.origin);
  if (to == nullptr) return;
  auto header = MakeHeader(context.agent);
  auto* message = header.mutable_hand_on_answer();
  wire::WriteFlow(answer.flow, *message->mutable_flow());
  message->set_request(answer.request);
  message->set_not_run(answer.not_run);
  context.effects.emplace_back(SendTunnel{*to, std::move(header), std::move(answer.bytes)});
}

auto OnHandOn(Context& context, const wire::pb::TunnelHeader& header, wire::BytesView payload)
    -> void {
  auto flow = wire::ReadFlow(header.hand_on().flow());
  if (!flow || flow->service != context.agent.record.service) {
    ++context.agent.counters.malformed;
    return;
  }
  ++context.agent.counters.hand_ons_taken;
  auto left = base::milliseconds(header.hand_on().deadline_ms());
  auto origin = base::InstanceId{header.sender()};
  RunRequests(context,
              requests::HandOnRequested{*flow, origin, header.hand_on().request(), payload, left});
}

auto OnHandOnAnswer(Context& context, const wire::pb::TunnelHeader& header, wire::BytesView payload)
    -> void {
  const auto& answer = header.hand_on_answer();
  auto flow = wire::ReadFlow(answer.flow());
  if (!flow) {
    ++context.agent.counters.malformed;
    return;
  }
  auto from = TargetOf(context.agent, {header.sender()});
  RunRequests(context,
              requests::HandOnAnswered{*flow, answer.request(), from, answer.not_run(), payload});
}

}  // namespace anvildrum::agent
