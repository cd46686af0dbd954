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

/// A CON or NON of the target that was forwarded. The client's ACK or RST is returned with the
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

/// State of a flow besides its requests.
struct FlowState {
  std::uint16_t next_target_message_id = 0;
  std::uint16_t next_client_message_id = 0;
  base::TimePoint adopted_until;
  std::uint64_t echo_floor = 0;             ///< values issued up to this number are no longer valid
  std::uint64_t last_echo = 0;              ///< latest issue number of the flow
  std::vector<std::uint64_t> live;          ///< requests queued, running, offered or observing
  std::vector<ForwardedMessage> forwarded;  ///< ring buffer of the latest
  std::size_t forwarded_next = 0;
  std::optional<Upload> upload;
  base::TimePoint transfer_until;  ///< a block-wise answer is in progress until then
  std::uint64_t transfer_path = 0;
};

/// Echo floors of closed flows, kept while a value below them could still run.
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
  std::set<std::pair<base::TimePoint, std::uint64_t>> entry_timers;  ///< timers of entries
  std::optional<base::TimePoint> timer;                              ///< as last requested
  bool draining = false;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

/// The context of a step: the state, the time and the effects.
struct Context {
  State& state;
  base::TimePoint now;
  Effects& effects;
};

/// Event handlers, one file each.
auto OnClientDatagram(Context& context, const ClientDatagram& event) -> void;
auto OnTargetDatagram(Context& context, const TargetDatagram& event) -> void;
auto OnTargetUnreachable(Context& context, const TargetUnreachable& event) -> void;
auto OnFlowAdopted(Context& context, const FlowAdopted& event) -> void;
auto OnFlowClosed(Context& context, const FlowClosed& event) -> void;
auto OnHandOnRequested(Context& context, const HandOnRequested& event) -> void;
auto OnHandOnAnswered(Context& context, const HandOnAnswered& event) -> void;
auto OnTimer(Context& context) -> void;

auto CountOne(Context& context, Counter counter) -> void;
/// Applies the transition to the entry. A transition that does not exist is counted and ignored.
auto ApplyTransition(Context& context, LedgerEntry& entry, Transition transition) -> void;
auto MarkTrace(Context& context, const LedgerEntry& entry, Mark mark) -> void;
auto FlowOf(Context& context, const base::FlowKey& flow) -> FlowState&;

/// Sets the timer of an entry and replaces the one before. A zero time cancels it.
auto SetEntryTimer(Context& context, LedgerEntry& entry, base::TimePoint at) -> void;

// dispatch.cc
auto Admit(Context& context, LedgerEntry& entry) -> void;
/// Returns the counter of a refusal, or nothing if the verdict is not one.
auto RefusalOf(AdmissionVerdict verdict) -> std::optional<Counter>;
auto SendRequest(Context& context, LedgerEntry& entry) -> void;
auto StartQueued(Context& context) -> void;

/// Removes the entry from the queue, its slot, its flow's live entries and the timers.
auto RemoveLive(Context& context, LedgerEntry& entry) -> void;

// outcome.cc
/// Each of these may remove the entry.
auto FinishNotRun(Context& context, LedgerEntry& entry, Counter counter) -> void;
auto FinishUnknown(Context& context, LedgerEntry& entry, Counter counter) -> void;
/// `answer` is a response of the target or of the agent that took the request, under any message ID
/// and token.
auto FinishAnswered(Context& context, LedgerEntry& entry, const Message& answer) -> void;

/// Whether the final answer is piggybacked on the ACK of the request or returned to its origin
/// agent. The target's separate response is then acknowledged here.
auto AnswersInAck(const LedgerEntry& entry) -> bool;

/// Takes the time since the request was sent into the observed service times. `code` is that of the
/// answer.
auto RecordServiceTime(Context& context, const LedgerEntry& entry, std::uint8_t code) -> void;

/// Sender of a request, also of one without a ledger entry.
struct Requester {
  RequestIdentity identity;
  MessageType type = MessageType::kConfirmable;
  std::uint64_t origin_request = 0;
};
auto ReplyNotRun(Context& context, const Requester& requester, Counter counter) -> void;
auto ReplyUnknown(Context& context, const Requester& requester, Counter counter) -> void;
auto Reply(Context& context, const Requester& requester, bool not_run, Bytes bytes) -> void;

