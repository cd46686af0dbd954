#include "relay/internal/apply.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "relay/internal/children.h"
#include "relay/internal/delta.h"

namespace anvildrum::relay {
namespace {

auto Count(RelayCounters& counters, Verdict verdict) -> void {
  switch (verdict) {
    case Verdict::kAccepted:
      ++counters.accepted;
      return;
    case Verdict::kDuplicate:
      ++counters.duplicates;
      return;
    case Verdict::kStaleRevision:
      ++counters.refused_stale_revision;
      return;
    case Verdict::kStaleNumber:
      ++counters.refused_stale_number;
      return;
    case Verdict::kConfigDeleted:
      ++counters.refused_config_deleted;
      return;
    case Verdict::kForgotten:
      ++counters.refused_forgotten;
      return;
  }
}

/// Keeps the step from the old configuration to the new one for children that hold the old one.
auto KeepDelta(State& state, const StoredRecord& old, const Incoming& incoming) -> void {
  ConfigDelta delta{.from = old.revision,
                    .to = incoming.object.revision,
                    .number = incoming.object.number,
                    .bytes = incoming.delta};
  if (incoming.delta_base != old.revision) delta.bytes = Pack(incoming.object.value, old.value);
  state.store.deltas.push_back(std::move(delta));
  if (state.store.deltas.size() > state.settings.policy.deltas_kept) {
    state.store.deltas.pop_front();
  }
}

auto OfferOne(State& state, const Incoming& incoming, bool authoritative, base::TimePoint now)
    -> bool {
  const bool is_config = incoming.object.key == kConfigKey;
  std::optional<StoredRecord> old;
  if (is_config && FindConfig(state.store) != nullptr) old = *FindConfig(state.store);
  const Verdict verdict = Offer(state.store, incoming.object, authoritative, now);
  Count(state.counters, verdict);
  if (verdict != Verdict::kAccepted) return false;
  if (old.has_value()) KeepDelta(state, *old, incoming);
  return true;
}

/// A complete set that is older than the horizon says nothing about what does not exist.
auto EndCompleteSet(State& state, std::span<const Incoming> records, std::uint64_t revision,
                    base::TimePoint now) -> std::vector<PlatformObject> {
  std::vector<std::string_view> keys;
  keys.reserve(records.size());
  for (const Incoming& incoming : records) {
    if (!incoming.object.deleted) keys.push_back(incoming.object.key);
  }
  auto gone = RemoveOthers(state.store, keys, revision, now);
  state.store.horizon = revision;
  // What was created and deleted again since the old horizon was never seen here.
  state.store.floor = revision;
  state.store.complete = true;
  return gone;
}

auto ReportReady(State& state, Effects& effects) -> void {
  if (state.ready || !state.store.complete || FindConfig(state.store) == nullptr) return;
  state.ready = true;
  effects.emplace_back(Ready{});
}

}  // namespace

auto Apply(State& state, std::span<const Incoming> records, const Claim& claim, base::TimePoint now,
           Effects& effects) -> void {
  const bool was_complete = state.store.complete;
  const bool is_whole = claim.complete && (!was_complete || claim.revision >= state.store.horizon);
  std::vector<PlatformObject> accepted;
  for (const Incoming& incoming : records) {
    if (OfferOne(state, incoming, is_whole, now)) accepted.push_back(incoming.object);
  }
  if (is_whole) {
    auto gone = EndCompleteSet(state, records, claim.revision, now);
    std::move(gone.begin(), gone.end(), std::back_inserter(accepted));
  } else if (was_complete && claim.base <= state.store.horizon) {
    state.store.horizon = std::max(state.store.horizon, claim.revision);
  }
  PassOn(state, accepted, claim.from, now, effects);
  if (!accepted.empty()) effects.emplace_back(RecordsChanged{std::move(accepted)});
  ReportReady(state, effects);
}

}  // namespace anvildrum::relay
