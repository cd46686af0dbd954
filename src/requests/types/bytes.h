#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace anvildrum::requests {

using Bytes = std::vector<std::uint8_t>;
using BytesView = std::span<const std::uint8_t>;

}  // namespace anvildrum::requests
