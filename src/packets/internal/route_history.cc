#include "packets/route_history.h"

#include <algorithm>
#include <utility>

namespace anvildrum::packets {
namespace {

// Keeps the services that the new configuration removes from each remaining route, and drops those
// that are expired or whose route is removed.
auto KeepFormerServices(Balancer& balancer, const Routes& next, base::TimePoint now) -> void {
  for (const auto& [key, shares] : balancer.routes->shares) {
    const auto stays = next.shares.find(key);
    if (stays == next.shares.end()) continue;
    for (const auto& share : shares) {
      const auto same = [&](const Share& other) { return other.service == share.service; };
      if (std::any_of(stays->second.begin(), stays->second.end(), same)) continue;
      balancer.former[key].push_back({share.service, now + balancer.policy.former_service_ttl});
    }
  }
  for (auto& [key, services] : balancer.former) {
    std::erase_if(services, [&](const FormerService& left) { return now >= left.until; });
  }
  std::erase_if(balancer.former, [&](const auto& entry) {
    return entry.second.empty() || !next.shares.contains(entry.first);
  });
}

auto Contains(const std::vector<FormerService>& former, base::ServiceId service) -> bool {
  return std::any_of(former.begin(), former.end(),
                     [&](const FormerService& left) { return left.service == service; });
}

// Adds the recorded services. One that is known to have left keeps its time limit, however often it
// is read.
auto MergeRecorded(Balancer& balancer, base::TimePoint now) -> void {
  if (!balancer.routes) return;
  for (const auto& [route, services] : balancer.recorded) {
    const auto former = balancer.former.find(route);
    const auto known =
        former == balancer.former.end() ? std::vector<FormerService>{} : former->second;
    for (const auto service : services) {
      if (!Contains(known, service)) NoteFormerService(balancer, route, service, now);
    }
  }
}

}  // namespace

auto ReplaceRoutes(Balancer& balancer, Routes routes, base::TimePoint now) -> void {
  const auto first = !balancer.routes;
  if (first) {
    balancer.configured_at = now;
  } else {
    KeepFormerServices(balancer, routes, now);
  }
  balancer.routes_at = now;
  balancer.routes = std::move(routes);
  ++balancer.route_changes;
  if (first) MergeRecorded(balancer, now);
}

// Safeguard: a change of a route's services or weights assigns open flows to another service than
// the one that holds them. Searching only there would leave these flows without an answer until
// they break, although the change was planned.
auto HoldersOf(const Balancer& balancer, const FlowId& flow, base::TimePoint now)
    -> std::vector<base::ServiceId> {
  auto holders = std::vector<base::ServiceId>{};
  const auto add = [&](base::ServiceId service) {
    const auto known = std::find(holders.begin(), holders.end(), service) != holders.end();
    if (!known) holders.push_back(service);
  };
  const auto route = balancer.routes->shares.find(KeyOf(flow.service));
  if (route == balancer.routes->shares.end()) return holders;
  const auto first = ServiceOf(*balancer.routes, flow);
  if (first) add(*first);
  for (const auto& share : route->second) add(share.service);
  const auto former = balancer.former.find(route->first);
  if (former == balancer.former.end()) return holders;
  for (const auto& left : former->second) {
    if (now < left.until) add(left.service);
  }
  return holders;
}

auto AnswerRouteQuery(const Balancer& balancer, const RouteQuery& query, base::TimePoint now)
    -> std::optional<RouteAnswer> {
  if (!balancer.routes) return std::nullopt;
  auto answer = RouteAnswer{.service = query.service, .route = query.route};
  const auto route = balancer.routes->shares.find(KeyOf(query.route));
  if (route != balancer.routes->shares.end()) {
    answer.openings = std::any_of(
        route->second.begin(), route->second.end(),
        [&](const Share& share) { return share.service == query.service && share.weight != 0; });
  }
  const auto holders = HoldersOf(balancer, {.client = {}, .service = query.route}, now);
  answer.packets = std::find(holders.begin(), holders.end(), query.service) != holders.end();
  return answer;
}

auto NoteFormerService(Balancer& balancer, std::uint64_t route, base::ServiceId service,
                       base::TimePoint now) -> void {
  if (!balancer.routes) return;
  const auto shares = balancer.routes->shares.find(route);
  if (shares == balancer.routes->shares.end()) return;
  const auto serves = [&](const auto& entry) { return entry.service == service; };
  if (std::any_of(shares->second.begin(), shares->second.end(), serves)) return;
  auto& former = balancer.former[route];
  if (std::erase_if(former, serves) == 0) ++balancer.route_changes;
  former.push_back({service, now + balancer.policy.former_service_ttl});
}

auto HistoryPartOf(std::uint64_t route) -> std::size_t {
  const auto end = End{static_cast<Address>(route >> 16U), static_cast<std::uint16_t>(route)};
  return HashOf(FlowId{.client = {}, .service = end}) % kHistoryParts;
}

auto HistoryPart(const Balancer& balancer, std::size_t part, base::TimePoint now) -> RouteServices {
  auto history = RouteServices{};
  if (!balancer.routes) return history;
  for (const auto& [route, shares] : balancer.routes->shares) {
    if (HistoryPartOf(route) != part) continue;
    auto& services = history[route];
    for (const auto& share : shares) services.push_back(share.service);
    const auto former = balancer.former.find(route);
    if (former != balancer.former.end()) {
      for (const auto& left : former->second) {
        if (now < left.until) services.push_back(left.service);
      }
    }
    std::sort(services.begin(), services.end());
    services.erase(std::unique(services.begin(), services.end()), services.end());
  }
  return history;
}

auto TakeHistory(Balancer& balancer, RouteServices recorded, base::TimePoint read_at,
                 base::TimePoint now) -> void {
  balancer.history_at = read_at;
  balancer.history_wanted = false;
  balancer.recorded = std::move(recorded);
  MergeRecorded(balancer, now);
}

auto KnowsFormerServices(const Balancer& balancer, std::uint64_t route, base::TimePoint now)
    -> bool {
  if (!balancer.routes || balancer.outdated) return false;
  if (now - balancer.routes_at >= balancer.policy.former_service_ttl) return true;
  if (!balancer.recorded.contains(route)) return false;
  if (now - balancer.history_at >= balancer.policy.history_fresh_for) return false;
  const auto just_started = balancer.routes_at == balancer.configured_at;
  const auto delay = just_started ? base::Duration{} : base::Duration{kRecordedWithin};
  return balancer.history_at >= balancer.routes_at + delay;
}

}  // namespace anvildrum::packets
