#include "steering/directory.h"

#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

auto HandlePacket(StepContext& context, const TunnelArrived& event) -> void {
  const auto& packet = event.header->packet();
  auto flow = wire::ReadFlow(packet.flow());
  if (!flow) {
    ++context.directory.counters.malformed;
    return;
  }
  AcceptPacket(context, {*flow, packet, event.payload, {event.header->sender()}});
}

// Returns the flow of a control message; null if the message type has none.
auto FlowOfMessage(const wire::pb::TunnelHeader& header) -> const wire::pb::Flow* {
  using wire::pb::TunnelHeader;
  switch (header.body_case()) {
    case TunnelHeader::kOwnerQuery:
      return &header.owner_query().flow();
    case TunnelHeader::kOwnerAnswer:
      return &header.owner_answer().flow();
    case TunnelHeader::kYield:
      return &header.yield().flow();
    case TunnelHeader::kYieldAck:
      return &header.yield_ack().flow();
    case TunnelHeader::kHandOverAck:
      return &header.hand_over_ack().flow();
    default:
      return nullptr;
  }
}

auto Handle(StepContext& context, const TunnelArrived& event) -> void {
  using wire::pb::TunnelHeader;
  const auto& header = *event.header;
  const auto* flow = FlowOfMessage(header);
  if (flow != nullptr && !wire::ReadFlow(*flow)) {
    ++context.directory.counters.malformed;
    return;
  }
  switch (header.body_case()) {
    case TunnelHeader::kPacket:
      return HandlePacket(context, event);
    case TunnelHeader::kOwnerQuery:
      return HandleOwnerQuery(context, event.from, header.owner_query());
    case TunnelHeader::kOwnerAnswer:
      return HandleOwnerAnswer(context, event.from, header.owner_answer());
    case TunnelHeader::kRegister:
      return HandleRegister(context, header.register_());
    case TunnelHeader::kRegisterAck:
      return HandleRegisterAck(context, header.register_ack());
    case TunnelHeader::kYield:
      return HandleYield(context, event.from, header.yield());
    case TunnelHeader::kYieldAck:
      return HandleYieldAck(context, header.yield_ack());
    case TunnelHeader::kHandOverAck:
      return HandleHandOverAck(context, header.hand_over_ack());
    case TunnelHeader::kResettle:
      return HandleResettle(context, header.resettle());
    case TunnelHeader::kStandBy:
      return HandleStandBy(context, header.stand_by());
    default:
      return;
  }
}

auto Handle(StepContext& context, const ViewArrived& event) -> void {
  HandleView(context, *event.view);
}

auto Handle(StepContext& context, const OwnLoadChanged& event) -> void {
  auto weight = context.directory.load.weight;
  context.directory.load = event.load;
  context.directory.load.weight = weight;
}

auto Handle(StepContext& context, const PeerLoadArrived& event) -> void {
  const auto& report = event.report;
  auto* peer = FindPeer(context.directory, ReadRef(report.target()));
  if (peer == nullptr || report.service() != context.directory.service.value) return;
  peer->load.flows = report.flows();
  peer->reported_flows = report.flows();
  peer->placed_at_report = context.directory.placed_as_home;
  peer->load.in_flight = report.in_flight() + report.queued();
  peer->load.delay = base::microseconds(report.delay_us());
  peer->load.refused_permille = report.refused_permille();
}

auto Handle(StepContext& context, const FlowEnded& event) -> void {
  CloseFlow(context, event.flow);
}

auto Handle(StepContext& context, const FlowOffered& event) -> void { OfferFlow(context, event); }

auto Handle(StepContext& context, const HandOverArrived& event) -> void {
  HandleHandOver(context, event);
}

auto EndIdleFlows(StepContext& context) -> void {
  auto& directory = context.directory;
  auto idle = std::vector<base::FlowKey>{};
  for (const auto& [flow, owned] : directory.owned) {
    auto is_used = context.now - owned.last_used < directory.policy.flow_idle;
    if (owned.closing || owned.offered || is_used) continue;
    idle.push_back(flow);
  }
  for (const auto& flow : idle) {
    context.effects.dropped.push_back({flow});
    CloseFlow(context, flow);
  }
}

// Entries that this agent keeps as a former home only save hops.
auto ExpireForwards(StepContext& context) -> void {
  auto& directory = context.directory;
  std::erase_if(directory.known, [&](const auto& entry) {
    if (context.now - entry.second.last_packet < directory.policy.forward_ttl) return false;
    return entry.second.tentative || !IsHome(directory, entry.first);
  });
}

