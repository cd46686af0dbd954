// Processor time and allocations of each decision on a packet's way, by the number of agents of its
// service: a balancer's and an agent's core, without input or output.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdlib>
#include <new>

#include "packets/agent.h"
#include "packets/balancer.h"
#include "packets/control.h"
#include "packets/hello.h"
#include "packets/search.h"

namespace {

std::uint64_t allocations = 0;

}  // namespace

[[gnu::noinline]] auto operator new(std::size_t size) -> void* {
  ++allocations;
  if (auto* memory = std::malloc(size)) return memory;
  throw std::bad_alloc{};
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace {

namespace packets = anvildrum::packets;
namespace base = anvildrum::base;
using packets::Address;
using packets::Packet;

constexpr auto kNow = base::TimePoint{base::seconds{1000}};
constexpr auto kRoute = packets::End{0xc6120001, 443};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kFirstAgent = Address{0x0a010001};
constexpr auto kDomains = 3U;
constexpr auto kPorts = std::uint16_t{20'000};  // flows in turn

/// A balancer that knows this many live agents of one service, in three failure domains.
auto MakeBalancer(std::int64_t agents) -> packets::Balancer {
  auto balancer = packets::Balancer{};
  balancer.domain = 1;
  auto routes = packets::Routes{};
  routes.version = 1;
  routes.shares[packets::KeyOf(kRoute)] = {{kDesk, 1}};
  packets::ApplyRoutes(balancer, routes, kNow);
  for (auto i = Address{0}; i < static_cast<Address>(agents); ++i) {
    packets::TakeReport(balancer.view,
                        {.agent = kFirstAgent + i,
                         .service = kDesk,
                         .start = 1,
                         .sequence = 1,
                         .state = packets::TargetState::kReady,
                         .slots = 1'000'000,
                         .domain = 1 + i % kDomains},
                        kNow);
  }
  return balancer;
}

auto OpeningOf(std::uint16_t port) -> Packet {
  auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
  packet.synchronize = true;
  packet.stamp.service_tag = packets::TagOf(kDesk);
  packet.stamp.refusable = true;
  return packet;
}

auto DataOf(std::uint16_t port) -> Packet {
  auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
  packet.acknowledge = true;
  packet.payload = 900;
  packet.stamp.service_tag = packets::TagOf(kDesk);
  return packet;
}

auto CountAllocations(benchmark::State& state, std::uint64_t before) -> void {
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                     benchmark::Counter::kAvgIterations);
}

auto BalancerOpening(benchmark::State& state) -> void {
  auto balancer = MakeBalancer(state.range(0));
  auto port = std::uint16_t{0};
  const auto before = allocations;
  for (auto step : state) {
    port = static_cast<std::uint16_t>((port + 1) % kPorts);
    balancer.hints.erase(packets::FlowFromClient(OpeningOf(port)));
    benchmark::DoNotOptimize(packets::RoutePacket(balancer, OpeningOf(port), kNow));
  }
  CountAllocations(state, before);
}

auto BalancerData(benchmark::State& state) -> void {
  auto balancer = MakeBalancer(state.range(0));
  for (auto port = std::uint16_t{0}; port < kPorts; ++port) {
    packets::RoutePacket(balancer, OpeningOf(port), kNow);
  }
  auto port = std::uint16_t{0};
  const auto before = allocations;
  for (auto step : state) {
    port = static_cast<std::uint16_t>((port + 1) % kPorts);
    benchmark::DoNotOptimize(packets::RoutePacket(balancer, DataOf(port), kNow));
  }
  CountAllocations(state, before);
}

/// An agent that knows this many others.
auto MakeAgent(std::int64_t agents) -> packets::Agent {
  auto agent = packets::Agent{};
  agent.own = kFirstAgent;
  agent.service = kDesk;
  const auto heartbeat = packets::Heartbeat{
      .incarnation = {1, std::nullopt}, .service = kDesk, .sequence = 1, .slots = 1'000'000};
  packets::TakeHeartbeat(agent, heartbeat, kNow);
  packets::NoteRecorded(agent, heartbeat.incarnation, true);
  auto hello = packets::Hello{kDesk, {}, true};
  for (auto i = Address{0}; i < static_cast<Address>(agents); ++i) {
    hello.peers.push_back({kFirstAgent + i, kDesk, 1 + i % kDomains});
  }
  hello.digest = packets::DigestOf(hello);
  hello.answers_route_queries = true;
  packets::TakeHello(agent, 1, hello, kNow);
  packets::TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, kNow);
  packets::RefreshPeers(agent, kNow);
  return agent;
}

auto AgentData(benchmark::State& state) -> void {
  auto agent = MakeAgent(state.range(0));
  for (auto port = std::uint16_t{0}; port < kPorts; ++port) {
    packets::FromPeer(agent, OpeningOf(port), kNow);
  }
  auto port = std::uint16_t{0};
  const auto before = allocations;
  for (auto step : state) {
    port = static_cast<std::uint16_t>((port + 1) % kPorts);
    benchmark::DoNotOptimize(packets::FromPeer(agent, DataOf(port), kNow));
  }
  CountAllocations(state, before);
}

auto AgentReply(benchmark::State& state) -> void {
  auto agent = MakeAgent(state.range(0));
  for (auto port = std::uint16_t{0}; port < kPorts; ++port) {
    packets::FromPeer(agent, OpeningOf(port), kNow);
  }
  auto port = std::uint16_t{0};
  const auto before = allocations;
  for (auto step : state) {
    port = static_cast<std::uint16_t>((port + 1) % kPorts);
    auto reply = DataOf(port);
    std::swap(reply.source, reply.destination);
    benchmark::DoNotOptimize(packets::FromTarget(agent, reply, kNow));
  }
  CountAllocations(state, before);
}

auto AgentPassesOn(benchmark::State& state) -> void {
  auto agent = MakeAgent(state.range(0));
  agent.stopping = true;
  auto port = std::uint16_t{0};
  const auto before = allocations;
  for (auto step : state) {
    port = static_cast<std::uint16_t>((port + 1) % kPorts);
    benchmark::DoNotOptimize(packets::FromPeer(agent, OpeningOf(port), kNow));
  }
  CountAllocations(state, before);
}

auto Report(benchmark::State& state) -> void {
  auto agent = MakeAgent(state.range(0));
  auto balancer = MakeBalancer(state.range(0));
  const auto before = allocations;
  for (auto step : state) {
    const auto text = packets::EncodeControl(packets::MakeReport(agent, 1, kNow));
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(text.data());
    const auto control = packets::DecodeControl({bytes, text.size()}, kFirstAgent);
    packets::TakeReport(balancer.view, std::get<packets::TargetReport>(*control), kNow);
  }
  CountAllocations(state, before);
}

/// Adds an agent that holds no flows, as its report says.
auto AddIdleAgent(packets::Balancer& balancer, Address own, base::ServiceId service) -> void {
  auto agent = packets::Agent{};
  agent.own = own;
  agent.service = service;
  packets::TakeHeartbeat(
      agent, {.incarnation = {1, std::nullopt}, .service = service, .sequence = 1, .slots = 4},
      kNow);
  packets::NoteRecorded(agent, {1, std::nullopt}, true);
  packets::TakeReport(balancer.view, packets::MakeReport(agent, 1, kNow), kNow);
}

/// The search for a flow that no target holds, until its reset: the service has five agents, all
/// others are of other services.
auto BalancerLostFlow(benchmark::State& state) -> void {
  constexpr auto own_agents = Address{5};
  auto balancer = MakeBalancer(0);
  balancer.records_at = kNow;
  balancer.records_read_at = kNow;
  for (auto i = Address{0}; i < static_cast<Address>(state.range(0)); ++i) {
    AddIdleAgent(balancer, kFirstAgent + i, i < own_agents ? kDesk : base::ServiceId{1000 + i / 3});
  }
  auto now = kNow;
  auto queries = std::uint64_t{0};
  auto port = std::uint16_t{0};
  const auto before = allocations;
  for (auto step : state) {
    port = static_cast<std::uint16_t>((port + 1) % kPorts);
    balancer.searches.next_query_at = {};
    packets::RoutePacket(balancer, DataOf(port), now);
    const auto asked = packets::StepSearches(balancer, now).queries;
    queries += asked.size();
    const auto digest = balancer.searches.rounds.begin()->second.digest;
    for (const auto& query : asked) {
      packets::TakeAnswer(balancer,
                          {.agent = query.agent,
                           .service = kDesk,
                           .token = query.query.token,
                           .settled = true,
                           .peers_digest = digest},
                          now);
    }
  }
  if (balancer.counters.resets != static_cast<std::uint64_t>(state.iterations())) {
    state.SkipWithError("a lost flow was not reset");
  }
  CountAllocations(state, before);
  state.counters["queries"] =
      benchmark::Counter(static_cast<double>(queries), benchmark::Counter::kAvgIterations);
}

auto Sizes(benchmark::internal::Benchmark* bench) -> void {
  for (const auto agents : {16, 50, 200, 1000}) bench->Arg(agents);
}

BENCHMARK(BalancerOpening)->Apply(Sizes);
BENCHMARK(BalancerData)->Apply(Sizes);
BENCHMARK(BalancerLostFlow)->Apply(Sizes);
BENCHMARK(AgentData)->Apply(Sizes);
BENCHMARK(AgentReply)->Apply(Sizes);
BENCHMARK(AgentPassesOn)->Apply(Sizes);
BENCHMARK(Report)->Apply(Sizes);

}  // namespace

BENCHMARK_MAIN();
