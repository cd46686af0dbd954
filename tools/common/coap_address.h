#pragma once

#include <coap3/coap.h>

#include "base/types/endpoint.h"

namespace anvildrum::tools {

/// The socket address that libcoap takes, IPv4 where the endpoint is.
auto ToCoapAddress(const base::Endpoint& endpoint) -> coap_address_t;

/// The endpoint of a socket address of libcoap.
auto FromCoapAddress(const coap_address_t& address) -> base::Endpoint;

}  // namespace anvildrum::tools
