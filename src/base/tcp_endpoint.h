#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "base/types/endpoint.h"

namespace anvildrum::base {

/// The endpoint as Asio's sockets take it; an IPv4 address that is written as IPv6 becomes IPv4.
auto ToTcp(const Endpoint& endpoint) -> boost::asio::ip::tcp::endpoint;

}  // namespace anvildrum::base
