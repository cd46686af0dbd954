#include "steering/rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace anvildrum::steering {
namespace {

constexpr auto kFlows = std::uint64_t{70000};

auto MakeSet(std::size_t count) -> CandidateSet {
  auto set = CandidateSet{};
  for (auto i = std::size_t{0}; i < count; ++i) {
    auto id = base::TargetId{base::HashName("target-" + std::to_string(i))};
    set.candidates.push_back({id, 1.0, i % 3, true, false});
  }
  return set;
}

auto FlowHash(std::uint64_t number) -> std::uint64_t {
  return base::HashName(std::to_string(number));
}

auto Shares(const CandidateSet& set) -> std::vector<double> {
  auto shares = std::vector<double>(set.candidates.size());
  for (auto i = std::uint64_t{0}; i < kFlows; ++i) shares[FindFirstHome(set, FlowHash(i))] += 1.0;
  return shares;
}

BOOST_AUTO_TEST_CASE(flows_spread_by_weight) {
  auto set = MakeSet(7);
  for (auto share : Shares(set)) BOOST_TEST(std::abs(share / (kFlows / 7.0) - 1) < 0.05);
  set.candidates[0].weight = 3.0;
  set.equal_weights = false;
  auto shares = Shares(set);
  BOOST_TEST(std::abs(shares[0] / (kFlows * 3.0 / 9.0) - 1) < 0.05);
  BOOST_TEST(std::abs(shares[1] / (kFlows / 9.0) - 1) < 0.05);
}

// When a target leaves, only its flows may change their home. Each further flow with a new home
// would need a registration.
BOOST_AUTO_TEST_CASE(only_the_flows_of_a_leaving_target_change_their_home) {
  auto set = MakeSet(7);
  auto without = set;
  without.candidates[3].placeable = false;
  for (auto i = std::uint64_t{0}; i < 1000; ++i) {
    auto before = FindFirstHome(set, FlowHash(i));
    if (before != 3) BOOST_TEST(FindFirstHome(without, FlowHash(i)) == before);
  }
}

BOOST_AUTO_TEST_CASE(the_second_home_is_in_another_failure_domain) {
  auto set = MakeSet(7);
  for (auto i = std::uint64_t{0}; i < 1000; ++i) {
    auto homes = FindHomes(set, FlowHash(i));
    auto domain = [&](std::uint32_t index) { return set.candidates[index].failure_domain; };
    BOOST_TEST(domain(homes.first) != domain(homes.second));
  }
}

BOOST_AUTO_TEST_CASE(a_suspect_home_is_skipped_unless_all_are_suspect) {
  auto set = MakeSet(3);
  auto homes = FindHomes(set, FlowHash(1));
  set.candidates[homes.first].suspect = true;
  BOOST_TEST(FindActingHome(set, FlowHash(1)) == homes.second);
  for (auto& candidate : set.candidates) candidate.suspect = true;
  BOOST_TEST(FindActingHome(set, FlowHash(1)) == homes.first);
}

BOOST_AUTO_TEST_CASE(without_placeable_targets_there_is_no_home) {
  auto set = MakeSet(1);
  set.candidates[0].placeable = false;
  BOOST_TEST(FindFirstHome(set, 1) == kNone);
  BOOST_TEST(FindActingHome(set, 1) == kNone);
  BOOST_TEST(FindFirstHome(CandidateSet{}, 1) == kNone);
}

}  // namespace
}  // namespace anvildrum::steering
