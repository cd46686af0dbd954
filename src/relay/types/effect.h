#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "relay/types/event.h"
#include "wire/relay.pb.h"

namespace anvildrum::relay {

/// Shared by all receivers of the same bytes, so that it is serialized once.
using SharedMessage = std::shared_ptr<const wire::pb::RelayMessage>;

/// To a child: `to` names it and `endpoint` is zero (its own connection carries it). To a parent or
/// clearer: `endpoint` is set; a connection is opened where there is none.
struct SendPeer {
  base::InstanceId to;
  base::Endpoint endpoint;
  SharedMessage message;
};

/// Open a connection to a parent (a SendPeer with the subscription follows).
struct SubscribeTo {
  base::Endpoint endpoint;
};

/// Close the connection to a former parent.
struct DropParent {
  base::Endpoint endpoint;
};

/// One long poll over all objects, begun after `delay`. Replaces a watch that is under way. The
/// answer is PlatformObjects or PlatformFailed{kWatch}; the core then asks again.
struct StartWatch {
  std::uint64_t after = 0;
  base::Duration delay{};
  base::Duration timeout{};  ///< for the platform to answer without events
};

struct StopWatch {};

/// One list of all objects, begun after `delay`. Answer: PlatformObjects{complete} or
/// PlatformFailed{kPoll}.
struct PollPlatform {
  base::Duration delay{};
};

/// One read of the configuration alone, begun after `delay`. Answer: ConfigurationRead; none where
/// it fails.
struct ReadConfiguration {
  base::Duration delay{};
};

/// Conditional delete; the condition is what makes it harmless when its sender was paused.
struct DeleteRecord {
  std::string key;
  std::uint64_t if_revision = 0;
};

/// What came into force here, for the role's core. Deleted ones have no value.
struct RecordsChanged {
  std::vector<PlatformObject> records;
};

/// Once: a configuration and a complete set are held.
struct Ready {};

/// Deliver TimerFired at `at`; replaces the last one.
struct SetTimer {
  base::TimePoint at;
};

using Effect = std::variant<SendPeer, SubscribeTo, DropParent, StartWatch, StopWatch, PollPlatform,
                            ReadConfiguration, DeleteRecord, RecordsChanged, Ready, SetTimer>;
using Effects = std::vector<Effect>;

}  // namespace anvildrum::relay
