#include "packets/internal/request_outcome.h"

#include <algorithm>
#include <limits>

#include "admission/controller.h"

namespace anvildrum::packets {
namespace {

using outlier::Ending;

// Whether packets may have waited while the process was stalled, so that a missing answer proves
// nothing.
auto MayHaveStalled(const Agent& agent, base::TimePoint now) -> bool {
  return now < agent.stall.doubtful_until || now - agent.stall.active_at > kStallAfter;
}

// Whether the target holds the flow and has a request of it without an answer.
auto IsAsked(const FlowState& flow) -> bool {
  const auto open = flow.stage != FlowStage::kAssumed && flow.stage != FlowStage::kOpenElsewhere &&
                    flow.stage != FlowStage::kNotHeld;
  return open && flow.asked_at != base::TimePoint{} && !flow.answer.counted;
}

auto Fail(Agent& agent, const FlowId& id, FlowState& flow, Ending ending, base::TimePoint now)
    -> void {
  outlier::Record(agent.outcomes, {.route = KeyOf(id.service), .ending = ending}, now);
  flow.answer.answering = false;
  flow.answer.counted = true;
}

// Counts the answer that the flow has received, if there is one.
auto FinishAnswer(Agent& agent, const FlowId& id, FlowState& flow, Ending ending,
                  base::TimePoint now) -> void {
  auto& answer = flow.answer;
  if (!answer.answering) return;
  answer.answering = false;
  answer.begin += answer.bytes;
  const auto request = outlier::FinishedRequest{
      .route = KeyOf(id.service), .ending = ending, .bytes = answer.bytes, .taken = answer.taken};
  outlier::Record(agent.outcomes, request, now);
}

auto BeginAnswer(Agent& agent, FlowState& flow, base::Duration taken, base::TimePoint now) -> void {
  auto& answer = flow.answer;
  answer.answering = !answer.counted;
  answer.bytes = 0;
  answer.taken = taken;
  const auto slots = agent.target.last.slots;
  outlier::RecordService(agent.outcomes, admission::WithoutWait(taken, answer.ahead, slots), now);
}

// Answers of more than 4 GiB count as 4 GiB.
auto AddBytes(AnswerState& answer, std::uint32_t bytes) -> void {
  answer.bytes += std::min(bytes, std::numeric_limits<std::uint32_t>::max() - answer.bytes);
}

// Handles a reset by the target. A reset of a flow that carries no request counts only if it
// answers the opening; a target may discard idle flows.
auto NoteTargetReset(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void {
  const auto refused = flow.stage == FlowStage::kOffered && !flow.answer.counted;
  if (flow.answer.answering || IsAsked(flow) || refused) Fail(agent, id, flow, Ending::kReset, now);
}

// Safeguard: the FIN of an answer may overtake its data. Judged by the order of arrival, nearly
// every request of a healthy target would count as unanswered. The FIN's sequence tells how much
// data comes before it.
auto NoteFinish(Agent& agent, const FlowId& id, FlowState& flow, const Packet& packet,
                base::TimePoint now) -> void {
  auto& answer = flow.answer;
  const auto end = packet.sequence + packet.payload;
  const auto sent = answer.begin_known ? static_cast<std::int32_t>(end - answer.begin) : 0;
  if (sent > 0 && !answer.answering && IsAsked(flow)) {
    answer.answering = true;
    answer.counted = true;
    answer.taken = now - flow.asked_at;
  }
  // Sequences wrap around at 4 GiB, so the bytes counted may be more.
  if (sent > 0) answer.bytes = std::max(answer.bytes, static_cast<std::uint32_t>(sent));
  FinishAnswer(agent, id, flow, Ending::kAnswered, now);
  if (answer.begin_known && IsAsked(flow)) Fail(agent, id, flow, Ending::kUnanswered, now);
}

}  // namespace

auto NoteRequest(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void {
  FinishAnswer(agent, id, flow, Ending::kAnswered, now);
  if (flow.asked_at != base::TimePoint{}) return;
  const auto others = agent.at_work - (flow.at_work ? 1 : 0);
  const auto slots = std::max<std::uint32_t>(agent.target.last.slots, 1);
  const auto ahead = admission::AheadOf({.in_flight = others, .slots = slots});
  constexpr auto most = std::uint32_t{std::numeric_limits<std::uint16_t>::max()};
  flow.answer = {.ahead = static_cast<std::uint16_t>(std::min(ahead, most)),
                 .begin_known = flow.answer.begin_known,
                 .begin = flow.answer.begin};
}

auto NoteFromTarget(Agent& agent, const FlowId& id, FlowState& flow, const Packet& packet,
                    std::optional<base::Duration> taken, base::TimePoint now) -> void {
  if (packet.synchronize) {
    flow.answer.begin = packet.sequence + 1;
    flow.answer.begin_known = true;
  }
  if (taken) BeginAnswer(agent, flow, *taken, now);
  if (flow.answer.answering) AddBytes(flow.answer, packet.payload);
  if (packet.reset) return NoteTargetReset(agent, id, flow, now);
  if (packet.finish) NoteFinish(agent, id, flow, packet, now);
}

auto NoteClientReset(Agent& agent, const FlowId& id, base::TimePoint now) -> void {
  const auto entry = agent.flows.find(id);
  if (entry == agent.flows.end()) return;
  FinishAnswer(agent, id, entry->second, Ending::kClientLeft, now);
  NoteSilence(agent, id, entry->second, now);
}

auto NoteReturned(Agent& agent, const Packet& packet, base::TimePoint now) -> void {
  const auto id = FlowFromClient(packet);
  const auto entry = agent.flows.find(id);
  if (entry == agent.flows.end()) return;
  auto& flow = entry->second;
  const auto offered = IsOpening(packet) && !flow.answer.counted;
  if (offered || IsAsked(flow)) Fail(agent, id, flow, Ending::kReturned, now);
}

auto NoteUnansweredOpening(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now)
    -> void {
  const auto unanswered = flow.stage == FlowStage::kOffered && !flow.answer.counted;
  if (unanswered && !MayHaveStalled(agent, now)) Fail(agent, id, flow, Ending::kUnanswered, now);
}

auto NoteSilence(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void {
  if (!IsAsked(flow) || MayHaveStalled(agent, now)) return;
  const auto response_timeout = outlier::ResponseTimeout(agent.outcomes, KeyOf(id.service));
  if (!response_timeout || now - flow.asked_at < *response_timeout) return;
  Fail(agent, id, flow, Ending::kUnanswered, now);
}

auto NoteEndOfFlow(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void {
  FinishAnswer(agent, id, flow, Ending::kAnswered, now);
}

auto ForgetOutcomes(Agent& agent) -> void {
  agent.outcomes.generations = {};
  agent.outcomes.mean_service = {};
}

}  // namespace anvildrum::packets
