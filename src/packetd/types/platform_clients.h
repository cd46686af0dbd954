#pragma once

#include "platform/client.h"

namespace anvildrum::packetd {

/// A process's two ways to the platform's state.
struct PlatformClients {
  platform::Client& newest;
  platform::Client& may_be_stale;  ///< cheaper, of a copy that may be seconds behind
};

}  // namespace anvildrum::packetd
