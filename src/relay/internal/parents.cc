#include "relay/internal/parents.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/internal/apply.h"
#include "relay/internal/children.h"
#include "relay/internal/delta.h"
#include "relay/internal/platform.h"
#include "relay/internal/topology.h"

namespace anvildrum::relay {
namespace {

/// Hops that lengthen the timeout. A tree of 8 children each is this deep at millions of balancers.
/// There are no circles: a parent in the tree always comes before its child in the order of ids.
constexpr std::uint32_t kHopsMost = 8;
/// Longest period that a parent is believed.
constexpr base::Duration kPeriodMost = base::seconds(10);
/// Longest complete set that is unpacked, in bytes; at 26,100 records it takes a quarter.
constexpr std::size_t kUpdateMost = std::size_t{64} << 20U;
constexpr std::uint32_t kDoublingsMost = 10;

auto SendSubscribe(State& state, Parent& parent, bool everything, base::TimePoint now,
                   Effects& effects) -> void {
  auto message = NewMessage(state);
  wire::pb::Subscribe& subscribe = *message.mutable_subscribe();
  const StoredRecord* config = FindConfig(state.store);
  subscribe.set_config_number(config == nullptr ? 0 : config->number);
  subscribe.set_config_revision(config == nullptr ? 0 : config->revision);
  subscribe.set_revision(everything || !state.store.complete ? 0 : state.store.horizon);
  subscribe.set_service(state.settings.service.value);
  subscribe.set_renewal(parent.answered);
  parent.renewed_at = now;
  ++state.counters.subscribes_sent;
  effects.emplace_back(
      SendPeer{.to = parent.instance,
               .endpoint = parent.endpoint,
               .message = std::make_shared<const wire::pb::RelayMessage>(std::move(message))});
}

auto SendUnsubscribe(State& state, const Parent& parent, Effects& effects) -> void {
  auto message = NewMessage(state);
  message.mutable_unsubscribe();
  effects.emplace_back(
      SendPeer{.to = parent.instance,
               .endpoint = parent.endpoint,
               .message = std::make_shared<const wire::pb::RelayMessage>(std::move(message))});
}

auto OpenParent(State& state, const Link& link, base::TimePoint now, Effects& effects) -> void {
  Parent& parent = state.parents[link.endpoint];
  parent = {.instance = link.instance, .endpoint = link.endpoint, .asked_at = now, .heard_at = now};
  effects.emplace_back(SubscribeTo{link.endpoint});
  SendSubscribe(state, parent, false, now, effects);
}

auto CloseParent(State& state, const Parent& parent, Effects& effects) -> void {
  SendUnsubscribe(state, parent, effects);
  effects.emplace_back(DropParent{parent.endpoint});
}

/// By how much the parent's heartbeats come less often than most. Safeguard: a parent with many
/// children that has answered and not told its period yet would be given up before its first
/// heartbeat, and all its children would wander about; the longest period is assumed.
auto LongerPeriod(const RelayPolicy& policy, const Parent& parent) -> base::Duration {
  if (!parent.answered) return base::Duration::zero();
  const bool is_told = parent.period != base::Duration::zero();
  const base::Duration period = is_told ? parent.period : policy.slow_heartbeat;
  return std::max(period, policy.heartbeat) - policy.heartbeat;
}

/// A subscription is answered at once, so one that is not shows a dead peer sooner than missing
/// heartbeats do; but the first complete set may take its time on the way.
auto TimeoutOf(const State& state, const Parent& parent) -> base::Duration {
  const RelayPolicy& policy = state.settings.policy;
  if (!parent.answered && state.store.complete) return policy.answer_timeout;
  return policy.parent_timeout + LongerPeriod(policy, parent) +
         policy.timeout_per_hop * parent.hops;
}

auto IsLost(const State& state, const Parent& parent, base::TimePoint now) -> bool {
  return now - parent.heard_at > TimeoutOf(state, parent);
}

auto LoseParent(State& state, const Parent& parent, base::TimePoint now, Effects& effects) -> void {
  ++state.counters.parents_lost;
  const RelayPolicy& policy = state.settings.policy;
  Silence& silence = state.silent[parent.endpoint];
  const std::uint32_t doublings = std::min(silence.losses, kDoublingsMost);
  silence.until = now + std::min(policy.avoid_for * (1U << doublings), policy.avoid_most);
  ++silence.losses;
  CloseParent(state, parent, effects);
}

auto FindParent(State& state, const PeerMessage& event) -> Parent* {
  const auto found = state.parents.find(event.endpoint);
  if (found == state.parents.end()) return nullptr;
  found->second.instance = event.sender;
  found->second.answered = true;
  return &found->second;
}

/// What is left behind on the way to a parent that was ahead: asked for again, once in a while.
auto AskAgain(State& state, Parent& parent, base::TimePoint now, Effects& effects) -> void {
  if (now - parent.renewed_at < state.settings.policy.subscribe_retry) return;
  ++state.counters.gaps;
  SendSubscribe(state, parent, false, now, effects);
}

/// The sets differ at the same revision: a watch lost an event. A root asks the platform, since
/// its peer may be the one that is wrong; all others take what their parent holds.
auto Repair(State& state, Parent& parent, base::TimePoint now, Effects& effects) -> void {
  // Sets that stay different, as after a restore of the platform, must not cost a set every time.
  const std::uint32_t doublings = std::min(state.repairs_in_vain, kDoublingsMost);
  const base::Duration pause = state.settings.policy.repair_interval * (1U << doublings);
  if (now - state.repaired_at < pause) return;
  state.repaired_at = now;
  ++state.repairs_in_vain;
  ++state.counters.repairs;
  if (state.root) {
    StartPoll(state, base::Duration::zero(), now, effects);
    return;
  }
  SendSubscribe(state, parent, true, now, effects);
}

/// The configuration that the next delta of an update starts from. `value` views the store or a
/// record that was read before.
struct DeltaBase {
  std::uint64_t revision = 0;
  std::string_view value;
};

auto ReadConfig(const wire::pb::Record& record, const DeltaBase& base) -> std::optional<Incoming> {
  const bool is_delta = record.encoding() == wire::pb::Record::ZSTD_DELTA;
  // On another base than its own a delta fails its checksum.
  auto value = Unpack(record.value(), is_delta ? base.value : std::string_view{}, kValueMost);
  if (!value.has_value()) return std::nullopt;
  Incoming incoming;
  incoming.object = {.key = record.key(),
                     .revision = record.revision(),
                     .value = std::move(*value),
                     .number = record.number()};
  if (is_delta) incoming.delta_base = record.base_revision();
  if (is_delta) incoming.delta = record.value();
  return incoming;
}

auto UnpackRecords(const wire::pb::Update& update, wire::pb::Update& unpacked) -> bool {
  const auto bytes = Unpack(update.packed(), {}, kUpdateMost);
  return bytes.has_value() && unpacked.ParseFromString(*bytes);
}

/// Reads the records of an update; false when a configuration could not be unpacked.
auto ReadRecords(State& state, const wire::pb::Update& update, std::vector<Incoming>& records)
    -> bool {
  const StoredRecord* config = FindConfig(state.store);
  DeltaBase base;
  if (config != nullptr) base = {.revision = config->revision, .value = config->value};
  bool is_whole = true;
  // The base views these records, so they must not move.
  records.reserve(static_cast<std::size_t>(update.records_size()));
  for (const wire::pb::Record& record : update.records()) {
    if (record.encoding() == wire::pb::Record::PLAIN) {
      records.push_back({.object = {.key = record.key(),
                                    .revision = record.revision(),
                                    .deleted = record.deleted(),
                                    .value = record.value(),
                                    .number = record.number()}});
      continue;
    }
    if (record.revision() <= base.revision) {
      ++state.counters.duplicates;
      continue;
    }
    auto incoming = ReadConfig(record, base);
    if (!incoming.has_value()) {
      is_whole = false;
      continue;
    }
    records.push_back(std::move(*incoming));
    base = {.revision = record.revision(), .value = records.back().object.value};
  }
  return is_whole;
}

auto ForwardHeartbeat(State& state, std::uint32_t hops, base::TimePoint now, Effects& effects)
    -> void {
  if (state.root) return;
  // By the period that the children were told: a longer one begins after the heartbeat that says
  // so.
  const base::Duration pause = state.told_period - state.settings.policy.heartbeat / 2;
  if (now - state.forwarded_at < pause) return;
  SendHeartbeats(state, hops + 1, now, effects);
}

/// Compares what the parent holds with what is held here.
auto CompareWith(State& state, Parent& parent, const wire::pb::Heartbeat& heartbeat,
                 base::TimePoint now, Effects& effects) -> void {
  Store& store = state.store;
  if (!store.complete) return AskAgain(state, parent, now, effects);
  if (heartbeat.digest() == DigestFor(store, state.settings.service)) {
    // Nothing between the two horizons concerns this instance.
    state.repairs_in_vain = 0;
    store.horizon = std::max(store.horizon, heartbeat.revision());
    return;
  }
  if (heartbeat.revision() > store.horizon) return AskAgain(state, parent, now, effects);
  if (heartbeat.revision() == store.horizon) Repair(state, parent, now, effects);
}

}  // namespace

auto ReconcileParents(State& state, base::TimePoint now, Effects& effects) -> void {
  const std::vector<Link> wanted = WantedParents(state, now);
  const auto is_wanted = [&](const base::Endpoint& endpoint) {
    return std::any_of(wanted.begin(), wanted.end(),
                       [&](const Link& link) { return link.endpoint == endpoint; });
  };
  for (const auto& [endpoint, parent] : state.parents) {
    if (!is_wanted(endpoint)) CloseParent(state, parent, effects);
  }
  std::erase_if(state.parents, [&](const auto& entry) { return !is_wanted(entry.first); });
  for (const Link& link : wanted) {
    if (!state.parents.contains(link.endpoint)) OpenParent(state, link, now, effects);
  }
}

auto TickParents(State& state, base::TimePoint now, Effects& effects) -> void {
  const RelayPolicy& policy = state.settings.policy;
  for (auto& [endpoint, parent] : state.parents) {
    if (IsLost(state, parent, now)) {
      LoseParent(state, parent, now, effects);
      continue;
    }
    const bool is_due = parent.answered && now - parent.renewed_at >= policy.renew_interval;
    if (is_due) SendSubscribe(state, parent, false, now, effects);
  }
  std::erase_if(state.parents, [&](const auto& entry) { return IsLost(state, entry.second, now); });
}

auto ForgiveParents(State& state, base::TimePoint now) -> void {
  for (auto& [endpoint, parent] : state.parents) parent.heard_at = now;
}

auto OnUpdate(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects)
    -> void {
  Parent* parent = FindParent(state, event);
  if (parent == nullptr) {
    ++state.counters.bad_messages;
    return;
  }
  const wire::pb::Update& update = event.message.update();
  wire::pb::Update unpacked;
  if (!update.packed().empty() && !UnpackRecords(update, unpacked)) {
    ++state.counters.bad_messages;
    return;
  }
  std::vector<Incoming> records;
  const bool is_whole = ReadRecords(state, update.packed().empty() ? update : unpacked, records);
  const bool has_gap =
      state.store.complete && !update.complete() && update.base() > state.store.horizon;
  Apply(state, records,
        {.base = update.base(),
         .revision = update.revision(),
         .complete = update.complete(),
         .from = event.sender},
        now, effects);
  if (!is_whole) ++state.counters.bad_deltas;
  if (!is_whole || has_gap) AskAgain(state, *parent, now, effects);
}

auto OnHeartbeat(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects)
    -> void {
  Parent* parent = FindParent(state, event);
  const wire::pb::Heartbeat& heartbeat = event.message.heartbeat();
  if (parent == nullptr) {
    ++state.counters.bad_messages;
    return;
  }
  parent->heard_at = now;
  state.silent.erase(event.endpoint);
  parent->hops = std::min(heartbeat.hops(), kHopsMost);
  parent->period = std::min<base::Duration>(base::milliseconds(heartbeat.period_ms()), kPeriodMost);
  state.rooted_at = now;
  CompareWith(state, *parent, heartbeat, now, effects);
  ForwardHeartbeat(state, heartbeat.hops(), now, effects);
}

auto OnDismissed(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects)
    -> void {
  const auto found = state.parents.find(event.endpoint);
  if (found == state.parents.end()) return;
  LoseParent(state, found->second, now, effects);
  state.parents.erase(found);
}

auto LeaveParents(State& state, Effects& effects) -> void {
  for (const auto& [endpoint, parent] : state.parents) CloseParent(state, parent, effects);
  state.parents.clear();
}

}  // namespace anvildrum::relay