// No duplicate of an offer is delayed for this long.
auto ExpireOffers(StepContext& context) -> void {
  auto& directory = context.directory;
  std::erase_if(directory.incoming, [&](const auto& entry) {
    return context.now - entry.second.at > directory.policy.forward_ttl;
  });
}

auto Handle(StepContext& context, const DirectoryTimer&) -> void {
  auto& directory = context.directory;
  directory.streams_due = true;
  RetryOwnerQueries(context);
  RetryYields(context);
  RetryHandOvers(context);
  RetryTakeovers(context);
  SendDrainNotices(context);
  if (context.now < directory.next_sweep) return;
  directory.next_sweep = context.now + directory.policy.sweep_period;
  EndIdleFlows(context);
  ExpireForwards(context);
  ExpireOffers(context);
  ExpireCopies(context);
}

auto DetectPause(StepContext& context) -> void {
  auto& directory = context.directory;
  auto first = directory.last_step == base::TimePoint{};
  auto stopped = context.now - directory.last_step > directory.policy.pause_threshold;
  directory.last_step = context.now;
  if (!first && stopped && directory.in_view) Fence(context);
}

}  // namespace

auto DirectoryBuilder::WithTarget(const membership::TargetRecord& target) -> DirectoryBuilder& {
  this->record = target;
  return *this;
}

auto DirectoryBuilder::WithPolicy(const DirectoryPolicy& parameters) -> DirectoryBuilder& {
  this->policy = parameters;
  return *this;
}

auto DirectoryBuilder::WithSeed(std::uint32_t value) -> DirectoryBuilder& {
  this->seed = value;
  return *this;
}

auto DirectoryBuilder::Build() const -> Directory {
  auto directory = Directory{};
  directory.policy = this->policy;
  directory.self = {this->record.id, this->record.incarnation};
  directory.service = this->record.service;
  directory.instance = this->record.instance;
  directory.random.seed(this->seed);
  directory.load.slots = this->record.slots;
  directory.load.connections = this->record.connections;
  directory.load.failure_domain = base::HashName(this->record.failure_domain);
  return directory;
}

auto Step(Directory& directory, const DirectoryEvent& event, base::TimePoint now)
    -> DirectoryEffects {
  auto effects = DirectoryEffects{};
  auto context = StepContext{directory, now, effects};
  DetectPause(context);
  std::visit([&](const auto& concrete) { Handle(context, concrete); }, event);
  if (directory.streams_due) SendDueBatches(context);
  ReportFlowCount(context);
  UpdateFence(context);
  return effects;
}

auto ReplyRoute(Directory& directory, const base::FlowKey& flow, base::TimePoint now)
    -> std::optional<base::Endpoint> {
  auto stopped = now - directory.last_step > directory.policy.pause_threshold;
  if (directory.fenced || stopped) return std::nullopt;
  auto* owned = FindOwned(directory, flow);
  if (owned == nullptr || owned->closing || owned->offered) return std::nullopt;
  if (owned->balancer.port == 0) return std::nullopt;
  owned->last_used = now;
  return owned->balancer;
}

auto SetReplyBalancer(Directory& directory, const base::FlowKey& flow,
                      const base::Endpoint& balancer) -> void {
  auto* owned = FindOwned(directory, flow);
  if (owned != nullptr) owned->balancer = balancer;
}

auto IsSettled(const Directory& directory) -> bool {
  if (!directory.in_view || directory.fenced) return false;
  return std::ranges::all_of(directory.peers, [&](const PeerTarget& peer) {
    return peer.suspect || peer.settled_view == directory.digest;
  });
}

auto OwnLoadReport(const Directory& directory) -> wire::pb::LoadReport {
  auto report = wire::pb::LoadReport{};
  WriteRef(directory.self, *report.mutable_target());
  report.set_service(directory.service.value);
  report.set_in_flight(directory.load.in_flight);
  report.set_flows(static_cast<std::uint32_t>(directory.owned.size()));
  auto delay = std::chrono::duration_cast<base::microseconds>(directory.load.delay);
  report.set_delay_us(static_cast<std::uint32_t>(delay.count()));
  report.set_refused_permille(directory.load.refused_permille);
  report.set_view(directory.digest);
  return report;
}

}  // namespace anvildrum::steering
