#pragma once

#include <string>
#include <unordered_map>

#include "base/types/time.h"
#include "net/relay_socket.h"

namespace anvildrum::net::internal {

/// The peers that have spoken, bounded: ZeroMQ tells nobody when a peer leaves.
struct PeerTable {
  std::size_t max_peers = 0;
  base::Duration idle = {};
  std::unordered_map<std::string, base::TimePoint> last_heard;  ///< by routing id
};

/// Notes that the peer spoke. False when the table is full of peers that were heard within the idle
/// time; one that is silent for longer makes room.
auto Hear(PeerTable& table, const RelayPeer& peer, base::TimePoint now) -> bool;
auto Forget(PeerTable& table, const RelayPeer& peer) -> void;

}  // namespace anvildrum::net::internal
