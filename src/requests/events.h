#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "base/types/flow_key.h"
#include "base/types/time.h"
#include "requests/types/bytes.h"

namespace anvildrum::requests {

/// A datagram of the client, as it came out of the tunnel.
struct ClientDatagram {
  base::FlowKey flow;
  BytesView bytes;
};

/// A datagram that the flow's socket received from the target.
struct TargetDatagram {
  base::FlowKey flow;
  BytesView bytes;
};

/// The flow's socket reported that nothing listens at the target (ECONNREFUSED).
struct TargetUnreachable {
  base::FlowKey flow;
};

/// The time of the last SetTimer effect has come. Early and repeated ones do no harm.
struct Timer {};

/// The agent serves this flow from now on: due before its first datagram whenever a flow is opened
/// here, also again. Echo values that it got here before run nothing any more.
struct FlowOpened {
  base::FlowKey flow;
  /// The flow was, or may have been, served by another agent or another incarnation of this one.
  bool adopted = false;
};

struct FlowRecord;

/// The agent serves this flow from now on, in place of a draining one that has stopped to, or of a
/// lost one: instead of FlowOpened. See requests/hand_over.h; the record is used during the call
/// only.
struct FlowAdopted {
  base::FlowKey flow;
  const FlowRecord* record = nullptr;
  /// False: it cannot be served here either. The observations end with 5.03, and the flow closes.
  bool served = true;
};

/// The agent no longer serves this flow and its socket is closed. Due for every flow in the end,
/// also for one that only a hand-on opened: the core keeps some 200 bytes of each until then.
struct FlowClosed {
  base::FlowKey flow;
};

/// A planned stop has begun. Established flows are served on; requests are no longer taken from
/// other agents. `RequestLoadOf` tells when the agent may end.
struct Drain {};

/// Another agent offers a request. At most once holds through Echo as for a client: the first offer
/// of a POST is answered with a 4.01 challenge, and the origin offers it again with that Echo.
struct HandOnRequested {
  base::FlowKey flow;
  base::InstanceId origin;
  std::uint64_t request = 0;  ///< the origin's id of the offer
  BytesView bytes;
  base::Duration left{};  ///< until the deadline
};

/// The agent that took an offer answers it.
struct HandOnAnswered {
  base::FlowKey flow;
  std::uint64_t request = 0;
  base::TargetId from;
  bool not_run = false;  ///< otherwise `bytes` is the answer
  BytesView bytes;
};

using Event = std::variant<ClientDatagram, TargetDatagram, TargetUnreachable, Timer, FlowOpened,
                           FlowAdopted, FlowClosed, Drain, HandOnRequested, HandOnAnswered>;

}  // namespace anvildrum::requests
