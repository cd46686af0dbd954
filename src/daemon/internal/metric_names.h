#pragma once

#include <cstddef>
#include <string_view>

#include "platform/call_budget.h"
#include "platform/types/platform_error.h"
#include "requests/types/counter.h"
#include "wire/types/wire_error.h"

/// Label values of what is counted by the enumerators of a core. A new enumerator without a name
/// doesn't compile: the switches name every one (-Wswitch), and IsNamedWhole sees that no name is
/// missing or stands twice, up to the count by which the counters are sized.
namespace anvildrum::daemon {

constexpr auto NameOf(requests::Counter counter) -> std::string_view {
  using requests::Counter;
  switch (counter) {
    case Counter::kClientMalformed:
      return "client_malformed";
    case Counter::kTargetMalformed:
      return "target_malformed";
    case Counter::kBadDeadline:
      return "bad_deadline";
    case Counter::kUnexpectedFromClient:
      return "unexpected_from_client";
    case Counter::kUnexpectedFromTarget:
      return "unexpected_from_target";
    case Counter::kAdmitted:
      return "admitted";
    case Counter::kQueued:
      return "queued";
    case Counter::kAnswered:
      return "answered";
    case Counter::kRefusedQueue:
      return "refused_queue";
    case Counter::kRefusedClientLimit:
      return "refused_client_limit";
    case Counter::kRefusedLedgerFull:
      return "refused_ledger_full";
    case Counter::kRefusedChallenges:
      return "refused_challenges";
    case Counter::kRefusedExpiredEcho:
      return "refused_expired_echo";
    case Counter::kRefusedStreams:
      return "refused_streams";
    case Counter::kRefusedDeadline:
      return "refused_deadline";
    case Counter::kUnknownRunLimit:
      return "unknown_run_limit";
    case Counter::kUnknownTargetGone:
      return "unknown_target_gone";
    case Counter::kUnknownForeignEcho:
      return "unknown_foreign_echo";
    case Counter::kUnknownEchoUsed:
      return "unknown_echo_used";
    case Counter::kUnknownAdoptedFlow:
      return "unknown_adopted_flow";
    case Counter::kUnknownUpload:
      return "unknown_upload";
    case Counter::kUnknownIdentityReuse:
      return "unknown_identity_reuse";
    case Counter::kUnknownHandOn:
      return "unknown_hand_on";
    case Counter::kUnknownDeadline:
      return "unknown_deadline";
    case Counter::kChallenged:
      return "challenged";
    case Counter::kRetransmissionAnswered:
      return "retransmission_answered";
    case Counter::kRetransmissionWhileRunning:
      return "retransmission_while_running";
    case Counter::kLateAnswer:
      return "late_answer";
    case Counter::kStaleNotification:
      return "stale_notification";
    case Counter::kStreamOpened:
      return "stream_opened";
    case Counter::kStreamEnded:
      return "stream_ended";
    case Counter::kStreamClientGone:
      return "stream_client_gone";
    case Counter::kHandOnOffered:
      return "hand_on_offered";
    case Counter::kHandOnAnswered:
      return "hand_on_answered";
    case Counter::kHandOnBudgetSpent:
      return "hand_on_budget_spent";
    case Counter::kIllegalTransition:
      return "illegal_transition";
    case Counter::kCount:
      break;
  }
  return {};
}

constexpr auto NameOf(wire::WireErrorCode code) -> std::string_view {
  using wire::WireErrorCode;
  switch (code) {
    case WireErrorCode::kTruncated:
      return "truncated";
    case WireErrorCode::kBadMac:
      return "bad_mac";
    case WireErrorCode::kMalformed:
      return "malformed";
    case WireErrorCode::kMissingBody:
      return "missing_body";
    case WireErrorCode::kBadAddress:
      return "bad_address";
    case WireErrorCode::kTooLarge:
      return "too_large";
    case WireErrorCode::kNoKey:
      return "no_key";
  }
  return {};
}

constexpr auto NameOf(platform::CallKind kind) -> std::string_view {
  using platform::CallKind;
  switch (kind) {
    case CallKind::kGet:
      return "get";
    case CallKind::kList:
      return "list";
    case CallKind::kPut:
      return "put";
    case CallKind::kDelete:
      return "delete";
    case CallKind::kWatch:
      return "watch";
  }
  return {};
}

constexpr auto NameOf(platform::PlatformErrorCode code) -> std::string_view {
  using platform::PlatformErrorCode;
  switch (code) {
    case PlatformErrorCode::kNoEndpoint:
      return "no_endpoint";
    case PlatformErrorCode::kUnreachable:
      return "unreachable";
    case PlatformErrorCode::kTimeout:
      return "timeout";
    case PlatformErrorCode::kAnswerLost:
      return "answer_lost";
    case PlatformErrorCode::kMalformedAnswer:
      return "malformed_answer";
    case PlatformErrorCode::kServerError:
      return "server_error";
    case PlatformErrorCode::kConflict:
      return "conflict";
    case PlatformErrorCode::kNotFound:
      return "not_found";
    case PlatformErrorCode::kTooOld:
      return "too_old";
    case PlatformErrorCode::kTooLarge:
      return "too_large";
    case PlatformErrorCode::kRefused:
      return "refused";
    case PlatformErrorCode::kOverBudget:
      return "over_budget";
  }
  return {};
}

/// Whether the enumerators 0 to count - 1, and no further one, have names that differ.
template <typename Enum>
consteval auto IsNamedWhole(std::size_t count) -> bool {
  for (auto i = std::size_t{0}; i < count; ++i) {
    auto name = NameOf(static_cast<Enum>(i));
    if (name.empty()) return false;
    for (auto j = std::size_t{0}; j < i; ++j) {
      if (NameOf(static_cast<Enum>(j)) == name) return false;
    }
  }
  return NameOf(static_cast<Enum>(count)).empty();
}

static_assert(IsNamedWhole<requests::Counter>(static_cast<std::size_t>(requests::Counter::kCount)));
static_assert(IsNamedWhole<wire::WireErrorCode>(wire::kWireErrorCodes));
static_assert(IsNamedWhole<platform::CallKind>(platform::kCallKinds));
static_assert(IsNamedWhole<platform::PlatformErrorCode>(platform::kPlatformErrorCodes));

}  // namespace anvildrum::daemon
