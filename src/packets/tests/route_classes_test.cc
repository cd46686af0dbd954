#include "packets/route_classes.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <span>
#include <utility>
#include <vector>

#include "route_classes_utils.h"

namespace anvildrum::packets::agent_tests {
namespace {

// Guards against the routes of other services, or without new flows, counting for the service.
BOOST_AUTO_TEST_CASE(a_service_has_the_classes_of_its_routes) {
  auto routes = RoutesWith(7, {{RouteAt(0), kUrgent}, {RouteAt(1), kRelaxed}, {RouteAt(2), {}}});
  routes.shares[RouteAt(0)] = {{kDesk, 90}, {kMapper, 10}};
  routes.shares[RouteAt(1)] = {{kDesk, 0}, {kMapper, 1}};
  const auto classes = MakeServiceClasses(routes);
  const auto groups = [&](base::ServiceId service) {
    return classes.at(service).parts.front().groups;
  };
  const auto urgent = RouteGroup{kUrgent, {RouteAt(0)}};
  const auto relaxed = RouteGroup{kRelaxed, {RouteAt(1)}};
  BOOST_TEST((groups(kDesk) == std::vector{urgent}));
  BOOST_TEST((groups(kMapper) == std::vector{urgent, relaxed}));
  BOOST_TEST(!classes.contains(base::ServiceId{33}));
}

// Guards against a digest that depends on the order of a hash table, so that the agent would
// request the same classes from every balancer.
BOOST_AUTO_TEST_CASE(balancers_with_the_same_configuration_announce_the_same_digest) {
  auto forwards = ClassesOf(300, kUrgent);
  auto backwards = Classes{};
  backwards.reserve(5'000);
  for (auto i = std::size_t{300}; i > 0; --i) backwards[RouteAt(i - 1)] = kUrgent;
  const auto digest = MakeBalancer(7, forwards).classes.at(kDesk).digest;
  BOOST_TEST(MakeBalancer(7, backwards).classes.at(kDesk).digest == digest);
  backwards[RouteAt(5)].repeatable = true;
  BOOST_TEST(MakeBalancer(7, backwards).classes.at(kDesk).digest != digest);
}

// Guards against a change of the digest between builds, which compare it with each other.
BOOST_AUTO_TEST_CASE(the_digest_of_a_set_is_fixed) {
  const auto groups = std::vector{RouteGroup{kUrgent, {1, 2}}, RouteGroup{kRelaxed, {3}}};
  BOOST_TEST(DigestOf(groups) == 4107329609U);
  BOOST_TEST(DigestOfNoClasses() == 953390275U);
}

// Guards against an unbounded number of datagrams. The least urgent routes stay unknown.
BOOST_AUTO_TEST_CASE(routes_beyond_the_bound_stay_unknown) {
  constexpr auto most = kRoutesInPart * kMaxClassParts;
  auto classes = ClassesOf(most + 1, kUrgent);
  classes[RouteAt(0)] = kRelaxed;
  const auto balancer = MakeBalancer(7, classes);
  auto agent = MakeAgent();
  BOOST_TEST(Exchange(agent, kFirst, balancer, kStart) == kMaxClassParts);
  BOOST_TEST(agent.route_classes.classes.size() == most);
  BOOST_TEST(!agent.route_classes.classes.contains(RouteAt(0)));
}

// Guards against control traffic above its bounds: 6,700 routes in datagrams of under 1,300 bytes,
// and hellos that do not grow with the routes.
BOOST_AUTO_TEST_CASE(the_traffic_of_6700_routes_is_bounded) {
  constexpr auto routes = std::size_t{6'700};
  auto classes = Classes{};
  for (auto i = std::size_t{0}; i < routes; ++i) {
    auto request_class = i % 2 == 0 ? kUrgent : kRelaxed;
    request_class.priority = static_cast<admission::Priority>(i % 4);
    classes[RouteAt(i)] = request_class;
  }
  const auto balancer = MakeBalancer(1ULL << 32U, classes);
  auto bytes = std::size_t{0};
  const auto& parts = balancer.classes.at(kDesk).parts;
  for (const auto& part : parts) {
    BOOST_TEST(SizeOf(part) < kMaxDatagramBytes);
    bytes += SizeOf(part);
  }
  BOOST_TEST(parts.size() == (routes + kRoutesInPart - 1) / kRoutesInPart);
  BOOST_TEST(bytes < 60'000U);
  auto without = HelloOf(balancer, kStart);
  const auto with_classes = SizeOf(without);
  without.classes_digest = 0;
  without.classes_version = 0;
  BOOST_TEST(with_classes - SizeOf(without) <= 15U);
  auto agent = MakeAgent();
  BOOST_TEST(Exchange(agent, kFirst, balancer, kStart) == parts.size());
  BOOST_TEST((agent.route_classes.classes == classes));
}

// Guards against datagrams that are too long where each route has a class of its own, and against
// parts that are far shorter than a datagram. The size of a group of one route is overestimated by
// two bytes.
BOOST_AUTO_TEST_CASE(many_classes_make_shorter_parts) {
  auto classes = Classes{};
  for (auto i = std::size_t{0}; i < 6'700; ++i) {
    const auto objective = base::hours{1} - milliseconds{i};
    classes[RouteAt(i)] = RequestClass{true, 255, objective, base::hours{1}, true};
  }
  const auto balancer = MakeBalancer(~0ULL, classes);
  for (const auto& part : balancer.classes.at(kDesk).parts) {
    BOOST_TEST(SizeOf(part) < kMaxDatagramBytes);
    BOOST_TEST(SizeOf(part) > kMaxDatagramBytes - 120);
  }
  auto agent = MakeAgent();
  BOOST_TEST(Exchange(agent, kFirst, balancer, kStart) == kMaxClassParts);
  BOOST_TEST(agent.route_classes.version == ~0ULL);
  BOOST_TEST(agent.route_classes.classes.size() > 2'500U);
}

// Guards against invalid classes and parts being stored, and against memory beyond the bounds.
BOOST_AUTO_TEST_CASE(invalid_parts_are_rejected) {
  const auto valid = RouteClassesPart{.service = kDesk, .digest = 5, .groups = {{kUrgent, {1, 2}}}};
  BOOST_TEST(RoundTrip(valid).has_value());
  auto part = valid;
  part.part = 1;
  BOOST_TEST(!RoundTrip(part));
  part.parts = kMaxClassParts;
  BOOST_TEST(RoundTrip(part).has_value());
  part.parts = kMaxClassParts + 1;
  BOOST_TEST(!RoundTrip(part));
  part = valid;
  part.groups.front().routes.resize(kRoutesInPart);
  BOOST_TEST(RoundTrip(part).has_value());
  part.groups.push_back({kRelaxed, {1}});
  BOOST_TEST(!RoundTrip(part));
  // The number of routes bounds that of the groups, so that a set takes bounded memory.
  part = valid;
  part.groups.push_back({kRelaxed, {}});
  BOOST_TEST(!RoundTrip(part));
  for (const auto time : {milliseconds{0}, milliseconds{3'600'001}}) {
    part = valid;
    part.groups.front().request_class.objective = time;
    BOOST_TEST(!RoundTrip(part));
    part = valid;
    part.groups.front().request_class.timeout = time;
    BOOST_TEST(!RoundTrip(part));
  }
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
