#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace anvildrum::base {

/// A 64-bit identifier that cannot be mixed up with one of another kind.
template <typename Tag>
struct Id {
  std::uint64_t value = 0;
  auto operator<=>(const Id&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

using ServiceId = Id<struct ServiceTag>;    ///< XXH3 of the service's name
using TargetId = Id<struct TargetTag>;      ///< XXH3 of the target's name
using InstanceId = Id<struct InstanceTag>;  ///< XXH3 of the name of a process of the system

/// Start number of a process. A restart always carries a higher one.
using Incarnation = std::uint64_t;

/// XXH3 of a name: the same on every instance, so names need not travel in each datagram.
auto HashName(std::string_view name) -> std::uint64_t;

auto ServiceIdOf(std::string_view name) -> ServiceId;
auto TargetIdOf(std::string_view name) -> TargetId;
auto InstanceIdOf(std::string_view name) -> InstanceId;

}  // namespace anvildrum::base

template <typename Tag>
struct std::hash<anvildrum::base::Id<Tag>> {
  auto operator()(const anvildrum::base::Id<Tag>& id) const noexcept -> std::size_t {
    return id.value;
  }
};
