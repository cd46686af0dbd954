#include "packets/reach.h"

#include <boost/test/unit_test.hpp>

#include "packets/balancer.h"
#include "packets/gossip.h"
#include "packets/search.h"

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kAgent = Address{0x0a010001};
constexpr auto kOther = Address{0x0a010002};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kRoute = End{0xc6120001, 443};
constexpr auto kMost = std::size_t{100};
constexpr auto kSilentFor = ReachPolicy{}.silent_for;
constexpr auto kTick = milliseconds{1};

/// A view of two agents with records that reported at kStart.
struct Rig {
  Rig() {
    for (const auto agent : {kAgent, kOther}) {
      AddRecord(this->view, agent, kDesk, kStart);
      this->Report(agent, kStart);
    }
  }

  auto Report(Address agent, base::TimePoint at, TargetState state = TargetState::kReady) -> void {
    TakeReport(this->view,
               {.agent = agent,
                .service = kDesk,
                .start = 1,
                .sequence = ++this->sequence,
                .state = state,
                .slots = 4},
               at);
  }

  /// Lets kOther report at `until` and returns the probes that are due then.
  auto DueAt(base::TimePoint until) -> std::vector<Address> {
    this->Report(kOther, until);
    return DueProbes(this->view, {}, kMost, kStart, until);
  }

  View view;
  std::uint64_t sequence = 0;
};

BOOST_AUTO_TEST_CASE(a_silent_member_is_asked_for_a_connection_once_a_second) {
  auto rig = Rig{};
  BOOST_TEST(rig.DueAt(kStart + kSilentFor).empty());
  const auto due = rig.DueAt(kStart + kSilentFor + kTick);
  BOOST_TEST((due == std::vector{kAgent}));
  BOOST_TEST(rig.DueAt(kStart + seconds{1}).empty());
  BOOST_TEST((rig.DueAt(kStart + kSilentFor + kTick + seconds{1}) == std::vector{kAgent}));
}

BOOST_AUTO_TEST_CASE(a_member_whose_target_has_left_is_not_asked) {
  auto rig = Rig{};
  rig.Report(kAgent, kStart, TargetState::kAbsent);
  BOOST_TEST(rig.DueAt(kStart + seconds{2}).empty());
}

BOOST_AUTO_TEST_CASE(no_more_are_asked_than_there_is_room_for_and_the_others_follow) {
  auto rig = Rig{};
  const auto later = kStart + kSilentFor + kTick;
  const auto first = DueProbes(rig.view, {}, 1, kStart, later);
  const auto second = DueProbes(rig.view, {}, 1, kStart, later);
  BOOST_TEST(first.size() == 1U);
  BOOST_TEST(second.size() == 1U);
  BOOST_TEST(first != second, boost::test_tools::per_element());
}

// A failure domain loses power. Its agents are silent and their machines do not answer connections;
// after a second they must no longer delay the reset of lost flows of the service. If only the
// agent's process has ended, the balancer waits longer, since the target is alive and the agent
// will restart.
BOOST_AUTO_TEST_CASE(
    a_member_out_of_reach_is_waited_for_a_second_and_one_whose_process_ended_longer) {
  for (const auto answered : {false, true}) {
    auto rig = Rig{};
    const auto began = kStart + kSilentFor + kTick;
    rig.DueAt(began);
    RecordProbeResult(rig.view, kAgent, began, answered);
    const auto soon = kStart + rig.view.policy.unreachable_timeout;
    rig.DueAt(soon + kTick);
    BOOST_TEST(IsComplete(rig.view, kDesk, kStart, soon + kTick) != answered);
    const auto late = kStart + rig.view.policy.silence_timeout + kTick;
    rig.DueAt(late);
    BOOST_TEST(IsComplete(rig.view, kDesk, kStart, late));
  }
}

// All power is lost, and one machine with a record does not come back. Each balancer has just
// started and knows the agent only from its record.
BOOST_AUTO_TEST_CASE(a_record_of_a_machine_that_did_not_come_back_is_no_longer_waited_for) {
  auto rig = Rig{};
  constexpr auto gone = Address{0x0a010003};
  AddRecord(rig.view, gone, kDesk, kStart);
  rig.Report(kAgent, kStart + milliseconds{800});
  const auto began = kStart + kSilentFor + kTick;
  BOOST_TEST((rig.DueAt(began) == std::vector{gone}));
  RecordProbeResult(rig.view, gone, began, false);
  const auto soon = kStart + rig.view.policy.unreachable_timeout + kTick;
  rig.DueAt(soon);
  BOOST_TEST(IsComplete(rig.view, kDesk, kStart, soon));
}

BOOST_AUTO_TEST_CASE(a_member_that_reports_again_is_in_reach) {
  auto rig = Rig{};
  const auto began = kStart + kSilentFor + kTick;
  rig.DueAt(began);
  RecordProbeResult(rig.view, kAgent, began, false);
  rig.Report(kAgent, began + milliseconds{100});
  const auto later = began + milliseconds{100} + rig.view.policy.unreachable_timeout + kTick;
  rig.DueAt(later);
  BOOST_TEST(!IsOutOfReach(rig.view, rig.view.members.at(kAgent), kStart, later));
}

