#include "scenario/world.h"

#include <memory>
#include <ostream>

#include "scenario/nodes.h"

namespace anvildrum::scenario {
namespace {

constexpr auto kSameDomain = base::microseconds(250);
constexpr auto kOtherDomain = base::milliseconds(1);
constexpr auto kToClient = base::milliseconds(2);
constexpr auto kJitter = base::microseconds(200);
constexpr auto kEarliestLate = base::seconds(20);
constexpr auto kLatestLate = base::minutes(6);
constexpr auto kFabricCheck = base::milliseconds(500);
constexpr auto kPerMillion = 1'000'000U;

auto Named(const World& world, const std::string& left, const std::string& right) -> bool {
  return world.cuts.contains({left, right}) || world.cuts.contains({right, left});
}

auto IsCutFromFabric(const World& world, const Process& balancer) -> bool {
  return IsCut(world, balancer, world.processes.at("fabric"));
}

auto CheckBalancers(World& world) -> void {
  world.attached.clear();
  for (const auto& [name, node] : world.balancers) {
    const auto& process = world.processes.at(name);
    if (!process.up || process.frozen || IsCutFromFabric(world, process)) continue;
    if (node->balancer.phase == balancer::Phase::kReady) world.attached.insert(name);
  }
}

auto PickBalancer(World& world) -> std::string {
  if (world.attached.empty()) return {};
  auto at = world.attached.begin();
  std::advance(at, world.random() % world.attached.size());
  return *at;
}

}  // namespace

World::World() = default;
World::~World() = default;

auto Draw(World& world, base::Duration most) -> base::Duration {
  if (most <= base::Duration{}) return {};
  return base::Duration(
      static_cast<base::Duration::rep>(world.random() % static_cast<std::uint64_t>(most.count())));
}

auto Chance(World& world, double share) -> bool {
  if (share <= 0) return false;
  return static_cast<double>(world.random() % kPerMillion) < share * kPerMillion;
}

auto Trace(const World& world, const std::string& text) -> void {
  if (world.trace == nullptr) return;
  auto since = std::chrono::duration_cast<base::milliseconds>(world.clock.now - kStart).count();
  *world.trace << since << "ms " << text << '\n';
}

auto DelayOf(World& world, const Process& from, const Process& to) -> base::Duration {
  (void)world;
  return from.domain == to.domain ? kSameDomain : kOtherDomain;
}

auto IsCut(const World& world, const Process& from, const Process& to) -> bool {
  if (world.cuts.empty()) return false;
  return Named(world, from.name, to.name) || Named(world, from.domain, to.domain) ||
         Named(world, from.name, to.domain) || Named(world, from.domain, to.name);
}

auto Transmit(World& world, base::Duration delay, const std::function<void()>& deliver) -> void {
  const auto& faults = world.faults;
  if (Chance(world, faults.loss)) return;
  After(world.clock, delay + Draw(world, kJitter) + Draw(world, faults.reorder), deliver);
  if (Chance(world, faults.duplicate)) {
    After(world.clock, delay + Draw(world, kJitter + faults.reorder), deliver);
  }
  if (!Chance(world, faults.late)) return;
  After(world.clock, kEarliestLate + Draw(world, kLatestLate - kEarliestLate), deliver);
}

auto SendTunnel(World& world, const std::string& from, const base::Endpoint& from_port,
                const base::Endpoint& to, const wire::pb::TunnelHeader& header,
                wire::BytesView payload) -> void {
  auto found = world.tunnel_ports.find(to);
  if (found == world.tunnel_ports.end()) return;
  auto& sender = world.processes.at(from);
  auto& receiver = world.processes.at(found->second.process);
  if (IsCut(world, sender, receiver)) return;
  struct Datagram {
    wire::pb::TunnelHeader header;
    wire::Bytes payload;
  };
  auto datagram = std::make_shared<const Datagram>(
      Datagram{header, wire::Bytes(payload.begin(), payload.end())});
  auto arrive = [&world, &receiver, to, from_port, datagram] {
    Receive(receiver, [&world, to, from_port, datagram] {
      world.tunnel_ports.at(to).receive(from_port, datagram->header, datagram->payload);
    });
  };
  Transmit(world, DelayOf(world, sender, receiver), arrive);
}

auto FromClient(World& world, const Client& client, const Bytes& bytes) -> void {
  auto name = PickBalancer(world);
  if (name.empty()) return;
  auto& receiver = world.processes.at(name);
  if (IsCutFromFabric(world, receiver)) return;
  auto deliver = [&world, &receiver, to = client.address, from = client.endpoint, bytes] {
    Receive(receiver, [&world, &receiver, to, from, bytes] {
      FromFabric(*world.balancers.at(receiver.name), to, from, bytes);
    });
  };
  Transmit(world, kToClient, deliver);
}

auto ToClient(World& world, const std::string& balancer, const base::Endpoint& service,
              const base::Endpoint& client, wire::BytesView payload) -> void {
  if (IsCutFromFabric(world, world.processes.at(balancer))) return;
  auto found = world.client_at.find(client);
  if (found == world.client_at.end()) return;
  auto& receiver = world.clients.at(found->second);
  if (receiver.address != service) {
    Trace(world, receiver.name + " hears from another address");
    return;
  }
  auto bytes = Bytes(payload.begin(), payload.end());
  Transmit(world, kToClient,
           [&world, &receiver, bytes] { ClientReceives(world, receiver, bytes); });
}

auto StartFabric(World& world) -> void {
  CheckBalancers(world);
  After(world.clock, kFabricCheck, [&world] { StartFabric(world); });
}

}  // namespace anvildrum::scenario
