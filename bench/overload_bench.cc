// Holds under load on a virtual clock: seven targets with four slots each, of which one is slow,
// one starts cold and one reports no load. Prints a table of the request core against plain
// baselines.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string_view>

#include "requests/coap_message.h"
#include "requests/requests.h"

namespace anvildrum::requests {
namespace {

using Milliseconds = double;

constexpr auto kTargets = std::size_t{7};
constexpr auto kSlots = std::size_t{4};
constexpr auto kSlow = std::size_t{0};
constexpr auto kCold = std::size_t{1};
constexpr auto kLiar = std::size_t{2};
constexpr auto kServiceTime = Milliseconds{20};
constexpr auto kSlowFactor = 3.0;
constexpr auto kColdFactor = 5.0;
constexpr auto kColdFor = Milliseconds{10'000};
constexpr auto kNetwork = Milliseconds{2};  // one way, client to agent
constexpr auto kBetweenAgents = Milliseconds{1.5};
constexpr auto kReportEvery = Milliseconds{100};  // reported load is this old at most
constexpr auto kObserveEvery = Milliseconds{20};  // so is what a balancer observed
constexpr auto kRun = Milliseconds{60'000};
constexpr auto kDeadline = Milliseconds{250};
constexpr auto kClients = std::size_t{200};
constexpr auto kServiceSpread = 0.5;  // sigma of the log-normal service time
constexpr auto kSeed = 20260101;

enum class Policy { kRandom, kLeastReported, kObservedUnbounded, kCore, kCorePinned, kCoreAlone };

struct Hold {
  Milliseconds sent = 0;
  std::size_t target = 0;
  base::FlowKey flow;
};

struct SimTarget {
  std::size_t running = 0;
  std::queue<std::function<void()>> waiting;
  std::size_t reported = 0;
  double observed = 0;
  std::uint64_t runs = 0;
};

struct Sim {
  Policy policy = Policy::kRandom;
  double load = 0;
  std::mt19937_64 random{kSeed};
  Milliseconds now = 0;
  std::multimap<Milliseconds, std::function<void()>> jobs;
  std::vector<SimTarget> targets{kTargets};
  std::vector<StatePtr> cores;
  std::vector<Hold> holds;
  std::vector<Milliseconds> latencies;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t offers = 0;
};

auto At(Milliseconds now) -> base::TimePoint {
  return base::TimePoint(base::hours(1)) +
         base::microseconds(static_cast<std::int64_t>(now * 1000));
}

auto After(Sim& sim, Milliseconds delay, std::function<void()> job) -> void {
  sim.jobs.emplace(sim.now + std::max(delay, 0.0), std::move(job));
}

auto CapacityPerSecond() -> double {
  auto per_target = static_cast<double>(kSlots) / kServiceTime * 1000;
  return per_target * (static_cast<double>(kTargets) - 1 + 1 / kSlowFactor);
}

auto DrawServiceTime(Sim& sim, std::size_t target) -> Milliseconds {
  auto spread = std::normal_distribution<>(-kServiceSpread * kServiceSpread / 2, kServiceSpread);
  auto taken = kServiceTime * std::exp(spread(sim.random));
  if (target == kSlow) taken *= kSlowFactor;
  if (target == kCold && sim.now < kColdFor) {
    taken *= kColdFactor - (kColdFactor - 1) * sim.now / kColdFor;
  }
  return taken;
}

auto StartNext(Sim& sim, std::size_t target) -> void {
  auto& at = sim.targets[target];
  if (at.running == kSlots || at.waiting.empty()) return;
  auto done = std::move(at.waiting.front());
  at.waiting.pop();
  ++at.running;
  ++at.runs;
  After(sim, DrawServiceTime(sim, target), [&sim, target, done] {
    --sim.targets[target].running;
    StartNext(sim, target);
    done();
  });
}

auto RunAtTarget(Sim& sim, std::size_t target, std::function<void()> done) -> void {
  sim.targets[target].waiting.push(std::move(done));
  StartNext(sim, target);
}

auto InFlight(const SimTarget& target) -> std::size_t {
  return target.running + target.waiting.size();
}

auto Better(const Sim& sim, std::size_t left, std::size_t right) -> std::size_t {
  return sim.targets[left].observed <= sim.targets[right].observed ? left : right;
}

auto TwoChoices(Sim& sim, std::size_t but_not) -> std::size_t {
  auto draw = [&] {
    auto target = sim.random() % kTargets;
    return target == but_not ? (target + 1) % kTargets : target;
  };
  auto left = draw();
  return Better(sim, left, draw());
}

auto LeastReported(Sim& sim) -> std::size_t {
  auto least = [](const auto& left, const auto& right) { return left.reported < right.reported; };
  auto at = std::min_element(sim.targets.begin(), sim.targets.end(), least);
  return static_cast<std::size_t>(at - sim.targets.begin());
}

auto Place(Sim& sim, std::size_t client) -> std::size_t {
  switch (sim.policy) {
    case Policy::kRandom:
      return sim.random() % kTargets;
    case Policy::kLeastReported:
      return LeastReported(sim);
    case Policy::kCorePinned:
    case Policy::kCoreAlone:
      return client % kTargets;
    default:
      return TwoChoices(sim, kTargets);
  }
}

auto Report(Sim& sim) -> void {
  for (auto i = std::size_t{0}; i < kTargets; ++i) {
    sim.targets[i].reported = i == kLiar ? 0 : InFlight(sim.targets[i]);
  }
  After(sim, kReportEvery, [&sim] { Report(sim); });
}

// What is observed without asking the target: requests in flight and how long they take.
auto Observe(Sim& sim) -> void {
  for (auto i = std::size_t{0}; i < kTargets; ++i) {
    auto& target = sim.targets[i];
    if (sim.cores.empty()) {
      target.observed = static_cast<double>(InFlight(target));
      continue;
    }
    auto busy = BusyOf(*sim.cores[i], At(sim.now));
    target.observed = static_cast<double>(busy.running + busy.queued + 1) *
                      static_cast<double>(busy.service_time.count());
  }
  After(sim, kObserveEvery, [&sim] { Observe(sim); });
}

auto Finish(Sim& sim, std::size_t hold) -> void {
  sim.latencies.push_back(sim.now - sim.holds[hold].sent);
}

auto Post(std::size_t hold) -> Bytes {
  auto bytes = Bytes{0x41,
                     2,
                     static_cast<std::uint8_t>(hold >> 8),
                     static_cast<std::uint8_t>(hold),
                     1,
                     0xb4,
                     'h',
                     'o',
                     'l',
                     'd',
                     0xff};
  for (auto shift : {24, 16, 8, 0}) bytes.push_back(static_cast<std::uint8_t>(hold >> shift));
  return bytes;
}

auto Feed(Sim& sim, std::size_t agent, const Event& event) -> void;

auto ToAgent(Sim& sim, std::size_t agent, const base::FlowKey& flow, Bytes bytes) -> void {
  After(sim, kNetwork, [&sim, agent, flow, bytes = std::move(bytes)] {
    Feed(sim, agent, ClientDatagram{flow, bytes});
  });
}

auto ClientReceives(Sim& sim, std::size_t agent, const SendToClient& sent) -> void {
  auto message = ParseMessage(sent.bytes).value();
  auto hold = static_cast<std::size_t>(message.message_id) |
              (static_cast<std::size_t>(sent.flow.client.port) << 16U);
  if (message.code == kCodeUnauthorized) {
    auto bytes = Post(hold);
    return ToAgent(sim, agent, sent.flow, WithEcho(ParseMessage(bytes).value(), *message.echo));
  }
  if (message.code == kCodeServiceUnavailable) {
    ++sim.refused;
  } else if (message.code == kCodeGatewayTimeout) {
    ++sim.unknown;
  } else {
    Finish(sim, hold);
  }
}

auto TargetReceives(Sim& sim, std::size_t agent, const SendToTarget& sent) -> void {
  auto request = ParseMessage(sent.bytes).value();
  if (!IsRequest(request)) return;
  auto answer = Bytes(sent.bytes.begin(), sent.bytes.begin() + 4 + request.token.size);
  answer[0] = static_cast<std::uint8_t>(0x60 | request.token.size);
  answer[1] = 0x44;
  RunAtTarget(sim, agent, [&sim, agent, flow = sent.flow, answer] {
    Feed(sim, agent, TargetDatagram{flow, answer});
  });
}

auto Offer(Sim& sim, std::size_t agent, const OfferHandOn& offer) -> void {
  auto again = offer.only_to.value != 0;
  auto other = again ? offer.only_to.value - 1 : TwoChoices(sim, agent);
  if (!again) ++sim.offers;
  After(sim, kBetweenAgents, [&sim, agent, other, offer] {
    auto left = offer.deadline - At(sim.now);
    Feed(
        sim, other,
        HandOnRequested{offer.flow, base::InstanceId{agent + 1}, offer.request, offer.bytes, left});
  });
}

auto AnswerOffer(Sim& sim, std::size_t agent, const AnswerHandOn& answer) -> void {
  After(sim, kBetweenAgents, [&sim, agent, answer] {
    Feed(sim, answer.origin.value - 1,
         HandOnAnswered{answer.flow, answer.request, base::TargetId{agent + 1}, answer.not_run,
                        answer.bytes});
  });
}

auto Feed(Sim& sim, std::size_t agent, const Event& event) -> void {
  auto effects = Step(*sim.cores[agent], event, At(sim.now));
  for (const auto& effect : effects) {
    if (const auto* sent = std::get_if<SendToTarget>(&effect)) TargetReceives(sim, agent, *sent);
    if (const auto* offer = std::get_if<OfferHandOn>(&effect)) Offer(sim, agent, *offer);
    if (const auto* answer = std::get_if<AnswerHandOn>(&effect)) AnswerOffer(sim, agent, *answer);
    if (const auto* sent = std::get_if<SendToClient>(&effect)) {
      After(sim, kNetwork, [&sim, agent, sent = *sent] { ClientReceives(sim, agent, sent); });
    }
    if (const auto* timer = std::get_if<SetTimer>(&effect)) {
      auto delay = std::chrono::duration<double, std::milli>(timer->at - At(sim.now)).count();
      if (delay > kRun) continue;  // only the ledger's forgetting, which nobody waits for here
      After(sim, delay, [&sim, agent] { Feed(sim, agent, Timer{}); });
    }
  }
}

auto SendHold(Sim& sim) -> void {
  auto hold = sim.holds.size();
  auto client = sim.random() % kClients;
  auto target = Place(sim, client);
  auto address = static_cast<std::uint32_t>(0x0a000000 + client);
  // The flow's port and the message ID together are the hold's number.
  auto flow = base::FlowKey{base::EndpointFromV4(address, static_cast<std::uint16_t>(hold >> 16U)),
                            base::ServiceIdOf("desk")};
  sim.holds.push_back({sim.now, target, flow});
  if (!sim.cores.empty()) return ToAgent(sim, target, flow, Post(hold));
  After(sim, kNetwork, [&sim, hold, target] {
    RunAtTarget(sim, target,
                [&sim, hold] { After(sim, kNetwork, [&sim, hold] { Finish(sim, hold); }); });
  });
}

auto Arrive(Sim& sim) -> void {
  if (sim.now > kRun) return;
  SendHold(sim);
  auto rate = CapacityPerSecond() * sim.load / 1000;
  After(sim, std::exponential_distribution<>(rate)(sim.random), [&sim] { Arrive(sim); });
}

auto MakeCores(Sim& sim) -> void {
  if (sim.policy < Policy::kCore) return;
  auto parameters = Parameters{};
  parameters.slots = kSlots;
  parameters.ledger_bytes = std::size_t{1} << 30U;
  if (sim.policy == Policy::kCoreAlone) parameters.retry_share = 0;
  for (auto i = std::size_t{0}; i < kTargets; ++i) {
    auto builder = RequestsBuilder{};
    sim.cores.push_back(
        builder.WithParameters(parameters).WithIncarnation(i + 1).WithSeed(i).Build());
  }
}

auto Percentile(const std::vector<Milliseconds>& sorted, double share) -> Milliseconds {
  if (sorted.empty()) return 0;
  auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

auto NameOf(Policy policy) -> std::string_view {
  switch (policy) {
    case Policy::kRandom:
      return "random target, unbounded queue";
    case Policy::kLeastReported:
      return "least reported load, unbounded queue";
    case Policy::kObservedUnbounded:
      return "two choices by in flight, unbounded queue";
    case Policy::kCore:
      return "request core, new flows placed by observed delay";
    case Policy::kCorePinned:
      return "request core, flows pinned evenly";
    case Policy::kCoreAlone:
      return "request core, flows pinned evenly, no hand-on";
  }
  return {};
}

auto PrintRow(Sim& sim) -> void {
  std::sort(sim.latencies.begin(), sim.latencies.end());
  auto in_time = std::upper_bound(sim.latencies.begin(), sim.latencies.end(), kDeadline) -
                 sim.latencies.begin();
  auto sent = static_cast<double>(sim.holds.size());
  auto runs = std::uint64_t{0};
  for (const auto& target : sim.targets) runs += target.runs;
  auto capacity = CapacityPerSecond() * kRun / 1000;
  std::printf(
      "| %3.0f %% | %s | %.1f | %.1f | %.1f | %.1f %% | %.1f %% | %.1f %% | %llu | %.2f %% |\n",
      sim.load * 100, NameOf(sim.policy).data(), Percentile(sim.latencies, 0.5),
      Percentile(sim.latencies, 0.99), Percentile(sim.latencies, 0.999),
      100 * static_cast<double>(in_time) / sent, 100 * static_cast<double>(in_time) / capacity,
      100 * static_cast<double>(sim.refused) / sent, static_cast<unsigned long long>(sim.unknown),
      100 * static_cast<double>(sim.offers) / static_cast<double>(std::max(runs, 1UL)));
}

auto Measure(Policy policy, double load) -> void {
  auto sim = Sim{};
  sim.policy = policy;
  sim.load = load;
  MakeCores(sim);
  Report(sim);
  Observe(sim);
  Arrive(sim);
  while (!sim.jobs.empty() && sim.now < 3 * kRun) {
    auto first = sim.jobs.begin();
    auto job = std::move(first->second);
    sim.now = first->first;
    sim.jobs.erase(first);
    job();
  }
  PrintRow(sim);
}

auto Main() -> void {
  std::printf(
      "Capacity of the slots: %.0f holds/s; %zu targets x %zu slots, %.0f ms a hold, "
      "one %.0fx slow, one %.0fx slow at first for %.0f s, one that reports no load.\n\n",
      CapacityPerSecond(), kTargets, kSlots, kServiceTime, kSlowFactor, kColdFactor,
      kColdFor / 1000);
  std::printf(
      "| load | policy | p50 ms | p99 ms | p99.9 ms | within 250 ms | goodput/capacity | "
      "not run | unknown | hand-ons/runs |\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (auto load : {0.5, 0.8, 0.95, 1.2, 2.0}) {
    for (auto policy : {Policy::kRandom, Policy::kLeastReported, Policy::kObservedUnbounded,
                        Policy::kCore, Policy::kCorePinned, Policy::kCoreAlone}) {
      Measure(policy, load);
    }
  }
}

}  // namespace
}  // namespace anvildrum::requests

auto main() -> int { anvildrum::requests::Main(); }
