#pragma once

#include <array>
#include <cstdint>
#include <span>

/// Message authentication codes for short inputs: SipHash-2-4 (Aumasson and Bernstein, 2012), by
/// libsodium.
namespace anvildrum::base {

using SipHashKey = std::array<std::uint8_t, 16>;

auto SipHash64(const SipHashKey& key, std::span<const std::uint8_t> bytes)
    -> std::array<std::uint8_t, 8>;
auto SipHash128(const SipHashKey& key, std::span<const std::uint8_t> bytes)
    -> std::array<std::uint8_t, 16>;

/// Compares in a time that depends on the size alone: a sender that could time the comparison would
/// find a valid code byte by byte.
auto SameCode(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right) -> bool;

}  // namespace anvildrum::base
