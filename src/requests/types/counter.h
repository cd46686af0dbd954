#pragma once

#include <cstdint>

namespace anvildrum::requests {

/// Counted events. The daemon exports them as metrics.
enum class Counter : std::uint8_t {
  kClientMalformed,       ///< datagram of a client that is not a CoAP message
  kTargetMalformed,       ///< datagram of the target that is not a CoAP message
  kBadDeadline,           ///< Deadline option too long or repeated; ignored
  kUnexpectedFromClient,  ///< a response, or an ACK or RST that matches nothing
  kUnexpectedFromTarget,  ///< a request, or an ACK or RST that matches nothing
  kAdmitted,
  kQueued,
  kAnswered,
  kRefusedQueue,        ///< could not finish by its deadline; not run
  kRefusedClientLimit,  ///< too many requests of one client; not run
  kRefusedLedgerFull,   ///< not run
  kRefusedChallenges,   ///< too many open challenges; not run
  kRefusedExpiredEcho,  ///< a challenge answered too late; not run
  kRefusedStreams,      ///< too many observations of the flow; not run
  kRefusedDeadline,     ///< could not finish by the client's own deadline; not run
  kUnknownRunLimit,     ///< no answer of the target within the run limit
  kUnknownTargetGone,
  kUnknownForeignEcho,    ///< an Echo value of another incarnation or flow
  kUnknownEchoUsed,       ///< an Echo value whose request has been admitted already
  kUnknownAdoptedFlow,    ///< may be a late copy from before the flow was taken over
  kUnknownUpload,         ///< a later block of an upload that did not start here
  kUnknownIdentityReuse,  ///< message ID and token of another request in the ledger
  kUnknownHandOn,         ///< no answer of the other agent in time
  kUnknownDeadline,       ///< no answer by the client's own deadline
  kChallenged,
  kRetransmissionAnswered,
  kRetransmissionWhileRunning,
  kLateAnswer,         ///< from the target, for a request with a final outcome
  kStaleNotification,  ///< older than one already sent (RFC 7641, 3.4)
  kStreamOpened,
  kStreamEnded,
  kStreamClientGone,
  kHandOnOffered,
  kHandOnAnswered,
  kHandOnBudgetSpent,
  kIllegalTransition,  ///< a bug in the core
  kCount,              ///< number of counters, not a counter
};

}  // namespace anvildrum::requests
