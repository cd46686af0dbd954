#include "base/tcp_endpoint.h"

namespace anvildrum::base {

auto ToTcp(const Endpoint& endpoint) -> boost::asio::ip::tcp::endpoint {
  namespace ip = boost::asio::ip;
  const auto v6 = ip::address_v6{endpoint.address};
  if (!IsV4(endpoint)) return {v6, endpoint.port};
  return {ip::make_address_v4(ip::v4_mapped, v6), endpoint.port};
}

}  // namespace anvildrum::base
