#pragma once

#include "agent/agent.h"

namespace anvildrum::agent {

inline constexpr auto kTick = base::milliseconds(20);

/// One step under way: the state, the time, and what is to be done.
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
/// A balancer's probe or answer came; a sender that is no balancer of the view is ignored.
auto NoteProbed(Context& context, const wire::pb::TunnelHeader& header) -> void;
auto NoteAnswered(Context& context, const wire::pb::TunnelHeader& header) -> void;
/// Asks one balancer when none gave a sign for a while.
auto AskForSign(Context& context) -> void;
/// Drops what was known of balancers that left the view.
auto ForgetSigns(Agent& agent) -> void;
/// The balancer for a reply without a trusted route: those with a fresh sign take turns. Null: no
/// balancer has given one yet.
auto NextBySign(const Context& context, std::uint64_t turn) -> const BalancerLiveness*;
/// Whether a balancer that used to probe this agent has fallen silent.
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
/// Offers flows to other targets, so many a period: all of a draining agent, else those whose
/// requests the target refused.
auto OfferFlows(Context& context) -> void;
auto NoteShed(Context& context, const base::FlowKey& flow) -> void;
auto OnHandOver(Context& context, const TunnelMessage& message) -> void;
auto AdoptFlow(Context& context, const steering::FlowTaken& taken) -> void;

// stand_by.cc
/// Sends copies of observations that are served here to their stand-bys.
auto CopyStreams(Context& context) -> void;
auto OnStandByAck(Context& context, const wire::pb::StandByAck& ack) -> void;
/// Goes on with the observations of a lost owner, or tells their clients.
auto ResumeFlow(Context& context, const steering::FlowTaken& taken) -> void;

// restart.cc
/// Tells the next one of peers and balancers, while the platform doesn't know of this process.
auto TellRestart(Context& context) -> void;
auto TellRestartTo(Context& context, const base::Endpoint& to) -> void;
auto OnRestartNotice(Context& context, const base::Endpoint& from,
                     const wire::pb::RestartNotice& notice) -> void;
/// The own record as the agent takes it: while provisional, the earlier process' one is its own.
auto TakeOwnRecord(Agent& agent, const membership::TargetRecord& record)
    -> membership::TargetRecord;

// life_cycle.cc
enum class LifeEvent : std::uint8_t { kAnnounced, kDrainRequested, kEmpty };
auto Advance(Phase phase, LifeEvent event) -> Phase;
auto CheckDrain(Context& context) -> void;

// target_watch.cc
/// Stands for the agent's own pings: no client has port 0.
auto PingFlow(const Agent& agent) -> base::FlowKey;
auto PingTarget(Context& context) -> void;
auto NoteTargetHeard(Context& context) -> void;
auto NoteTargetRefused(Context& context) -> void;
/// Gives every request and stream its outcome and ends the flows.
auto EndAllFlows(Context& context) -> void;
auto IsTargetSilent(const Agent& agent) -> bool;

// lost.cc
auto NoteLost(Context& context, const membership::Target& target) -> void;
auto NoteReplaced(Context& context, const membership::TargetRecord& record) -> void;
auto NoteRemoved(Context& context, const TargetRecordRemoved& event) -> void;
auto ForgetLost(Context& context) -> void;
/// Whether a flow that opens here may have been served by a target that was lost.
auto IsAdopted(const Agent& agent, const base::FlowKey& flow) -> bool;
/// Whether the event may open such a flow: its packet, or the end of asking for it.
auto MayOpenAdopted(const Agent& agent, const steering::DirectoryEvent& event) -> bool;

/// A header from this agent, without a body.
auto MakeHeader(const Agent& agent) -> wire::pb::TunnelHeader;

/// Bits for "instance" and "tunnel" of whoever has this id; null when unknown.
auto TunnelOf(const membership::View& view, base::InstanceId instance) -> const base::Endpoint*;

}  // namespace anvildrum::agent
