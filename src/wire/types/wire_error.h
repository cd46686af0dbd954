#pragma once

#include <cstddef>
#include <cstdint>

namespace anvildrum::wire {

enum class WireErrorCode {
  kTruncated,    ///< shorter than MAC and header
  kBadMac,       ///< not sealed with a key of ours, or altered
  kMalformed,    ///< the header is not a TunnelHeader
  kMissingBody,  ///< a header without one of the known bodies
  kBadAddress,   ///< an address that is neither 4 nor 16 bytes, or a port over 65535
  kTooLarge,     ///< over kMaxDatagram
  kNoKey,        ///< a key ring without keys
};
inline constexpr auto kWireErrorCodes = std::size_t{7};

struct WireError {
  WireErrorCode code = WireErrorCode::kMalformed;
  std::size_t size = 0;  ///< bytes of the datagram at fault
};

}  // namespace anvildrum::wire
