#pragma once

#include <sys/socket.h>

#include "base/types/endpoint.h"

namespace anvildrum::net {

/// An address as the operating system takes it.
struct SocketAddress {
  sockaddr_storage storage;
  socklen_t length = 0;
};

/// AF_INET for an IPv4 endpoint, otherwise AF_INET6.
auto FamilyOf(const base::Endpoint& endpoint) -> int;

/// The endpoint for a socket of `family`. An IPv4 endpoint on an AF_INET6 socket keeps its mapped
/// form; an IPv6 endpoint on an AF_INET socket has no form there and gives length 0.
auto ToSocketAddress(const base::Endpoint& endpoint, int family) -> SocketAddress;

/// The endpoint of an AF_INET or AF_INET6 address; all zeros for any other family.
auto FromSocketAddress(const sockaddr_storage& storage) -> base::Endpoint;

}  // namespace anvildrum::net
