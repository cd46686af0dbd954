#pragma once

#include <coap3/coap.h>

#include <memory>

#include "requests/coap_message.h"

// The only header that includes libcoap, which is used as a codec.
namespace anvildrum::requests {

inline constexpr auto kHeaderSize = std::size_t{4};
inline constexpr auto kVersionMask = std::uint8_t{0xc0};
inline constexpr auto kVersionOne = std::uint8_t{0x40};
inline constexpr auto kTypeShift = 4;

struct PduDeleter {
  auto operator()(coap_pdu_t* pdu) const -> void { coap_delete_pdu(pdu); }
};
using Pdu = std::unique_ptr<coap_pdu_t, PduDeleter>;

/// Returns null if the datagram is malformed. The PDU holds a copy of the datagram.
auto ParsePdu(BytesView datagram) -> Pdu;
auto OptionValue(const coap_opt_t* option) -> BytesView;
auto PayloadOf(const coap_pdu_t* pdu) -> BytesView;
auto TypeOf(BytesView datagram) -> MessageType;

}  // namespace anvildrum::requests
