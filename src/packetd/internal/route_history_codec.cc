#include "packetd/route_history_codec.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "packetd/addresses.h"
#include "packets/route_history.h"

namespace anvildrum::packetd {
namespace {

using Json = nlohmann::json;

constexpr auto kPartPrefix = std::string_view{"part-"};
constexpr auto kHexadecimal = 16;
constexpr auto kMaxPort = 65535U;

template <typename Number>
auto ParseNumber(std::string_view text, int base) -> std::optional<Number> {
  auto number = Number{};
  const auto* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc{} || last != end || text.empty()) return std::nullopt;
  return number;
}

auto RouteText(std::uint64_t route) -> std::string {
  const auto port = static_cast<std::uint16_t>(route);
  return FormatAddress(static_cast<packets::Address>(route >> 16U)) + ":" + std::to_string(port);
}

auto ParseRoute(std::string_view text) -> std::optional<std::uint64_t> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto address = ParseAddress(std::string(text.substr(0, colon)));
  const auto port = ParseNumber<unsigned>(text.substr(colon + 1), 10);
  if (!address || !port || *port > kMaxPort) return std::nullopt;
  return packets::KeyOf({*address, static_cast<std::uint16_t>(*port)});
}

auto ServiceText(base::ServiceId service) -> std::string {
  auto text = std::array<char, 2 * sizeof(service.value)>{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), service.value, kHexadecimal);
  return {text.data(), end};
}

auto ParseServices(const Json& list) -> std::optional<std::vector<base::ServiceId>> {
  if (!list.is_array()) return std::nullopt;
  auto services = std::vector<base::ServiceId>{};
  for (const auto& item : list) {
    if (!item.is_string()) return std::nullopt;
    const auto id = ParseNumber<std::uint64_t>(item.get_ref<const std::string&>(), kHexadecimal);
    if (!id) return std::nullopt;
    services.push_back({*id});
  }
  return services;
}

}  // namespace

auto HistoryPartName(std::size_t part) -> std::string {
  return std::string(kPartPrefix) + std::to_string(part);
}

auto HistoryPartOfKey(std::string_view key) -> std::optional<std::size_t> {
  const auto name = key.substr(key.rfind('/') + 1);
  if (!name.starts_with(kPartPrefix)) return std::nullopt;
  const auto part = ParseNumber<std::size_t>(name.substr(kPartPrefix.size()), 10);
  return part && *part < packets::kHistoryParts ? part : std::nullopt;
}

auto EncodeHistoryPart(const packets::RouteServices& services) -> std::string {
  auto routes = Json::object();
  for (const auto& [route, ids] : services) {
    auto& list = routes[RouteText(route)] = Json::array();
    for (const auto id : ids) list.push_back(ServiceText(id));
  }
  return Json{{"routes", std::move(routes)}}.dump();
}

auto DecodeHistoryPart(std::string_view text) -> std::optional<packets::RouteServices> {
  const auto document = Json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  const auto routes = document.find("routes");
  if (routes == document.end() || !routes->is_object()) return std::nullopt;
  auto services = packets::RouteServices{};
  for (const auto& [name, list] : routes->items()) {
    const auto route = ParseRoute(name);
    auto ids = ParseServices(list);
    if (!route || !ids) return std::nullopt;
    services[*route] = std::move(*ids);
  }
  return services;
}

}  // namespace anvildrum::packetd
