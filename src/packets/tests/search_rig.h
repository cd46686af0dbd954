#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "packets/agent.h"
#include "packets/flow_denials.h"
#include "packets/hello.h"
#include "packets/order.h"
#include "packets/route_history.h"
#include "packets/search.h"

/// Test fixture for searches: a balancer and the agents of a service.
namespace anvildrum::packets::search_tests {

using base::milliseconds;
using base::seconds;

inline constexpr auto kStart = base::TimePoint{seconds{1000}};
inline constexpr auto kRoute = End{0xc6120001, 443};
inline constexpr auto kFirstAgent = Address{0x0a010001};
inline constexpr auto kBalancer = Address{0x0a020001};
inline constexpr auto kDesk = base::ServiceId{11};
inline constexpr auto kMapper = base::ServiceId{12};
inline constexpr auto kSizes = {std::size_t{5}, std::size_t{65}, std::size_t{200},
                                std::size_t{1000}};

inline constexpr auto kTargetSequence = std::uint32_t{4710};

inline auto FlowOf(std::uint16_t port) -> FlowId { return {{0x64400007, port}, kRoute}; }

inline auto DataOf(std::uint16_t port) -> Packet {
  auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
  packet.acknowledge = true;
  packet.acknowledged = kTargetSequence + 1;
  packet.payload = 100;
  return packet;
}

inline auto ReplyOf(std::uint16_t port) -> Packet {
  auto packet = Packet{.source = kRoute, .destination = {0x64400007, port}};
  packet.acknowledge = true;
  packet.payload = 100;
  return packet;
}

/// A balancer without hints, and real agents of a service, each beside a target that has just
/// started. The balancer and the agents know each other. The last `others` agents serve kMapper.
struct Rig {
  explicit Rig(std::size_t count, std::size_t others = 0) : agents(count + others) {
    this->Configure(1, kDesk);
    TakeHistory(this->balancer, this->History(), this->now, this->now);
    this->balancer.own = kBalancer;
    this->balancer.records_at = this->now;
    NoteEvent(this->balancer.stall, this->now);
    for (auto i = std::size_t{0}; i < count + others; ++i) {
      auto& agent = this->agents[i];
      agent.own = kFirstAgent + static_cast<Address>(i);
      agent.service = i < count ? kDesk : kMapper;
      agent.start = 1;
      this->Beat(i, 1, 1);
      TakeReport(this->balancer.view, MakeReport(agent, kBalancer, this->now), this->now);
    }
    this->SayHello();
    this->now += agents.front().policy.settling_time;
    this->balancer.records_at = this->now;
    for (auto& agent : this->agents) {
      agent.stall = {};
      NoteEvent(agent.stall, this->now);
    }
    this->balancer.stall = {};
    NoteEvent(this->balancer.stall, this->now);
  }

  auto Configure(std::uint64_t version, base::ServiceId service) -> void {
    auto routes = Routes{};
    routes.version = version;
    routes.shares[KeyOf(kRoute)] = {{service, 1}};
    ApplyRoutes(this->balancer, routes, this->now);
  }

  auto Beat(std::size_t index, std::uint64_t id, std::uint64_t sequence) -> void {
    auto& agent = this->agents[index];
    TakeHeartbeat(agent,
                  {.incarnation = {id, std::nullopt},
                   .service = agent.service,
                   .sequence = sequence,
                   .slots = 2},
                  this->now);
    NoteRecorded(agent, agent.target.last.incarnation, sequence <= kNewTargetSequence);
  }

  /// Receives a report of each agent that is not cut off.
  auto TakeReports() -> void {
    for (auto& agent : this->agents) {
      if (this->cut.contains(agent.own)) continue;
      TakeReport(this->balancer.view, MakeReport(agent, kBalancer, this->now), this->now);
    }
  }

  /// Returns the history that a balancer records at the platform.
  [[nodiscard]] auto History() const -> RouteServices {
    auto history = RouteServices{};
    for (auto part = std::size_t{0}; part < kHistoryParts; ++part) {
      history.merge(HistoryPart(this->balancer, part, this->now));
    }
    return history;
  }

