#pragma once

#include "agent/agent.h"

namespace anvildrum::agent {

inline constexpr auto kTick = base::milliseconds(20);

/// The context of a step: the state, the time and the effects.
struct Context {
  Agent& agent;
  base::TimePoint now;
  Effects effects;
};

// tunnel.cc
auto OnTunnelMessage(Context& context, const TunnelMessage& message) -> void;
auto RunDirectory(Context& context, const steering::DirectoryEvent& event) -> void;
auto RunRequests(Context& context, const requests::Event& event) -> void;

// replies.cc
auto ChooseReplyBalancers(Agent& agent) -> void;
auto SendReply(Context& context, const base::FlowKey& flow, wire::Bytes payload) -> void;

// reply_liveness.cc
/// Records a balancer's probe or answer. A sender that is not a balancer of the view is ignored.
auto RecordProbe(Context& context, const wire::pb::TunnelHeader& header) -> void;
auto RecordProbeAnswer(Context& context, const wire::pb::TunnelHeader& header) -> void;
/// Probes one balancer if none has probed this agent recently.
auto ProbeReplyBalancer(Context& context) -> void;
/// Removes the liveness of balancers that have left the view.
auto RemoveGoneBalancers(Agent& agent) -> void;
/// Returns the balancer for a reply without a trusted route. The balancers that are known to be
/// alive take turns. Returns null if none has been heard yet.
auto NextLiveBalancer(const Context& context, std::uint64_t turn) -> const BalancerLiveness*;
/// Whether a balancer that used to probe this agent has stopped doing so.
auto IsOverdue(const Context& context, const base::Endpoint& tunnel) -> bool;

// peers.cc
auto OnViewChange(Context& context) -> void;
auto ObservePeers(Context& context, const membership::SuspicionEvent& event) -> void;
auto OnProbe(Context& context, const base::Endpoint& from, const wire::pb::TunnelHeader& probe)
    -> void;
auto OnProbeAnswer(Context& context, const wire::pb::TunnelHeader& header) -> void;
auto RefreshOwnLoad(Context& context) -> void;

// hand_on.cc
auto SendHandOn(Context& context, requests::OfferHandOn offer) -> void;
auto SendHandOnAnswer(Context& context, requests::AnswerHandOn answer) -> void;
auto OnHandOn(Context& context, const wire::pb::TunnelHeader& header, wire::BytesView payload)
    -> void;
auto OnHandOnAnswer(Context& context, const wire::pb::TunnelHeader& header, wire::BytesView payload)
    -> void;

// hand_over.cc
/// Offers a limited number of flows per period to other targets: any flow of a draining agent,
/// otherwise the flows whose requests the target refused.
auto OfferFlows(Context& context) -> void;
auto QueueShedFlow(Context& context, const base::FlowKey& flow) -> void;
auto OnHandOver(Context& context, const TunnelMessage& message) -> void;
auto AdoptFlow(Context& context, const steering::FlowTaken& taken) -> void;

// stand_by.cc
/// Sends copies of observations that are served here to their stand-bys.
auto CopyStreams(Context& context) -> void;
auto OnStandByAck(Context& context, const wire::pb::StandByAck& ack) -> void;
/// Continues the observations of a lost owner, or ends them with an error to their clients.
auto ResumeFlow(Context& context, const steering::FlowTaken& taken) -> void;

// restart.cc
/// Notifies the next one of the peers and balancers of the restart while the platform does not know
/// this process.
auto SendNextRestartNotice(Context& context) -> void;
auto SendRestartNotice(Context& context, const base::Endpoint& to) -> void;
auto OnRestartNotice(Context& context, const base::Endpoint& from,
                     const wire::pb::RestartNotice& notice) -> void;
/// Returns the record to apply. While the agent is provisional, the record of its earlier process
/// is replaced by its own.
auto ResolveOwnRecord(Agent& agent, const membership::TargetRecord& record)
    -> membership::TargetRecord;

// life_cycle.cc
enum class LifeEvent : std::uint8_t { kAnnounced, kDrainRequested, kEmpty };
auto Advance(Phase phase, LifeEvent event) -> Phase;
auto CheckDrain(Context& context) -> void;

// target_watch.cc
/// Returns the flow key of the agent's own pings; no client has port 0.
auto PingFlow(const Agent& agent) -> base::FlowKey;
auto PingTarget(Context& context) -> void;
auto OnTargetHeard(Context& context) -> void;
auto OnTargetRefused(Context& context) -> void;
/// Completes every request and stream with its outcome and ends the flows.
auto EndAllFlows(Context& context) -> void;
auto IsTargetSilent(const Agent& agent) -> bool;

// lost.cc
auto RecordLost(Context& context, const membership::Target& target) -> void;
auto RecordReplaced(Context& context, const membership::TargetRecord& record) -> void;
auto RecordRemoved(Context& context, const TargetRecordRemoved& event) -> void;
auto ExpireLost(Context& context) -> void;
/// Whether a flow that opens here may have been served by a lost target.
auto IsAdopted(const Agent& agent, const base::FlowKey& flow) -> bool;
/// Whether the event may open such a flow, by its packet or by the end of its owner query.
auto MayOpenAdopted(const Agent& agent, const steering::DirectoryEvent& event) -> bool;

/// Returns a header from this agent without a body.
auto MakeHeader(const Agent& agent) -> wire::pb::TunnelHeader;

/// Returns the tunnel of the balancer or target with this id; null if unknown.
auto TunnelOf(const membership::View& view, base::InstanceId instance) -> const base::Endpoint*;

}  // namespace anvildrum::agent