/// Type and message ID of the answer to a request without an empty ACK: piggybacked on the ACK of a
/// confirmable request (RFC 7252, 5.2.1), or a NON with a message ID of the agent.
struct ReplyForm {
  MessageType type = MessageType::kAcknowledgement;
  std::uint16_t message_id = 0;
};
auto ReplyFormOf(Context& context, const Requester& requester) -> ReplyForm;
auto RequesterOf(const LedgerEntry& entry) -> Requester;

/// Repeats the answer of a finished request for a retransmission.
auto RepeatAnswer(Context& context, LedgerEntry& entry) -> void;
/// Retransmits a CON of the agent that the client has not acknowledged.
auto Retransmit(Context& context, LedgerEntry& entry) -> void;

// deadline.cc
/// Returns the client's deadline of a request that has just arrived, or kNoDeadline without a
/// Deadline option.
auto ClientDeadlineOf(const Context& context, const Message& message) -> base::TimePoint;
/// Returns the remaining milliseconds, for the receiver that the request is sent to.
auto DeadlineLeft(const Context& context, const LedgerEntry& entry) -> std::optional<std::uint32_t>;
/// Whether another target could still answer in time.
auto CanFinishElsewhere(const Context& context, base::TimePoint client_deadline) -> bool;
/// Cancels a registration that is running at the target. CoAP has no such message for a plain
/// request, which the target ends by the Deadline option instead.
auto CancelAtTarget(Context& context, const LedgerEntry& entry) -> void;
/// Handles a deadline that passes while the request runs here or at another agent.
auto OnClientDeadline(Context& context, LedgerEntry& entry) -> void;

// hand_on.cc
/// Offers the request to another agent if that is allowed and the retry budget has
/// room.
auto TryHandOn(Context& context, LedgerEntry& entry) -> bool;

// intake.cc
/// Handles a request of a client or of another agent.
auto OnRequest(Context& context, const Message& message, const Requester& requester,
               base::Duration left) -> void;

// uploads.cc
auto IsLaterBlock(const Message& message) -> bool;
/// Records an upload whose first block was admitted, so that its later blocks are accepted.
auto RecordUpload(Context& context, const Message& message, const base::FlowKey& flow,
                  std::uint64_t id) -> void;
/// Returns whether this is the next block of the flow's upload, and if so advances the upload.
auto ContinueUpload(Context& context, const Message& message, const base::FlowKey& flow) -> bool;

// hand_over.cc
auto StreamOf(const LedgerEntry& entry) -> HandedOverStream;

// hand_over.cc
/// Sequence numbers (RFC 7641, 3.4) of a stream that was taken over: the first one
/// follows the last one sent to the client.
inline constexpr auto kSequenceMask = std::uint32_t{0xffffff};
auto SetSequenceOffset(LedgerEntry& entry, std::uint32_t first) -> void;
auto ClientSequence(const LedgerEntry& entry, std::uint32_t sequence) -> std::uint32_t;

// streams.cc
/// Notifications and the client's replies to them.
auto OnNotification(Context& context, LedgerEntry& entry, const Message& message) -> void;
auto EndStream(Context& context, LedgerEntry& entry, Counter counter) -> void;
auto OnStreamTimer(Context& context, LedgerEntry& entry) -> void;
/// Cancels a registration that has not been answered yet (RFC 7641, 3.6): a queued one is dropped,
/// and a running one is cancelled at the target, which would otherwise open a stream that its
/// client has cancelled.
auto CancelPending(Context& context, const Message& message, const Requester& requester) -> void;
/// Refreshes an observation that the client already has. Returns false if there is none.
auto RefreshStream(Context& context, const Message& message, const Requester& requester) -> bool;

/// Forwards a CON or NON of the target under a message ID of the agent.
auto ForwardToClient(Context& context, LedgerEntry& entry, const Message& message) -> Bytes;
auto FindForwardedByTarget(FlowState& flow, std::uint64_t request, std::uint16_t target_side)
    -> ForwardedMessage*;
auto FindForwardedByClient(FlowState& flow, std::uint16_t client_side) -> ForwardedMessage*;
auto RecordForwarded(FlowState& flow, const ForwardedMessage& message) -> void;

auto TokenOfId(std::uint64_t id) -> Token;
auto IdOfToken(const Token& token) -> std::uint64_t;

}  // namespace anvildrum::requests
