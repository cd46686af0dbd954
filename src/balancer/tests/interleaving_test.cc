#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "balancer/tests/interleaving_world.h"

namespace anvildrum::balancer {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr auto kSeeds = std::uint32_t{100};  // the sanitizers take ten times as long
#else
constexpr auto kSeeds = std::uint32_t{1000};
#endif

// Returns a number from the environment, for longer runs than those of CI.
auto NumberOf(const char* variable, std::uint32_t fallback) -> std::uint32_t {
  const auto* text = std::getenv(variable);
  return text != nullptr ? static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10)) : fallback;
}

// Runs every seed. The script of the first one that fails is reduced to the actions that it needs
// to fail.
auto RunSeeds(std::uint32_t default_first, bool planned) -> void {
  auto first = NumberOf("ANVILDRUM_FIRST_SEED", default_first);
  auto count = NumberOf("ANVILDRUM_SEEDS", kSeeds);
  for (auto seed = first; seed < first + count; ++seed) {
    auto script = DrawScript(seed, planned);
    auto failure = RunScript(script);
    if (failure.empty()) continue;
    auto shortest =
        Shrink(script, [&](const Script& shorter) { return RunScript(shorter) == failure; });
    BOOST_FAIL(failure << "\n" << Print(shortest));
  }
}

// A client's flow is established. Targets drain, return and join, balancers come and go, weights
// change and targets shed load. Each instance learns of it at a different time and in a different
// order, over a network that loses, duplicates and reorders packets. The client's packets have to
// reach the one target that owns the flow throughout.
BOOST_AUTO_TEST_CASE(planned_change_in_any_order_moves_no_flow) { RunSeeds(1, true); }

// The same, with agents that are killed, restarted (also for the other service at the same
// address), paused for seconds and disconnected from each other. Flows of a dead target are opened
// again. In the end each client has to be served by one target again, and no packet may ever cross
// services.
BOOST_AUTO_TEST_CASE(unplanned_change_leaves_one_owner_a_flow) { RunSeeds(100000, false); }

}  // namespace
}  // namespace anvildrum::balancer
