#include <algorithm>

#include "base/overloaded.h"
#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

auto Dispatch(Context& context, const Event& event) -> void {
  std::visit(base::Overloaded{
                 [&](const ClientDatagram& at) { OnClientDatagram(context, at); },
                 [&](const TargetDatagram& at) { OnTargetDatagram(context, at); },
                 [&](const TargetUnreachable& at) { OnTargetUnreachable(context, at); },
                 [&](const Timer&) {},
                 [&](const FlowOpened& at) {
                   auto& flow = FlowOf(context, at.flow);
                   flow.echo_floor = context.state.mint.last_issue;
                   if (!at.adopted) return;
                   flow.adopted_until = context.now + context.state.parameters.adopted_quarantine;
                 },
                 [&](const FlowAdopted& at) { OnFlowAdopted(context, at); },
                 [&](const FlowClosed& at) { OnFlowClosed(context, at); },
                 [&](const Drain&) { context.state.draining = true; },
                 [&](const HandOnRequested& at) { OnHandOnRequested(context, at); },
                 [&](const HandOnAnswered& at) { OnHandOnAnswered(context, at); },
             },
             event);
}

auto NextTimer(const State& state) -> std::optional<base::TimePoint> {
  auto next = NextOverdue(state.admission);
  auto consider = [&](base::TimePoint at) { next = next ? std::min(*next, at) : at; };
  if (!state.entry_timers.empty()) consider(state.entry_timers.begin()->first);
  if (!state.ledger.expiries.empty()) consider(state.ledger.expiries.front().first);
  return next;
}

// A time in the past is requested again, because the daemon's timer may have fired early.
auto RequestTimer(Context& context) -> void {
  auto& state = context.state;
  auto next = NextTimer(state);
  if (!next || (state.timer == next && *next > context.now)) return;
  state.timer = next;
  context.effects.emplace_back(SetTimer{*next});
}

}  // namespace

auto Step(State& state, const Event& event, base::TimePoint now) -> Effects {
  auto effects = Effects{};
  auto context = Context{state, now, effects};
  OnTimer(context);
  Dispatch(context, event);
  StartQueued(context);
  RequestTimer(context);
  return effects;
}

auto SetParameters(State& state, const Parameters& parameters) -> void {
  state.parameters = parameters;
  state.parameters.slots = std::max(parameters.slots, 1U);
}

auto RequestLoadOf(const State& state, base::TimePoint now) -> RequestLoad {
  auto load = RequestLoad{};
  load.running = state.admission.running;
  load.queued = static_cast<std::uint32_t>(state.admission.queue.size());
  for (const auto& [key, flow] : state.flows) {
    if (flow.transfer_until > now || (flow.upload && flow.upload->expires > now)) ++load.transfers;
    for (auto id : flow.live) {
      auto stage = state.ledger.entries.at(id).stage;
      if (stage == Stage::kObserving) ++load.streams;
      if (stage == Stage::kOffered) ++load.offered;
    }
  }
  load.service_time = state.admission.service_time.mean;
  load.admitted = state.admitted;
  load.refused = state.refused;
  load.ledger_entries = state.ledger.entries.size();
  load.ledger_bytes = state.ledger.bytes;
  return load;
}

auto IsIdle(const State& state, const base::FlowKey& key, base::TimePoint now) -> bool {
  auto found = state.flows.find(key);
  if (found == state.flows.end()) return true;
  const auto& flow = found->second;
  auto uploading = flow.upload && flow.upload->expires > now;
  return flow.live.empty() && flow.transfer_until <= now && !uploading && flow.adopted_until <= now;
}

auto StateDeleter::operator()(State* state) const -> void { delete state; }

auto RequestsBuilder::WithParameters(const Parameters& parameters) -> RequestsBuilder& {
  this->parameters = parameters;
  return *this;
}

auto RequestsBuilder::WithIncarnation(base::Incarnation incarnation) -> RequestsBuilder& {
  this->incarnation = incarnation;
  return *this;
}

auto RequestsBuilder::WithEchoSecret(const EchoSecret& secret) -> RequestsBuilder& {
  this->secret = secret;
  return *this;
}

auto RequestsBuilder::WithSeed(std::uint64_t seed) -> RequestsBuilder& {
  this->seed = seed;
  return *this;
}

auto RequestsBuilder::Build() const -> StatePtr {
  auto state = StatePtr(new State{});
  SetParameters(*state, this->parameters);
  state->mint = EchoMint{this->secret, this->incarnation, 0};
  state->random.seed(this->seed);
  state->admission.service_time = admission::StartingAt(this->parameters.initial_service_time);
  state->retries.tokens = this->parameters.retry_burst;
  // Ids start at a random number, so that an answer for an earlier incarnation matches nothing
  // here.
  state->ledger.next_id = state->random() * kIdStep;
  return state;
}

}  // namespace anvildrum::requests
