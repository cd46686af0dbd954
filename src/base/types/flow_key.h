#pragma once

#include <compare>
#include <functional>

#include "base/types/endpoint.h"
#include "base/types/ids.h"

namespace anvildrum::base {

/// What identifies a flow: who sends, and the service it sends to. The service's address is not
/// part of it: a service that changes its address keeps its flows.
struct FlowKey {
  Endpoint client;
  ServiceId service;
  auto operator<=>(const FlowKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// 64-bit digest of a flow, the same on every instance.
auto HashFlow(const FlowKey& flow) -> std::uint64_t;

}  // namespace anvildrum::base

template <>
struct std::hash<anvildrum::base::FlowKey> {
  auto operator()(const anvildrum::base::FlowKey& flow) const noexcept -> std::size_t {
    return anvildrum::base::HashFlow(flow);
  }
};
