#include "net/sockaddr.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cstring>

namespace anvildrum::net {
namespace {

constexpr auto kMappedPrefix = std::size_t{12};  // RFC 4291, 2.5.5.2

auto ToV4(const base::Endpoint& endpoint, SocketAddress& out) -> void {
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  std::memcpy(&address.sin_addr, endpoint.address.data() + kMappedPrefix, sizeof address.sin_addr);
  std::memcpy(&out.storage, &address, sizeof address);
  out.length = sizeof address;
}

auto ToV6(const base::Endpoint& endpoint, SocketAddress& out) -> void {
  auto address = sockaddr_in6{};
  address.sin6_family = AF_INET6;
  address.sin6_port = htons(endpoint.port);
  std::memcpy(&address.sin6_addr, endpoint.address.data(), sizeof address.sin6_addr);
  std::memcpy(&out.storage, &address, sizeof address);
  out.length = sizeof address;
}

}  // namespace

auto FamilyOf(const base::Endpoint& endpoint) -> int {
  return base::IsV4(endpoint) ? AF_INET : AF_INET6;
}

auto ToSocketAddress(const base::Endpoint& endpoint, int family) -> SocketAddress {
  auto out = SocketAddress{};
  if (family == AF_INET6) {
    ToV6(endpoint, out);
  } else if (base::IsV4(endpoint)) {
    ToV4(endpoint, out);
  }
  return out;
}

auto FromSocketAddress(const sockaddr_storage& storage) -> base::Endpoint {
  auto endpoint = base::Endpoint{};
  if (storage.ss_family == AF_INET) {
    auto address = sockaddr_in{};
    std::memcpy(&address, &storage, sizeof address);
    return base::EndpointFromV4(ntohl(address.sin_addr.s_addr), ntohs(address.sin_port));
  }
  if (storage.ss_family == AF_INET6) {
    auto address = sockaddr_in6{};
    std::memcpy(&address, &storage, sizeof address);
    std::memcpy(endpoint.address.data(), &address.sin6_addr, sizeof address.sin6_addr);
    endpoint.port = ntohs(address.sin6_port);
  }
  return endpoint;
}

}  // namespace anvildrum::net
