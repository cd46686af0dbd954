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

// peers.cc
auto OnViewChange(Context& context) -> void;
auto ObservePeers(Context& context, const membership::SuspicionEvent& event) -> void;
auto OnProbe(Context& context, const base::Endpoint& from, const wire::pb::Probe& probe) -> void;
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
/// Offers flows of a draining agent to other targets, so many a period.
auto OfferFlows(Context& context) -> void;
auto OnHandOver(Context& context, const TunnelMessage& message) -> void;
auto AdoptFlow(Context& context, const steering::FlowTaken& taken) -> void;

// life_cycle.cc
enum class LifeEvent : std::uint8_t { kAnnounced, kDrainRequested, kEmpty };
auto Advance(Phase phase, LifeEvent event) -> Phase;
auto CheckDrain(Context& context) -> void;

/// A header from this agent, without a body.
auto MakeHeader(const Agent& agent) -> wire::pb::TunnelHeader;

/// Bits for "instance" and "tunnel" of whoever has this id; null when unknown.
auto TunnelOf(const membership::View& view, base::InstanceId instance) -> const base::Endpoint*;

}  // namespace anvildrum::agent
