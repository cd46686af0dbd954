#include "packets/route_set.h"

namespace anvildrum::packets {
namespace {

auto BitOf(const End& route) -> std::size_t {
  return HashOf(FlowId{.client = {}, .service = route}) % kRouteSetBits;
}

auto IsWithin(base::TimePoint seen, base::Duration window, base::TimePoint now) -> bool {
  return seen != base::TimePoint{} && now - seen <= window;
}

}  // namespace

auto SetOf(const End& route) -> RouteSet { return {std::uint64_t{1} << BitOf(route)}; }

auto Overlap(const RouteSet& a, const RouteSet& b) -> bool { return (a.bits & b.bits) != 0; }

auto NoteRoute(RecentRoutes& recent, const End& route, base::Duration window, base::TimePoint now)
    -> bool {
  if (route != recent.last) {
    recent.last = route;
    recent.last_bit = BitOf(route);
  }
  auto& seen = recent.seen.at(recent.last_bit);
  const auto known = IsWithin(seen, window, now);
  seen = now;
  return !known;
}

auto RoutesWithin(const RecentRoutes& recent, base::Duration window, base::TimePoint now)
    -> RouteSet {
  auto set = RouteSet{};
  for (auto bit = std::size_t{0}; bit < recent.seen.size(); ++bit) {
    if (IsWithin(recent.seen.at(bit), window, now)) set.bits |= std::uint64_t{1} << bit;
  }
  return set;
}

}  // namespace anvildrum::packets
