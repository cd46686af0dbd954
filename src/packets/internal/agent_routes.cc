#include "packets/internal/agent_routes.h"

#include <algorithm>
#include <utility>

namespace anvildrum::packets {
namespace {

auto AllAnswerRouteQueries(const Agent& agent) -> bool {
  return std::all_of(agent.balancers.begin(), agent.balancers.end(),
                     [](const auto& entry) { return entry.second.said.answers_route_queries; });
}

// Notes that the route is to be asked for, unless it has just been.
auto Ask(Agent& agent, const End& route, base::TimePoint now) -> void {
  auto& routes = agent.confirmed_routes;
  const auto key = KeyOf(route);
  const auto asked = routes.asked.find(key);
  if (asked != routes.asked.end() && now - asked->second < agent.policy.route_query_timeout) return;
  if (asked == routes.asked.end() && routes.asked.size() >= kMaxConfirmedRoutes) return;
  routes.asked[key] = now;
  routes.due = route;
}

auto IsConfirmed(Agent& agent, const Packet& packet, base::TimePoint now) -> bool {
  const auto& confirmed = agent.confirmed_routes.confirmed;
  const auto entry = confirmed.find(KeyOf(packet.destination));
  if (entry == confirmed.end()) return false;
  const auto age = now - entry->second.at;
  if (age >= agent.policy.route_confirmed_for) return false;
  if (IsOpening(packet) && !entry->second.openings) return false;
  if (age >= agent.policy.route_confirmed_for / 2) Ask(agent, packet.destination, now);
  return true;
}

}  // namespace

auto MayReceive(Agent& agent, const Packet& packet, base::TimePoint now) -> bool {
  if (agent.route_classes.classes.contains(KeyOf(packet.destination))) return true;
  if (IsConfirmed(agent, packet, now)) return true;
  if (!IsOpening(packet) && agent.flows.contains(FlowFromClient(packet))) return true;
  if (!AllAnswerRouteQueries(agent)) return true;
  Ask(agent, packet.destination, now);
  return false;
}

auto DropExpiredRoutes(Agent& agent, base::TimePoint now) -> void {
  auto& routes = agent.confirmed_routes;
  std::erase_if(routes.confirmed, [&](const auto& entry) {
    return now - entry.second.at >= agent.policy.route_confirmed_for;
  });
  std::erase_if(routes.asked, [&](const auto& entry) {
    return now - entry.second >= agent.policy.route_query_timeout;
  });
}

auto TakeRouteQuery(Agent& agent) -> std::optional<RouteQuery> {
  const auto route = std::exchange(agent.confirmed_routes.due, std::nullopt);
  if (!route) return std::nullopt;
  return RouteQuery{agent.service, *route};
}

auto RepeatRouteQuery(Agent& agent, const End& route, base::TimePoint now)
    -> std::optional<RouteQuery> {
  Ask(agent, route, now);
  return TakeRouteQuery(agent);
}

auto TakeRouteAnswer(Agent& agent, const RouteAnswer& answer, base::TimePoint now) -> bool {
  if (answer.service != agent.service) return false;
  auto& confirmed = agent.confirmed_routes.confirmed;
  const auto key = KeyOf(answer.route);
  agent.confirmed_routes.asked.erase(key);
  if (!answer.packets && !answer.openings) {
    confirmed.erase(key);
  } else if (confirmed.contains(key) || confirmed.size() < kMaxConfirmedRoutes) {
    confirmed[key] = {.at = now, .openings = answer.openings};
  }
  return true;
}

}  // namespace anvildrum::packets
