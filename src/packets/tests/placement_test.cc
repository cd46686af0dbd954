#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <set>

#include "packets/order.h"
#include "packets/target_verdicts.h"
#include "placement_replay.h"

namespace anvildrum::packets::placement_tests {
namespace {

// FNV-1a digest of the choices of a balancer that knows neither verdicts nor service times.
constexpr auto kChoicesByLoad = std::uint64_t{7555703451398280959U};

auto DigestOfChoices(Replay replay) -> std::uint64_t {
  auto digest = std::uint64_t{0xcbf29ce484222325U};
  for (auto i = 0; i < Replay::kSteps; ++i) {
    digest = (digest ^ replay.Step()) * 0x100000001b3U;
  }
  return digest;
}

BOOST_AUTO_TEST_SUITE(placement)

// Guards against a change of placement in deployments that switch neither feature on.
BOOST_AUTO_TEST_CASE(with_both_switches_off_choices_follow_the_load_alone) {
  for (const auto even : {true, false}) {
    BOOST_TEST(DigestOfChoices(Replay{Balancer{}, even}) == kChoicesByLoad);
  }
}

auto SwitchedOn() -> Balancer {
  auto balancer = Balancer{};
  balancer.policy.avoid_failing_targets = true;
  balancer.policy.place_by_completion = true;
  return balancer;
}

// Guards against a placement that changes although no target stands out.
BOOST_AUTO_TEST_CASE(among_even_and_healthy_targets_choices_follow_the_load_alone) {
  BOOST_TEST(DigestOfChoices(Replay{SwitchedOn(), true}) == kChoicesByLoad);
  auto former = Replay{Balancer{}, true};
  auto current = Replay{SwitchedOn(), true};
  for (auto i = 0; i < Replay::kSteps; ++i) {
    RefreshVerdicts(current.balancer, current.now);
    BOOST_REQUIRE(former.Step() == current.Step());
  }
}

// Guards against a replay that would not notice a change.
BOOST_AUTO_TEST_CASE(among_uneven_targets_choices_differ_when_switched_on) {
  BOOST_TEST(DigestOfChoices(Replay{SwitchedOn(), false}) != kChoicesByLoad);
}

/// A balancer with a number of agents, of which some report failures or another speed.
struct Rig {
  explicit Rig(Address agents) : agents(agents) {
    auto routes = Routes{};
    routes.version = 1;
    routes.shares[KeyOf(kRoute)] = {{kDesk, 1}};
    this->balancer = SwitchedOn();
    ApplyRoutes(this->balancer, routes, this->now);
  }

  /// All agents report; `failing` of 40 requests of each agent in `failures` have failed.
  auto Tick() -> std::vector<AgentVerdictChange> {
    this->now += kAssessmentPeriod;
    for (auto i = Address{0}; i < this->agents; ++i) {
      const auto agent = kFirstAgent + i;
      if (this->silent.contains(agent)) continue;
      auto report = TargetReport{.agent = agent, .service = kDesk, .start = 1};
      report.sequence = ++this->sequence;
      report.state = TargetState::kReady;
      report.slots = 4;
      report.answered = this->old_build ? 0 : 40;
      report.failed = this->old_build ? 0 : this->failures[agent];
      report.service_time = this->service_times[agent];
      TakeReport(this->balancer.view, report, this->now);
    }
    return RefreshVerdicts(this->balancer, this->now);
  }

  auto Open(std::uint16_t port) -> Address {
    auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
    packet.synchronize = true;
    const auto verdict = RoutePacket(this->balancer, packet, this->now);
    const auto* forward = std::get_if<ForwardToAgent>(&verdict);
    return forward == nullptr ? Address{0} : forward->agent;
  }

  auto On(Address agent) const -> outlier::Verdict {
    return VerdictOn(this->balancer, kDesk, agent, this->now);
  }

