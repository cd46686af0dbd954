#include "packets/route_classes.h"

#include <boost/test/unit_test.hpp>

#include "agent_test_utils.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kUrgent = admission::RequestClass{true, 1, milliseconds{300}, milliseconds{1500}};

// Guards against a route without a class being treated as the most urgent one.
BOOST_AUTO_TEST_CASE(an_unknown_route_has_no_class) {
  auto agent = MakeAgent();
  BOOST_TEST(!ClassOf(agent, Opening()).known);
  BOOST_TEST((PriorityRange(agent) == std::pair<admission::Priority, admission::Priority>{}));
  SetClasses(agent.route_classes, {{KeyOf(kRoute), kUrgent}});
  BOOST_TEST((ClassOf(agent, Opening()) == kUrgent));
  BOOST_TEST((PriorityRange(agent) == std::pair<admission::Priority, admission::Priority>{1, 1}));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
