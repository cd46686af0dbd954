#pragma once

#include <cstdint>

namespace anvildrum::daemon {

/// Datagrams at the service addresses that came to nothing, since the start.
struct ServiceDatagrams {
  std::uint64_t oversized = 0;   ///< over the receive buffer
  std::uint64_t send_drops = 0;  ///< to clients; the system did not take them
};

}  // namespace anvildrum::daemon
