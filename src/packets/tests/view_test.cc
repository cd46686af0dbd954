#include "packets/view.h"

#include <boost/test/unit_test.hpp>
#include <utility>

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kAgent = Address{0x0a010001};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kMapper = base::ServiceId{22};

auto ReportOf(base::ServiceId service, std::uint64_t start, std::uint64_t sequence)
    -> TargetReport {
  return {.agent = kAgent,
          .service = service,
          .start = start,
          .sequence = sequence,
          .state = TargetState::kReady,
          .slots = 4};
}

BOOST_AUTO_TEST_CASE(a_record_alone_makes_nobody_live) {
  auto view = View{};
  AddRecord(view, kAgent, kDesk, kStart);
  BOOST_TEST(!IsUsable(view, view.members.at(kAgent), kStart));
  // A balancer that has just started still offers openings to the agent.
  BOOST_TEST(PlacementSet(view, kDesk, kStart).size() == 1U);
}

// Another service reuses an address, and the old record is read after the new agent's report. If
// the record took precedence, a flow of desk would be offered to mapper's agent, and its client
// would wait in vain.
BOOST_AUTO_TEST_CASE(an_old_record_does_not_change_the_service_that_an_agent_reports) {
  auto view = View{};
  TakeReport(view, ReportOf(kMapper, 7, 1), kStart);
  AddRecord(view, kAgent, kDesk, kStart);
  BOOST_TEST(PlacementSet(view, kDesk, kStart).empty());
  BOOST_TEST(PlacementSet(view, kMapper, kStart).size() == 1U);
}

BOOST_AUTO_TEST_CASE(reports_out_of_order_are_refused_within_a_start) {
  auto view = View{};
  BOOST_TEST(TakeReport(view, ReportOf(kDesk, 7, 5), kStart));
  BOOST_TEST(!TakeReport(view, ReportOf(kDesk, 7, 4), kStart));
  BOOST_TEST(TakeReport(view, ReportOf(kDesk, 8, 1), kStart));
}

BOOST_AUTO_TEST_CASE(a_silent_agent_is_neither_offered_openings_nor_searched) {
  auto view = View{};
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  auto other = ReportOf(kDesk, 9, 1);
  other.agent = kAgent + 1;
  const auto later = kStart + view.policy.alive_timeout + milliseconds{1};
  TakeReport(view, other, later);
  BOOST_TEST(PlacementSet(view, kDesk, later).size() == 1U);
  BOOST_TEST(SearchSet(view, kDesk, later).front().agent == kAgent + 1);
}

BOOST_AUTO_TEST_CASE(where_all_are_silent_all_are_searched) {
  auto view = View{};
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  const auto later = kStart + seconds{5};
  BOOST_TEST(SearchSet(view, kDesk, later).size() == 1U);
}

