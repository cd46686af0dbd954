#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "base/types/flow_key.h"
#include "base/types/time.h"
#include "requests/types/bytes.h"
#include "requests/types/counter.h"

namespace anvildrum::requests {

/// Send on the flow's socket, which is connected to the target and opened at the first use: also
/// for a flow of another agent whose request was handed on to this one.
struct SendToTarget {
  base::FlowKey flow;
  Bytes bytes;
};

/// Send to the client through the tunnel.
struct SendToClient {
  base::FlowKey flow;
  Bytes bytes;
};

/// Offer a request that was not run here to another target of the service: to `only_to` when that
/// is set (it has challenged the first offer), otherwise to one of the agent's choice. An agent
/// that finds no other target answers with HandOnAnswered{not_run = true}.
struct OfferHandOn {
  base::FlowKey flow;
  std::uint64_t request = 0;
  Bytes bytes;
  base::TimePoint deadline;
  base::TargetId only_to;  ///< 0: any
};

/// Answer of an offer taken from `origin`.
struct AnswerHandOn {
  base::FlowKey flow;
  base::InstanceId origin;
  std::uint64_t request = 0;
  bool not_run = false;
  Bytes bytes;
};

enum class CloseReason : std::uint8_t { kTargetGone };

/// The flow has ended: close its socket and forget it.
struct CloseFlow {
  base::FlowKey flow;
  CloseReason reason = CloseReason::kTargetGone;
};

/// The target itself has refused a request of the flow (5.03): its client is told, and may find
/// room when it comes back if the flow is at another target by then.
struct FlowShed {
  base::FlowKey flow;
};

/// Call Step with Timer at this time; replaces the one asked for before.
struct SetTimer {
  base::TimePoint at;
};

struct Count {
  Counter counter = Counter::kCount;
};

enum class Mark : std::uint8_t {
  kChallenged,
  kQueued,
  kSentToTarget,
  kAnswered,
  kRefused,
  kUnknown
};

/// A point in a request's life, for its trace.
struct TraceMark {
  base::FlowKey flow;
  std::uint64_t request = 0;
  Mark mark = Mark::kQueued;
};

using Effect = std::variant<SendToTarget, SendToClient, OfferHandOn, AnswerHandOn, CloseFlow,
                            FlowShed, SetTimer, Count, TraceMark>;
using Effects = std::vector<Effect>;

}  // namespace anvildrum::requests
