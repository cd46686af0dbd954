#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types/time.h"

namespace anvildrum::requests {

/// Transmission parameters of RFC 7252, 4.8.2.
inline constexpr auto kExchangeLifetime = base::seconds(247);
inline constexpr auto kNonLifetime = base::seconds(145);
inline constexpr auto kMaxTransmitWait = base::seconds(93);

/// Longest deadline that is accepted from a client, which stops waiting by then in any case.
inline constexpr auto kMaxClientDeadline = kMaxTransmitWait;

/// Parameters of an agent's request core. The queue and client limits come from
/// config::ServiceLimits, the slots from membership::TargetRecord.
struct Parameters {
  std::uint32_t slots = 4;              ///< requests the target runs at once
  std::uint32_t queue_size = 64;        ///< maximum number of waiting requests
  std::uint32_t client_in_flight = 64;  ///< queued and running requests of one client address
  /// A request's deadline is its arrival plus this. A client's own deadline (Deadline option) can
  /// only be earlier.
  base::Duration queue_limit = base::milliseconds(250);
  /// A request that runs longer than this ends as unknown. Less than kMaxTransmitWait, so that a
  /// client that follows RFC 7252 is still waiting for the answer.
  base::Duration run_limit = base::seconds(60);
  base::Duration initial_service_time = base::milliseconds(20);  ///< before the first observation
  double service_time_weight = 0.1;  ///< of a new observation in the moving average
  /// Maximum age of an Echo value that may run a request. Above kMaxTransmitWait, so that every
  /// retransmission of the challenged request is accepted, and below kExchangeLifetime, so that the
  /// ledger still knows whether it ran.
  base::Duration echo_lifetime = base::seconds(120);
  std::size_t ledger_bytes = 32U << 20U;  ///< of all entries and kept answers
  /// Share of the ledger for requests that are challenged and not yet admitted.
  double challenge_share = 0.5;
  std::uint32_t client_challenges = 256;  ///< open challenges of one client address
  /// For this long after a flow was taken over from another agent or incarnation, its POSTs without
  /// Echo are answered 5.04: each may be a late copy of one that ran there.
  base::Duration adopted_quarantine = kExchangeLifetime;
  std::uint32_t max_age_min = 1;     ///< seconds, minimum of Max-Age in a refusal
  std::uint32_t max_age_spread = 4;  ///< seconds over which returning clients are spread
  double retry_share = 0.04;         ///< hand-ons per admitted request
  double retry_burst = 10;           ///< maximum number of saved hand-ons
  base::Duration transfer_idle = base::seconds(60);  ///< a block-wise transfer ends after this
  /// A confirmable notification without an ACK for this long means that the client is gone.
  base::Duration stream_ack_limit = kMaxTransmitWait;
  std::uint32_t flow_streams = 64;  ///< observations of one flow
};

}  // namespace anvildrum::requests
