#include "burst_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "steering/directory.h"
#include "wire/convert.h"

namespace anvildrum::bench {
namespace {

constexpr auto kTargets = std::uint16_t{7};
constexpr auto kBalancers = 3U;
constexpr auto kLifetime = 60.0;
constexpr auto kSamples = base::milliseconds(100);
constexpr auto kTimer = base::milliseconds(50);
constexpr auto kReports = base::milliseconds(500);
constexpr auto kLateness = base::milliseconds(1500);
constexpr auto kStart = base::TimePoint{base::hours(2)};
constexpr auto kJoin = kStart + base::seconds(150);
constexpr auto kEnd = kJoin + base::seconds(10);
constexpr auto kSteady = kJoin - base::seconds(10);

using Work = std::function<void()>;

struct Agent {
  membership::TargetRecord record;
  membership::View view;
  steering::Directory directory;
};

struct Due {
  base::TimePoint at{};
  std::uint64_t order = 0;
  std::shared_ptr<Work> work;
  auto operator>(const Due& other) const -> bool {
    return std::pair(this->at, this->order) > std::pair(other.at, other.order);
  }
};

struct Model {
  BurstPlan plan;
  std::mt19937_64 random;
  base::TimePoint now{kStart};
  std::uint64_t order = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<membership::View> balancers = std::vector<membership::View>(kBalancers);
  std::uint32_t clients = 0;
  std::uint64_t openings = 0;
  std::uint64_t passed_on = 0;
  BurstResult result;
  double samples = 0;
};

auto Uniform(Model& model) -> double {
  return std::uniform_real_distribution<double>(0, 1)(model.random);
}

auto Seconds(double seconds) -> base::Duration {
  return base::Duration(static_cast<std::int64_t>(seconds * 1e9));
}

auto Exponential(Model& model, double mean) -> base::Duration {
  return Seconds(-mean * std::log(1 - Uniform(model)));
}

auto After(Model& model, base::Duration delay, Work work) -> void {
  model.due.push({model.now + delay, ++model.order, std::make_shared<Work>(std::move(work))});
}

auto MakeRecord(std::uint16_t number) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = "target-" + std::to_string(number);
  record.id = base::TargetIdOf(record.name);
  record.service = base::ServiceIdOf("desk");
  record.instance = base::InstanceIdOf(record.name);
  record.incarnation = 1;
  record.revision = number + 1;
  record.tunnel = base::EndpointFromV4(0x0c000001, static_cast<std::uint16_t>(number + 1));
  record.failure_domain = "domain-" + std::to_string(number % 3);
  record.connections = 20'000;
  return record;
}

auto Apply(Model& model, Agent& agent, const steering::DirectoryEvent& event) -> void;

auto Receive(Model& model, Agent& agent, const base::Endpoint& from,
             const wire::pb::TunnelHeader& header) -> void {
  for (const auto& load : header.probe_answer().loads()) {
    Apply(model, agent, steering::PeerLoadArrived{load});
  }
  Apply(model, agent, steering::TunnelArrived{from, &header, {}});
}

auto Send(Model& model, const base::Endpoint& from, const steering::SendTunnel& send) -> void {
  auto header = std::make_shared<wire::pb::TunnelHeader>(send.header);
  for (auto& agent : model.agents) {
    if (agent->record.tunnel != send.to) continue;
    auto& receiver = *agent;
    After(model, Seconds(0.001 + 0.001 * Uniform(model)),
          [&model, &receiver, from, header] { Receive(model, receiver, from, *header); });
    return;
  }
}

auto Apply(Model& model, Agent& agent, const steering::DirectoryEvent& event) -> void {
  auto effects = steering::Step(agent.directory, event, model.now);
  for (const auto& send : effects.sends) {
    if (send.header.has_packet() && model.now >= kJoin) ++model.passed_on;
    Send(model, agent.record.tunnel, send);
  }
  for (const auto& delivery : effects.deliveries) {
    if (!delivery.opened) continue;
    After(model, Exponential(model, kLifetime), [&model, &agent, flow = delivery.flow] {
      Apply(model, agent, steering::FlowEnded{flow});
    });
  }
}

auto OpenFlow(Model& model) -> void {
  const auto& view = model.balancers[model.random() % kBalancers];
  auto flow = base::FlowKey{base::EndpointFromV4(++model.clients, 4000), base::ServiceIdOf("desk")};
  auto set = steering::MakeCandidates(view.services.front());
  auto home = steering::FindFirstHome(set, base::HashFlow(flow));
  auto header = wire::pb::TunnelHeader{};
  wire::WriteFlow(flow, *header.mutable_packet()->mutable_flow());
  header.mutable_packet()->set_may_open(true);
  if (model.now >= kJoin) ++model.openings;
  Send(model, {}, {view.services.front().targets[home].record.tunnel, header, {}});
}

auto BurstEnd(const Model& model) -> base::TimePoint {
  return kJoin + Seconds(model.plan.burst_after + model.plan.burst_seconds);
}

auto ArriveUntil(Model& model, double per_second, base::TimePoint until) -> void {
  if (per_second <= 0 || model.now >= until) return;
  OpenFlow(model);
  After(model, Exponential(model, 1 / per_second),
        [&model, per_second, until] { ArriveUntil(model, per_second, until); });
}

auto Report(Model& model, Agent& from, Agent& to) -> void {
  auto load = steering::OwnLoadReport(from.directory);
  Apply(model, to, steering::PeerLoadArrived{load});
  After(model, kReports, [&model, &from, &to] { Report(model, from, to); });
}

auto TickForEver(Model& model, Agent& agent) -> void {
  Apply(model, agent, steering::DirectoryTimer{});
  After(model, kTimer, [&model, &agent] { TickForEver(model, agent); });
}

// `since`: when the instances take the record in.
auto Take(Model& model, membership::View& view, const membership::TargetRecord& record,
          base::TimePoint since) -> void {
  membership::ApplyRecord(view, record, since);
  for (auto& agent : model.agents) {
    if (&agent->view == &view) Apply(model, *agent, steering::ViewArrived{&view});
  }
}

auto StartAgent(Model& model, std::uint16_t number) -> void {
  auto policy = steering::DirectoryPolicy{};
  policy.placement.kind = model.plan.placement;
  auto agent = std::make_unique<Agent>();
  agent->record = MakeRecord(number);
  agent->directory = steering::DirectoryBuilder{}
                         .WithTarget(agent->record)
                         .WithPolicy(policy)
                         .WithSeed(model.plan.seed * 100 + number)
                         .Build();
  model.agents.push_back(std::move(agent));
  auto& started = *model.agents.back();
  After(model, Seconds(0.05 * Uniform(model)), [&model, &started] { TickForEver(model, started); });
  for (auto& other : model.agents) {
    if (other.get() == &started) continue;
    auto& peer = *other;
    After(model, Seconds(0.5 * Uniform(model)),
          [&model, &started, &peer] { Report(model, started, peer); });
    After(model, Seconds(0.5 * Uniform(model)),
          [&model, &started, &peer] { Report(model, peer, started); });
  }
}

auto EvennessOf(const Model& model) -> Evenness {
  auto sum = 0.0;
  auto squares = 0.0;
  auto most = 0.0;
  for (const auto& agent : model.agents) {
    auto flows = static_cast<double>(agent->directory.owned.size());
    sum += flows;
    squares += flows * flows;
    most = std::max(most, flows);
  }
  auto count = static_cast<double>(model.agents.size());
  auto mean = sum / count;
  return {most / mean, std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean};
}

auto Sample(Model& model) -> void {
  auto evenness = EvennessOf(model);
  if (model.now >= kSteady && model.now < kJoin) {
    model.result.steady.max_over_mean += evenness.max_over_mean;
    model.result.steady.cv += evenness.cv;
    model.samples += 1;
  }
  if (model.now < kJoin) return;
  auto total = 0.0;
  for (const auto& agent : model.agents) {
    total += static_cast<double>(agent->directory.owned.size());
  }
  auto newcomer = static_cast<double>(model.agents.back()->directory.owned.size());
  model.result.newcomer_at_end = newcomer * static_cast<double>(model.agents.size()) / total;
  model.result.worst_newcomer = std::max(model.result.worst_newcomer, model.result.newcomer_at_end);
  model.result.after_join = evenness;
  if (model.now < BurstEnd(model)) return;
  model.result.worst = std::max(model.result.worst, evenness.max_over_mean);
}

auto SampleForEver(Model& model) -> void {
  Sample(model);
  After(model, kSamples, [&model] { SampleForEver(model); });
}

auto ShareOfExceptions(const Model& model) -> double {
  auto away = 0.0;
  auto total = 0.0;
  for (const auto& agent : model.agents) {
    const auto& directory = agent->directory;
    for (const auto& [flow, owned] : directory.owned) {
      auto home = steering::FindFirstHome(directory.candidates, base::HashFlow(flow));
      if (home != directory.self_index) away += 1;
      total += 1;
    }
  }
  return away / total;
}

auto Join(Model& model) -> void {
  model.result.exceptions = ShareOfExceptions(model);
  StartAgent(model, kTargets);
  auto record = model.agents.back()->record;
  auto& view = model.agents.back()->view;
  for (auto i = std::uint16_t{0}; i < kTargets; ++i) {
    membership::ApplyRecord(view, MakeRecord(i), kStart - base::hours(1));
  }
  Take(model, view, record, model.now);
  auto tell = [&](membership::View& other) {
    auto late = Seconds(Uniform(model) * std::chrono::duration<double>(kLateness).count());
    After(model, late, [&model, &other, record] { Take(model, other, record, model.now); });
  };
  for (auto i = std::size_t{0}; i < kTargets; ++i) tell(model.agents[i]->view);
  for (auto& balancer : model.balancers) tell(balancer);
}

auto RunUntil(Model& model, base::TimePoint until) -> void {
  while (!model.due.empty() && model.due.top().at < until) {
    auto work = model.due.top().work;
    model.now = model.due.top().at;
    model.due.pop();
    (*work)();
  }
  model.now = until;
}

}  // namespace

auto RunBurst(const BurstPlan& plan) -> BurstResult {
  auto model = Model{};
  model.plan = plan;
  model.random.seed(plan.seed);
  for (auto i = std::uint16_t{0}; i < kTargets; ++i) StartAgent(model, i);
  for (auto i = std::uint16_t{0}; i < kTargets; ++i) {
    for (auto& agent : model.agents) {
      Take(model, agent->view, MakeRecord(i), kStart - base::hours(1));
    }
    for (auto& view : model.balancers) {
      Take(model, view, MakeRecord(i), kStart - base::hours(1));
    }
  }
  After(model, base::seconds(1), [&] { ArriveUntil(model, plan.arrivals_per_second, kEnd); });
  After(model, kSamples, [&model] { SampleForEver(model); });
  RunUntil(model, kJoin);
  Join(model);
  RunUntil(model, kJoin + Seconds(plan.burst_after));
  ArriveUntil(model, plan.burst_per_second, BurstEnd(model));
  RunUntil(model, kEnd);
  model.result.steady.max_over_mean /= model.samples;
  model.result.steady.cv /= model.samples;
  model.result.passed_on =
      static_cast<double>(model.passed_on) / static_cast<double>(model.openings);
  return model.result;
}

}  // namespace anvildrum::bench
