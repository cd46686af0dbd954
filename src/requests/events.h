#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "base/types/flow_key.h"
#include "base/types/time.h"
#include "requests/types/bytes.h"

namespace anvildrum::requests {

/// A datagram of the client, received through the tunnel.
struct ClientDatagram {
  base::FlowKey flow;
  BytesView bytes;
};

/// A datagram of the target, received on the flow's socket.
struct TargetDatagram {
  base::FlowKey flow;
  BytesView bytes;
};

/// The flow's socket reported that nothing listens at the target (ECONNREFUSED).
struct TargetUnreachable {
  base::FlowKey flow;
};

/// The time of the last SetTimer effect has come. Early and repeated events are harmless.
struct Timer {};

/// The agent serves this flow from now on. Required before the first datagram each time a flow is
/// opened here. Echo values issued for the flow before are no longer valid.
struct FlowOpened {
  base::FlowKey flow;
  /// The flow was or may have been served by another agent or another incarnation of this one.
  bool adopted = false;
};

struct FlowRecord;

/// The agent takes this flow over from a draining agent that has stopped serving it, or from a lost
/// one. Replaces FlowOpened. See requests/hand_over.h. The record is used during the call only.
struct FlowAdopted {
  base::FlowKey flow;
  const FlowRecord* record = nullptr;
  /// False if the flow cannot be served here either: its observations end with 5.03, and it closes.
  bool served = true;
};

/// The agent no longer serves this flow and its socket is closed. Required for every flow in the
/// end, also for one that only a hand-on opened: the core keeps about 200 bytes of each until then.
struct FlowClosed {
  base::FlowKey flow;
};

/// A planned stop has begun. Established flows are still served, but requests of other agents are
/// refused. `RequestLoadOf` shows when the agent may exit.
struct Drain {};

/// Another agent offers a request. Echo ensures at-most-once execution as for a client: the first
/// offer of a POST is answered with a 4.01 challenge, and the origin repeats the offer with that
/// Echo value.
struct HandOnRequested {
  base::FlowKey flow;
  base::InstanceId origin;
  std::uint64_t request = 0;  ///< id of the offer at the origin
  BytesView bytes;
  base::Duration left{};  ///< until the deadline
};

/// Answer of the agent that took an offer.
struct HandOnAnswered {
  base::FlowKey flow;
  std::uint64_t request = 0;
  base::TargetId from;
  bool not_run = false;  ///< if false, `bytes` is the answer
  BytesView bytes;
};

using Event = std::variant<ClientDatagram, TargetDatagram, TargetUnreachable, Timer, FlowOpened,
                           FlowAdopted, FlowClosed, Drain, HandOnRequested, HandOnAnswered>;

}  // namespace anvildrum::requests
