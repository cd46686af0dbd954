#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "packets/routes.h"

namespace anvildrum::packetd {

/// The name of a part of the recorded route history below its prefix at the platform.
auto HistoryPartName(std::size_t part) -> std::string;

/// The number of the part that a key names.
auto HistoryPartOfKey(std::string_view key) -> std::optional<std::size_t>;

/// Encodes a part: by route, as "198.18.0.1:443", the ids of its services in hexadecimal digits.
auto EncodeHistoryPart(const packets::RouteServices& services) -> std::string;

/// Returns nullopt if any entry is malformed, since the history would be incomplete without it.
auto DecodeHistoryPart(std::string_view text) -> std::optional<packets::RouteServices>;

}  // namespace anvildrum::packetd
