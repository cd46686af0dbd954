#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/result.h"
#include "wire/key_ring.h"
#include "wire/tunnel.pb.h"
#include "wire/types/wire_error.h"

namespace anvildrum::wire {

/// Layout of a datagram: MAC, varint length of the header, header, payload. The MAC covers
/// everything after it.
inline constexpr std::size_t kMacSize = 16;

/// Largest UDP payload over IPv4 (RFC 768 over RFC 791).
inline constexpr std::size_t kMaxDatagram = 65507;

using Bytes = std::vector<std::uint8_t>;
using BytesView = std::span<const std::uint8_t>;

/// An opened datagram. `payload` refers to the buffer that was passed to Open.
struct Opened {
  pb::TunnelHeader header;
  BytesView payload;
};

/// Writes the sealed datagram into `out` and reuses its capacity. Errors: WireError kTooLarge,
/// kNoKey.
auto Seal(const KeyRing& ring, const pb::TunnelHeader& header, BytesView payload, Bytes& out)
    -> base::Result<void>;

/// Checks the MAC against every key of the ring and parses the header into `opened`, whose memory
/// is reused. Safeguard: a forged datagram could direct packets to a target of its sender's choice,
/// so nothing is parsed before the MAC has been checked. Errors: WireError.
auto Open(const KeyRing& ring, BytesView datagram, Opened& opened) -> base::Result<void>;

}  // namespace anvildrum::wire