  /// Replaces the balancer by one that has just started with the same configuration. It has not
  /// read the recorded history.
  auto RestartBalancer() -> void {
    auto fresh = Balancer{};
    ApplyRoutes(fresh, *this->balancer.routes, this->now);
    fresh.own = kBalancer;
    fresh.records_at = this->now;
    NoteEvent(fresh.stall, this->now);
    for (const auto& agent : this->agents) {
      AddRecord(fresh.view, agent.own, agent.service, this->now);
    }
    this->balancer = std::move(fresh);
    this->TakeReports();
    this->SayHello();
  }

  /// Replaces the process of an agent; its target continues.
  auto RestartAgent(std::size_t index) -> void {
    auto& agent = this->agents[index];
    auto fresh = Agent{};
    fresh.own = agent.own;
    fresh.service = agent.service;
    fresh.start = agent.start + 1;
    fresh.started_at = this->now;
    NoteEvent(fresh.stall, this->now);
    agent = std::move(fresh);
    this->Beat(index, 1, 100);
    this->SayHello();
  }

  /// Gives the agent a packet of the balancer, which answers its question about the route.
  auto Deliver(Agent& agent, const Packet& packet) -> AgentVerdict {
    auto verdict = FromPeer(agent, packet, this->now);
    if (!std::holds_alternative<AwaitRoute>(verdict)) return verdict;
    const auto answer = AnswerRouteQuery(this->balancer, *TakeRouteQuery(agent), this->now);
    TakeRouteAnswer(agent, *answer, this->now);
    return FromPeer(agent, packet, this->now);
  }

  /// Opens a flow at the target of an agent, by way of a balancer in whose configuration the route
  /// has the agent's service.
  auto Open(std::size_t index, std::uint16_t port) -> void {
    auto& agent = this->agents[index];
    TakeRouteAnswer(agent, {agent.service, kRoute, true, true}, this->now);
    auto opening = Packet{.source = {0x64400007, port}, .destination = kRoute, .synchronize = true};
    opening.stamp = StampFor(this->balancer, agent.service);
    FromPeer(agent, opening, this->now);
    auto accepted = ReplyOf(port);
    accepted.synchronize = true;
    accepted.payload = 0;
    accepted.sequence = kTargetSequence;
    FromTarget(agent, accepted, this->now);
    auto data = DataOf(port);
    data.stamp = opening.stamp;
    FromPeer(agent, data, this->now);
    FromTarget(agent, ReplyOf(port), this->now);
    this->held.insert({agent.own, FlowOf(port)});
  }

  auto SayHello() -> void {
    const auto hellos = MakeHellos(this->balancer, this->now);
    for (auto& agent : this->agents) {
      for (const auto& part : hellos.at(agent.service).listed) {
        TakeHello(agent, kBalancer, part, this->now);
      }
      RefreshPeers(agent, this->now);
    }
    this->hello_sent_at = this->now;
  }

  auto Route(const Packet& packet) -> BalancerVerdict {
    return RoutePacket(this->balancer, packet, this->now);
  }

  bool platform_answers = true;
  std::vector<AgentRecord> records;  ///< of agents that the balancer may not know

  /// Agents that receive no datagrams.
  std::set<Address> cut;
  /// Flows that targets hold, by agent; the agents may not know about them.
  std::set<std::pair<Address, FlowId>> held;
  /// Flows about which the target beside the agent does not answer, since it is processing a
  /// request or holds the flow half open.
  std::set<std::pair<Address, FlowId>> silent;

  /// Steps until all searches have ended. Every datagram arrives 1 ms later.
  auto Search() -> std::vector<SearchOutcome> {
    auto ended = std::vector<SearchOutcome>{};
    for (auto steps = 0; steps < 1000 && !this->balancer.searches.flows.empty(); ++steps) {
      this->Step(ended);
    }
    return ended;
  }

  /// One step of the searches, and the answers to their queries and to a read of the records.
  auto Step(std::vector<SearchOutcome>& ended) -> void {
    const auto step = StepSearches(this->balancer, this->now);
    this->Apply(step.outcomes, ended);
    this->now += milliseconds{1};
    for (const auto& addressed : step.queries) this->Ask(addressed, ended);
    if (this->balancer.records_wanted && this->platform_answers) {
      TakeRecords(this->balancer, this->records, this->now, this->now);
    }
    this->Live(kSearchCheck);
  }

