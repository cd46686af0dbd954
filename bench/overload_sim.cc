#include "overload_sim.h"

#include <algorithm>

#include "requests/coap_message.h"

namespace anvildrum::requests {
namespace {

constexpr auto kHedgeOrigin = kTargets + 1;  // and above: origins of hedges, one an agent

auto Finish(Sim& sim, std::size_t hold) -> void {
  auto& at = sim.holds[hold];
  if (at.settled) return;
  at.settled = true;
  sim.latencies.push_back(sim.now - at.sent);
}

auto RequestOf(const Sim& sim, std::size_t hold) -> Bytes {
  auto bytes = Bytes{0x41,
                     static_cast<std::uint8_t>(sim.trial.reads ? 1 : 2),
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
  if (!sim.trial.deadlines) return bytes;
  auto message = ParseMessage(bytes).value();
  return ForTarget(message, message.message_id, message.token,
                   static_cast<std::uint32_t>(kDeadline));
}

auto HoldIn(BytesView request) -> std::size_t {
  auto hold = std::size_t{0};
  for (auto byte : request.last(4)) hold = hold << 8U | byte;
  return hold;
}

auto Feed(Sim& sim, std::size_t agent, const Event& event) -> void;

// The same read to another agent, which is not told apart from a hand-on there.
auto Hedge(Sim& sim, std::size_t agent, const base::FlowKey& flow, const Bytes& bytes) -> void {
  auto hold = HoldIn(bytes);
  if (sim.holds[hold].settled || !SpendRetry(sim.hedge_budget)) return;
  auto other = TwoChoices(sim, agent);
  auto left = sim.holds[hold].sent + kDeadline - sim.now;
  After(sim, kBetweenAgents, [&sim, agent, other, flow, bytes, hold, left] {
    auto remaining = base::microseconds(static_cast<std::int64_t>(left * 1000));
    Feed(sim, other,
         HandOnRequested{flow, base::InstanceId{agent + kHedgeOrigin}, hold, bytes, remaining});
  });
}

auto HedgeLater(Sim& sim, std::size_t agent, const base::FlowKey& flow, const Bytes& bytes)
    -> void {
  if (sim.trial.hedge_after <= 0) return;
  EarnRetry(sim.hedge_budget, sim.trial.hedge_share, Parameters{}.retry_burst);
  After(sim, sim.trial.hedge_after, [&sim, agent, flow, bytes] { Hedge(sim, agent, flow, bytes); });
}

auto ToAgent(Sim& sim, std::size_t agent, const base::FlowKey& flow, Bytes bytes) -> void {
  After(sim, kNetwork, [&sim, agent, flow, bytes = std::move(bytes)] {
    HedgeLater(sim, agent, flow, bytes);
    Feed(sim, agent, ClientDatagram{flow, bytes});
  });
}

auto ClientReceives(Sim& sim, std::size_t agent, const SendToClient& sent) -> void {
  auto message = ParseMessage(sent.bytes).value();
  auto hold = static_cast<std::size_t>(message.message_id) |
              (static_cast<std::size_t>(sent.flow.client.port) << 16U);
  if (message.code == kCodeUnauthorized) {
    auto bytes = RequestOf(sim, hold);
    return ToAgent(sim, agent, sent.flow, WithEcho(ParseMessage(bytes).value(), *message.echo));
  }
  auto refused = message.code == kCodeServiceUnavailable;
  auto unknown = message.code == kCodeGatewayTimeout;
  if (!refused && !unknown) return Finish(sim, hold);
  if (sim.holds[hold].settled) return;
  sim.holds[hold].settled = true;
  ++(refused ? sim.refused : sim.unknown);
}

auto TargetReceives(Sim& sim, std::size_t agent, const SendToTarget& sent) -> void {
  auto request = ParseMessage(sent.bytes).value();
  if (!IsRequest(request)) return;
  auto answer = Bytes(sent.bytes.begin(), sent.bytes.begin() + 4 + request.token.size);
  answer[0] = static_cast<std::uint8_t>(0x60 | request.token.size);
  answer[1] = 0x44;
  auto ends = request.deadline ? sim.now + *request.deadline : kNever;
  RunAtTarget(
      sim, agent,
      [&sim, agent, flow = sent.flow, answer](bool cut) mutable {
        if (cut) answer[1] = kCodeGatewayTimeout;
        Feed(sim, agent, TargetDatagram{flow, answer});
      },
      ends);
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
  if (answer.origin.value >= kHedgeOrigin) {
    if (answer.not_run) return;
    ++sim.hedge_runs;
    return After(sim, kBetweenAgents + kNetwork,
                 [&sim, hold = answer.request] { Finish(sim, hold); });
  }
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
  if (!sim.cores.empty()) return ToAgent(sim, target, flow, RequestOf(sim, hold));
  After(sim, kNetwork, [&sim, hold, target] {
    RunAtTarget(sim, target,
                [&sim, hold](bool) { After(sim, kNetwork, [&sim, hold] { Finish(sim, hold); }); });
  });
}

auto Arrive(Sim& sim) -> void {
  if (sim.now > kRun) return;
  SendHold(sim);
  auto rate = CapacityPerSecond() * sim.trial.load / 1000;
  After(sim, std::exponential_distribution<>(rate)(sim.random), [&sim] { Arrive(sim); });
}

auto MakeCores(Sim& sim) -> void {
  if (sim.trial.policy < Policy::kCore) return;
  auto parameters = Parameters{};
  parameters.slots = kSlots;
  parameters.ledger_bytes = std::size_t{1} << 30U;
  parameters.retry_share = sim.trial.policy == Policy::kCoreAlone ? 0 : sim.trial.retry_share;
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

auto RunSim(const Trial& trial) -> Sim {
  auto sim = Sim{};
  sim.trial = trial;
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
