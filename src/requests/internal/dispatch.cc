// A request between its arrival and its outcome: queue, slot, target and timers.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kIdBytes = std::size_t{8};

auto AddLive(Context& context, LedgerEntry& entry, Transition transition) -> void {
  ApplyTransition(context, entry, transition);
  auto& live = FlowOf(context, entry.identity.flow).live;
  if (std::find(live.begin(), live.end(), entry.id) == live.end()) live.push_back(entry.id);
}

auto MakeRoomInQueue(Context& context, const ClientAddress& client) -> void {
  auto& state = context.state;
  if (state.admission.queue.size() < state.parameters.queue_size) return;
  auto victim = VictimFor(state.admission, client);
  if (!victim) return;
  FinishNotRun(context, *FindById(state.ledger, *victim), Counter::kRefusedQueue);
}

auto WaitInQueue(Context& context, LedgerEntry& entry) -> void {
  const auto& client = entry.identity.flow.client.address;
  MakeRoomInQueue(context, client);
  AddLive(context, entry, Transition::kEnqueue);
  Enqueue(context.state.admission, {entry.id, client, entry.deadline});
  CountOne(context, Counter::kQueued);
  MarkTrace(context, entry, Mark::kQueued);
}

auto OnEntryTimer(Context& context, LedgerEntry& entry) -> void {
  entry.timer_due = {};
  switch (entry.stage) {
    case Stage::kRunning:
      if (entry.client_deadline <= context.now) return OnClientDeadline(context, entry);
      admission::Observe(context.state.admission.service_time, context.now - entry.started,
                         context.state.parameters.service_time_weight, context.now);
      FinishUnknown(context, entry, Counter::kUnknownRunLimit);
      break;
    case Stage::kOffered:
      if (entry.client_deadline <= context.now) return OnClientDeadline(context, entry);
      FinishUnknown(context, entry, Counter::kUnknownHandOn);
      break;
    case Stage::kObserving:
      OnStreamTimer(context, entry);
      break;
    default:
      Retransmit(context, entry);
      break;
  }
}

auto RunEntryTimers(Context& context) -> void {
  auto& entry_timers = context.state.entry_timers;
  while (!entry_timers.empty() && entry_timers.begin()->first <= context.now) {
    auto id = entry_timers.begin()->second;
    entry_timers.erase(entry_timers.begin());
    auto* entry = FindById(context.state.ledger, id);
    if (entry != nullptr) OnEntryTimer(context, *entry);
  }
}

auto RefuseOverdue(Context& context) -> void {
  auto& state = context.state;
  while (auto overdue = TakeOverdue(state.admission, context.now)) {
    FinishNotRun(context, *FindById(state.ledger, overdue->id), Counter::kRefusedQueue);
  }
}

auto Run(Context& context, LedgerEntry& entry) -> void {
  auto& state = context.state;
  AddLive(context, entry, Transition::kSend);
  entry.started = context.now;
  entry.holds_slot = !entry.admission_exempt;
  if (entry.holds_slot) AcquireSlot(state.admission, entry.identity.flow.client.address);
  SendRequest(context, entry);
  // A safe request may be sent again when its client repeats it. All others are sent only once.
  if (entry.method != MethodClass::kSafe) SetRequestBytes(state.ledger, entry, {});
  SetEntryTimer(context, entry,
                std::min(context.now + state.parameters.run_limit, entry.client_deadline));
  ++state.admitted;
  EarnRetry(state.retries, state.parameters.retry_share, state.parameters.retry_burst);
  ObserveDecision(state.admission, false);
  CountOne(context, Counter::kAdmitted);
  MarkTrace(context, entry, Mark::kSentToTarget);
}

enum class FlowEnd : std::uint8_t { kClosed, kTargetGone };

