#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "relay/internal/children.h"
#include "relay/internal/clearing.h"
#include "relay/internal/parents.h"
#include "relay/internal/platform.h"
#include "relay/internal/topology.h"
#include "relay/relay.h"

namespace anvildrum::relay {
namespace {

constexpr base::Duration kTick = base::milliseconds(200);
/// A tick that comes this much late means that the process was paused.
constexpr base::Duration kPaused = base::seconds(1);

/// Both follow from who answers; a change of either changes the other's inputs.
auto Rearrange(State& state, base::TimePoint now, Effects& effects) -> void {
  const bool may_be_root =
      state.store.complete || now - state.started_at >= state.settings.policy.seed_wait;
  state.root = may_be_root && IsRoot(state);
  ReconcileParents(state, now, effects);
}

auto BeatIfRoot(State& state, base::TimePoint now, Effects& effects) -> void {
  if (!state.root || now < state.next_heartbeat) return;
  state.rooted_at = now;
  SendHeartbeats(state, 0, now, effects);
  state.next_heartbeat = now + std::max(state.told_period, state.settings.policy.heartbeat);
}

auto Tick(State& state, base::TimePoint now, Effects& effects) -> void {
  if (now - state.ticked_at > kPaused) ForgiveParents(state, now);
  state.ticked_at = now;
  TickParents(state, now, effects);
  Rearrange(state, now, effects);
  BeatIfRoot(state, now, effects);
  TickPlatform(state, now, effects);
  DropSilentChildren(state, now);
  TickClearing(state, now, effects);
  PruneTombstones(state.store, state.settings.policy.tombstone_keep,
                  state.settings.policy.tombstones_most, now);
  effects.emplace_back(SetTimer{now + kTick});
}

auto On(State& state, const Started& /*event*/, base::TimePoint now, Effects& effects) -> void {
  state.started = true;
  state.started_at = now;
  state.ticked_at = now;
  state.rooted_at = now;
  const std::size_t seeds = state.settings.seeds.size();
  if (seeds > 0) state.seed_index = state.random() % seeds;
  TakePeers(state, {});
  PlanFirstPoll(state, now);
  Tick(state, now, effects);
}

auto On(State& state, const TimerFired& /*event*/, base::TimePoint now, Effects& effects) -> void {
  Tick(state, now, effects);
}

auto On(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects) -> void {
  switch (event.message.body_case()) {
    case wire::pb::RelayMessage::kSubscribe:
      return OnSubscribe(state, event.sender, event.message.subscribe(), now, effects);
    case wire::pb::RelayMessage::kUnsubscribe:
      if (event.endpoint.port == 0) return OnUnsubscribe(state, event.sender);
      OnDismissed(state, event, now, effects);
      return Rearrange(state, now, effects);
    case wire::pb::RelayMessage::kUpdate:
      return OnUpdate(state, event, now, effects);
    case wire::pb::RelayMessage::kHeartbeat:
      return OnHeartbeat(state, event, now, effects);
    case wire::pb::RelayMessage::kSuspicion:
      return OnSuspicion(state, event.sender, event.message.suspicion(), now);
    case wire::pb::RelayMessage::BODY_NOT_SET:
      ++state.counters.bad_messages;
      return;
  }
}

auto On(State& state, const PlatformObjects& event, base::TimePoint now, Effects& effects) -> void {
  OnObjects(state, event, now, effects);
}

auto On(State& state, const ConfigurationRead& event, base::TimePoint now, Effects& effects)
    -> void {
  OnConfigurationRead(state, event, now, effects);
}

auto On(State& state, const PlatformFailed& event, base::TimePoint now, Effects& effects) -> void {
  OnFailed(state, event, now, effects);
}

auto On(State& state, const AnswerBegun& event, base::TimePoint /*now*/, Effects& /*effects*/)
    -> void {
  OnAnswerBegun(state, event);
}

auto On(State& state, const PeersChanged& event, base::TimePoint now, Effects& effects) -> void {
  TakePeers(state, event.peers);
  Rearrange(state, now, effects);
}

auto On(State& state, const RecordSuspected& event, base::TimePoint now, Effects& effects) -> void {
  OnSuspected(state, event, now, effects);
}

auto On(State& state, const RecordAlive& event, base::TimePoint now, Effects& effects) -> void {
  OnAlive(state, event, now, effects);
}

auto On(State& state, const DeleteFinished& event, base::TimePoint /*now*/, Effects& /*effects*/)
    -> void {
  OnDeleteFinished(state, event);
}

auto On(State& state, const StopRequested& /*event*/, base::TimePoint /*now*/, Effects& effects)
    -> void {
  state.stopping = true;
  DismissChildren(state, effects);
  LeaveParents(state, effects);
  StopPlatform(state, effects);
}

}  // namespace

auto MakeState(RelaySettings settings) -> State {
  State state;
  state.random.seed(settings.seed ^ settings.self.instance.value);
  state.settings = std::move(settings);
  return state;
}

auto Step(State& state, const Event& event, base::TimePoint now) -> Effects {
  Effects effects;
  if (state.stopping) return effects;
  std::visit([&](const auto& body) { On(state, body, now, effects); }, event);
  return effects;
}

}  // namespace anvildrum::relay