  /// Advances the time while all processes run and the balancer sends its hellos.
  auto Live(base::Duration duration) -> void {
    this->now += duration;
    this->balancer.records_at = this->now;
    NoteEvent(this->balancer.stall, this->now);
    for (auto& agent : this->agents) NoteEvent(agent.stall, this->now);
    if (this->now - this->hello_sent_at < milliseconds{200}) return;
    this->SayHello();
    for (const auto& agent : this->agents) {
      if (this->cut.contains(agent.own)) continue;
      this->balancer.view.members.at(agent.own).heard = this->now;
    }
  }

  auto Ask(const AddressedQuery& addressed, std::vector<SearchOutcome>& ended) -> void {
    ++this->queries;
    if (this->cut.contains(addressed.agent)) return;
    auto& agent = this->agents.at(addressed.agent - kFirstAgent);
    const auto answer = AnswerQuery(agent, addressed.query, this->now);
    this->Apply(TakeAnswer(this->balancer, answer, this->now), ended);
  }

  auto Apply(const std::vector<SearchOutcome>& outcomes, std::vector<SearchOutcome>& ended)
      -> void {
    for (const auto& outcome : outcomes) {
      const auto* unsure = std::get_if<FlowUnsure>(&outcome);
      if (unsure == nullptr) {
        ended.push_back(outcome);
        continue;
      }
      for (const auto& to : unsure->agents) this->Probe(unsure->flow, to.agent, ended);
    }
  }

  // Sends the flow's packet to an agent whose target shows whether it holds the flow.
  auto Probe(const FlowId& flow, Address to, std::vector<SearchOutcome>& ended) -> void {
    ++this->probes;
    auto& agent = this->agents.at(to - kFirstAgent);
    auto packet = DataOf(flow.client.port);
    packet.stamp = StampFor(this->balancer, agent.service, true);
    auto verdict = this->Deliver(agent, packet);
    if (std::holds_alternative<DeliverToTarget>(verdict)) {
      if (this->held.contains({to, flow})) {
        const auto reply = FromTarget(agent, ReplyOf(flow.client.port), this->now);
        if (std::get<SendToClient>(reply).located_for) {
          HandleFlowLocated(this->balancer, flow, to, this->now);
        }
        return;
      }
      if (this->silent.contains({to, flow})) return;
      packet.returned = true;
      verdict = FromTarget(agent, packet, this->now);
    }
    const auto& back = std::get<ReturnToBalancer>(verdict);
    const auto flow_of = FlowFromClient(packet);
    if (back.denied) NoteDenial(this->balancer, flow_of, to, this->now);
    this->Apply(HandleReturnedProbe(this->balancer, flow_of, to, back.by_target, this->now), ended);
  }

  base::TimePoint now = kStart;
  std::vector<Agent> agents;
  Balancer balancer;
  base::TimePoint hello_sent_at{};
  std::size_t queries = 0;
  std::size_t probes = 0;
};

template <typename Outcome>
auto Count(const std::vector<SearchOutcome>& outcomes) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      outcomes.begin(), outcomes.end(),
      [](const SearchOutcome& outcome) { return std::holds_alternative<Outcome>(outcome); }));
}

inline auto ReasonOf(const std::vector<SearchOutcome>& outcomes) -> SearchFailure {
  BOOST_REQUIRE(outcomes.size() == 1U);
  BOOST_REQUIRE(std::holds_alternative<FlowNotFound>(outcomes.front()));
  return std::get<FlowNotFound>(outcomes.front()).reason;
}

/// Returns the rank in the flow's rendezvous order of the agent with this index.
inline auto AgentAt(const Rig& rig, std::uint16_t port, std::size_t place) -> std::size_t {
  auto places = std::vector<Place>{};
  for (const auto& agent : rig.agents) places.push_back({agent.own, 0});
  return RendezvousOrder(FlowOf(port), places).at(place) - kFirstAgent;
}

}  // namespace anvildrum::packets::search_tests
