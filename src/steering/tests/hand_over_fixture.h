#pragma once

#include "steering/tests/directory_fixture.h"

// Messages of a hand-over between the directories of desk-1 and others.
namespace anvildrum::steering {

inline constexpr auto kLater = kStart + base::milliseconds(20);

inline auto WriteTo(wire::pb::TargetRef& message, std::uint16_t number) -> void {
  message.set_target(MakeRecord(number).id.value);
  message.set_incarnation(1);
}

// An offer from desk-2 to desk-1.
inline auto MakeHandOver(const wire::pb::TunnelHeader& packet, std::uint64_t attempt)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* message = header.mutable_hand_over();
  *message->mutable_flow() = packet.packet().flow();
  WriteTo(*message->mutable_from(), 2);
  WriteTo(*message->mutable_to(), 1);
  message->set_attempt(attempt);
  wire::WriteEndpoint(kBalancer, *message->mutable_balancer());
  WriteTo(*message->mutable_lineage()->mutable_opener(), 2);
  message->mutable_lineage()->set_stamp(1);
  message->mutable_lineage()->set_hand_overs(1);
  return header;
}

inline auto Arrive(Directory& directory, const wire::pb::TunnelHeader& header,
                   bool acceptable = true) -> DirectoryEffects {
  return Step(directory, HandOverArrived{kBalancer, &header, {}, acceptable}, kLater);
}

// Returns the last message of the type; fails if there is none.
inline auto Last(const DirectoryEffects& effects, TunnelHeader::BodyCase body)
    -> wire::pb::TunnelHeader {
  auto last = wire::pb::TunnelHeader{};
  for (const auto& send : effects.sends) {
    if (send.header.body_case() == body) last = send.header;
  }
  BOOST_REQUIRE(last.body_case() == body);
  return last;
}

inline auto AckOf(const wire::pb::TunnelHeader& offer, bool accepted, bool registered)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* ack = header.mutable_hand_over_ack();
  *ack->mutable_flow() = offer.hand_over().flow();
  *ack->mutable_from() = offer.hand_over().from();
  *ack->mutable_to() = offer.hand_over().to();
  ack->set_attempt(offer.hand_over().attempt());
  ack->set_accepted(accepted);
  ack->set_registered(registered);
  return header;
}

inline auto SettlePeers(Directory& directory) -> void {
  for (auto& peer : directory.peers) peer.settled_view = directory.digest;
}

}  // namespace anvildrum::steering
