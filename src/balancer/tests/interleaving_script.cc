#include "balancer/tests/interleaving_script.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace anvildrum::balancer {
namespace {

constexpr auto kLengthMs = 12000U;
constexpr auto kClients = 10U;
constexpr auto kPackets = 120U;
constexpr auto kMostChanges = 8U;

constexpr auto kPlannedKinds =
    std::array{ActionKind::kDrain,        ActionKind::kDrain,     ActionKind::kLeave,
               ActionKind::kJoinAgent,    ActionKind::kJoinAgent, ActionKind::kJoinBalancer,
               ActionKind::kStopBalancer, ActionKind::kWeight,    ActionKind::kEndFlow,
               ActionKind::kEndFlow};
constexpr auto kUnplannedKinds =
    std::array{ActionKind::kKill, ActionKind::kRestart, ActionKind::kRestartOther,
               ActionKind::kFreeze, ActionKind::kCut};

constexpr auto kNames =
    std::array{"packet",        "end",           "drain",  "leave", "join-agent",
               "join-balancer", "stop-balancer", "weight", "kill",  "restart",
               "restart-other", "freeze",        "cut"};

}  // namespace

auto DrawScript(std::uint32_t seed, bool planned) -> Script {
  auto random = std::mt19937(seed);
  auto below = [&](std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); };
  auto script = Script{seed, 2 + below(4), 2 + below(2), below(2) * below(10), planned, {}};
  for (auto i = 0U; i < kPackets; ++i) {
    script.actions.push_back({below(kLengthMs), ActionKind::kPacket, below(kClients), below(8), 0});
  }
  auto changes = 1 + below(kMostChanges);
  for (auto i = 0U; i < changes; ++i) {
    auto kind = kPlannedKinds[below(kPlannedKinds.size())];
    if (!planned && below(2) == 0) kind = kUnplannedKinds[below(kUnplannedKinds.size())];
    script.actions.push_back({below(kLengthMs), kind, below(64), below(64), 500 + below(7000)});
  }
  // Some changes happen at the same instant, because that is where their order can differ.
  if (changes > 1 && below(2) == 0) {
    script.actions.back().at_ms = script.actions[script.actions.size() - 2].at_ms;
  }
  std::ranges::stable_sort(script.actions, {}, &Action::at_ms);
  return script;
}

auto Print(const Script& script) -> std::string {
  auto out = std::ostringstream{};
  out << "seed " << script.seed << ", " << script.agents << " agents a service, "
      << script.balancers << " balancers, loss " << script.loss_permille << "/1000\n";
  for (const auto& action : script.actions) {
    out << "at " << action.at_ms << "ms " << kNames[static_cast<std::size_t>(action.kind)] << " "
        << action.node << " " << action.other << " for " << action.length_ms << "ms\n";
  }
  return out.str();
}

}  // namespace anvildrum::balancer
