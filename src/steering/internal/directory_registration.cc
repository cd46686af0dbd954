#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

auto TargetOf(const RegisterStream& stream) -> base::TargetId { return stream.home.target; }

auto FindStream(Directory& directory, const TargetRef& home) -> RegisterStream* {
  auto found = std::ranges::lower_bound(directory.streams, home.target, {}, TargetOf);
  if (found == directory.streams.end() || found->home != home) return nullptr;
  return &*found;
}

auto MillisecondsSince(base::TimePoint then, base::TimePoint now) -> std::uint64_t {
  return std::chrono::duration_cast<base::milliseconds>(now - then).count();
}

// Returns the flow's registration with `home`; null if `home` is not one of its homes.
auto FindRegistration(const Directory& directory, const base::FlowKey& flow, OwnedFlow& owned,
                      const TargetRef& home) -> RegisteredAt* {
  if (HomeOf(directory, flow) == home) return &owned.first;
  if (ActingHomeOf(directory, flow) == home) return &owned.acting;
  return nullptr;
}

// Fills the batch with queued flows that this agent still owns and whose home the stream leads to.
auto FillBatch(Directory& directory, RegisterStream& stream) -> void {
  stream.batch.clear();
  while (!stream.queue.empty() && stream.batch.size() < directory.policy.registrations_per_batch) {
    auto flow = stream.queue.front();
    stream.queue.pop_front();
    auto* owned = FindOwned(directory, flow);
    if (owned == nullptr) continue;
    auto* registered = FindRegistration(directory, flow, *owned, stream.home);
    if (registered == nullptr) continue;
    registered->queued = false;
    stream.batch.push_back(flow);
  }
  // If the queue is empty, this batch is the last one under the view.
  auto unsettled = stream.settled != directory.digest;
  stream.settling_digest = stream.queue.empty() && unsettled ? directory.digest : 0;
}

auto SendBatch(StepContext& context, RegisterStream& stream) -> void {
  auto& directory = context.directory;
  auto* peer = FindPeer(directory, stream.home);
  if (peer == nullptr) return;
  auto header = MakeHeader(directory);
  auto* message = header.mutable_register_();
  message->set_service(directory.service.value);
  message->set_sequence(stream.sequence);
  WriteRef(directory.self, *message->mutable_owner());
  WriteRef(stream.home, *message->mutable_home());
  message->set_settled(stream.settling_digest != 0);
  message->set_view(stream.settling_digest);
  for (const auto& flow : stream.batch) {
    auto* owned = FindOwned(directory, flow);
    if (owned == nullptr) continue;
    auto* registration = message->add_flows();
    wire::WriteEndpoint(flow.client, *registration->mutable_client());
    registration->set_age_ms(MillisecondsSince(owned->opened, context.now));
    registration->set_idle_ms(MillisecondsSince(owned->last_from_client, context.now));
    registration->set_stamp(owned->stamp);
    WriteLineage(owned->lineage, *registration->mutable_lineage());
    registration->set_ended(owned->closing);
  }
  stream.next_retry = context.now + directory.policy.register_retry;
  SendControl(context, peer->tunnel, header);
}

auto SendDueBatch(StepContext& context, RegisterStream& stream) -> void {
  if (stream.awaiting_ack) {
    if (context.now >= stream.next_retry) SendBatch(context, stream);
    return;
  }
  FillBatch(context.directory, stream);
  if (stream.batch.empty() && stream.settling_digest == 0) return;
  ++stream.sequence;
  stream.awaiting_ack = true;
  SendBatch(context, stream);
}

auto MarkRegistered(Directory& directory, const base::FlowKey& flow, const TargetRef& home)
    -> void {
  auto* owned = FindOwned(directory, flow);
  if (owned == nullptr) return;
  auto* registered = FindRegistration(directory, flow, *owned, home);
  if (registered == nullptr || registered->queued) return;
  if (owned->closing && registered == &owned->first) {
    directory.owned.erase(flow);
    return;
  }
  registered->home = home;
}

auto Enqueue(Directory& directory, const base::FlowKey& flow, RegisteredAt& registered,
             const TargetRef& home) -> void {
  if (registered.queued || registered.home == home) return;
  if (home == directory.self) {
    registered.home = home;
    return;
  }
  auto* stream = FindStream(directory, home);
  if (stream == nullptr) return;
  stream->queue.push_back(flow);
  registered.queued = true;
  directory.streams_due = true;
}

}  // namespace

auto EnqueueRegistration(Directory& directory, const base::FlowKey& flow, OwnedFlow& owned)
    -> void {
  auto home = HomeOf(directory, flow);
  if (!home) return;
  Enqueue(directory, flow, owned.first, *home);
  auto acting = ActingHomeOf(directory, flow);
  if (acting == home) {
    owned.acting = {};
  } else if (acting) {
    Enqueue(directory, flow, owned.acting, *acting);
  }
}

// A closing flow is discarded when its home moves, because the new home has never known it.
auto ReregisterFlows(Directory& directory) -> void {
  for (auto& stream : directory.streams) stream.queue.clear();
  auto forgotten = std::vector<base::FlowKey>{};
  for (auto& [flow, owned] : directory.owned) {
    owned.first.queued = false;
    owned.acting.queued = false;
    auto moved = HomeOf(directory, flow) != owned.closing_home;
    if (owned.closing && moved) forgotten.push_back(flow);
    EnqueueRegistration(directory, flow, owned);
  }
  for (const auto& flow : forgotten) directory.owned.erase(flow);
}

auto SendDueBatches(StepContext& context) -> void {
  auto& directory = context.directory;
  directory.streams_due = false;
  if (!directory.in_view) return;
  for (auto& stream : directory.streams) SendDueBatch(context, stream);
}

auto HandleRegisterAck(StepContext& context, const wire::pb::RegisterAck& ack) -> void {
  auto& directory = context.directory;
  auto* stream = FindStream(directory, ReadRef(ack.home()));
  if (stream == nullptr || !stream->awaiting_ack || stream->sequence != ack.sequence()) return;
  stream->awaiting_ack = false;
  for (const auto& flow : stream->batch) MarkRegistered(directory, flow, stream->home);
  if (stream->settling_digest != 0) stream->settled = stream->settling_digest;
  stream->batch.clear();
  directory.streams_due = true;
}

auto HandleResettle(StepContext& context, const wire::pb::Resettle& message) -> void {
  auto& directory = context.directory;
  auto* stream = FindStream(directory, ReadRef(message.asker()));
  if (stream == nullptr) return;
  stream->settled = 0;
  if (stream->settling_digest != 0) stream->settling_digest = 0;
  for (auto& [flow, owned] : directory.owned) {
    auto* registered = FindRegistration(directory, flow, owned, stream->home);
    if (registered == nullptr) continue;
    registered->home = {};
    EnqueueRegistration(directory, flow, owned);
  }
  directory.streams_due = true;
}

auto CloseFlow(StepContext& context, const base::FlowKey& flow) -> void {
  auto& directory = context.directory;
  auto* owned = FindOwned(directory, flow);
  // An offered flow may already be served elsewhere, and will end there.
  if (owned == nullptr || owned->closing || owned->offered) return;
  ++directory.counters.ended;
  auto home = HomeOf(directory, flow);
  if (!home || *home == directory.self || FindStream(directory, *home) == nullptr) {
    directory.owned.erase(flow);
    return;
  }
  owned->closing = true;
  owned->closing_home = *home;
  owned->first.home = {};
  owned->acting.home = {};
  EnqueueRegistration(directory, flow, *owned);
}

}  // namespace anvildrum::steering
