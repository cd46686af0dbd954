#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <unordered_set>

#include "config/configuration.h"
#include "settings/settings.h"

namespace anvildrum::deployments {
namespace {

using settings::Role;
using settings::Settings;

constexpr auto kBalancers = 3;
constexpr auto kFailureDomains = 3U;

const auto kFolder = std::filesystem::path(ANVILDRUM_SOURCE_DIR) / "deployments";

auto ReadText(const std::filesystem::path& path) -> std::string {
  auto file = std::ifstream(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

auto ReadAll(const std::string& deployment) -> std::vector<Settings> {
  auto all = std::vector<Settings>{};
  for (const auto& entry : std::filesystem::directory_iterator(kFolder / deployment / "settings")) {
    auto result = settings::LoadSettings(entry.path());
    BOOST_TEST_REQUIRE(std::holds_alternative<Settings>(result), entry.path().filename());
    all.push_back(std::get<Settings>(result));
  }
  return all;
}

auto ReadConfiguration(const std::string& deployment) -> config::Configuration {
  auto text = ReadText(kFolder / deployment / "configuration.json");
  return config::ParseConfiguration(text).value();
}

// Sizes as the users gave them: targets of each service, and slots of each target.
struct Expected {
  std::string deployment;
  std::map<std::string, int> targets;
  std::uint32_t slots;
};

const auto kExpected =
    std::vector<Expected>{{"ledgewater", {{"desk", 7}, {"mapper", 3}}, 4},
                          {"telebombeo", {{"scada-gw", 7}, {"report-srv", 3}}, 5}};

BOOST_AUTO_TEST_CASE(deployments_have_the_users_sizes) {
  for (const auto& expected : kExpected) {
    auto targets = std::map<std::string, int>{};
    auto domains = std::set<std::string>{};
    auto balancers = 0;
    for (const auto& one : ReadAll(expected.deployment)) {
      domains.insert(one.failure_domain);
      if (one.role == Role::kBalancer) ++balancers;
      if (one.role == Role::kBalancer) continue;
      ++targets[one.agent.target.service];
      BOOST_TEST(one.agent.target.slots == expected.slots);
      BOOST_TEST(one.agent.target.connections == 2000U);
    }
    BOOST_TEST(balancers == kBalancers);
    BOOST_TEST(domains.size() == kFailureDomains);
    BOOST_CHECK(targets == expected.targets);
  }
}

// Two processes on one port: the second ends at its start, and which of them that is depends on
// chance.
BOOST_AUTO_TEST_CASE(no_two_instances_share_a_name_or_a_port) {
  for (const auto& expected : kExpected) {
    auto names = std::set<std::string>{};
    auto ports = std::unordered_set<base::Endpoint>{};
    auto add = [&](const base::Endpoint& port) { BOOST_TEST(ports.insert(port).second); };
    for (const auto& one : ReadAll(expected.deployment)) {
      BOOST_TEST(names.insert(one.name).second);
      add(one.tunnel);
      add(one.operator_port);
      if (one.role == Role::kAgent) add(one.agent.target.address);
      if (one.role == Role::kAgent) continue;
      add(one.balancer.control);
      for (const auto& local : one.balancer.bind) add(local.bind);
    }
  }
}

BOOST_AUTO_TEST_CASE(each_balancer_receives_for_every_service) {
  for (const auto& expected : kExpected) {
    auto addresses = std::unordered_set<base::Endpoint>{};
    for (const auto& service : ReadConfiguration(expected.deployment).services) {
      BOOST_TEST(expected.targets.contains(service.name));
      addresses.insert(service.addresses.begin(), service.addresses.end());
    }
    for (const auto& one : ReadAll(expected.deployment)) {
      if (one.role != Role::kBalancer) continue;
      auto bound = std::unordered_set<base::Endpoint>{};
      for (const auto& local : one.balancer.bind) bound.insert(local.address);
      BOOST_CHECK(bound == addresses);
    }
  }
}

}  // namespace
}  // namespace anvildrum::deployments
