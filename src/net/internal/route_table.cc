#include "net/internal/route_table.h"

namespace anvildrum::net::internal {
namespace {

auto Matches(const RouteEntry& route, std::string_view path) -> bool {
  if (route.path.ends_with('/')) return path.starts_with(route.path);
  return path == route.path;
}

}  // namespace

auto Dispatch(const RouteTable& routes, const OperatorRequest& request) -> OperatorResponse {
  const RouteEntry* best = nullptr;
  auto path_known = false;
  for (const auto& route : routes) {
    if (!Matches(route, request.path)) continue;
    path_known = true;
    if (route.method != request.method) continue;
    if (best == nullptr || route.path.size() > best->path.size()) best = &route;
  }
  if (best != nullptr) return best->handler(request);
  if (path_known) return {.status = kMethodNotAllowed, .body = "method not allowed\n"};
  return {.status = kNotFound, .body = "not found\n"};
}

}  // namespace anvildrum::net::internal
