#pragma once

#include "platform/client.h"

namespace anvildrum::packetd {

/// The two clients through which a process reads the platform's state.
struct PlatformClients {
  platform::Client& newest;
  platform::Client& may_be_stale;  ///< cheaper; a copy that may be seconds old answers
};

}  // namespace anvildrum::packetd
