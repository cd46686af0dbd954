#include "tools/common/coap_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>

namespace anvildrum::tools {

auto ToCoapAddress(const base::Endpoint& endpoint) -> coap_address_t {
  auto address = coap_address_t{};
  coap_address_init(&address);
  if (base::IsV4(endpoint)) {
    address.size = sizeof(address.addr.sin);
    address.addr.sin.sin_family = AF_INET;
    address.addr.sin.sin_port = htons(endpoint.port);
    std::memcpy(&address.addr.sin.sin_addr, endpoint.address.data() + 12, 4);
    return address;
  }
  address.size = sizeof(address.addr.sin6);
  address.addr.sin6.sin6_family = AF_INET6;
  address.addr.sin6.sin6_port = htons(endpoint.port);
  std::memcpy(&address.addr.sin6.sin6_addr, endpoint.address.data(), endpoint.address.size());
  return address;
}

auto FromCoapAddress(const coap_address_t& address) -> base::Endpoint {
  if (address.addr.sa.sa_family == AF_INET) {
    return base::EndpointFromV4(ntohl(address.addr.sin.sin_addr.s_addr),
                                ntohs(address.addr.sin.sin_port));
  }
  auto endpoint = base::Endpoint{{}, ntohs(address.addr.sin6.sin6_port)};
  std::memcpy(endpoint.address.data(), &address.addr.sin6.sin6_addr, endpoint.address.size());
  return endpoint;
}

}  // namespace anvildrum::tools
