#include "packets/hello_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kFirstAgent = Address{0x0a010001};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kCheck = milliseconds{50};

// A balancer's view of agents that answer each hello at once.
struct Rig {
  explicit Rig(Address agents) {
    for (auto i = Address{0}; i < agents; ++i) {
      AddRecord(this->view, kFirstAgent + i, kDesk, kStart);
      this->Report(kFirstAgent + i);
    }
  }

  auto Report(Address agent, TargetState state = TargetState::kReady) -> void {
    TakeReport(this->view,
               {.agent = agent,
                .service = kDesk,
                .start = 1,
                .sequence = ++this->sequence,
                .state = state,
                .slots = 2},
               this->now);
  }

  /// Runs the checks for this time and returns the number of hellos to each agent.
  auto Run(base::Duration duration) -> std::map<Address, std::size_t> {
    auto hellos = std::map<Address, std::size_t>{};
    for (const auto end = this->now + duration; this->now < end; this->now += kCheck) {
      for (const auto agent : DueHellos(this->view, {}, kStart, this->now)) {
        ++hellos[agent];
        this->Report(agent);
      }
    }
    return hellos;
  }

  View view;
  base::TimePoint now = kStart;
  std::uint64_t sequence = 0;
};

auto Sum(const std::map<Address, std::size_t>& hellos) -> std::size_t {
  auto sum = std::size_t{0};
  for (const auto& [agent, count] : hellos) sum += count;
  return sum;
}

BOOST_AUTO_TEST_CASE(a_few_agents_are_greeted_four_times_a_second) {
  auto rig = Rig{10};
  rig.Run(seconds{1});
  const auto hellos = rig.Run(seconds{2});
  BOOST_TEST(hellos.size() == 10U);
  for (const auto& [agent, count] : hellos) BOOST_TEST(count == 8U);
}

// Every balancer sends hellos to every agent. At four hellos a second each, 1,000 agents would cost
// a balancer 8,000 datagrams a second even without traffic, more than it has processor time for.
BOOST_AUTO_TEST_CASE(hellos_a_second_do_not_grow_with_the_agents) {
  for (const auto agents : {Address{65}, Address{200}, Address{1000}}) {
    auto rig = Rig{agents};
    rig.Run(seconds{6});
    const auto hellos = rig.Run(seconds{10});
    BOOST_TEST(hellos.size() == agents);
    BOOST_TEST(Sum(hellos) <= 10 * HelloPolicy{}.idle_per_second);
    for (const auto& [agent, member] : rig.view.members) {
      BOOST_TEST(IsAlive(rig.view, member, rig.now));
    }
  }
}

// Targets are replaced one after the other, so that the set of agents changes at every check. When
// each change was announced at once, each balancer sent 4,080 hellos a second to 204 agents.
BOOST_AUTO_TEST_CASE(changes_at_every_check_keep_hellos_within_their_bound) {
  auto rig = Rig{200};
  auto most = std::size_t{0};
  for (auto check = 0; check < 100; ++check, rig.now += kCheck) {
    ++rig.view.changes;
    const auto due = DueHellos(rig.view, {}, kStart, rig.now);
    most = std::max(most, due.size());
    for (const auto agent : due) rig.Report(agent);
  }
  BOOST_TEST(most == HelloPolicy{}.max_per_check);
}

// A change reaches every agent in as few checks as the bound allows. No agent is delayed by others
// to which another hello is already due.
BOOST_AUTO_TEST_CASE(a_change_is_told_to_all_within_two_checks_of_200_agents) {
  auto rig = Rig{200};
  rig.Run(seconds{5});
  rig.Report(kFirstAgent, TargetState::kAbsent);
  const auto hellos = rig.Run(2 * kCheck);
  BOOST_TEST(hellos.size() == 200U);
}

// An agent that did not answer an opening is sent a hello at each check until it answers. Otherwise
// one lost datagram would keep openings from a live agent for a whole hello period.
BOOST_AUTO_TEST_CASE(a_suspected_agent_is_asked_at_once) {
  auto rig = Rig{200};
  rig.Run(seconds{5});
  Suspect(rig.view.members.at(kFirstAgent), rig.now);
  const auto due = DueHellos(rig.view, {}, kStart, rig.now);
  BOOST_TEST((std::find(due.begin(), due.end(), kFirstAgent) != due.end()));
  const auto again = DueHellos(rig.view, {}, kStart, rig.now + kCheck);
  BOOST_TEST((std::find(again.begin(), again.end(), kFirstAgent) != again.end()));
}

}  // namespace
}  // namespace anvildrum::packets
