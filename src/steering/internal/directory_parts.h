#pragma once

#include <optional>

#include "steering/directory.h"

/// What the parts of the directory share. Private to the module.
namespace anvildrum::steering {

struct StepContext {
  Directory& directory;
  base::TimePoint now;
  DirectoryEffects& effects;
};

// directory_lookup.cc
auto FindPeer(Directory& directory, base::TargetId target) -> PeerTarget*;
/// Null also when the incarnation differs.
auto FindPeer(Directory& directory, const TargetRef& ref) -> PeerTarget*;
auto FindPeerByInstance(Directory& directory, base::InstanceId instance) -> PeerTarget*;
/// The first home in this agent's view: nothing when no target takes flows.
auto HomeOf(const Directory& directory, const base::FlowKey& flow) -> std::optional<TargetRef>;
/// The home that is in charge while this agent suspects the first one; else the first one.
auto ActingHomeOf(const Directory& directory, const base::FlowKey& flow)
    -> std::optional<TargetRef>;
auto IsHome(const Directory& directory, const base::FlowKey& flow) -> bool;
auto FindOwned(Directory& directory, const base::FlowKey& flow) -> OwnedFlow*;

// directory_messages.cc
auto MakeHeader(const Directory& directory) -> wire::pb::TunnelHeader;
auto WriteRef(const TargetRef& ref, wire::pb::TargetRef& message) -> void;
auto ReadRef(const wire::pb::TargetRef& message) -> TargetRef;
auto SendControl(StepContext& context, const base::Endpoint& to,
                 const wire::pb::TunnelHeader& header) -> void;
auto SendPacket(StepContext& context, const base::Endpoint& to, const wire::pb::Packet& packet,
                wire::BytesView payload) -> void;
auto SendRefused(StepContext& context, const wire::pb::Packet& packet,
                 wire::pb::Refused::Reason reason) -> void;
auto SendHint(StepContext& context, const wire::pb::Packet& packet, const TargetRef& owner) -> void;
auto SendDrainNotices(StepContext& context) -> void;
/// Tells the peers how many flows this agent has when that has changed much since.
auto ReportFlowCount(StepContext& context) -> void;

// directory_packets.cc
/// A packet on its way: `sender` is the process that it came from, nothing for a held one.
struct PacketArrival {
  base::FlowKey flow;
  const wire::pb::Packet& packet;
  wire::BytesView payload;
  base::InstanceId sender;
};
auto AcceptPacket(StepContext& context, const PacketArrival& arrival) -> void;
auto DeliverPacket(StepContext& context, const PacketArrival& arrival, OwnedFlow& owned,
                   bool opened) -> void;
auto HoldPacket(StepContext& context, PendingFlow& pending, const PacketArrival& arrival) -> void;

// directory_forwarding.cc
/// `opens`: the target that is asked to open the flow; null: none.
auto ForwardPacket(StepContext& context, const base::Endpoint& to, const PacketArrival& arrival,
                   const TargetRef* opens) -> void;
auto ForwardToHome(StepContext& context, const PacketArrival& arrival) -> void;
/// Hands the packet back: this agent does not open the flow.
auto Decline(StepContext& context, const PeerTarget& home, const PacketArrival& arrival) -> void;
auto DeclineToHome(StepContext& context, const PacketArrival& arrival) -> void;
auto Refuse(StepContext& context, const PacketArrival& arrival, wire::pb::Refused::Reason reason,
            std::uint64_t& counter) -> void;

// directory_opening.cc
/// Opens the flow here or at another target. The caller has made sure that nobody else has it.
auto PlaceFlow(StepContext& context, const PacketArrival& arrival) -> void;
/// The home asks this agent to open the flow (rule 3 of Directory).
auto OpenForHome(StepContext& context, const PacketArrival& arrival) -> void;
/// Targets' loads in the order of the candidates, in load_scratch.
auto FillLoads(StepContext& context) -> void;
auto IsFull(const Directory& directory) -> bool;

// directory_owner_query.cc
auto StartOwnerQuery(StepContext& context, const base::FlowKey& flow, const PacketArrival* arrival,
                     std::optional<TargetRef> lost) -> void;
auto HandleOwnerQuery(StepContext& context, const base::Endpoint& from,
                      const wire::pb::OwnerQuery& query) -> void;
auto HandleOwnerAnswer(StepContext& context, const base::Endpoint& from,
                       const wire::pb::OwnerAnswer& answer) -> void;
auto RetryOwnerQueries(StepContext& context) -> void;
/// Hands all held packets on as if they had just arrived.
auto ReleaseAllHeld(StepContext& context) -> void;
/// The owner of a flow that is asked for has become known: releases the held packets.
auto ResolveOwner(StepContext& context, const base::FlowKey& flow, const KnownOwner& owner) -> void;

// directory_registration.cc
/// Queues the flow for each of its homes that has not acknowledged it.
auto EnqueueRegistration(Directory& directory, const base::FlowKey& flow, OwnedFlow& owned) -> void;
/// Empties the queues and fills them anew, after the homes of flows changed.
auto ReregisterFlows(Directory& directory) -> void;
auto SendDueBatches(StepContext& context) -> void;
auto HandleRegisterAck(StepContext& context, const wire::pb::RegisterAck& ack) -> void;
auto HandleResettle(StepContext& context, const wire::pb::Resettle& message) -> void;
auto CloseFlow(StepContext& context, const base::FlowKey& flow) -> void;

// directory_home.cc
auto HandleRegister(StepContext& context, const wire::pb::Register& message) -> void;
auto HandleYield(StepContext& context, const base::Endpoint& from, const wire::pb::Yield& message)
    -> void;
auto HandleYieldAck(StepContext& context, const wire::pb::YieldAck& message) -> void;
/// The owner that `known` names or has lost; stamp 0: none.
auto LostOwnerOf(const Directory& directory, const base::FlowKey& flow) -> LostOwner;
/// The flow is about to be opened at `winner` although its owner may still live, out of reach: that
/// one is told to let go of it as soon as it is back.
auto RevokeLostClaim(StepContext& context, const base::FlowKey& flow, const TargetRef& winner)
    -> void;
auto RetryYields(StepContext& context) -> void;

// directory_hand_over.cc
auto OfferFlow(StepContext& context, const FlowOffered& event) -> void;
auto HandleHandOver(StepContext& context, const HandOverArrived& event) -> void;
auto HandleHandOverAck(StepContext& context, const wire::pb::HandOverAck& ack) -> void;
auto RetryHandOvers(StepContext& context) -> void;
/// Keeps a packet of a flow that is offered to another target.
auto HoldForHandOver(StepContext& context, const PacketArrival& arrival) -> void;
/// The flow is no longer this agent's: what it held for it goes after the new owner.
auto CompleteHandOver(StepContext& context, const base::FlowKey& flow, const TargetRef& owner)
    -> void;

// directory_stand_by.cc
auto HandleStandBy(StepContext& context, const wire::pb::StandBy& message) -> void;
/// Whether this agent has a copy of the flow's observations and does not reach their owner.
auto IsOrphaned(Directory& directory, const base::FlowKey& flow) -> bool;
/// Takes an orphaned flow over; nobody else has it, as the caller has made sure. False: no copy.
auto TakeOverOrphan(StepContext& context, const base::FlowKey& flow) -> bool;
/// The same at the end of asking, where the loss is agreed; else the copy waits for a later try.
auto ConcludeOrphanQuery(StepContext& context, const base::FlowKey& flow,
                         const PendingFlow& pending) -> bool;
/// The flow has this owner: a copy of another one's is of no use, and one of its own waits.
auto ReconcileCopy(StepContext& context, const base::FlowKey& flow, const TargetRef& owner) -> void;
auto RetryTakeovers(StepContext& context) -> void;
auto ExpireCopies(StepContext& context) -> void;

// directory_lineage.cc
/// As the next owner has it.
auto ExtendLineage(Lineage& lineage, const TargetRef& self) -> void;
auto WriteLineage(const Lineage& lineage, wire::pb::Lineage& message) -> void;
auto ReadLineage(const wire::pb::Lineage& message) -> Lineage;

// directory_view.cc
auto HandleView(StepContext& context, const membership::View& view) -> void;
auto Fence(StepContext& context) -> void;
auto UpdateFence(StepContext& context) -> void;

}  // namespace anvildrum::steering
