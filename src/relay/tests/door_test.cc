#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

const base::TimePoint kNow{base::seconds(1000)};
const base::InstanceId kChild{77};

auto Target(std::uint64_t revision, bool deleted = false) -> PlatformObject {
  return {.key = "targets/desk/d1", .revision = revision, .deleted = deleted, .value = "{}"};
}

auto Config(std::uint64_t revision, std::uint64_t number) -> PlatformObject {
  return {.key = "config", .revision = revision, .value = "{}", .number = number};
}

/// One balancer that was given a complete set.
auto MakeHolder(std::vector<PlatformObject> objects, std::uint64_t revision) -> State {
  State state = MakeState(Balancer(0, "fd0"));
  Step(state, Started{}, kNow);
  Step(state, PlatformObjects{std::move(objects), revision, true}, kNow);
  return state;
}

auto Subscribe(State& state, std::uint64_t revision, base::TimePoint now) -> wire::pb::Update {
  PeerMessage event{.sender = kChild, .endpoint = {}, .message = {}};
  event.message.mutable_subscribe()->set_revision(revision);
  for (const Effect& effect : Step(state, event, now)) {
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send != nullptr) return send->message->update();
  }
  return {};
}

template <typename Kind>
auto Has(const Effects& effects) -> bool {
  for (const Effect& effect : effects) {
    if (std::holds_alternative<Kind>(effect)) return true;
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(Door)

// A child was away for longer than tombstones are kept. What its parent still knows to be newer
// would leave out the deletion, and the child would send traffic to a target that left.
BOOST_AUTO_TEST_CASE(AChildFromBeforeForgottenDeletionsGetsACompleteSet) {
  State state = MakeHolder({Config(5, 1), Target(10)}, 10);
  Step(state, PlatformObjects{{Target(11, true)}, 11, false}, kNow);
  BOOST_TEST(!Subscribe(state, 10, kNow).complete());
  const base::TimePoint later = kNow + base::minutes(11);
  Step(state, TimerFired{}, later);
  BOOST_TEST(Subscribe(state, 10, later).complete());
}

// A parent that has just taken a complete set saw no deletion before it.
BOOST_AUTO_TEST_CASE(ACompleteSetKnowsNoDeletions) {
  State state = MakeHolder({Config(5, 1)}, 20);
  BOOST_TEST(Subscribe(state, 10, kNow).complete());
  BOOST_TEST(!Subscribe(state, 20, kNow).complete());
}

// A list that was read before a deletion arrives after its tombstone was dropped.
BOOST_AUTO_TEST_CASE(AnOlderCompleteSetUndoesNothing) {
  State state = MakeHolder({Config(5, 1), Target(10)}, 10);
  Step(state, PlatformObjects{{Target(20, true)}, 20, false}, kNow);
  const base::TimePoint later = kNow + base::minutes(11);
  Step(state, TimerFired{}, later);
  Step(state, PlatformObjects{{Config(5, 1), Target(10)}, 15, true}, later);
  BOOST_TEST(!state.store.records.contains("targets/desk/d1"));
  BOOST_TEST(state.store.horizon == 20U);
  BOOST_TEST(state.counters.refused_forgotten == 1U);
}

// Traffic that is taken on half a picture reaches nobody or the wrong service.
BOOST_AUTO_TEST_CASE(ReadyNeedsAConfigurationAndACompleteSet) {
  State state = MakeState(Balancer(0, "fd0"));
  Step(state, Started{}, kNow);
  BOOST_TEST(!Has<Ready>(Step(state, PlatformObjects{{Config(5, 1)}, 5, false}, kNow)));
  BOOST_TEST(Has<Ready>(Step(state, PlatformObjects{{Config(5, 1)}, 5, true}, kNow)));
  State other = MakeState(Balancer(0, "fd0"));
  Step(other, Started{}, kNow);
  BOOST_TEST(!Has<Ready>(Step(other, PlatformObjects{{Target(4)}, 4, true}, kNow)));
  BOOST_TEST(Has<Ready>(Step(other, PlatformObjects{{Config(5, 1)}, 5, false}, kNow)));
  BOOST_TEST(!Has<Ready>(Step(other, PlatformObjects{{Config(6, 2)}, 6, false}, kNow)));
}

// One update is lost on the way. The next heartbeat shows that the parent is ahead, and the child
// asks at once rather than at its next renewal.
BOOST_AUTO_TEST_CASE(ALostUpdateIsAskedForAtTheNextHeartbeat) {
  Fleet fleet = MakeFleet(1, 3, 1);
  StartAll(fleet);
  // Well before the next renewal, which would hide the loss.
  const std::uint64_t sent = fleet.nodes[3].state.counters.subscribes_sent;
  RunUntil(fleet, base::seconds(20),
           [&] { return fleet.nodes[3].state.counters.subscribes_sent > sent; });
  for (std::size_t i = 0; i < 3; ++i) SetCut(fleet, 3, i, true);
  PutObject(fleet, "config", "{}", 2);
  RunFor(fleet, base::milliseconds(30));
  fleet.cuts.clear();
  const auto took = RunUntil(fleet, base::seconds(2), [&] { return AllHold(fleet, 2); });
  BOOST_TEST(took.has_value());
}

// Children renew every ten seconds in case their parent forgot them; that costs no records.
BOOST_AUTO_TEST_CASE(ARenewalBringsNothingAgain) {
  State state = MakeHolder({Config(5, 1), Target(10)}, 10);
  BOOST_TEST(Subscribe(state, 0, kNow).complete());
  PeerMessage renewal{.sender = kChild, .endpoint = {}, .message = {}};
  renewal.message.mutable_subscribe()->set_renewal(true);
  renewal.message.mutable_subscribe()->set_revision(10);
  renewal.message.mutable_subscribe()->set_config_revision(5);
  BOOST_TEST(!Has<SendPeer>(Step(state, renewal, kNow + base::seconds(10))));
}

// A failure domain returns and all its balancers join through one seed. Packing the set for each
// would keep the seed from its own children for seconds; a change in between makes a new one.
BOOST_AUTO_TEST_CASE(JoinsInARowShareOnePackedSet) {
  State state = MakeHolder({Config(5, 1), Target(10)}, 10);
  const auto set_for = [&](std::uint64_t child) -> SharedMessage {
    PeerMessage event{.sender = base::InstanceId{child}, .endpoint = {}, .message = {}};
    event.message.mutable_subscribe();
    return std::get<SendPeer>(Step(state, event, kNow).at(0)).message;
  };
  const SharedMessage first = set_for(1);
  BOOST_TEST(set_for(2) == first);
  Step(state, PlatformObjects{{Target(11)}, 11, false}, kNow);
  BOOST_TEST(set_for(3) != first);
  BOOST_TEST(set_for(3)->update().revision() == 11U);
}

// A parent's set stays different at the same revision. Taking it again and again would cost each
// child more than its whole budget.
BOOST_AUTO_TEST_CASE(RepairsInVainBecomeRare) {
  State state = MakeHolder({Config(5, 1)}, 10);
  const base::Endpoint endpoint = EndpointOf(9);
  state.parents[endpoint].endpoint = endpoint;
  PeerMessage event{.sender = kChild, .endpoint = endpoint, .message = {}};
  event.message.mutable_heartbeat()->set_revision(10);
  event.message.mutable_heartbeat()->set_digest(1);
  for (int second = 0; second < 3600; ++second) {
    Step(state, event, kNow + base::seconds(second));
  }
  BOOST_TEST(state.counters.repairs >= 2U);
  BOOST_TEST(state.counters.repairs <= 8U);
}

// Rubbish in the relay's messages is counted and changes nothing.
BOOST_AUTO_TEST_CASE(WhatMakesNoSenseIsCounted) {
  State state = MakeHolder({Config(5, 1)}, 10);
  PeerMessage event{.sender = kChild, .endpoint = {}, .message = {}};
  BOOST_TEST(Step(state, event, kNow).empty());
  event.message.mutable_update()->set_complete(true);
  BOOST_TEST(Step(state, event, kNow).empty());
  event.message.mutable_heartbeat()->set_revision(99);
  BOOST_TEST(Step(state, event, kNow).empty());
  BOOST_TEST(state.counters.bad_messages == 3U);
  BOOST_TEST(state.store.horizon == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
