#pragma once

#include <cstdint>
#include <unordered_map>

namespace anvildrum::net::internal {

/// What a bound ZeroMQ socket's connections came to, from its monitor's events.
///
/// ZeroMQ tells of most handshakes that fail, but not of bytes that don't begin one (HTTP, say):
/// such a connection is accepted and ends, as one that was proven does. It is told from the latter
/// by there having been no handshake that succeeded since it was accepted. A stranger's connection
/// beside which another one is proven isn't counted; it ends within a moment, so few are missed.
struct HandshakeLog {
  std::uint64_t malformed = 0;   ///< no ZMTP, no CURVE, or sealed to another key
  std::uint64_t broken_off = 0;  ///< ended, or ran out of time, before it was done
  std::uint64_t succeeded = 0;
  bool told = false;  ///< the last event was a failure; its connection's end follows at once
  /// Connections by descriptor: `succeeded` when they were accepted.
  std::unordered_map<std::uint32_t, std::uint64_t> accepted;
};

/// The events that NoteEvent wants.
auto HandshakeEvents() -> int;

/// `event` and `value` as zmq_socket_monitor(3) has them.
auto NoteEvent(HandshakeLog& log, std::uint16_t event, std::uint32_t value) -> void;

}  // namespace anvildrum::net::internal
