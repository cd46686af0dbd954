#include <algorithm>
#include <cmath>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {

auto MakeHeader(const Directory& directory) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(directory.instance.value);
  header.set_incarnation(directory.self.incarnation);
  return header;
}

auto WriteRef(const TargetRef& ref, wire::pb::TargetRef& message) -> void {
  message.set_target(ref.target.value);
  message.set_incarnation(ref.incarnation);
}

auto ReadRef(const wire::pb::TargetRef& message) -> TargetRef {
  return {{message.target()}, message.incarnation()};
}

auto SendControl(StepContext& context, const base::Endpoint& to,
                 const wire::pb::TunnelHeader& header) -> void {
  context.directory.counters.control_bytes += header.ByteSizeLong();
  context.effects.sends.push_back({to, header, {}});
}

auto SendPacket(StepContext& context, const base::Endpoint& to, const wire::pb::Packet& packet,
                wire::BytesView payload) -> void {
  auto header = MakeHeader(context.directory);
  *header.mutable_packet() = packet;
  context.effects.sends.push_back({to, std::move(header), payload});
}

auto SendRefused(StepContext& context, const wire::pb::Packet& packet,
                 wire::pb::Refused::Reason reason) -> void {
  auto balancer = wire::ReadEndpoint(packet.balancer());
  if (!balancer || balancer->port == 0) return;
  auto header = MakeHeader(context.directory);
  *header.mutable_refused()->mutable_flow() = packet.flow();
  header.mutable_refused()->set_reason(reason);
  SendControl(context, *balancer, header);
}

auto SendHint(StepContext& context, const wire::pb::Packet& packet, const TargetRef& owner)
    -> void {
  auto& directory = context.directory;
  const auto& policy = directory.policy;
  auto balancer = wire::ReadEndpoint(packet.balancer());
  if (!balancer || balancer->port == 0) return;
  if (!TakeToken(directory.hints, policy.hints_per_second, policy.hints_burst, context.now)) return;
  auto header = MakeHeader(directory);
  *header.mutable_hint()->mutable_flow() = packet.flow();
  WriteRef(owner, *header.mutable_hint()->mutable_owner());
  SendControl(context, *balancer, header);
}

auto SendDrainNotices(StepContext& context) -> void {
  auto& directory = context.directory;
  if (directory.drain_notices_left == 0 || context.now < directory.next_drain_notice) return;
  --directory.drain_notices_left;
  directory.next_drain_notice = context.now + directory.policy.drain_notice_retry;
  auto header = MakeHeader(directory);
  auto* notice = header.mutable_drain_notice();
  WriteRef(directory.self, *notice->mutable_target());
  notice->set_service(directory.service.value);
  for (const auto& peer : directory.peers) SendControl(context, peer.tunnel, header);
  auto count = std::min(directory.balancers.size(), directory.policy.notified_balancers);
  for (auto i = std::size_t{0}; i < count; ++i) {
    SendControl(context, directory.balancers[i].tunnel, header);
  }
}

// Safeguard: probes request the number of flows twice a second, and a burst of openings is shorter
// than that. With reports from before the burst, no home can tell which targets received more flows
// than others, and the result is no better balanced than the hash.
auto ReportFlowCount(StepContext& context) -> void {
  auto& directory = context.directory;
  const auto& policy = directory.policy;
  if (context.now < directory.next_load_report) return;
  auto flows = static_cast<double>(directory.owned.size());
  auto reported = static_cast<double>(directory.reported_own_flows);
  auto step = std::max<double>(policy.load_report_flows, policy.load_report_share * reported);
  if (std::abs(flows - reported) < step) return;
  directory.reported_own_flows = directory.owned.size();
  directory.next_load_report = context.now + policy.load_report_interval;
  auto header = MakeHeader(directory);
  *header.mutable_probe_answer()->add_loads() = OwnLoadReport(directory);
  for (const auto& peer : directory.peers) {
    if (!peer.suspect) SendControl(context, peer.tunnel, header);
  }
}

}  // namespace anvildrum::steering
