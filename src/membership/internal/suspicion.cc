#include "membership/suspicion.h"

#include <algorithm>

namespace anvildrum::membership {
namespace {

constexpr auto kSmoothing = 8;  // RFC 6298: a new sample has a weight of 1/8

auto FindPeer(Suspicion& state, const PeerRef& ref) -> Peer* {
  auto found = std::ranges::lower_bound(state.peers, ref.instance, {}, &Peer::instance);
  if (found == state.peers.end() || found->instance != ref.instance) return nullptr;
  return found->incarnation == ref.incarnation ? &*found : nullptr;
}

auto SetSuspect(Peer& peer, bool suspect, base::TimePoint now, SuspicionEffects& effects) -> void {
  peer.suspect = suspect;
  peer.answers = 0;
  peer.misses = 0;
  peer.last_change = now;
  effects.changes.push_back({peer.instance, suspect});
}

// Safeguard: a peer that fails and recovers every few seconds would move its flows' homes each
// time, and each move costs registrations. Each recovery therefore takes twice as many answers as
// the one before, which makes the moves rarer. After a period without changes the number is reset.
auto RecordAnswer(const SuspicionPolicy& policy, Peer& peer, base::TimePoint now,
                  SuspicionEffects& effects) -> void {
  peer.last_heard = now;
  peer.unanswered_since = {};
  peer.misses = 0;
  if (!peer.suspect) {
    if (now - peer.last_change > policy.recovery_reset) peer.recovery_answers = 1;
    return;
  }
  ++peer.answers;
  if (peer.answers < peer.recovery_answers) return;
  peer.recovery_answers = std::min(2 * peer.recovery_answers, policy.max_recovery_answers);
  SetSuspect(peer, false, now, effects);
}

auto RecordMiss(const SuspicionPolicy& policy, Peer& peer, base::TimePoint now,
                SuspicionEffects& effects) -> void {
  peer.answers = 0;
  ++peer.misses;
  if (peer.suspect || peer.misses < policy.misses) return;
  SetSuspect(peer, true, now, effects);
}

auto UpdateRoundTrip(Peer& peer, base::Duration sample) -> void {
  if (peer.round_trip == base::Duration::zero()) {
    peer.round_trip = std::max<base::Duration>(sample, base::microseconds(1));
    return;
  }
  peer.round_trip += (sample - peer.round_trip) / kSmoothing;
}

auto ReplacePeers(Suspicion& state, std::span<const PeerRef> refs, base::TimePoint now) -> void {
  auto peers = std::vector<Peer>{};
  peers.reserve(refs.size());
  for (const auto& ref : refs) {
    const auto* known = FindPeer(state, ref);
    auto fresh = Peer{ref.instance, ref.incarnation};
    fresh.last_heard = now;
    peers.push_back(known != nullptr ? *known : fresh);
  }
  std::ranges::sort(peers, {}, &Peer::instance);
  state.peers = std::move(peers);
}

auto SendProbeTo(Suspicion& state, Peer& peer, base::TimePoint now, SuspicionEffects& effects)
    -> void {
  peer.probe = ++state.sequence;
  peer.probe_sent = now;
  effects.probes.push_back({peer.instance, peer.probe});
}

auto ExpireProbes(Suspicion& state, base::TimePoint now, SuspicionEffects& effects) -> void {
  for (auto& peer : state.peers) {
    if (peer.probe == 0) continue;
    if (now - peer.probe_sent < TimeoutOf(state.policy, peer)) continue;
    peer.probe = 0;
    RecordMiss(state.policy, peer, now, effects);
    if (!peer.suspect) SendProbeTo(state, peer, now, effects);
  }
}

auto IsDoubtful(const SuspicionPolicy& policy, const Peer& peer, base::TimePoint now) -> bool {
  if (peer.suspect || peer.probe != 0 || peer.unanswered_since == base::TimePoint{}) return false;
  return now - peer.unanswered_since > TimeoutOf(policy, peer);
}

auto SendRound(Suspicion& state, base::TimePoint now, SuspicionEffects& effects) -> void {
  state.next_round = now + state.policy.probe_period;
  auto left = std::min<std::size_t>(state.policy.probes_per_round, state.peers.size());
  for (auto& peer : state.peers) {
    if (left == 0) return;
    if (!IsDoubtful(state.policy, peer, now)) continue;
    SendProbeTo(state, peer, now, effects);
    --left;
  }
  for (; left > 0; --left) {
    state.next_peer = state.next_peer % state.peers.size();
    auto& peer = state.peers[state.next_peer];
    ++state.next_peer;
    if (peer.probe == 0) SendProbeTo(state, peer, now, effects);
  }
}

auto Handle(Suspicion& state, const PeersChanged& event, base::TimePoint now, SuspicionEffects&)
    -> void {
  ReplacePeers(state, event.peers, now);
}

auto Handle(Suspicion& state, const Heard& event, base::TimePoint now, SuspicionEffects& effects)
    -> void {
  auto* peer = FindPeer(state, event.peer);
  if (peer == nullptr) return;
  if (peer->suspect) return;  // only counted answers to probes end a suspicion
  RecordAnswer(state.policy, *peer, now, effects);
}

auto Handle(Suspicion& state, const ProbeAnswered& event, base::TimePoint now,
            SuspicionEffects& effects) -> void {
  // Safeguard: an unsolicited load report has no sequence number. If it were taken for the answer
  // to an earlier probe, it would increase the measured round trip, and the peer's failure would be
  // detected late.
  if (event.sequence == 0) return;
  auto* peer = FindPeer(state, event.peer);
  if (peer == nullptr || peer->probe != event.sequence) return;
  peer->probe = 0;
  UpdateRoundTrip(*peer, now - peer->probe_sent);
  RecordAnswer(state.policy, *peer, now, effects);
}

auto Handle(Suspicion& state, const Sent& event, base::TimePoint now, SuspicionEffects&) -> void {
  auto* peer = FindPeer(state, event.peer);
  if (peer != nullptr && peer->unanswered_since == base::TimePoint{}) peer->unanswered_since = now;
}

auto Handle(Suspicion& state, const SuspicionTimer&, base::TimePoint now, SuspicionEffects& effects)
    -> void {
  ExpireProbes(state, now, effects);
  if (now >= state.next_round) SendRound(state, now, effects);
}

}  // namespace

auto Step(Suspicion& state, const SuspicionEvent& event, base::TimePoint now) -> SuspicionEffects {
  auto effects = SuspicionEffects{};
  std::visit([&](const auto& concrete) { Handle(state, concrete, now, effects); }, event);
  return effects;
}

auto NextWakeUp(const Suspicion& state) -> base::TimePoint {
  auto next = state.next_round;
  for (const auto& peer : state.peers) {
    if (peer.probe == 0) continue;
    next = std::min(next, peer.probe_sent + TimeoutOf(state.policy, peer));
  }
  return next;
}

auto TimeoutOf(const SuspicionPolicy& policy, const Peer& peer) -> base::Duration {
  if (peer.round_trip == base::Duration::zero()) return policy.max_timeout;
  auto timeout = peer.round_trip * policy.timeout_factor;
  return std::clamp(timeout, policy.min_timeout, policy.max_timeout);
}

auto FindPeer(const Suspicion& state, base::InstanceId instance) -> const Peer* {
  auto found = std::ranges::lower_bound(state.peers, instance, {}, &Peer::instance);
  return found != state.peers.end() && found->instance == instance ? &*found : nullptr;
}

}  // namespace anvildrum::membership
