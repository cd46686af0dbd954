// Sends copies of the observations served here to their stand-bys, and continues those of lost
// owners. See docs/design/standby.md.
#include <algorithm>

#include "agent/internal/hand_over_codec.h"
#include "agent/internal/parts.h"
#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

using steering::TargetRef;

// MAC, length, and the UDP and IPv4 headers of a batch.
constexpr auto kDatagramOverhead = std::size_t{16 + 2 + 28};

auto FindPeer(const Agent& agent, const TargetRef& ref) -> const steering::PeerTarget* {
  const auto& peers = agent.directory.peers;
  auto found = std::ranges::find(peers, ref, &steering::PeerTarget::ref);
  return found == peers.end() ? nullptr : &*found;
}

auto StreamTo(Copies& copies, const TargetRef& keeper) -> CopyStream& {
  auto found = std::ranges::find(copies.streams, keeper, &CopyStream::keeper);
  if (found != copies.streams.end()) return *found;
  copies.streams.emplace_back();
  copies.streams.back().keeper = keeper;
  return copies.streams.back();
}

auto Enqueue(Copies& copies, const TargetRef& keeper, const base::FlowKey& flow, bool has_copy)
    -> void {
  auto& stream = StreamTo(copies, keeper);
  auto [queued, added] = stream.queued.try_emplace(flow, false);
  if (added) stream.queue.push_back(flow);
  queued->second = queued->second || has_copy;
}

auto IsServed(const Agent& agent, const base::FlowKey& flow) -> bool {
  auto owned = agent.directory.owned.find(flow);
  return owned != agent.directory.owned.end() && !owned->second.closing && !owned->second.offered;
}

// Returns 0 if nothing of the flow is to be copied.
auto VersionOf(const Context& context, const base::FlowKey& flow) -> std::uint64_t {
  const auto& agent = context.agent;
  if (!IsServed(agent, flow)) return 0;
  return requests::StreamsVersion(*agent.requests, flow,
                                  context.now - agent.policy.stand_by.min_age);
}

auto IsCurrent(const Context& context, const CopiedFlow& copied, const TargetRef& keeper,
               std::uint64_t version) -> bool {
  if (copied.keeper != keeper || copied.version != version) return false;
  return context.now - copied.sent < context.agent.policy.stand_by.refresh;
}

auto ScanServedFlow(Context& context, const base::FlowKey& flow) -> void {
  auto& copies = context.agent.copies;
  auto version = VersionOf(context, flow);
  if (version == 0) return;
  auto keeper = steering::StandByOf(context.agent.directory, flow);
  if (!keeper) return;
  auto copied = copies.flows.find(flow);
  auto known = copied != copies.flows.end();
  if (known && IsCurrent(context, copied->second, *keeper, version)) return;
  Enqueue(copies, *keeper, flow, known && copied->second.keeper == *keeper);
}

// Queues the removal of copies of flows that have ended or moved.
auto ScanCopiedFlows(Context& context) -> void {
  auto& agent = context.agent;
  auto over = std::vector<base::FlowKey>{};
  for (const auto& [flow, copied] : agent.copies.flows) {
    if (VersionOf(context, flow) == 0) over.push_back(flow);
  }
  std::ranges::sort(over);
  for (const auto& flow : over) {
    Enqueue(agent.copies, agent.copies.flows.at(flow).keeper, flow, true);
    agent.copies.flows.erase(flow);
  }
}

auto ScanFlows(Context& context) -> void {
  auto& agent = context.agent;
  if (context.now < agent.copies.next_scan) return;
  agent.copies.next_scan = context.now + agent.policy.stand_by.scan_interval;
  ScanCopiedFlows(context);
  auto flows = std::vector<base::FlowKey>{};
  for (const auto& [flow, owned] : agent.directory.owned) flows.push_back(flow);
  std::ranges::sort(flows);
  for (const auto& flow : flows) ScanServedFlow(context, flow);
}

// Safeguard: if the former stand-by removed its copy before the next one has its own, it could not
// continue the flow if the owner died in between. The removal is queued after the new copy is sent.
auto RecordCopy(Copies& copies, const base::FlowKey& flow, const CopiedFlow& copy) -> void {
  auto before = copies.flows.find(flow);
  auto moved = before != copies.flows.end() && before->second.keeper != copy.keeper;
  if (moved) Enqueue(copies, before->second.keeper, flow, true);
  copies.flows[flow] = copy;
}

// Adds the flow's current copy to the batch, or its removal, which has no record. A flow that has
// ended while it waited for its first copy costs nothing.
auto AddCopy(Context& context, const base::FlowKey& flow, const CopyStream& stream, bool has_copy,
             wire::pb::StandBy& batch) -> void {
  auto& agent = context.agent;
  const auto& policy = agent.policy.stand_by;
  const auto& keeper = stream.keeper;
  auto version = VersionOf(context, flow);
  auto keeps = version != 0 && steering::StandByOf(agent.directory, flow) == keeper;
  if (!keeps && !has_copy) return;
  auto& message = *batch.add_flows();
  wire::WriteEndpoint(flow.client, *message.mutable_client());
  if (!keeps) return;
  auto record = requests::ExportStreams(*agent.requests, flow, context.now - policy.min_age);
  auto bytes = WriteRecord(record);
  RecordCopy(agent.copies, flow, {keeper, version, context.now});
  if (bytes.size() > policy.max_copy_bytes) {
    ++agent.counters.copies_too_large;
    return;
  }
  ++agent.counters.copies_sent;
  message.set_record(bytes.data(), bytes.size());
  steering::WriteLineageOf(agent.directory, flow, *message.mutable_lineage());
}