  /// Returns how many of 20,000 flows may go to the agent, and how many have it first in order.
  auto SharesOf(Address agent, bool repeatable) const -> std::pair<int, int> {
    auto may = 0;
    auto first = 0;
    const auto usable = PlacementSet(this->balancer.view, kDesk, this->now);
    for (auto port = std::uint16_t{1}; port <= 20'000; ++port) {
      const auto flow = FlowId{{0x64400007, port}, kRoute};
      const auto places =
          WithoutFailing(this->balancer, flow, kDesk, usable, repeatable, this->now);
      may += std::any_of(places.begin(), places.end(),
                         [&](const Place& place) { return place.agent == agent; });
      first += RendezvousOrder(flow, usable).front() == agent ? 1 : 0;
    }
    return {may, first};
  }

  Address agents;
  Balancer balancer;
  std::map<Address, std::uint32_t> failures;  ///< of 40 requests
  std::map<Address, base::Duration> service_times;
  std::set<Address> silent;
  bool old_build = false;
  base::TimePoint now = kStart;
  std::uint64_t sequence = 0;
};

// Guards against requests that run at most once being sent to a target that may fail.
BOOST_AUTO_TEST_CASE(a_bad_target_gets_no_request_that_may_not_be_repeated) {
  auto rig = Rig{10};
  rig.failures[kFirstAgent] = 40;
  const auto changes = rig.Tick();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].change.target == kFirstAgent);
  BOOST_TEST((rig.On(kFirstAgent) == outlier::Verdict::kBad));
  BOOST_TEST(CountVerdicts(rig.balancer, outlier::Verdict::kBad) == 1U);
  BOOST_TEST(CountVerdicts(rig.balancer, outlier::Verdict::kDoubtful) == 0U);
  for (auto port = std::uint16_t{1}; port <= 500; ++port) BOOST_TEST(rig.Open(port) != kFirstAgent);
}

// Guards against a bad target that gets more than a twentieth of its share since it looks idle, and
// against one that gets nothing and cannot recover.
BOOST_AUTO_TEST_CASE(a_bad_target_gets_a_twentieth_of_its_share_of_repeatable_requests) {
  auto rig = Rig{10};
  rig.failures[kFirstAgent] = 40;
  rig.Tick();
  const auto [may, first] = rig.SharesOf(kFirstAgent, true);
  BOOST_TEST(first > 1800);
  BOOST_TEST(may > first / 30);
  BOOST_TEST(may < first / 14);
  BOOST_TEST(rig.SharesOf(kFirstAgent, false).first == 0);
}

