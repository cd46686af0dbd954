#include "relay/internal/children.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

#include "relay/internal/delta.h"

namespace anvildrum::relay {
namespace {

/// Records in an update from which packing pays.
constexpr int kPackFrom = 8;

auto Seal(wire::pb::RelayMessage message) -> SharedMessage {
  return std::make_shared<const wire::pb::RelayMessage>(std::move(message));
}

auto AddRecord(wire::pb::Update& update, const PlatformObject& object) -> void {
  wire::pb::Record& record = *update.add_records();
  record.set_key(object.key);
  record.set_revision(object.revision);
  record.set_deleted(object.deleted);
  record.set_value(object.value);
  record.set_number(object.number);
}

auto ToMilliseconds(base::Duration duration) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// The steps from `held` to the newest configuration; false when one of them is not kept.
auto AddConfigDeltas(wire::pb::Update& update, const Store& store, std::uint64_t held) -> bool {
  auto step = store.deltas.begin();
  while (step != store.deltas.end() && step->from != held) ++step;
  if (step == store.deltas.end()) return false;
  for (; step != store.deltas.end(); ++step) {
    wire::pb::Record& record = *update.add_records();
    record.set_key(std::string(kConfigKey));
    record.set_revision(step->to);
    record.set_number(step->number);
    record.set_encoding(wire::pb::Record::ZSTD_DELTA);
    record.set_base_revision(step->from);
    record.set_value(step->bytes);
  }
  return true;
}

auto AddConfig(wire::pb::Update& update, const Store& store, std::uint64_t held) -> void {
  const StoredRecord* config = FindConfig(store);
  if (config == nullptr || config->revision == held) return;
  if (AddConfigDeltas(update, store, held)) return;
  wire::pb::Record& record = *update.add_records();
  record.set_key(std::string(kConfigKey));
  record.set_revision(config->revision);
  record.set_number(config->number);
  record.set_encoding(wire::pb::Record::ZSTD);
  record.set_value(Pack(config->value, {}));
}

auto AddStored(wire::pb::Update& update, const std::string& key, const StoredRecord& stored)
    -> void {
  AddRecord(update, {.key = key,
                     .revision = stored.revision,
                     .deleted = stored.deleted,
                     .value = stored.value,
                     .number = stored.number});
}

/// Everything that exists, for a child that holds nothing of use.
auto FillComplete(wire::pb::Update& update, const Store& store, base::ServiceId service) -> void {
  update.set_complete(true);
  for (const auto& [key, stored] : store.records) {
    if (stored.deleted || key == kConfigKey) continue;
    if (IsTakenBy(stored.service, service)) AddStored(update, key, stored);
  }
  AddConfig(update, store, 0);
}

auto FillNewer(wire::pb::Update& update, const Store& store, const Child& child, std::uint64_t than)
    -> void {
  update.set_base(than);
  auto place = store.by_revision.lower_bound({than + 1, std::string{}});
  for (; place != store.by_revision.end(); ++place) {
    const StoredRecord& stored = store.records.find(place->second)->second;
    if (place->second == kConfigKey) continue;
    if (IsTakenBy(stored.service, child.service)) AddStored(update, place->second, stored);
  }
  AddConfig(update, store, child.config_revision);
}

auto NoteSent(const State& state, Child& child) -> void {
  const StoredRecord* config = FindConfig(state.store);
  child.sent_revision = state.store.horizon;
  child.config_revision = config == nullptr ? 0 : config->revision;
  child.complete_sent = true;
}

/// The records of thousands of instances look alike: a complete set packs to a fraction.
auto PackRecords(wire::pb::Update& update) -> void {
  wire::pb::Update records;
  records.mutable_records()->Swap(update.mutable_records());
  update.set_packed(Pack(records.SerializeAsString(), {}));
}

auto MakeUpdate(const State& state) -> wire::pb::RelayMessage {
  auto message = NewMessage(state);
  message.mutable_update()->set_revision(state.store.horizon);
  return message;
}

auto CompleteSet(State& state, base::ServiceId service) -> SharedMessage {
  const Store& store = state.store;
  PackedSet& packed = state.packed;
  const std::uint64_t digest = DigestFor(store, service);
  const bool is_current = packed.message != nullptr && packed.service == service &&
                          packed.horizon == store.horizon && packed.digest == digest;
  if (is_current) return packed.message;
  auto message = MakeUpdate(state);
  wire::pb::Update& update = *message.mutable_update();
  FillComplete(update, store, service);
  if (update.records_size() >= kPackFrom) PackRecords(update);
  packed = {.service = service,
            .horizon = store.horizon,
            .digest = digest,
            .message = Seal(std::move(message))};
  return packed.message;
}

auto NewerThan(const State& state, const Child& child, std::uint64_t horizon) -> SharedMessage {
  auto message = MakeUpdate(state);
  wire::pb::Update& update = *message.mutable_update();
  FillNewer(update, state.store, child, horizon);
  if (update.records_size() >= kPackFrom) PackRecords(update);
  return Seal(std::move(message));
}

/// Answers a subscription: what is newer than the child's horizon, or everything.
auto SendNewer(State& state, base::InstanceId to, Child& child, std::uint64_t horizon,
               Effects& effects) -> void {
  const bool is_too_old = horizon == 0 || horizon < state.store.floor;
  SharedMessage message =
      is_too_old ? CompleteSet(state, child.service) : NewerThan(state, child, horizon);
  NoteSent(state, child);
  ++state.counters.updates_sent;
  effects.emplace_back(SendPeer{.to = to, .endpoint = {}, .message = std::move(message)});
}

/// Children that get the same bytes.
using Group = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;

auto MakeChange(const State& state, std::span<const PlatformObject> accepted, const Child& child)
    -> SharedMessage {
  auto message = NewMessage(state);
  wire::pb::Update& update = *message.mutable_update();
  update.set_base(child.sent_revision);
  update.set_revision(state.store.horizon);
  for (const PlatformObject& object : accepted) {
    if (object.key == kConfigKey) continue;
    if (IsTakenBy(ServiceOfKey(object.key), child.service)) AddRecord(update, object);
  }
  AddConfig(update, state.store, child.config_revision);
  if (update.records_size() == 0) return nullptr;
  return Seal(std::move(message));
}

}  // namespace

auto PeriodForChildren(const State& state) -> base::Duration {
  const RelayPolicy& policy = state.settings.policy;
  const bool has_many = state.children.size() >= policy.many_children;
  base::Duration period = has_many ? policy.slow_heartbeat : policy.heartbeat;
  if (state.root) return period;
  for (const auto& [endpoint, parent] : state.parents) period = std::max(period, parent.period);
  return period;
}

auto NewMessage(const State& state) -> wire::pb::RelayMessage {
  wire::pb::RelayMessage message;
  message.set_sender(state.settings.self.instance.value);
  message.set_incarnation(state.settings.self.incarnation);
  return message;
}

auto OnSubscribe(State& state, base::InstanceId sender, const wire::pb::Subscribe& subscribe,
                 base::TimePoint now, Effects& effects) -> void {
  Child& child = state.children[sender];
  const bool is_renewal = subscribe.renewal() && child.complete_sent &&
                          subscribe.revision() >= child.sent_revision &&
                          subscribe.config_revision() == child.config_revision;
  child.service = base::ServiceId{subscribe.service()};
  child.renewed_at = now;
  if (is_renewal || !state.store.complete) return;
  child.config_revision = subscribe.config_revision();
  SendNewer(state, sender, child, subscribe.revision(), effects);
}

auto OnUnsubscribe(State& state, base::InstanceId sender) -> void { state.children.erase(sender); }

auto PassOn(State& state, std::span<const PlatformObject> accepted, base::InstanceId from,
            base::TimePoint /*now*/, Effects& effects) -> void {
  if (!state.store.complete) return;
  std::map<Group, SharedMessage> messages;
  for (auto& [instance, child] : state.children) {
    if (!child.complete_sent) {
      SendNewer(state, instance, child, 0, effects);
      continue;
    }
    if (accepted.empty() || instance == from) continue;
    const Group group{child.service.value, child.sent_revision, child.config_revision};
    auto [place, is_new] = messages.try_emplace(group);
    if (is_new) place->second = MakeChange(state, accepted, child);
    if (place->second == nullptr) continue;
    NoteSent(state, child);
    ++state.counters.updates_sent;
    effects.emplace_back(SendPeer{.to = instance, .endpoint = {}, .message = place->second});
  }
}

auto SendHeartbeats(State& state, std::uint32_t hops, base::TimePoint now, Effects& effects)
    -> void {
  if (!state.store.complete) return;
  state.forwarded_at = now;
  state.told_period = PeriodForChildren(state);
  const StoredRecord* config = FindConfig(state.store);
  std::map<std::uint64_t, SharedMessage> messages;
  for (const auto& [instance, child] : state.children) {
    SharedMessage& shared = messages[child.service.value];
    if (shared == nullptr) {
      auto message = NewMessage(state);
      wire::pb::Heartbeat& heartbeat = *message.mutable_heartbeat();
      heartbeat.set_config_number(config == nullptr ? 0 : config->number);
      heartbeat.set_revision(state.store.horizon);
      heartbeat.set_hops(hops);
      heartbeat.set_period_ms(ToMilliseconds(state.told_period));
      heartbeat.set_digest(DigestFor(state.store, child.service));
      shared = Seal(std::move(message));
    }
    ++state.counters.heartbeats_sent;
    effects.emplace_back(SendPeer{.to = instance, .endpoint = {}, .message = shared});
  }
}

auto DismissChildren(State& state, Effects& effects) -> void {
  auto message = NewMessage(state);
  message.mutable_unsubscribe();
  const SharedMessage shared = Seal(std::move(message));
  for (const auto& [instance, child] : state.children) {
    effects.emplace_back(SendPeer{.to = instance, .endpoint = {}, .message = shared});
  }
  state.children.clear();
}

auto DropSilentChildren(State& state, base::TimePoint now) -> void {
  std::erase_if(state.children, [&](const auto& entry) {
    return now - entry.second.renewed_at > state.settings.policy.child_timeout;
  });
}

}  // namespace anvildrum::relay