auto EndRequest(Context& context, LedgerEntry& entry, FlowEnd end) -> void {
  auto target_gone = end == FlowEnd::kTargetGone;
  switch (entry.stage) {
    case Stage::kObserving:
      if (target_gone) return FinishNotRun(context, entry, Counter::kStreamEnded);
      return EndStream(context, entry, Counter::kStreamEnded);
    case Stage::kQueued:
      return FinishNotRun(context, entry, Counter::kRefusedQueue);
    case Stage::kRunning:
      if (target_gone && entry.method == MethodClass::kSafe && TryHandOn(context, entry)) return;
      return FinishUnknown(context, entry, Counter::kUnknownTargetGone);
    default:
      // An offer to another agent stays valid while the flow is open here.
      if (!target_gone) FinishUnknown(context, entry, Counter::kUnknownTargetGone);
  }
}

// Ends the requests in progress of a known flow.
auto EndRequests(Context& context, const base::FlowKey& flow, FlowEnd end) -> void {
  auto live = context.state.flows.at(flow).live;
  for (auto id : live) {
    auto* entry = FindById(context.state.ledger, id);
    if (entry != nullptr) EndRequest(context, *entry, end);
  }
}

}  // namespace

auto CountOne(Context& context, Counter counter) -> void {
  context.effects.emplace_back(Count{counter});
}

auto ApplyTransition(Context& context, LedgerEntry& entry, Transition transition) -> void {
  auto next = Advance(entry.stage, transition);
  if (!next) return CountOne(context, Counter::kIllegalTransition);
  entry.stage = *next;
}

auto MarkTrace(Context& context, const LedgerEntry& entry, Mark mark) -> void {
  context.effects.emplace_back(TraceMark{entry.identity.flow, entry.id, mark});
}

auto FlowOf(Context& context, const base::FlowKey& flow) -> FlowState& {
  auto [at, added] = context.state.flows.try_emplace(flow);
  if (!added) return at->second;
  // A flow that returns starts with random message IDs, because its client may still remember the
  // earlier ones.
  at->second.next_target_message_id = static_cast<std::uint16_t>(context.state.random());
  at->second.next_client_message_id = static_cast<std::uint16_t>(context.state.random());
  const auto& floors = context.state.closed.floors;
  auto floor = floors.find(flow);
  if (floor != floors.end()) at->second.echo_floor = floor->second;
  return at->second;
}

auto SetEntryTimer(Context& context, LedgerEntry& entry, base::TimePoint at) -> void {
  auto& entry_timers = context.state.entry_timers;
  if (entry.timer_due != base::TimePoint{}) entry_timers.erase({entry.timer_due, entry.id});
  entry.timer_due = at;
  if (at != base::TimePoint{}) entry_timers.insert({at, entry.id});
}

auto TokenOfId(std::uint64_t id) -> Token {
  auto token = Token{};
  token.size = kIdBytes;
  for (auto i = std::size_t{0}; i < kIdBytes; ++i) {
    token.bytes[i] = static_cast<std::uint8_t>(id >> (8 * i));
  }
  return token;
}

auto IdOfToken(const Token& token) -> std::uint64_t {
  if (token.size != kIdBytes) return 0;
  auto id = std::uint64_t{0};
  for (auto i = std::size_t{0}; i < kIdBytes; ++i) {
    id |= static_cast<std::uint64_t>(token.bytes[i]) << (8 * i);
  }
  return id;
}

auto SendRequest(Context& context, LedgerEntry& entry) -> void {
  auto& flow = FlowOf(context, entry.identity.flow);
  auto parsed = ParseMessage(entry.request);
  entry.target_message_id = flow.next_target_message_id++;
  auto bytes = ForTarget(*parsed, entry.target_message_id, TokenOfId(entry.id),
                         DeadlineLeft(context, entry));
  context.effects.emplace_back(SendToTarget{entry.identity.flow, std::move(bytes)});
}

