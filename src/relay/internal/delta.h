#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace anvildrum::relay {

/// Longest value that is unpacked: the platform holds no more.
inline constexpr std::size_t kValueMost = std::size_t{1} << 20;

/// `value` as zstd (RFC 8878) with `base` as the prefix that matches may refer to; empty: none.
auto Pack(std::string_view value, std::string_view base) -> std::string;

/// The value again; nothing when the bytes do not unpack with this base, or to more than `most`.
auto Unpack(std::string_view bytes, std::string_view base, std::size_t most)
    -> std::optional<std::string>;

}  // namespace anvildrum::relay
