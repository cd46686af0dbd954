#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "agent_test_utils.h"
#include "packets/hello.h"
#include "packets/route_classes.h"

/// Balancers with route classes, and the exchange of these with an agent.
namespace anvildrum::packets::agent_tests {

using admission::RequestClass;
using Classes = std::unordered_map<std::uint64_t, RequestClass>;

inline constexpr auto kFirst = kBalancer;
inline constexpr auto kSecond = kBalancer + 1;
inline constexpr auto kHelloPeriod = milliseconds{250};
inline constexpr auto kUrgent = RequestClass{true, 1, milliseconds{300}, milliseconds{1500}, false};
inline constexpr auto kRelaxed = RequestClass{true, 2, milliseconds{250}, milliseconds{1200}, true};

// Upper bound of the size of a datagram with classes, in bytes.
inline constexpr auto kMaxDatagramBytes = std::size_t{1300};

inline auto RouteAt(std::size_t index) -> std::uint64_t {
  return KeyOf({kRoute.address + static_cast<Address>(index), 443});
}

// Returns the classes of `count` routes that share a class.
inline auto ClassesOf(std::size_t count, const RequestClass& shared) -> Classes {
  auto classes = Classes{};
  for (auto i = std::size_t{0}; i < count; ++i) classes[RouteAt(i)] = shared;
  return classes;
}

// Returns routes to service kDesk.
inline auto RoutesWith(std::uint64_t version, const Classes& classes) -> Routes {
  auto routes = Routes{};
  routes.version = version;
  routes.classes = classes;
  for (const auto& [route, request_class] : classes) routes.shares[route] = {{kDesk, 1}};
  return routes;
}

// A balancer that knows one agent of service kDesk.
inline auto MakeBalancer(std::uint64_t version, const Classes& classes) -> Balancer {
  auto balancer = Balancer{};
  AddRecord(balancer.view, kOwn, kDesk, kStart);
  ApplyRoutes(balancer, RoutesWith(version, classes), kStart);
  return balancer;
}

inline auto RoundTrip(const Control& control) -> std::optional<Control> {
  const auto text = EncodeControl(control);
  return DecodeControl({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()}, kOwn);
}

// Returns the size of the control datagram in bytes.
inline auto SizeOf(const Control& control) -> std::size_t { return EncodeControl(control).size(); }

inline auto HelloOf(const Balancer& balancer, base::TimePoint now) -> Hello {
  return MakeHellos(balancer, now).at(kDesk).brief;
}

// Delivers a hello and returns the agent's report to it.
inline auto Announce(Agent& agent, Address address, const Balancer& balancer, base::TimePoint now)
    -> TargetReport {
  TakeHello(agent, address, std::get<Hello>(*RoundTrip(HelloOf(balancer, now))), now);
  return std::get<TargetReport>(*RoundTrip(MakeReport(agent, address, now)));
}

// Selects the parts, by index, that reach the agent.
using Delivered = std::function<bool(std::uint32_t)>;

inline auto All(std::uint32_t /*part*/) -> bool { return true; }

// Delivers a hello and the parts that the agent requests. Returns the number of parts sent.
inline auto Exchange(Agent& agent, Address address, const Balancer& balancer, base::TimePoint now,
                     const Delivered& delivered = All) -> std::size_t {
  const auto report = Announce(agent, address, balancer, now);
  const auto parts = RequestedClasses(balancer.classes, report);
  for (const auto& part : parts) {
    if (!delivered(part.part)) continue;
    TakeRouteClasses(agent, std::get<RouteClassesPart>(*RoundTrip(part)), now);
  }
  return parts.size();
}

inline auto Knows(const Agent& agent, const RequestClass& request_class) -> bool {
  return ClassOf(agent, kRoute) == request_class;
}

}  // namespace anvildrum::packets::agent_tests