auto MakeBatch(Context& context, CopyStream& stream) -> void {
  auto& agent = context.agent;
  auto header = MakeHeader(agent);
  auto& batch = *header.mutable_stand_by();
  steering::WriteBatchAddress(agent.directory, stream.keeper, batch);
  batch.set_sequence(++stream.sequence);
  while (!stream.queue.empty() && header.ByteSizeLong() < agent.policy.stand_by.batch_bytes) {
    auto flow = stream.queue.front();
    stream.queue.pop_front();
    auto has_copy = stream.queued.extract(flow).mapped();
    AddCopy(context, flow, stream, has_copy, batch);
  }
  if (batch.flows_size() == 0) return;
  stream.batch = std::move(header);
  stream.next_send = {};
  stream.retry = agent.policy.stand_by.retry;
}

auto SendBatch(Context& context, CopyStream& stream, const base::Endpoint& to) -> void {
  auto& agent = context.agent;
  stream.next_send = context.now + stream.retry;
  stream.retry = std::min(stream.retry * 2, agent.policy.stand_by.max_retry);
  auto bytes = stream.batch->ByteSizeLong() + kDatagramOverhead;
  agent.copies.bytes_left -= static_cast<double>(bytes);
  agent.counters.copy_bytes += bytes;
  context.effects.emplace_back(SendTunnel{to, *stream.batch, {}});
}

auto RefillBudget(Context& context) -> void {
  auto& copies = context.agent.copies;
  const auto& policy = context.agent.policy.stand_by;
  auto elapsed = std::chrono::duration<double>(context.now - copies.refilled_at).count();
  copies.refilled_at = context.now;
  copies.bytes_left =
      std::min(policy.burst_bytes, copies.bytes_left + elapsed * policy.bytes_per_second);
}

// Safeguard: after a failure domain is lost, the copies of many flows are due at once. Sent without
// a limit, they would crowd out probes and registrations on the control plane. Beyond the budget
// they wait.
auto SendDueBatch(Context& context, CopyStream& stream) -> void {
  const auto* keeper = FindPeer(context.agent, stream.keeper);
  if (keeper == nullptr || context.agent.copies.bytes_left <= 0) return;
  if (!stream.batch) {
    if (stream.queue.empty()) return;
    MakeBatch(context, stream);
  }
  if (stream.batch && context.now >= stream.next_send) SendBatch(context, stream, keeper->tunnel);
}

auto RemoveGoneKeepers(Agent& agent) -> void {
  std::erase_if(agent.copies.streams,
                [&](const auto& stream) { return FindPeer(agent, stream.keeper) == nullptr; });
}

auto CanServe(const Agent& agent, const requests::FlowRecord& record, bool full) -> bool {
  if (full || agent.phase != Phase::kServing) return false;
  if (agent.target.refused || IsTargetSilent(agent)) return false;
  return requests::HasRoomFor(*agent.requests, record);
}

}  // namespace

auto CopyStreams(Context& context) -> void {
  auto& agent = context.agent;
  if (!agent.policy.stand_by.copies || !agent.directory.in_view || agent.directory.fenced) return;
  RefillBudget(context);
  RemoveGoneKeepers(agent);
  ScanFlows(context);
  for (auto& stream : agent.copies.streams) SendDueBatch(context, stream);
}

auto OnStandByAck(Context& context, const wire::pb::StandByAck& ack) -> void {
  auto keeper = TargetRef{{ack.keeper().target()}, ack.keeper().incarnation()};
  auto& streams = context.agent.copies.streams;
  auto stream = std::ranges::find(streams, keeper, &CopyStream::keeper);
  if (stream == streams.end() || stream->sequence != ack.sequence()) return;
  stream->batch.reset();
}

// Safeguard: when a target and its agent die together, a client that only listens would see no
// update and no error. Its observation continues here; where that is impossible, the client is told
// at once.
auto ResumeFlow(Context& context, const steering::FlowTaken& taken) -> void {
  auto& agent = context.agent;
  auto record = ReadRecord(taken.record);
  if (!record) {
    ++agent.counters.malformed;
    return;
  }
  requests::ResumeAfterLoss(*record, agent.policy.requests.adopted_quarantine);
  auto served = CanServe(agent, *record, taken.full);
  (served ? agent.counters.streams_resumed : agent.counters.streams_not_resumed) +=
      record->streams.size();
  RunRequests(context, requests::FlowAdopted{taken.flow, &*record, served});
}

}  // namespace anvildrum::agent
