#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "scenario/client.h"
#include "scenario/platform.h"
#include "scenario/process.h"
#include "wire/datagram.h"

/// The fakes round the role cores: clock, processes, network, platform, fabric, targets, clients.
/// One thread, one virtual clock, one seeded generator: a run is a function of script and seed.
namespace anvildrum::scenario {

struct BalancerNode;
struct AgentNode;
struct TargetNode;

struct Faults {
  double loss = 0;
  double duplicate = 0;
  double late = 0;           ///< share of datagrams of which a copy comes minutes later
  base::Duration reorder{};  ///< extra delay of a datagram, drawn up to this
};

using TunnelPort = std::function<void(const base::Endpoint& from, const wire::pb::TunnelHeader&,
                                      wire::BytesView payload)>;

/// What was seen that must never be.
struct Violations {
  std::uint64_t crossings = 0;      ///< a request at a target of a service it does not mean
  std::uint64_t wrong_answers = 0;  ///< an answer to another request, or an older notification
  std::vector<std::string> notes;
};

struct World {
  World();
  ~World();
  World(const World&) = delete;
  auto operator=(const World&) -> World& = delete;

  Clock clock;
  std::mt19937_64 random;
  Faults faults;
  std::map<std::string, base::Duration> wall_clocks;  ///< process -> how far its wall clock is off
  std::map<std::string, Process> processes;
  std::set<std::pair<std::string, std::string>> cuts;  ///< of processes or failure domains
  struct BoundPort {
    std::string process;
    TunnelPort receive;
  };
  std::unordered_map<base::Endpoint, BoundPort> tunnel_ports;
  FakePlatform platform;
  std::map<std::string, base::Endpoint> services;  ///< as set up; moves are patches
  std::map<std::string, std::unique_ptr<BalancerNode>> balancers;
  std::map<std::string, std::unique_ptr<AgentNode>> agents;
  std::map<std::string, std::unique_ptr<TargetNode>> targets;
  std::map<std::string, Client> clients;
  std::unordered_map<base::Endpoint, std::string> client_at;
  std::map<std::string, Order> orders;  ///< every request, by id
  std::set<std::string> attached;       ///< balancers that the fabric sends to
  std::set<std::string> leaving;        ///< targets that were told to leave
  std::set<std::string> lost;           ///< targets that were killed or frozen, or their agents
  Violations violations;
  std::ostream* trace = nullptr;
};

/// A value from [0, most).
auto Draw(World& world, base::Duration most) -> base::Duration;
auto Chance(World& world, double share) -> bool;
auto Trace(const World& world, const std::string& text) -> void;

/// One-way delay between two processes.
auto DelayOf(World& world, const Process& from, const Process& to) -> base::Duration;
auto IsCut(const World& world, const Process& from, const Process& to) -> bool;

/// Runs `deliver` as a datagram from one place to another would arrive: late, twice or never.
auto Transmit(World& world, base::Duration delay, const std::function<void()>& deliver) -> void;

auto SendTunnel(World& world, const std::string& from, const base::Endpoint& from_port,
                const base::Endpoint& to, const wire::pb::TunnelHeader& header,
                wire::BytesView payload) -> void;

/// A client's datagram, through the fabric to any balancer.
auto FromClient(World& world, const Client& client, const Bytes& bytes) -> void;
/// A balancer's datagram to a client.
auto ToClient(World& world, const std::string& balancer, const base::Endpoint& service,
              const base::Endpoint& client, wire::BytesView payload) -> void;

/// The fabric looks which balancers take traffic, every half second.
auto StartFabric(World& world) -> void;

}  // namespace anvildrum::scenario
