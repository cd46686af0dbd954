#include <array>
#include <memory>
#include <string>
#include <unordered_map>

#include "balancer/balancer.h"
#include "measure.h"
#include "sample.h"
#include "slopes.h"
#include "steering/directory.h"
#include "steering/flow_table.h"
#include "steering/rendezvous.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kTableSizes = std::array{1 << 12, 1 << 15, 1 << 18};
constexpr auto kLookupCounts = std::array{1000, 10000, 100000};
constexpr auto kTargetCounts = std::array{3, 10, 30, 100};
constexpr auto kFleetTargets = std::array{1000, 4000, 16000};
constexpr auto kFlowCounts = std::array{1000, 8000, 64000};
constexpr auto kServiceCounts = std::array{100, 1000, 6000};
constexpr auto kTargetsOfService = 3;
constexpr auto kNow = base::TimePoint{base::seconds(1000)};

auto FlowOf(int index) -> base::FlowKey {
  auto flow = SampleFlow();
  flow.client.port = static_cast<std::uint16_t>(index);
  flow.client.address[13] = static_cast<std::uint8_t>(index >> 16);
  return flow;
}

auto RecordOf(const std::string& service, int index) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = service + "-target-" + std::to_string(index);
  record.id = base::TargetIdOf(record.name);
  record.service_name = service;
  record.service = base::ServiceIdOf(service);
  record.instance = base::InstanceIdOf("agent-" + record.name);
  record.incarnation = kIncarnation;
  record.tunnel = base::EndpointFromV4(0x0a000000U + static_cast<std::uint32_t>(index), 7000);
  record.operator_port = record.tunnel;
  record.failure_domain = "domain-" + std::to_string(index % 3);
  record.slots = 4;
  record.connections = 2000;
  record.revision = static_cast<std::uint64_t>(index) + 1;
  return record;
}

auto ViewOf(int targets) -> membership::View {
  auto view = membership::View{};
  for (auto i = 0; i < targets; ++i) {
    auto service = "service-" + std::to_string(i / kTargetsOfService);
    membership::ApplyRecord(view, RecordOf(service, i), kNow);
  }
  return view;
}

auto ConfigurationOf(int services) -> config::Configuration {
  auto configuration = config::Configuration{};
  configuration.number = 1;
  for (auto i = 0; i < services; ++i) {
    auto service = config::Service{};
    service.name = "service-" + std::to_string(i);
    service.id = base::ServiceIdOf(service.name);
    service.addresses = {base::EndpointFromV4(0xcb007100U + static_cast<std::uint32_t>(i), 5683)};
    configuration.services.push_back(std::move(service));
  }
  return configuration;
}

auto TableSlopes() -> std::vector<Slope> {
  auto bytes = Slope{"flow_table_bytes", "bytes", "entry", {}};
  for (auto size : kTableSizes) {
    auto table = steering::MakeFlowTable(static_cast<std::size_t>(size));
    bytes.points.push_back(
        {static_cast<double>(size), static_cast<double>(steering::MemoryOf(table))});
  }
  auto hits = Slope{"flow_table_hit_ns", "ns", "hit", {}};
  for (auto count : kLookupCounts) {
    auto table = steering::MakeFlowTable(2 * static_cast<std::size_t>(count));
    auto fingerprints = std::vector<steering::Fingerprint>{};
    for (auto i = 0; i < count; ++i) {
      fingerprints.push_back(steering::FingerprintOf(FlowOf(i)));
      steering::Insert(table, fingerprints.back(), {base::TargetIdOf("desk-3"), kIncarnation});
    }
    auto work = [&] {
      for (const auto& fingerprint : fingerprints) Keep(steering::Find(table, fingerprint));
    };
    hits.points.push_back({static_cast<double>(count), NanosecondsPerCall(work)});
  }
  return {bytes, hits};
}

auto RendezvousSlope() -> Slope {
  auto slope = Slope{"rendezvous_ns", "ns", "target of the service", {}};
  for (auto count : kTargetCounts) {
    auto service = membership::ServiceView{};
    for (auto i = 0; i < count; ++i) {
      service.targets.push_back(membership::Target{.record = RecordOf("desk", i)});
    }
    auto set = steering::MakeCandidates(service);
    auto hash = base::HashFlow(SampleFlow());
    auto cost = NanosecondsPerCall([&] { Keep(steering::FindFirstHome(set, ++hash)); });
    slope.points.push_back({static_cast<double>(count), cost});
  }
  return slope;
}

auto ViewSlopes() -> std::vector<Slope> {
  auto bytes = Slope{"view_bytes", "bytes", "target", {}};
  auto cost = Slope{"view_change_ns", "ns", "target", {}};
  for (auto count : kFleetTargets) {
    auto before = AllocatedBytes();
    auto view = ViewOf(count);
    bytes.points.push_back({static_cast<double>(count), AllocatedBytes() - before});
    auto configuration = ConfigurationOf(count / kTargetsOfService);
    auto balancer = balancer::BalancerBuilder{}.Build();
    balancer::Step(balancer, balancer::ConfigChanged{&configuration}, kNow);
    auto change = [&] { balancer::Step(balancer, balancer::ViewChanged{&view}, kNow); };
    cost.points.push_back({static_cast<double>(count), NanosecondsPerCall(change)});
  }
  return {bytes, cost};
}

// What a balancer holds for each service of the configuration, its route table included.
auto ServiceSlope() -> Slope {
  auto slope = Slope{"balancer_service_bytes", "bytes", "service", {}};
  for (auto count : kServiceCounts) {
    auto balancer = balancer::BalancerBuilder{}.Build();
    auto before = AllocatedBytes();
    auto configuration = ConfigurationOf(count);
    balancer::Step(balancer, balancer::ConfigChanged{&configuration}, kNow);
    slope.points.push_back({static_cast<double>(count), AllocatedBytes() - before});
  }
  return slope;
}

template <typename Entry>
auto EntrySlope(const std::string& name, const std::string& per) -> Slope {
  auto slope = Slope{name, "bytes", per, {}};
  for (auto count : kFlowCounts) {
    auto before = AllocatedBytes();
    auto entries = std::unordered_map<base::FlowKey, Entry>{};
    for (auto i = 0; i < count; ++i) entries.emplace(FlowOf(i), Entry{});
    slope.points.push_back({static_cast<double>(count), AllocatedBytes() - before});
  }
  return slope;
}

}  // namespace

auto MeasureSteering() -> std::vector<Slope> {
  auto all = TableSlopes();
  all.push_back(RendezvousSlope());
  for (auto& slope : ViewSlopes()) all.push_back(std::move(slope));
  all.push_back(ServiceSlope());
  all.push_back(EntrySlope<steering::OwnedFlow>("owned_flow_bytes", "flow owned"));
  all.push_back(EntrySlope<steering::KnownOwner>("exception_bytes", "exception at its home"));
  return all;
}

}  // namespace anvildrum::capacity