// Guards against a doubtful target that loses requests which may be repeated.
BOOST_AUTO_TEST_CASE(a_doubtful_target_gets_repeatable_requests_only) {
  auto rig = Rig{10};
  rig.failures[kFirstAgent] = 8;
  rig.Tick();
  BOOST_REQUIRE((rig.On(kFirstAgent) == outlier::Verdict::kDoubtful));
  BOOST_TEST(rig.SharesOf(kFirstAgent, true).first == 20'000);
  BOOST_TEST(rig.SharesOf(kFirstAgent, false).first == 0);
}

// Guards against a service without any usable target, and against verdicts when the cause is
// common.
BOOST_AUTO_TEST_CASE(openings_are_placed_when_all_targets_fail) {
  auto rig = Rig{3};
  for (auto i = Address{0}; i < 3; ++i) rig.failures[kFirstAgent + i] = 40;
  BOOST_TEST(rig.Tick().empty());
  for (auto port = std::uint16_t{1}; port <= 20; ++port) BOOST_TEST(rig.Open(port) != 0U);
}

// Guards against leaving an opening without a target because the only one left is bad.
BOOST_AUTO_TEST_CASE(a_bad_target_is_used_if_no_other_is_left) {
  auto rig = Rig{3};
  rig.failures[kFirstAgent] = 40;
  rig.Tick();
  const auto only = std::vector<Place>{{kFirstAgent, 0}};
  const auto flow = FlowId{{0x64400007, 1}, kRoute};
  BOOST_TEST(WithoutFailing(rig.balancer, flow, kDesk, only, false, rig.now).size() == 1U);
}

// Guards against verdicts without evidence: lost reports, and agents that report no counts.
BOOST_AUTO_TEST_CASE(a_verdict_decays_without_reports_and_without_counts) {
  for (const auto lost : {true, false}) {
    auto rig = Rig{10};
    rig.failures[kFirstAgent] = 40;
    rig.Tick();
    BOOST_REQUIRE((rig.On(kFirstAgent) == outlier::Verdict::kBad));
    if (lost) rig.silent.insert(kFirstAgent);
    rig.old_build = !lost;
    for (auto i = 0; i < 12; ++i) rig.Tick();
    BOOST_TEST((rig.On(kFirstAgent) == outlier::Verdict::kGood));
  }
}

// Guards against a verdict that stays in force while no report at all arrives, and none is
// assessed.
BOOST_AUTO_TEST_CASE(a_verdict_ends_without_assessments) {
  auto rig = Rig{10};
  rig.failures[kFirstAgent] = 40;
  rig.Tick();
  rig.now += base::seconds{3};
  BOOST_TEST((rig.On(kFirstAgent) == outlier::Verdict::kGood));
}

// Guards against an assessment per report, whose cost would grow with the square of the service.
BOOST_AUTO_TEST_CASE(targets_are_assessed_at_most_once_per_period) {
  auto rig = Rig{10};
  rig.Tick();
  rig.now += kAssessmentPeriod - base::milliseconds{1};
  const auto before = rig.balancer.verdicts.assessed_at;
  RefreshVerdicts(rig.balancer, rig.now);
  BOOST_TEST((rig.balancer.verdicts.assessed_at == before));
}

// Guards against a choice by chance differences of the measured speed.
BOOST_AUTO_TEST_CASE(service_times_near_the_median_count_as_equal) {
  auto rig = Rig{4};
  const auto agents =
      std::array<Address, 4>{kFirstAgent, kFirstAgent + 1, kFirstAgent + 2, kFirstAgent + 3};
  for (auto i = std::size_t{0}; i < 3; ++i) {
    rig.service_times[agents[i]] = base::milliseconds{27 + 3 * static_cast<int>(i)};
  }
  rig.Tick();
  BOOST_TEST(ComparedServiceTimes(rig.balancer, agents).empty());
  rig.service_times[agents[3]] = base::milliseconds{60};
  rig.Tick();
  const auto times = ComparedServiceTimes(rig.balancer, agents);
  BOOST_REQUIRE(times.size() == 4U);
  BOOST_TEST(times[0] == times[2]);
  BOOST_TEST(times[3] == 0.06, boost::test_tools::tolerance(1e-9));
}

// Guards against preferring or avoiding an agent of an old build, which reports no service time.
BOOST_AUTO_TEST_CASE(an_agent_without_a_service_time_counts_with_the_mean_of_the_others) {
  auto rig = Rig{3};
  const auto agents = std::array<Address, 3>{kFirstAgent, kFirstAgent + 1, kFirstAgent + 2};
  rig.service_times[agents[0]] = base::milliseconds{10};
  rig.service_times[agents[1]] = base::milliseconds{50};
  rig.Tick();
  const auto times = ComparedServiceTimes(rig.balancer, agents);
  BOOST_REQUIRE(times.size() == 3U);
  BOOST_TEST(times[2] == 0.03, boost::test_tools::tolerance(1e-9));
}

/// A target that runs as many requests as it has slots, at its own speed.
struct SimulatedTarget {
  double speed = 1;
  std::vector<base::TimePoint> ends;  ///< of its unfinished requests
  std::vector<base::TimePoint> free_at;
  base::Duration used{};
  int requests = 0;
};

/// Runs a service for ten seconds. Returns its targets.
auto Simulate(bool by_completion, std::size_t count, std::uint32_t slots, double per_second)
    -> std::vector<SimulatedTarget> {
  constexpr auto work = 0.013;  // seconds at speed 1
  auto rig = Rig{0};
  rig.balancer.policy.place_by_completion = by_completion;
  auto random = std::mt19937_64{7};
  auto targets = std::vector<SimulatedTarget>(count);
  for (auto i = std::size_t{0}; i < count; ++i) {
    targets[i].speed = i % 4 == 0 ? 0.55 : 1.2;
    targets[i].free_at.resize(slots, kStart);
  }
  const auto report = [&](std::size_t index) {
    auto& target = targets[index];
    std::erase_if(target.ends, [&](base::TimePoint end) { return end <= rig.now; });
    auto report = TargetReport{.agent = kFirstAgent + static_cast<Address>(index),
                               .service = kDesk,
                               .start = 1,
                               .sequence = ++rig.sequence,
                               .state = TargetState::kReady};
    report.in_flight = static_cast<std::uint32_t>(target.ends.size());
    report.slots = slots;
    const auto noise = 0.95 + static_cast<double>(random() % 100) / 1000;
    report.service_time = base::microseconds{std::lround(1e6 * noise * work / target.speed)};
    TakeReport(rig.balancer.view, report, rig.now);
  };
  const auto gap = base::nanoseconds{std::lround(1e9 / per_second)};
  auto next_report = std::vector<base::TimePoint>(count);
  for (auto port = std::uint32_t{0}; rig.now < kStart + base::seconds{10}; ++port) {
    for (auto i = std::size_t{0}; i < count; ++i) {
      if (rig.now < next_report[i]) continue;
      next_report[i] = rig.now + base::milliseconds{static_cast<int>(200 + random() % 100)};
      report(i);
    }
    auto packet =
        Packet{.source = {0x64400007 + (port >> 15U), static_cast<std::uint16_t>(port % 32'768)},
               .destination = kRoute};
    packet.synchronize = true;
    const auto verdict = RoutePacket(rig.balancer, packet, rig.now);
    auto& target = targets.at(std::get<ForwardToAgent>(verdict).agent - kFirstAgent);
    const auto taken = base::nanoseconds{std::lround(1e9 * work / target.speed)};
    auto& slot = *std::min_element(target.free_at.begin(), target.free_at.end());
    slot = std::max(slot, rig.now) + taken;
    target.ends.push_back(slot);
    target.used += taken;
    ++target.requests;
    rig.now += gap;
  }
  return targets;
}

/// Returns the use of the busiest target over the mean.
auto BusiestOverMean(const std::vector<SimulatedTarget>& targets) -> double {
  auto busiest = base::Duration{};
  auto all = base::Duration{};
  for (const auto& target : targets) {
    busiest = std::max(busiest, target.used);
    all += target.used;
  }
  return static_cast<double>(busiest.count()) * static_cast<double>(targets.size()) /
         static_cast<double>(all.count());
}

auto RequestsAtSpeed(const std::vector<SimulatedTarget>& targets, bool slow) -> double {
  auto requests = 0;
  auto count = 0;
  for (const auto& target : targets) {
    if ((target.speed < 1) != slow) continue;
    requests += target.requests;
    ++count;
  }
  return static_cast<double>(requests) / count;
}

// Guards against slow targets that get as many requests as the others and become the busiest ones.
BOOST_AUTO_TEST_CASE(slow_targets_get_about_half_of_the_requests_of_the_others) {
  for (const auto load : {0.5, 0.7, 0.9}) {
    // 43 targets with two slots; their mean speed is 1.03.
    const auto per_second = load * 43 * 2 * 1.03 / 0.013;
    const auto before = Simulate(false, 43, 2, per_second);
    const auto after = Simulate(true, 43, 2, per_second);
    const auto ratio = RequestsAtSpeed(after, true) / RequestsAtSpeed(after, false);
    BOOST_TEST_MESSAGE("load " << load << ": busiest over mean " << BusiestOverMean(before)
                               << " by requests per slot, " << BusiestOverMean(after)
                               << " by completion; requests of a slow target " << ratio);
    BOOST_TEST(BusiestOverMean(after) <= 1.15);
    BOOST_TEST(ratio > 0.4);
    BOOST_TEST(ratio < 0.6);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::packets::placement_tests