// This instance itself is cut off or was paused, so that missing answers say nothing about the
// other instances. If it considered them lost, it would search for the flows of all targets and
// discard their hints.
BOOST_AUTO_TEST_CASE(an_instance_that_hears_from_nobody_takes_none_for_out_of_reach) {
  auto rig = Rig{};
  const auto began = kStart + kSilentFor + kTick;
  DueProbes(rig.view, {}, kMost, kStart, began);
  RecordProbeResult(rig.view, kAgent, began, false);
  RecordProbeResult(rig.view, kOther, began, false);
  const auto later = kStart + seconds{2};
  DueProbes(rig.view, {}, kMost, kStart, later);
  BOOST_TEST(rig.view.isolated);
  BOOST_TEST(!IsOutOfReach(rig.view, rig.view.members.at(kAgent), kStart, later));
  rig.DueAt(later);
  BOOST_TEST(IsOutOfReach(rig.view, rig.view.members.at(kAgent), kStart, later));
  BOOST_TEST(!IsOutOfReach(rig.view, rig.view.members.at(kAgent), later, later));  // was paused
}

// Balancers are restarted one after the other while a failure domain is off. An older balancer
// tells the new one which agents it has found unreachable, and the new one does not wait for these.
// It does not pass this information on.
BOOST_AUTO_TEST_CASE(a_balancer_that_starts_takes_over_who_is_out_of_reach) {
  auto rig = Rig{};
  constexpr auto gone = Address{0x0a010003};
  AddRecord(rig.view, gone, kDesk, kStart);
  BOOST_TEST(!IsComplete(rig.view, kDesk, kStart, kStart));
  TakeOutOfReach(rig.view, gone, kStart + kTick);
  BOOST_TEST(IsComplete(rig.view, kDesk, kStart, kStart + kTick));
  BOOST_TEST(OutOfReach(rig.view, kStart, kStart + kTick).empty());
  // The balancer waits for the agent again once it is no longer told that the agent is unreachable,
  // or once the agent answers the balancer's own probe.
  const auto later = kStart + rig.view.policy.peer_report_ttl + milliseconds{2};
  rig.Report(kAgent, later);
  rig.Report(kOther, later);
  BOOST_TEST(!IsComplete(rig.view, kDesk, kStart, later));
  TakeOutOfReach(rig.view, gone, later);
  RecordProbeResult(rig.view, gone, later, true);
  BOOST_TEST(!IsComplete(rig.view, kDesk, kStart, later));
}

BOOST_AUTO_TEST_CASE(no_more_are_told_than_fit_into_a_datagram) {
  constexpr auto frame = std::size_t{1400};
  auto rig = Rig{};
  for (auto i = std::size_t{0}; i <= kMaxOutOfReach; ++i) {
    const auto agent = static_cast<Address>(0x0a020000 + i);
    AddRecord(rig.view, agent, kDesk, kStart);
    RecordProbeResult(rig.view, agent, kStart + kTick, false);
  }
  const auto later = kStart + seconds{2};
  rig.Report(kAgent, later);
  auto turn = GossipState{};
  auto hello = NextGossip(rig.view, turn, later);
  hello.out_of_reach = OutOfReach(rig.view, kStart, later);
  BOOST_TEST(hello.out_of_reach.size() == kMaxOutOfReach);
  BOOST_TEST(EncodeControl(hello).size() <= frame);
}

// The balancer remembers the agent of a flow, and that agent's machine has lost power. The client's
// packets were sent there until the record was removed, and were never answered.
BOOST_AUTO_TEST_CASE(a_flow_at_a_machine_out_of_reach_is_searched_for) {
  auto balancer = Balancer{};
  auto routes = Routes{};
  routes.version = 1;
  routes.shares[KeyOf(kRoute)] = {{kDesk, 1}};
  ApplyRoutes(balancer, routes, kStart);
  auto rig = Rig{};
  balancer.view = rig.view;
  auto packet = Packet{.source = {0x64400007, 1}, .destination = kRoute};
  packet.acknowledge = true;
  packet.payload = 10;
  HandleFlowLocated(balancer, FlowFromClient(packet), kAgent, kStart);
  NoteEvent(balancer.stall, kStart);
  balancer.hints[FlowFromClient(packet)] = {.agent = kAgent, .seen = kStart, .opened = true};
  const auto began = kStart + kSilentFor + kTick;
  RecordProbeResult(balancer.view, kAgent, began, false);
  const auto later = kStart + balancer.view.policy.unreachable_timeout + kTick;
  for (auto now = kStart; now <= later; now += kStallCheck) NoteEvent(balancer.stall, now);
  BOOST_TEST(std::holds_alternative<AwaitSearch>(RoutePacket(balancer, packet, later)));
}

}  // namespace
}  // namespace anvildrum::packets
