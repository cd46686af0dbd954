// How long a drain takes and what the streams see of it, with and without hand-over: the agents'
// cores under a virtual clock, seven targets, 1 ms a hop, a notification of each stream every
// 100 ms. Prints CSV.
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "agent/tests/drain_world.h"
#include "requests/coap_message.h"

namespace anvildrum::agent {
namespace {

constexpr auto kDesks = std::size_t{7};
constexpr auto kOffers = std::size_t{128};
constexpr auto kWaitLimit = base::minutes(10);  // stands for the hours of a trading day
constexpr auto kWarmUp = base::seconds(3);
constexpr auto kAfter = base::seconds(3);

struct Outcome {
  std::size_t streams = 0;  // at the desk that drains
  std::size_t broken = 0;   // without a notification in the last second
  std::size_t overtaken = 0;
  base::Duration moved{};  // until the last flow has gone
  base::Duration drain{};
  base::Duration longest_gap{};
};

auto Milliseconds(base::Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto NoteStream(const DrainWorld& world, const std::vector<Received>& received, Outcome& outcome)
    -> void {
  auto last = std::uint32_t{0};
  for (auto i = std::size_t{0}; i < received.size(); ++i) {
    auto sequence = requests::ParseMessage(received[i].bytes)->observe.value_or(0);
    if (i > 0 && sequence <= last) ++outcome.overtaken;
    last = sequence;
    if (i == 0) continue;
    outcome.longest_gap = std::max(outcome.longest_gap, received[i].at - received[i - 1].at);
  }
  if (world.now - received.back().at > base::seconds(1)) ++outcome.broken;
}

auto Measure(std::uint32_t flows, std::size_t hand_overs) -> Outcome {
  auto world = MakeDrainWorld(kDesks, hand_overs);
  RunFor(world, kWarmUp);
  for (auto i = std::uint32_t{0}; i < flows; ++i) FromClient(world, FlowOfClient(i), ObserveGet());
  RunFor(world, kWarmUp);
  auto moved = std::vector<base::FlowKey>{};
  for (auto i = std::uint32_t{0}; i < flows; ++i) {
    if (OwnerOf(world, FlowOfClient(i)) == 0) moved.push_back(FlowOfClient(i));
  }
  auto start = world.now;
  world.received.clear();
  world.desks[0].agent.policy.drain_limit = kWaitLimit;
  BeginDrain(world, 0);
  auto outcome = Outcome{};
  while (!world.desks[0].drained) {
    RunFor(world, base::milliseconds(100));
    if (!world.desks[0].agent.directory.owned.empty()) outcome.moved = world.now - start;
    // A wait of minutes: only its ends are looked at.
    if (hand_overs == 0 && world.now - start < kWaitLimit - kAfter) world.received.clear();
  }
  outcome.streams = moved.size();
  outcome.drain = world.desks[0].drained_at - start;
  RunFor(world, kAfter);
  for (const auto& flow : moved) NoteStream(world, world.received[flow], outcome);
  return outcome;
}

auto Print(const char* way, std::uint32_t flows, const Outcome& outcome) -> void {
  std::printf("%s,%u,%zu,%.1f,%.1f,%zu,%zu,%.0f\n", way, flows, outcome.streams,
              Milliseconds(outcome.moved) / 1000, Milliseconds(outcome.drain) / 1000,
              outcome.broken, outcome.overtaken, Milliseconds(outcome.longest_gap));
}

}  // namespace

auto RunAll() -> void {
  std::printf(
      "way,flows,streams_at_target,moved_s,drain_s,streams_broken,overtaken,longest_gap_ms\n");
  Print("wait_10_minutes", 70, Measure(70, 0));
  for (auto flows : {70U, 700U, 2100U, 7000U}) {
    Print("hand_over", flows, Measure(flows, kOffers));
  }
}

}  // namespace anvildrum::agent

auto main() -> int {
  anvildrum::agent::RunAll();
  return 0;
}