auto RefusalOf(AdmissionVerdict verdict) -> std::optional<Counter> {
  switch (verdict) {
    case AdmissionVerdict::kRun:
    case AdmissionVerdict::kQueue:
      return std::nullopt;
    case AdmissionVerdict::kRefuseQueue:
      return Counter::kRefusedQueue;
    case AdmissionVerdict::kRefuseClient:
      return Counter::kRefusedClientLimit;
    case AdmissionVerdict::kRefuseDeadline:
      return Counter::kRefusedDeadline;
  }
  return std::nullopt;
}

auto Admit(Context& context, LedgerEntry& entry) -> void {
  auto& state = context.state;
  if (entry.client_deadline <= context.now) {
    return FinishNotRun(context, entry, Counter::kRefusedDeadline);
  }
  if (entry.admission_exempt) return Run(context, entry);
  auto candidate =
      Candidate{entry.identity.flow.client.address, entry.deadline, entry.client_deadline};
  auto verdict = DecideAdmission(state.admission, state.parameters, candidate, context.now);
  if (auto refusal = RefusalOf(verdict)) return FinishNotRun(context, entry, *refusal);
  if (verdict == AdmissionVerdict::kQueue) return WaitInQueue(context, entry);
  Run(context, entry);
}

auto StartQueued(Context& context) -> void {
  auto& state = context.state;
  while (auto next = TakeNext(state.admission, state.parameters)) {
    Run(context, *FindById(state.ledger, next->id));
  }
}

auto RemoveLive(Context& context, LedgerEntry& entry) -> void {
  auto& admission = context.state.admission;
  const auto& client = entry.identity.flow.client.address;
  if (entry.stage == Stage::kQueued) RemoveQueued(admission, entry.id);
  if (entry.holds_slot) ReleaseSlot(admission, client);
  entry.holds_slot = false;
  SetEntryTimer(context, entry, {});
  auto flow = context.state.flows.find(entry.identity.flow);
  if (flow == context.state.flows.end()) return;
  std::erase(flow->second.live, entry.id);
}

// A closed flow may be opened elsewhere, where Echo values of this agent are foreign and answered
// with "unknown". If the flow returns, the values from before must not run anything.
auto RecordEchoFloor(Context& context, const base::FlowKey& key, const FlowState& flow) -> void {
  if (std::max(flow.last_echo, flow.echo_floor) == 0) return;
  auto& closed = context.state.closed;
  closed.floors[key] = context.state.mint.last_issue;
  closed.expiries.emplace_back(context.now + context.state.parameters.echo_lifetime, key);
}

auto ExpireEchoFloors(Context& context) -> void {
  auto& closed = context.state.closed;
  while (!closed.expiries.empty() && closed.expiries.front().first <= context.now) {
    auto key = closed.expiries.front().second;
    closed.expiries.pop_front();
    auto floor = closed.floors.find(key);
    if (floor == closed.floors.end()) continue;
    auto age = EchoAge(floor->second, context.now);
    if (age >= context.state.parameters.echo_lifetime) closed.floors.erase(floor);
  }
}

auto OnTimer(Context& context) -> void {
  auto& state = context.state;
  RunEntryTimers(context);
  RefuseOverdue(context);
  ExpireEchoFloors(context);
  ExpireRequests(state.ledger, context.now, [&](LedgerEntry& entry) {
    SetEntryTimer(context, entry, {});
    if (entry.stage != Stage::kChallenged) return;
    EndChallenge(state.admission, entry.identity.flow.client.address);
  });
}

auto OnFlowClosed(Context& context, const FlowClosed& event) -> void {
  auto& state = context.state;
  if (!state.flows.contains(event.flow)) return;
  EndRequests(context, event.flow, FlowEnd::kClosed);
  RecordEchoFloor(context, event.flow, state.flows.at(event.flow));
  state.flows.erase(event.flow);
}

auto OnTargetUnreachable(Context& context, const TargetUnreachable& event) -> void {
  if (!context.state.flows.contains(event.flow)) return;
  EndRequests(context, event.flow, FlowEnd::kTargetGone);
  context.effects.emplace_back(CloseFlow{event.flow, CloseReason::kTargetGone});
}

}  // namespace anvildrum::requests
