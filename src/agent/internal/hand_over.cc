// Both sides of moving flows to other targets; see docs/design/handover.md.
#include <algorithm>
#include <optional>
#include <utility>

#include "agent/internal/hand_over_codec.h"
#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

// Space for the record in a datagram beside the header and MAC. A flow with a larger record waits
// until its ledger entries have expired.
constexpr auto kMaxRecordBytes = wire::kMaxDatagram - 1024;

auto MovableFlows(const Context& context) -> std::vector<base::FlowKey> {
  auto flows = std::vector<base::FlowKey>{};
  const auto& directory = context.agent.directory;
  for (const auto& [flow, owned] : directory.owned) {
    if (steering::CanHandOver(directory, flow, context.now)) flows.push_back(flow);
  }
  std::ranges::sort(flows);
  return flows;
}

// Returns the flow's record; nothing while the flow cannot move.
auto RecordOf(const Context& context, const requests::FlowLedgers& ledgers,
              const base::FlowKey& flow) -> std::optional<wire::Bytes> {
  auto record = requests::ExportFlow(*context.agent.requests, ledgers, flow, context.now);
  if (!record) return std::nullopt;
  auto bytes = WriteRecord(*record);
  if (bytes.size() > kMaxRecordBytes) return std::nullopt;
  return bytes;
}

auto OfferAllFlows(Context& context) -> void {
  auto& agent = context.agent;
  auto flows = MovableFlows(context);
  if (flows.empty()) return;
  auto ledgers = requests::IndexLedger(*agent.requests);
  auto left = agent.policy.hand_overs_per_period;
  for (const auto& flow : flows) {
    if (left == 0) return;
    auto record = RecordOf(context, ledgers, flow);
    if (!record) continue;
    RunDirectory(context,
                 steering::FlowOffered{flow, *std::move(record), steering::HandOverReason::kDrain});
    --left;
  }
}

// Returns whether the flow needs no further attempt: it was offered or exceeds the limit on moves.
auto OfferShedFlow(Context& context, const requests::FlowLedgers& ledgers,
                   const base::FlowKey& flow) -> bool {
  auto& agent = context.agent;
  if (!steering::CanHandOver(agent.directory, flow, context.now)) return false;
  auto record = RecordOf(context, ledgers, flow);
  if (!record) return false;
  const auto& policy = agent.policy;
  if (!steering::TakeToken(agent.shed_moves, policy.shed_moves_per_second, policy.shed_moves_burst,
                           context.now)) {
    return true;
  }
  ++agent.counters.shed_offered;
  RunDirectory(context,
               steering::FlowOffered{flow, *std::move(record), steering::HandOverReason::kShed});
  return true;
}

// Safeguard: a client opens its flow while its target has free slots, and finds them taken by the
// work of others when it sends a request. Since flows stay where they are, it would be refused for
// as long as that work runs, while other targets are idle. The flow moves to a target with a free
// slot before the client returns, which it was told to do after a second or more.
auto OfferShedFlows(Context& context) -> void {
  auto& shed = context.agent.shed;
  std::erase_if(shed, [&](const ShedFlow& one) { return one.until <= context.now; });
  if (shed.empty()) return;
  auto ledgers = requests::IndexLedger(*context.agent.requests);
  auto waiting = std::exchange(shed, {});
  for (const auto& one : waiting) {
    if (!OfferShedFlow(context, ledgers, one.flow)) shed.push_back(one);
  }
}

}  // namespace

auto QueueShedFlow(Context& context, const base::FlowKey& flow) -> void {
  auto& agent = context.agent;
  if (agent.shed.size() >= agent.policy.shed_flows) return;
  agent.shed.push_back({flow, context.now + agent.policy.shed_window});
}

auto OfferFlows(Context& context) -> void {
  auto& agent = context.agent;
  if (context.now < agent.next_offers) return;
  agent.next_offers = context.now + agent.policy.hand_over_period;
  if (agent.phase == Phase::kDraining) return OfferAllFlows(context);
  if (agent.phase == Phase::kServing) OfferShedFlows(context);
}

auto OnHandOver(Context& context, const TunnelMessage& message) -> void {
  auto& agent = context.agent;
  auto settled = message.header->hand_over().settled();
  auto record = ReadRecord(message.payload);
  if (!record) ++agent.counters.malformed;
  auto acceptable = !settled && record && requests::HasRoomFor(*agent.requests, *record);
  RunDirectory(context, steering::HandOverArrived{message.from, message.header, message.payload,
                                                  acceptable});
}

auto AdoptFlow(Context& context, const steering::FlowTaken& taken) -> void {
  if (taken.lost) return ResumeFlow(context, taken);
  auto record = ReadRecord(taken.record);
  if (!record) return;
  RunRequests(context, requests::FlowAdopted{taken.flow, &*record});
}

}  // namespace anvildrum::agent
