#include "base/types/endpoint.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstring>

namespace anvildrum::base {
namespace {

constexpr auto kMappedPrefix =
    std::array<std::uint8_t, 12>{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

auto Refuse(EndpointErrorCode code, std::string_view text) -> boost::leaf::error_id {
  return boost::leaf::new_error(EndpointError{code, std::string(text)});
}

auto ParsePort(std::string_view digits, std::string_view whole) -> Result<std::uint16_t> {
  auto port = std::uint16_t{0};
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return Refuse(EndpointErrorCode::kPortOutOfRange, whole);
  }
  return port;
}

auto StripBrackets(std::string_view host) -> std::string_view {
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') return host;
  return host.substr(1, host.size() - 2);
}

}  // namespace

auto ParseEndpoint(std::string_view text) -> Result<Endpoint> {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return Refuse(EndpointErrorCode::kMissingPort, text);
  auto port = ParsePort(text.substr(colon + 1), text);
  if (!port) return port.error();
  auto error = boost::system::error_code{};
  auto host = std::string(StripBrackets(text.substr(0, colon)));
  auto address = boost::asio::ip::make_address(host, error);
  if (error) return Refuse(EndpointErrorCode::kNotAnIpAddress, text);
  if (address.is_v4()) return EndpointFromV4(address.to_v4().to_uint(), *port);
  return Endpoint{address.to_v6().to_bytes(), *port};
}

auto FormatEndpoint(const Endpoint& endpoint) -> std::string {
  auto v6 = boost::asio::ip::address_v6(endpoint.address);
  auto port = std::to_string(endpoint.port);
  if (!IsV4(endpoint)) return "[" + v6.to_string() + "]:" + port;
  auto v4 = boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, v6);
  return v4.to_string() + ":" + port;
}

auto EndpointFromV4(std::uint32_t address, std::uint16_t port) -> Endpoint {
  auto endpoint = Endpoint{{}, port};
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), endpoint.address.begin());
  for (auto i = 0; i < 4; ++i) {
    endpoint.address[12 + i] = static_cast<std::uint8_t>(address >> (24 - 8 * i));
  }
  return endpoint;
}

auto V4Number(const Endpoint& endpoint) -> std::uint32_t {
  auto number = std::uint32_t{0};
  const auto& bytes = endpoint.address;
  for (auto i = bytes.size() - sizeof(number); i < bytes.size(); ++i) {
    number = (number << 8U) | bytes.at(i);
  }
  return number;
}

auto IsV4(const Endpoint& endpoint) -> bool {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), endpoint.address.begin());
}

}  // namespace anvildrum::base

auto std::hash<anvildrum::base::Endpoint>::operator()(
    const anvildrum::base::Endpoint& endpoint) const noexcept -> std::size_t {
  return XXH3_64bits_withSeed(endpoint.address.data(), endpoint.address.size(), endpoint.port);
}
