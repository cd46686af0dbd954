#pragma once

#include <optional>

#include "steering/directory.h"

/// Internal declarations shared by the directory's source files.
namespace anvildrum::steering {

struct StepContext {
  Directory& directory;
  base::TimePoint now;
  DirectoryEffects& effects;
};

// directory_lookup.cc
auto FindPeer(Directory& directory, base::TargetId target) -> PeerTarget*;
/// Returns null also if the incarnation differs.
auto FindPeer(Directory& directory, const TargetRef& ref) -> PeerTarget*;
auto FindPeerByInstance(Directory& directory, base::InstanceId instance) -> PeerTarget*;
/// Returns the first home in this agent's view; nothing if no target takes flows.
auto HomeOf(const Directory& directory, const base::FlowKey& flow) -> std::optional<TargetRef>;
/// Returns the home that is responsible while this agent suspects the first one, else the first
/// one.
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
/// Reports this agent's number of flows to its peers after a considerable change.
auto ReportFlowCount(StepContext& context) -> void;

// directory_packets.cc
/// A received packet. `sender` is the process that sent it; unset for a held packet.
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
/// `opens`: the target that is to open the flow; null: none.
auto ForwardPacket(StepContext& context, const base::Endpoint& to, const PacketArrival& arrival,
                   const TargetRef* opens) -> void;
auto ForwardToHome(StepContext& context, const PacketArrival& arrival) -> void;
/// Returns the packet to the home: this agent does not open the flow.
auto Decline(StepContext& context, const PeerTarget& home, const PacketArrival& arrival) -> void;
auto DeclineToHome(StepContext& context, const PacketArrival& arrival) -> void;
auto Refuse(StepContext& context, const PacketArrival& arrival, wire::pb::Refused::Reason reason,
            std::uint64_t& counter) -> void;

// directory_opening.cc
/// Opens the flow here or at another target. The caller has verified that no other agent owns it.
auto PlaceFlow(StepContext& context, const PacketArrival& arrival) -> void;
/// Opens a flow on request of its home (rule 3 of Directory).
auto OpenForHome(StepContext& context, const PacketArrival& arrival) -> void;
/// Fills load_scratch with the targets' loads, in the order of the candidates.
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
/// Processes all held packets as if they had just been received.
auto ReleaseAllHeld(StepContext& context) -> void;
/// Records the owner of a queried flow and releases the held packets.
auto ResolveOwner(StepContext& context, const base::FlowKey& flow, const KnownOwner& owner) -> void;

// directory_registration.cc
/// Queues the flow for each of its homes that has not acknowledged its registration.
auto EnqueueRegistration(Directory& directory, const base::FlowKey& flow, OwnedFlow& owned) -> void;
/// Clears the queues and fills them again after the homes of flows have changed.
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
/// Returns the owner that `known` names or has lost; stamp 0: none.
auto LostOwnerOf(const Directory& directory, const base::FlowKey& flow) -> LostOwner;
/// Called before the flow is opened at `winner` although its previous owner may be alive and only
/// unreachable. Tells that owner to drop the flow as soon as it is reachable again.
auto RevokeLostClaim(StepContext& context, const base::FlowKey& flow, const TargetRef& winner)
    -> void;
auto RetryYields(StepContext& context) -> void;

// directory_hand_over.cc
auto OfferFlow(StepContext& context, const FlowOffered& event) -> void;
auto HandleHandOver(StepContext& context, const HandOverArrived& event) -> void;
auto HandleHandOverAck(StepContext& context, const wire::pb::HandOverAck& ack) -> void;
auto RetryHandOvers(StepContext& context) -> void;
/// Holds a packet of a flow that is offered to another target.
auto HoldForHandOver(StepContext& context, const PacketArrival& arrival) -> void;
/// Ends this agent's ownership and forwards the held packets to the new owner.
auto CompleteHandOver(StepContext& context, const base::FlowKey& flow, const TargetRef& owner)
    -> void;

// directory_stand_by.cc
auto HandleStandBy(StepContext& context, const wire::pb::StandBy& message) -> void;
/// Whether this agent has a copy of the flow's observations and cannot reach their owner.
auto IsOrphaned(Directory& directory, const base::FlowKey& flow) -> bool;
/// Takes an orphaned flow over. The caller has verified that no other agent owns it. Returns false
/// if there is no copy.
auto TakeOverOrphan(StepContext& context, const base::FlowKey& flow) -> bool;
/// Called at the end of an owner query. Takes the flow over if the owner's loss is confirmed;
/// otherwise the copy stays for a later attempt.
auto ConcludeOrphanQuery(StepContext& context, const base::FlowKey& flow,
                         const PendingFlow& pending) -> bool;
/// Called when the flow's owner has become known. Removes the copy of another owner; postpones the
/// takeover from this one.
auto ReconcileCopy(StepContext& context, const base::FlowKey& flow, const TargetRef& owner) -> void;
auto RetryTakeovers(StepContext& context) -> void;
auto ExpireCopies(StepContext& context) -> void;

// directory_lineage.cc
/// Appends the hand-over by `self`, as the next owner records it.
auto ExtendLineage(Lineage& lineage, const TargetRef& self) -> void;
auto WriteLineage(const Lineage& lineage, wire::pb::Lineage& message) -> void;
auto ReadLineage(const wire::pb::Lineage& message) -> Lineage;

// directory_view.cc
auto HandleView(StepContext& context, const membership::View& view) -> void;
auto Fence(StepContext& context) -> void;
auto UpdateFence(StepContext& context) -> void;

}  // namespace anvildrum::steering
