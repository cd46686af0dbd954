// A draining agent's flows move to other targets, both sides. docs/design/handover.md.
#include <algorithm>

#include "agent/internal/hand_over_codec.h"
#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

// What is left of a datagram for the record, beside the header and MAC. A flow with more to hand
// over waits until its ledger entries have expired.
constexpr auto kMostRecordBytes = wire::kMaxDatagram - 1024;

auto FlowsToOffer(const Context& context) -> std::vector<base::FlowKey> {
  auto flows = std::vector<base::FlowKey>{};
  const auto& directory = context.agent.directory;
  for (const auto& [flow, owned] : directory.owned) {
    if (steering::CanHandOver(directory, flow, context.now)) flows.push_back(flow);
  }
  std::ranges::sort(flows);
  return flows;
}

// Returns whether the flow was offered.
auto Offer(Context& context, const requests::FlowLedgers& ledgers, const base::FlowKey& flow)
    -> bool {
  auto record = requests::ExportFlow(*context.agent.requests, ledgers, flow, context.now);
  if (!record) return false;
  auto bytes = WriteRecord(*record);
  if (bytes.size() > kMostRecordBytes) return false;
  RunDirectory(context, steering::FlowOffered{flow, std::move(bytes)});
  return true;
}

}  // namespace

auto OfferFlows(Context& context) -> void {
  auto& agent = context.agent;
  if (agent.phase != Phase::kDraining || context.now < agent.next_offers) return;
  agent.next_offers = context.now + agent.policy.hand_over_period;
  auto flows = FlowsToOffer(context);
  if (flows.empty()) return;
  auto ledgers = requests::IndexLedger(*agent.requests);
  auto left = agent.policy.hand_overs_of_period;
  for (const auto& flow : flows) {
    if (left == 0) return;
    if (Offer(context, ledgers, flow)) --left;
  }
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
