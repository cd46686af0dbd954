#pragma once

#include <cstddef>
#include <cstdint>

namespace anvildrum::wire {

enum class WireErrorCode {
  kTruncated,    ///< shorter than the MAC and the header
  kBadMac,       ///< altered, or not sealed with a key of the ring
  kMalformed,    ///< the header is not a TunnelHeader
  kMissingBody,  ///< a header without a known body
  kBadAddress,   ///< an address that is neither 4 nor 16 bytes, or a port over 65535
  kTooLarge,     ///< larger than kMaxDatagram
  kNoKey,        ///< a key ring without keys
};
inline constexpr auto kWireErrorCodes = std::size_t{7};

struct WireError {
  WireErrorCode code = WireErrorCode::kMalformed;
  std::size_t size = 0;  ///< bytes of the rejected datagram
};

}  // namespace anvildrum::wire
