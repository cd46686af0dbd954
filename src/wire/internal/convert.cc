#include "wire/convert.h"

#include <algorithm>
#include <limits>

namespace anvildrum::wire {
namespace {

constexpr auto kV4Size = std::size_t{4};
constexpr auto kV6Size = std::size_t{16};
constexpr auto kMappedOffset = kV6Size - kV4Size;

auto BadAddress(std::size_t size) -> boost::leaf::error_id {
  return boost::leaf::new_error(WireError{WireErrorCode::kBadAddress, size});
}

}  // namespace

auto WriteEndpoint(const base::Endpoint& endpoint, pb::Address& message) -> void {
  const auto* bytes = reinterpret_cast<const char*>(endpoint.address.data());
  if (base::IsV4(endpoint)) {
    message.set_ip(bytes + kMappedOffset, kV4Size);
  } else {
    message.set_ip(bytes, kV6Size);
  }
  message.set_port(endpoint.port);
}

auto ReadEndpoint(const pb::Address& message) -> base::Result<base::Endpoint> {
  const auto& ip = message.ip();
  if (message.port() > std::numeric_limits<std::uint16_t>::max()) return BadAddress(ip.size());
  auto endpoint = base::EndpointFromV4(0, static_cast<std::uint16_t>(message.port()));
  if (ip.size() == kV4Size) {
    std::copy(ip.begin(), ip.end(), endpoint.address.begin() + kMappedOffset);
  } else if (ip.size() == kV6Size) {
    std::copy(ip.begin(), ip.end(), endpoint.address.begin());
  } else {
    return BadAddress(ip.size());
  }
  return endpoint;
}

auto WriteFlow(const base::FlowKey& flow, pb::Flow& message) -> void {
  WriteEndpoint(flow.client, *message.mutable_client());
  message.set_service(flow.service.value);
}

auto ReadFlow(const pb::Flow& message) -> base::Result<base::FlowKey> {
  BOOST_LEAF_AUTO(client, ReadEndpoint(message.client()));
  return base::FlowKey{client, {message.service()}};
}

}  // namespace anvildrum::wire
