#include "packetd/addresses.h"

namespace anvildrum::packetd {

auto AddressOf(const base::Endpoint& endpoint) -> packets::Address {
  return base::V4Number(endpoint);
}

auto FormatAddress(packets::Address address) -> std::string {
  const auto text = base::FormatEndpoint(base::EndpointFromV4(address, 0));
  return text.substr(0, text.rfind(':'));
}

auto FormatEnd(const packets::End& end) -> std::string {
  return base::FormatEndpoint(base::EndpointFromV4(end.address, end.port));
}

auto ParseAddress(std::string_view text) -> std::optional<packets::Address> {
  const auto parsed = base::ParseEndpoint(std::string(text) + ":0");
  if (!parsed || !base::IsV4(parsed.value())) return std::nullopt;
  return AddressOf(parsed.value());
}

}  // namespace anvildrum::packetd
