#include "overload_sim.h"

#include <algorithm>
#include <cmath>

#include "requests/coap_message.h"

namespace anvildrum::requests {
namespace {

auto At(Milliseconds now) -> base::TimePoint {
  return base::TimePoint(base::hours(1)) +
         base::microseconds(static_cast<std::int64_t>(now * 1000));
}

auto After(Sim& sim, Milliseconds delay, std::function<void()> job) -> void {
  sim.jobs.emplace(sim.now + std::max(delay, 0.0), std::move(job));
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

}  // namespace

auto CapacityPerSecond() -> double {
  auto per_target = static_cast<double>(kSlots) / kServiceTime * 1000;
  return per_target * (static_cast<double>(kTargets) - 1 + 1 / kSlowFactor);
}

auto RunSim(Policy policy, double load) -> Sim {
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
  return sim;
}

}  // namespace anvildrum::requests
