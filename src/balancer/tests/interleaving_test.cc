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

// A number from the environment, for runs longer than CI's.
auto NumberOf(const char* variable, std::uint32_t usual) -> std::uint32_t {
  const auto* asked = std::getenv(variable);
  return asked != nullptr ? static_cast<std::uint32_t>(std::strtoul(asked, nullptr, 10)) : usual;
}

// Runs every seed; the first that fails is cut down to the actions that it takes.
auto RunSeeds(std::uint32_t usual_first, bool planned) -> void {
  auto first = NumberOf("ANVILDRUM_FIRST_SEED", usual_first);
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

// A trader's feed is open; targets drain, come back and join, balancers come and go, weights
// change, targets shed load, and each instance hears of it at another moment, in another order,
// over a network that loses, doubles and reorders. The trader's packets must go on reaching the one
// target that has the feed.
BOOST_AUTO_TEST_CASE(planned_change_in_any_order_moves_no_flow) { RunSeeds(1, true); }

// The same, with agents killed, restarted (also for the other service at the same address), stopped
// for seconds and cut from each other. Flows of a target that died are opened anew; at rest each
// client is served again by one target, and no packet has ever crossed services.
BOOST_AUTO_TEST_CASE(unplanned_change_leaves_one_owner_a_flow) { RunSeeds(100000, false); }

}  // namespace
}  // namespace anvildrum::balancer
