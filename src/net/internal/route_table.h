#pragma once

#include <string>
#include <vector>

#include "net/operator_port.h"

namespace anvildrum::net::internal {

struct RouteEntry {
  std::string method;
  std::string path;  ///< ends in "/": everything below it
  OperatorPort::Handler handler;
};

inline constexpr auto kNotFound = 404U;
inline constexpr auto kMethodNotAllowed = 405U;

using RouteTable = std::vector<RouteEntry>;

/// The answer of the route with the longest matching path; 404 or 405 without one.
auto Dispatch(const RouteTable& routes, const OperatorRequest& request) -> OperatorResponse;

}  // namespace anvildrum::net::internal
