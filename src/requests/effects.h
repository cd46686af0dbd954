#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "base/types/flow_key.h"
#include "base/types/time.h"
#include "requests/types/bytes.h"
#include "requests/types/counter.h"

namespace anvildrum::requests {

/// Send on the flow's socket, which is connected to the target and opened on first use. This
/// includes flows of other agents whose requests were handed on to this agent.
struct SendToTarget {
  base::FlowKey flow;
  Bytes bytes;
};

/// Send to the client through the tunnel.
struct SendToClient {
  base::FlowKey flow;
  Bytes bytes;
};

/// Offer a request that did not run here to another target of the service: to `only_to` if set,
/// because that one challenged the first offer, otherwise to a target of the agent's choice. If
/// there is none, the agent answers with HandOnAnswered{not_run = true}.
struct OfferHandOn {
  base::FlowKey flow;
  std::uint64_t request = 0;
  Bytes bytes;
  base::TimePoint deadline;
  base::TargetId only_to;  ///< 0: any
};

/// Answer to an offer from `origin`.
struct AnswerHandOn {
  base::FlowKey flow;
  base::InstanceId origin;
  std::uint64_t request = 0;
  bool not_run = false;
  Bytes bytes;
};

enum class CloseReason : std::uint8_t { kTargetGone };

/// The flow has ended: close its socket and remove its state.
struct CloseFlow {
  base::FlowKey flow;
  CloseReason reason = CloseReason::kTargetGone;
};

/// The target itself refused a request of the flow (5.03). The client's next request may succeed if
/// the flow is at another target by then.
struct FlowShed {
  base::FlowKey flow;
};

/// Call Step with Timer at this time. Replaces the time requested before.
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

/// Trace event of a request.
struct TraceMark {
  base::FlowKey flow;
  std::uint64_t request = 0;
  Mark mark = Mark::kQueued;
};

using Effect = std::variant<SendToTarget, SendToClient, OfferHandOn, AnswerHandOn, CloseFlow,
                            FlowShed, SetTimer, Count, TraceMark>;
using Effects = std::vector<Effect>;

}  // namespace anvildrum::requests
