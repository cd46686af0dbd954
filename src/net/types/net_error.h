#pragma once

#include <string>

namespace anvildrum::net {

enum class NetErrorCode {
  kOpen,         ///< the operating system gave no socket
  kOption,       ///< a socket option was refused
  kBind,         ///< the local address is taken, not ours or not permitted
  kConnect,      ///< the remote address cannot be reached at all
  kSend,         ///< a message was not taken for sending
  kUnknownPeer,  ///< the peer isn't connected
  kBadKey,       ///< a CURVE key that isn't 40 characters of Z85 (ZeroMQ RFC 32)
  kNoKeys,       ///< neither keys nor the explicit insecure flag
};

struct NetError {
  NetErrorCode code = NetErrorCode::kOpen;
  int system_error = 0;  ///< errno, or 0 when the fault is ours
  std::string where;     ///< the address or option at fault
};

}  // namespace anvildrum::net
