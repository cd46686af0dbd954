#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "requests/admission.h"
#include "requests/echo.h"
#include "requests/hand_over.h"
#include "requests/ledger.h"
#include "requests/requests.h"
#include "requests/retry_budget.h"

namespace anvildrum::requests {

/// A CON or NON of the target that was passed on: the client's ACK or RST goes back with the
/// target's message ID.
struct ForwardedMessage {
  std::uint16_t client_side = 0;
  std::uint16_t target_side = 0;
  std::uint64_t request = 0;
};

/// A block-wise upload whose first block was admitted (RFC 7959, 2.5).
struct Upload {
  std::uint64_t body_digest = 0;
  std::uint64_t next_offset = 0;  ///< bytes
  base::TimePoint expires;
};

/// What the core keeps of a flow besides its requests.
struct FlowState {
  std::uint16_t next_target_message_id = 0;
  std::uint16_t next_client_message_id = 0;
  base::TimePoint adopted_until;
  std::uint64_t echo_floor = 0;          ///< Echo values issued up to here run nothing any more
  std::uint64_t last_echo = 0;           ///< issue number of the latest value for the flow
  std::vector<std::uint64_t> live;       ///< requests queued, running, offered or observing
  std::vector<ForwardedMessage> passed;  ///< a ring of the latest
  std::size_t forwarded_next = 0;
  std::optional<Upload> upload;
  base::TimePoint transfer_until;  ///< a block-wise answer is in progress until then
  std::uint64_t transfer_path = 0;
};

/// Echo floors of flows that have closed, for as long as a value below them could still run.
struct ClosedFloors {
  std::unordered_map<base::FlowKey, std::uint64_t> floors;
  std::deque<std::pair<base::TimePoint, base::FlowKey>> expiries;
};

struct State {
  Parameters parameters;
  EchoMint mint;
  std::mt19937_64 random;
  Ledger ledger;
  Admission admission;
  RetryBudget retries;
  std::unordered_map<base::FlowKey, FlowState> flows;
  ClosedFloors closed;
  std::set<std::pair<base::TimePoint, std::uint64_t>> entry_timers;  ///< entries' own timers
  std::optional<base::TimePoint> timer;                              ///< as last asked for
  bool draining = false;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

/// What one Step works on.
struct Context {
  State& state;
  base::TimePoint now;
  Effects& effects;
};

/// Steps of the event kinds, one file each.
auto OnClientDatagram(Context& context, const ClientDatagram& event) -> void;
auto OnTargetDatagram(Context& context, const TargetDatagram& event) -> void;
auto OnTargetUnreachable(Context& context, const TargetUnreachable& event) -> void;
auto OnFlowAdopted(Context& context, const FlowAdopted& event) -> void;
auto OnFlowClosed(Context& context, const FlowClosed& event) -> void;
auto OnHandOnRequested(Context& context, const HandOnRequested& event) -> void;
auto OnHandOnAnswered(Context& context, const HandOnAnswered& event) -> void;
auto OnTimer(Context& context) -> void;

auto CountOne(Context& context, Counter counter) -> void;
/// Takes the entry through its life cycle; a transition that does not exist is counted and left
/// out.
auto MoveOn(Context& context, LedgerEntry& entry, Transition transition) -> void;
auto MarkTrace(Context& context, const LedgerEntry& entry, Mark mark) -> void;
auto FlowOf(Context& context, const base::FlowKey& flow) -> FlowState&;

/// Sets the entry's own timer, in place of the one before; a zero time ends it.
auto SetEntryTimer(Context& context, LedgerEntry& entry, base::TimePoint at) -> void;

/// Life of a request: dispatch.cc.
auto Admit(Context& context, LedgerEntry& entry) -> void;
/// What a refusal counts as; nothing when the verdict is none.
auto RefusalOf(AdmissionVerdict verdict) -> std::optional<Counter>;
auto SendRequest(Context& context, LedgerEntry& entry) -> void;
auto StartQueued(Context& context) -> void;

/// Takes the entry out of the live ones: queue, slot, flow and timer.
auto EndLive(Context& context, LedgerEntry& entry) -> void;

/// Final outcomes: outcome.cc. After each the entry may be gone.
auto FinishNotRun(Context& context, LedgerEntry& entry, Counter counter) -> void;
auto FinishUnknown(Context& context, LedgerEntry& entry, Counter counter) -> void;
/// `answer` is a response of the target, or of the agent that took the request, with any identity.
auto FinishAnswered(Context& context, LedgerEntry& entry, const Message& answer) -> void;

/// Whether the final answer goes into the ACK of the request, or back to the agent it came from:
/// then the target's separate response is acknowledged here.
auto AnswersInAck(const LedgerEntry& entry) -> bool;

/// Takes the time since the request was sent into the observed service times; `code` is the
/// answer's.
auto NoteServiceTime(Context& context, const LedgerEntry& entry, std::uint8_t code) -> void;

/// Refusals of requests that are in no ledger; `identity` is the request's.
struct Asker {
  RequestIdentity identity;
  MessageType type = MessageType::kConfirmable;
  std::uint64_t origin_request = 0;
};
auto ReplyNotRun(Context& context, const Asker& asker, Counter counter) -> void;
auto ReplyUnknown(Context& context, const Asker& asker, Counter counter) -> void;
auto Reply(Context& context, const Asker& asker, bool not_run, Bytes bytes) -> void;

/// Type and message ID under which a request that has no empty ACK is answered: piggybacked on the
/// ACK of a confirmable one (RFC 7252, 5.2.1), or as a NON with an ID of the agent's.
struct ReplyForm {
  MessageType type = MessageType::kAcknowledgement;
  std::uint16_t message_id = 0;
};
auto ReplyFormOf(Context& context, const Asker& asker) -> ReplyForm;
auto AskerOf(const LedgerEntry& entry) -> Asker;

/// Sends what a retransmission of a finished request gets again.
auto RepeatAnswer(Context& context, LedgerEntry& entry) -> void;
/// Retransmission of a CON of the agent's own that the client has not acknowledged.
auto ResendOwn(Context& context, LedgerEntry& entry) -> void;

/// The client's own deadline: deadline.cc.
/// Of a request that has just come; kNoDeadline when it has no Deadline option.
auto ClientDeadlineOf(const Context& context, const Message& message) -> base::TimePoint;
/// What is left of it in milliseconds, for whom the request is sent on to.
auto DeadlineLeft(const Context& context, const LedgerEntry& entry) -> std::optional<std::uint32_t>;
/// Whether another target could still answer in time.
auto LeavesTimeElsewhere(const Context& context, base::TimePoint client_deadline) -> bool;
/// Tells the target that nobody waits for a registration that runs. CoAP has no such message for a
/// plain request; that one the target gives up by the Deadline option itself.
auto CancelAtTarget(Context& context, const LedgerEntry& entry) -> void;
/// The deadline is up while the request runs here or elsewhere.
auto OnClientDeadline(Context& context, LedgerEntry& entry) -> void;

/// Offers the request to another agent when that is allowed and the budget has room: hand_on.cc.
auto TryHandOn(Context& context, LedgerEntry& entry) -> bool;

/// A request of a client or of another agent: intake.cc.
auto OnRequest(Context& context, const Message& message, const Asker& asker, base::Duration left)
    -> void;

/// Block-wise uploads: uploads.cc.
auto IsLaterBlock(const Message& message) -> bool;
/// Remembers an upload whose first block was taken, so that its later blocks are let through.
auto NoteUpload(Context& context, const Message& message, const base::FlowKey& flow,
                std::uint64_t id) -> void;
/// Whether this is the next block of the flow's upload; moves the upload on when it is.
auto ContinueUpload(Context& context, const Message& message, const base::FlowKey& flow) -> bool;

/// An observation as it moves: hand_over.cc.
auto StreamOf(const LedgerEntry& entry) -> HandedOverStream;

/// Sequence numbers (RFC 7641, 3.4) of a stream that was taken over: hand_over.cc. The first
/// answer's number follows the last one that the client was sent.
inline constexpr auto kSequenceMask = std::uint32_t{0xffffff};
auto SetSequenceOffset(LedgerEntry& entry, std::uint32_t first) -> void;
auto ClientSequence(const LedgerEntry& entry, std::uint32_t sequence) -> std::uint32_t;

/// Notifications and the client's answers to them: streams.cc.
auto OnNotification(Context& context, LedgerEntry& entry, const Message& message) -> void;
auto EndStream(Context& context, LedgerEntry& entry, Counter counter) -> void;
auto OnStreamTimer(Context& context, LedgerEntry& entry) -> void;
/// The client gives up an observation whose registration has not been answered (RFC 7641, 3.6):
/// what waits is dropped, the target is told of what runs. Without this the target would open a
/// stream that its client has cancelled.
auto CancelPending(Context& context, const Message& message, const Asker& asker) -> void;
/// A new request for an observation the client already has. False when there is none.
auto RefreshStream(Context& context, const Message& message, const Asker& asker) -> bool;

/// Passes a CON or NON of the target on under a message ID of the agent's.
auto ForwardToClient(Context& context, LedgerEntry& entry, const Message& message) -> Bytes;
auto FindForwardedByTarget(FlowState& flow, std::uint64_t request, std::uint16_t target_side)
    -> ForwardedMessage*;
auto FindForwardedByClient(FlowState& flow, std::uint16_t client_side) -> ForwardedMessage*;
auto RecordForwarded(FlowState& flow, const ForwardedMessage& message) -> void;

auto TokenOfId(std::uint64_t id) -> Token;
auto IdOfToken(const Token& token) -> std::uint64_t;

}  // namespace anvildrum::requests
