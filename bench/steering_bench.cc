// Cost of what a balancer and an agent do for a packet. Run:
//   steering_bench --benchmark_out=docs/figures/steering_bench.json --benchmark_out_format=json
#include <benchmark/benchmark.h>

#include "balancer/balancer.h"
#include "steering/directory.h"
#include "steering/flow_table.h"
#include "steering/placement.h"
#include "steering/rendezvous.h"
#include "wire/convert.h"

namespace anvildrum {
namespace {

constexpr auto kFlows = std::uint32_t{100000};
constexpr auto kNow = base::TimePoint{base::seconds(1000)};
const auto kService = base::ServiceIdOf("desk");
const auto kAddress = base::EndpointFromV4(0x0a000001, 5683);

auto MakeFlow(std::uint32_t number) -> base::FlowKey {
  return {base::EndpointFromV4(0x0b000000 + number, 4000), kService};
}

auto MakeRecord(std::uint32_t number) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = "target-" + std::to_string(number);
  record.id = base::TargetIdOf(record.name);
  record.service = kService;
  record.instance = base::InstanceIdOf(record.name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(0x0c000000 + number, 7000);
  record.failure_domain = "domain-" + std::to_string(number % 3);
  record.connections = 0;
  record.slots = 4;
  return record;
}

auto MakeView(std::uint32_t targets) -> membership::View {
  auto view = membership::View{};
  for (auto i = 0U; i < targets; ++i) membership::ApplyRecord(view, MakeRecord(i), kNow);
  return view;
}

auto MakeSet(std::uint32_t targets, bool equal) -> steering::CandidateSet {
  auto view = MakeView(targets);
  auto set = steering::MakeCandidates(view.services.front());
  set.equal_weights = equal;
  return set;
}

auto BenchTableHit(benchmark::State& state) -> void {
  auto flows = static_cast<std::size_t>(state.range(0));
  auto table = steering::MakeFlowTable(flows);
  // Twice as many flows as places, so that the table is as full as it gets.
  auto keys = std::vector<steering::Fingerprint>{};
  for (auto i = 0U; i < 2 * table.slots.size(); ++i) {
    keys.push_back(steering::FingerprintOf(MakeFlow(i)));
    steering::Insert(table, keys.back(), {{i}, 1});
  }
  std::erase_if(keys, [&](const auto& key) { return steering::Find(table, key) == nullptr; });
  auto next = std::size_t{0};
  for (auto _ : state) {
    benchmark::DoNotOptimize(steering::Find(table, keys[next]));
    next = (next + 7919) % keys.size();
  }
  state.counters["bytes_per_entry"] = sizeof(steering::FlowSlot);
  state.counters["bytes_per_held_flow"] =
      static_cast<double>(steering::MemoryOf(table)) / static_cast<double>(table.size);
}
BENCHMARK(BenchTableHit)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);

auto BenchFingerprint(benchmark::State& state) -> void {
  auto flow = MakeFlow(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(flow);
    benchmark::DoNotOptimize(steering::FingerprintOf(flow));
  }
}
BENCHMARK(BenchFingerprint);

auto BenchRendezvous(benchmark::State& state) -> void {
  auto set = MakeSet(static_cast<std::uint32_t>(state.range(0)), state.range(1) != 0);
  auto hash = std::uint64_t{1};
  for (auto _ : state) {
    benchmark::DoNotOptimize(steering::FindFirstHome(set, hash));
    hash += 0x9e3779b97f4a7c15;
  }
}
BENCHMARK(BenchRendezvous)
    ->ArgsProduct({{3, 7, 100, 1000}, {1, 0}})
    ->ArgNames({"targets", "equal"});

auto BenchPlacement(benchmark::State& state) -> void {
  auto loads = std::vector<steering::TargetLoad>(static_cast<std::size_t>(state.range(0)));
  for (auto& load : loads) load.flows = 1000;
  if (state.range(1) != 0) loads[0].flows = 1100;
  auto random = steering::Random(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(steering::Place({}, {loads, 0, 0}, random));
  }
}
BENCHMARK(BenchPlacement)->ArgsProduct({{3, 7, 100, 1000}, {0, 1}})->ArgNames({"targets", "full"});

auto BenchRoutePacket(benchmark::State& state) -> void {
  auto core = balancer::BalancerBuilder{}.WithTunnel(base::EndpointFromV4(1, 7000)).Build();
  auto configuration = config::Configuration{};
  configuration.number = 1;
  configuration.services.push_back({"desk", kService, {kAddress}, {}, {}, {}});
  auto view = MakeView(static_cast<std::uint32_t>(state.range(0)));
  balancer::Step(core, balancer::ConfigChanged{&configuration}, kNow);
  balancer::Step(core, balancer::ViewChanged{&view}, kNow);
  auto header = wire::pb::TunnelHeader{};
  auto client = 0U;
  for (auto _ : state) {
    auto flow = MakeFlow(client++ % kFlows);
    auto route = balancer::RoutePacket(core, kAddress, flow.client, kNow);
    balancer::WritePacketHeader(core, route, header);
    benchmark::DoNotOptimize(header);
  }
}
BENCHMARK(BenchRoutePacket)->Arg(3)->Arg(7)->Arg(100)->Arg(1000);

// A packet of an established flow at its owner, and what the directory holds for it.
auto BenchDirectoryDeliver(benchmark::State& state) -> void {
  auto flows = static_cast<std::uint32_t>(state.range(0));
  auto policy = steering::DirectoryPolicy{};
  policy.openings_burst = 1e9;
  auto directory =
      steering::DirectoryBuilder{}.WithTarget(MakeRecord(0)).WithPolicy(policy).Build();
  auto view = MakeView(1);
  steering::Step(directory, steering::ViewArrived{&view}, kNow);
  auto headers = std::vector<wire::pb::TunnelHeader>(flows);
  for (auto i = 0U; i < flows; ++i) {
    auto& packet = *headers[i].mutable_packet();
    wire::WriteFlow(MakeFlow(i), *packet.mutable_flow());
    wire::WriteEndpoint(base::EndpointFromV4(1, 7000), *packet.mutable_balancer());
    packet.set_may_open(true);
    steering::Step(directory, steering::TunnelArrived{{}, &headers[i], {}}, kNow);
  }
  auto next = std::size_t{0};
  for (auto _ : state) {
    auto effects = steering::Step(directory, steering::TunnelArrived{{}, &headers[next], {}}, kNow);
    benchmark::DoNotOptimize(effects);
    next = (next + 7919) % headers.size();
  }
  state.counters["owned"] = static_cast<double>(directory.owned.size());
  state.counters["bytes_per_owned_entry"] =
      sizeof(std::pair<const base::FlowKey, steering::OwnedFlow>) + 3 * sizeof(void*);
}
BENCHMARK(BenchDirectoryDeliver)->Arg(1000)->Arg(2000)->Arg(20000);

// An agent with `flows` flows sees another target join: bytes of registrations it sends, with an
// instant acknowledgement of each batch.
auto BenchJoin(benchmark::State& state) -> void {
  auto flows = static_cast<std::uint32_t>(state.range(0));
  auto bytes = 0.0;
  auto joins = 0.0;
  for (auto _ : state) {
    state.PauseTiming();
    auto policy = steering::DirectoryPolicy{};
    policy.openings_burst = 1e9;
    auto directory =
        steering::DirectoryBuilder{}.WithTarget(MakeRecord(0)).WithPolicy(policy).Build();
    auto before = MakeView(1);
    steering::Step(directory, steering::ViewArrived{&before}, kNow);
    for (auto i = 0U; i < flows; ++i) {
      auto header = wire::pb::TunnelHeader{};
      wire::WriteFlow(MakeFlow(i), *header.mutable_packet()->mutable_flow());
      header.mutable_packet()->set_may_open(true);
      steering::Step(directory, steering::TunnelArrived{{}, &header, {}}, kNow);
    }
    auto after = MakeView(2);
    auto start = directory.counters.control_bytes;
    state.ResumeTiming();
    auto effects = steering::Step(directory, steering::ViewArrived{&after}, kNow);
    while (!effects.sends.empty() && effects.sends[0].header.has_register_()) {
      auto ack = wire::pb::TunnelHeader{};
      const auto& batch = effects.sends[0].header.register_();
      ack.mutable_register_ack()->set_sequence(batch.sequence());
      *ack.mutable_register_ack()->mutable_home() = batch.home();
      effects = steering::Step(directory, steering::TunnelArrived{{}, &ack, {}}, kNow);
    }
    bytes += static_cast<double>(directory.counters.control_bytes - start);
    joins += 1;
  }
  state.counters["bytes_per_join"] = bytes / joins;
  state.counters["bytes_per_moved_flow"] = 2 * bytes / joins / flows;
}
BENCHMARK(BenchJoin)->Arg(200)->Arg(2000)->Arg(20000)->Iterations(20);

}  // namespace
}  // namespace anvildrum

BENCHMARK_MAIN();
