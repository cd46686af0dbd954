#include "net/internal/peer_table.h"

namespace anvildrum::net::internal {

auto Hear(PeerTable& table, const RelayPeer& peer, base::TimePoint now) -> bool {
  auto& last_heard = table.last_heard;
  const auto known = last_heard.find(peer.routing_id);
  if (known != last_heard.end()) {
    known->second = now;
    return true;
  }
  if (last_heard.size() >= table.max_peers) {
    std::erase_if(last_heard, [&](const auto& entry) { return now - entry.second > table.idle; });
  }
  if (last_heard.size() >= table.max_peers) return false;
  last_heard.emplace(peer.routing_id, now);
  return true;
}

auto Forget(PeerTable& table, const RelayPeer& peer) -> void {
  table.last_heard.erase(peer.routing_id);
}

}  // namespace anvildrum::net::internal
