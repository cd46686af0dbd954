#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "relay/types/settings.h"
#include "wire/relay.pb.h"

namespace anvildrum::relay {

/// One object as the platform gives it.
struct PlatformObject {
  std::string key;
  std::uint64_t revision = 0;
  bool deleted = false;
  std::string value{};       ///< JSON text, empty when deleted
  std::uint64_t number = 0;  ///< key "config": the configuration's number; otherwise 0
};

/// First event of a run.
struct Started {};

/// The time of the last SetTimer has come.
struct TimerFired {};

/// A message of a peer. `endpoint` is set when it came over a connection that this instance opened
/// (a parent), and zero when the sender opened it (a child or reporter).
struct PeerMessage {
  base::InstanceId sender;
  base::Endpoint endpoint;
  wire::pb::RelayMessage message;
};

/// Answer to StartWatch or PollPlatform. Not `complete`: every change after the watch's `after` up
/// to `revision`. `complete`: everything that exists at `revision`.
struct PlatformObjects {
  std::vector<PlatformObject> objects;
  std::uint64_t revision = 0;
  bool complete = false;
};

/// Answer to ReadConfiguration. It says nothing of other objects.
struct ConfigurationRead {
  PlatformObject configuration;
};

enum class PlatformCall { kWatch, kPoll };

/// A watch or poll that got no usable answer; `history_gone`: 410, the watch must list again.
struct PlatformFailed {
  PlatformCall call = PlatformCall::kWatch;
  bool history_gone = false;
};

/// The answer to a watch or poll has begun to come. Whoever receives it ends the call from now on,
/// with the whole answer or with PlatformFailed.
struct AnswerBegun {
  PlatformCall call = PlatformCall::kWatch;
};

/// All balancers that have a record, this one included where it has one.
struct PeersChanged {
  std::vector<RelayPeer> peers;
};

/// This balancer's own traffic or probes say that the holder of a record is dead (again, or still).
/// `failure_domain` is the holder's.
struct RecordSuspected {
  std::string key;
  std::uint64_t revision = 0;
  std::string failure_domain;
};

/// The holder of a suspected record was heard again.
struct RecordAlive {
  std::string key;
};

/// Outcome of DeleteRecord; `conflict`: 412 or 404, the record is not the one that was suspected.
struct DeleteFinished {
  std::string key;
  std::uint64_t revision = 0;
  bool deleted = false;
  bool conflict = false;
};

/// A graceful stop: children and parents are told.
struct StopRequested {};

using Event = std::variant<Started, TimerFired, PeerMessage, PlatformObjects, ConfigurationRead,
                           PlatformFailed, AnswerBegun, PeersChanged, RecordSuspected, RecordAlive,
                           DeleteFinished, StopRequested>;

}  // namespace anvildrum::relay
