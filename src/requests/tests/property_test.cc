#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "requests/hand_over.h"
#include "requests/tests/world.h"

namespace anvildrum::requests::world {
namespace {

constexpr auto kAgents = std::size_t{3};
constexpr auto kClients = std::size_t{4};
constexpr auto kOrders = 48;
constexpr auto kSeconds = 60;

// ANVILDRUM_SEEDS asks for more seeds than CI runs.
auto SeedsOf(std::uint64_t usual) -> std::uint64_t {
  const auto* asked = std::getenv("ANVILDRUM_SEEDS");
  return asked == nullptr ? usual : std::stoull(asked);
}

auto MoveFlow(World& world) -> void {
  auto& client = world.clients[world.random() % world.clients.size()];
  auto old_owner = client.owner;
  client.owner = world.random() % world.agents.size();
  if (Chance(world, 0.5)) Feed(world, old_owner, FlowClosed{client.flow});
  Feed(world, client.owner, FlowOpened{client.flow, world.faults.adopted});
}

// A busy flow stays: its owner tries again later.
auto HandOver(World& world) -> void {
  auto& client = world.clients[world.random() % world.clients.size()];
  auto old_owner = client.owner;
  auto new_owner = (old_owner + 1 + world.random() % 2) % world.agents.size();
  const auto& core = *world.agents[old_owner].core;
  auto record = ExportFlow(core, IndexLedger(core), client.flow, world.now);
  if (!record) return;
  client.owner = new_owner;
  Feed(world, new_owner, FlowAdopted{client.flow, &*record});
  Feed(world, old_owner, FlowClosed{client.flow});
}

auto KillTarget(World& world) -> void {
  auto agent = world.random() % world.agents.size();
  ++world.agents[agent].target_life;
  for (const auto& client : world.clients) Feed(world, agent, TargetUnreachable{client.flow});
}

auto Disturb(World& world) -> void {
  if (Chance(world, world.faults.move)) MoveFlow(world);
  if (Chance(world, world.faults.agent_death)) {
    auto agent = world.random() % world.agents.size();
    RestartAgent(world, agent);
    for (const auto& client : world.clients) {
      if (client.owner != agent || !world.faults.adopted) continue;
      Feed(world, agent, FlowOpened{client.flow, true});
    }
  }
  if (Chance(world, world.faults.target_death)) KillTarget(world);
  if (world.faults.hand_over > 0 && Chance(world, world.faults.hand_over)) HandOver(world);
}

auto MethodOf(World& world) -> std::uint8_t {
  auto draw = world.random() % 10;
  if (draw < 6) return kPost;
  return draw < 8 ? kPut : kGet;
}

auto Schedule(World& world) -> void {
  for (auto i = 0; i < kOrders; ++i) {
    auto burst = base::seconds(world.random() % kSeconds / 20 * 20);
    auto at = burst + base::milliseconds(world.random() % 100);
    After(world, at,
          [&world] { PlaceOrder(world, world.random() % world.clients.size(), MethodOf(world)); });
  }
  for (auto second = 0; second < kSeconds; ++second) {
    After(world, base::seconds(second) + base::milliseconds(world.random() % 1000),
          [&world] { Disturb(world); });
  }
}

auto BrokenInvariant(World& world) -> std::string {
  if (world.echo_reached_target) return "a target saw an Echo value";
  if (world.counts.count(Counter::kIllegalTransition) > 0) return "an illegal transition";
  for (const auto& order : world.orders) {
    auto changes = order.method != kGet;
    if (changes && order.executions > 1) return "ran twice";
    if (changes && order.outcome == Outcome::kNotRun && order.executions > 0) return "not run ran";
    if (order.outcome == Outcome::kAnswered && order.executions == 0) return "answered, never ran";
    if (changes && order.ran_after_unknown) return "ran after its client was told unknown";
    if (order.foreign_answer) return "answer of another request";
    if (order.outcome == Outcome::kPending) return "no final outcome";
  }
  for (auto& agent : world.agents) {
    auto busy = RequestLoadOf(*agent.core, world.now);
    if (busy.running + busy.queued + busy.offered > 0) return "a request was left behind";
    if (busy.ledger_entries > 0 || busy.ledger_bytes > 0) return "the ledger kept something";
  }
  return {};
}

auto Small() -> Parameters {
  auto parameters = Parameters{};
  parameters.slots = 1;
  parameters.queue_size = 3;
  parameters.client_in_flight = 5;
  parameters.retry_share = 0.5;
  return parameters;
}

auto CheckSeeds(const Faults& faults, std::uint64_t seeds, bool timeouts_allowed) -> void {
  auto answered = std::uint64_t{0};
  for (auto seed = std::uint64_t{1}; seed <= SeedsOf(seeds); ++seed) {
    auto world = MakeWorld(seed, faults, Small(), kAgents, kClients);
    Schedule(world);
    RunAll(world);
    auto broken = BrokenInvariant(world);
    for (const auto& order : world.orders) {
      if (order.outcome == Outcome::kAnswered) ++answered;
      if (!timeouts_allowed && order.outcome == Outcome::kTimeout) broken = "a client timed out";
    }
    BOOST_REQUIRE_MESSAGE(broken.empty(), "seed " << seed << ": " << broken);
  }
  BOOST_TEST(answered > 0U);
}

// Clients send holds, setpoints and reads through agents that restart, targets that die and flows
// that move, over a network that loses, doubles and reorders and holds copies back for minutes.
// Whatever happens, nothing that changes something runs twice, no refusal has run, every answer is
// the asker's own, and no agent is left with a request in hand.
BOOST_AUTO_TEST_CASE(all_faults_at_once) {
  auto faults = Faults{};
  faults.drop = 0.05;
  faults.duplicate = 0.1;
  faults.late = 0.05;
  faults.agent_death = 0.05;
  faults.target_death = 0.03;
  faults.move = 0.1;
  CheckSeeds(faults, 1500, true);
}

// The same with clients that use few tokens again and again: an answer that its target gives late
// must not be taken for that of the next request with the same token.
BOOST_AUTO_TEST_CASE(tokens_that_come_again) {
  auto faults = Faults{};
  faults.duplicate = 0.1;
  faults.agent_death = 0.05;
  faults.target_death = 0.03;
  faults.move = 0.1;
  faults.reuse_tokens = true;
  CheckSeeds(faults, 800, true);
}

// Clients that answer a challenge again when a copy of it comes late, as stock libcoap's may: the
// value that was used once runs nothing, and a flow that was taken over does not challenge.
BOOST_AUTO_TEST_CASE(clients_that_answer_repeated_challenges) {
  auto faults = Faults{};
  faults.drop = 0.05;
  faults.duplicate = 0.2;
  faults.agent_death = 0.05;
  faults.move = 0.1;
  faults.adopted = true;
  faults.lenient = true;
  CheckSeeds(faults, 800, true);
}

// Clients that do not wait long, with all faults: an outcome that is told at a client's deadline,
// while the request runs here or elsewhere, must be as true as any other.
BOOST_AUTO_TEST_CASE(clients_with_deadlines) {
  auto faults = Faults{};
  faults.drop = 0.05;
  faults.duplicate = 0.1;
  faults.late = 0.05;
  faults.agent_death = 0.05;
  faults.target_death = 0.03;
  faults.move = 0.1;
  faults.deadlines = true;
  CheckSeeds(faults, 800, true);
}

// With a network that loses nothing and agents and targets that live, nobody is left to time out.
BOOST_AUTO_TEST_CASE(every_request_is_told_its_outcome) {
  auto faults = Faults{};
  faults.duplicate = 0.1;
  CheckSeeds(faults, 800, false);
}

// Targets drain one after the other and flows are handed over again and again, also back, among
// copies that are late by minutes and clients that answer each copy of a challenge. The record
// that moves with a flow has to do what a quarantine of 247 s does for a flow whose owner died.
BOOST_AUTO_TEST_CASE(flows_that_are_handed_over) {
  auto faults = Faults{};
  faults.drop = 0.05;
  faults.duplicate = 0.2;
  faults.late = 0.05;
  faults.hand_over = 0.9;
  faults.lenient = true;
  CheckSeeds(faults, 700, true);
}

// Without loss on the way, a hand-over leaves nobody without an outcome.
BOOST_AUTO_TEST_CASE(hand_over_leaves_nobody_to_time_out) {
  auto faults = Faults{};
  faults.duplicate = 0.1;
  faults.hand_over = 0.9;
  CheckSeeds(faults, 400, false);
}

}  // namespace
}  // namespace anvildrum::requests::world