// A balancer on a small machine parses a large configuration for a second. All agents then seem
// silent and all openings of that second unanswered. Refusing them would fail clients needlessly.
BOOST_AUTO_TEST_CASE(where_all_are_suspected_or_silent_openings_still_go_somewhere) {
  auto view = View{};
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  view.members.at(kAgent).suspected_at = kStart;
  BOOST_TEST(PlacementSet(view, kDesk, kStart).size() == 1U);
  BOOST_TEST(PlacementSet(view, kDesk, kStart + seconds{5}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(usable_agents_go_before_all_others) {
  auto view = View{};
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  AddRecord(view, kAgent + 1, kDesk, kStart);
  BOOST_TEST(PlacementSet(view, kDesk, kStart).size() == 1U);
  BOOST_TEST(PlacementSet(view, kDesk, kStart).front().agent == kAgent);
}

BOOST_AUTO_TEST_CASE(a_draining_target_is_offered_nothing_even_if_it_is_the_last) {
  auto view = View{};
  auto report = ReportOf(kDesk, 7, 1);
  report.state = TargetState::kDraining;
  TakeReport(view, report, kStart);
  BOOST_TEST(PlacementSet(view, kDesk, kStart).empty());
}

BOOST_AUTO_TEST_CASE(the_view_is_complete_when_every_record_has_reported_or_is_long_silent) {
  auto view = View{};
  AddRecord(view, kAgent, kDesk, kStart);
  BOOST_TEST(!IsComplete(view, kDesk, {}, kStart));
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  BOOST_TEST(IsComplete(view, kDesk, {}, kStart));
  auto stopping = ReportOf(kDesk, 7, 2);
  stopping.state = TargetState::kStopping;
  TakeReport(view, stopping, kStart);
  BOOST_TEST(!IsComplete(view, kDesk, {}, kStart));
  BOOST_TEST(IsComplete(view, kMapper, {}, kStart));
  BOOST_TEST(!IsComplete(view, kDesk, {}, kStart + view.policy.restart_timeout));
  BOOST_TEST(IsComplete(view, kDesk, {}, kStart + view.policy.restart_timeout + seconds{1}));
  const auto long_silent = kStart + view.policy.silence_timeout + seconds{1};
  BOOST_TEST(IsComplete(view, kDesk, {}, long_silent));
  BOOST_TEST(!IsComplete(view, kDesk, long_silent - seconds{1}, long_silent));  // it was paused
}

// A balancer has started after a loss of power and knows agents by their records. An agent that
// does not answer yet is sent another hello soon, but not for ever, since its instance may be gone.
BOOST_AUTO_TEST_CASE(members_that_are_silent_are_asked_again_for_a_while) {
  auto view = View{};
  AddRecord(view, kAgent, kDesk, kStart);
  const auto awaited = [&](base::TimePoint running_since, base::TimePoint now) {
    return IsAwaited(view, view.members.at(kAgent), running_since, now);
  };
  BOOST_TEST(awaited(kStart, kStart + view.policy.frequent_hello_time));
  const auto later = kStart + view.policy.frequent_hello_time + milliseconds{1};
  BOOST_TEST(!awaited(kStart, later));
  BOOST_TEST(awaited(later, later));  // this process was paused
  TakeReport(view, ReportOf(kDesk, 7, 1), later);
  BOOST_TEST(!awaited(later, later));
}

// An opening was not answered. If the agent failed, it must get no further opening; if only a
// packet was lost, the agent reports within a round trip.
BOOST_AUTO_TEST_CASE(a_suspected_member_is_asked_until_it_reports_or_is_taken_as_gone) {
  auto view = View{};
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  auto& member = view.members.at(kAgent);
  BOOST_TEST(!IsAwaited(view, member, kStart, kStart));
  Suspect(member, kStart);
  BOOST_TEST(IsAwaited(view, member, kStart, kStart));
  BOOST_TEST(!IsUsable(view, member, kStart));
  BOOST_TEST(IsAlive(view, member, kStart + view.policy.suspect_timeout));
  const auto gone = kStart + view.policy.suspect_timeout + milliseconds{1};
  Suspect(member, gone);  // another opening; the agent has been silent since the first
  BOOST_TEST(!IsAlive(view, member, gone));
  TakeReport(view, ReportOf(kDesk, 7, 2), gone);
  BOOST_TEST(IsUsable(view, member, gone));
}

// Any change of which agents may hold flows is announced at once; a report without such a change
// does not cause a message to every agent.
BOOST_AUTO_TEST_CASE(changes_that_hellos_tell_of_are_counted) {
  auto view = View{};
  auto before = view.changes;
  const auto changed = [&] { return std::exchange(before, view.changes) != view.changes; };
  AddRecord(view, kAgent, kDesk, kStart);
  BOOST_TEST(changed());
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  BOOST_TEST(changed());
  TakeReport(view, ReportOf(kDesk, 7, 2), kStart);
  BOOST_TEST(!changed());
  auto stopping = ReportOf(kDesk, 7, 3);
  stopping.state = TargetState::kStopping;
  TakeReport(view, stopping, kStart);
  BOOST_TEST(changed());
  TakeReport(view, ReportOf(kDesk, 8, 1), kStart);
  BOOST_TEST(changed());
  TakeReport(view, ReportOf(kDesk, 9, 1), kStart);  // the process was killed and has restarted
  BOOST_TEST(changed());
}

BOOST_AUTO_TEST_CASE(members_are_forgotten_only_without_record_and_report) {
  auto view = View{};
  AddRecord(view, kAgent, kDesk, kStart);
  TakeReport(view, ReportOf(kDesk, 7, 1), kStart);
  const auto later = kStart + view.policy.forget_after + seconds{1};
  Forget(view, later);
  BOOST_TEST(view.members.size() == 1U);
  RemoveRecord(view, kAgent);
  Forget(view, later);
  BOOST_TEST(view.members.empty());
}

}  // namespace
}  // namespace anvildrum::packets
