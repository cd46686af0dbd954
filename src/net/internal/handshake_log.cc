#include "net/internal/handshake_log.h"

#include <zmq.h>

#include <utility>

namespace anvildrum::net::internal {
namespace {

auto NoteEnd(HandshakeLog& log, std::uint32_t descriptor, bool told) -> void {
  const auto found = log.accepted.find(descriptor);
  if (found == log.accepted.end()) return;
  const auto before = found->second;
  log.accepted.erase(found);
  if (!told && before == log.succeeded) ++log.malformed;
}

}  // namespace

auto HandshakeEvents() -> int {
  return ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_HANDSHAKE_SUCCEEDED |
         ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
         ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
}

auto NoteEvent(HandshakeLog& log, std::uint16_t event, std::uint32_t value) -> void {
  const auto told = std::exchange(log.told, false);
  switch (event) {
    case ZMQ_EVENT_ACCEPTED:
      log.accepted[value] = log.succeeded;
      return;
    case ZMQ_EVENT_HANDSHAKE_SUCCEEDED:
      ++log.succeeded;
      return;
    case ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL:
      ++log.malformed;
      log.told = true;
      return;
    case ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL:
      ++log.broken_off;
      log.told = true;
      return;
    case ZMQ_EVENT_HANDSHAKE_FAILED_AUTH:
      log.told = true;  // the ZapHandler has counted it
      return;
    case ZMQ_EVENT_DISCONNECTED:
      return NoteEnd(log, value, told);
    default:
      return;
  }
}

}  // namespace anvildrum::net::internal
