#include "packetd/shortage_policy.h"

#include <algorithm>

namespace anvildrum::packetd {

auto ShortagePolicyOf(const Settings& settings, std::string_view contract) -> admission::Policy {
  const auto& listed = settings.platform_contracts;
  const auto in_force =
      !contract.empty() && std::find(listed.begin(), listed.end(), contract) != listed.end();
  const auto& stated = settings.shortage;
  auto policy = admission::Policy{};
  policy.order_by_priority = stated.order_by_priority.value_or(in_force);
  policy.admit_by_completion = stated.admit_by_completion.value_or(in_force);
  policy.fair_callers = stated.fair_callers.value_or(in_force);
  policy.await_copies = stated.await_copies.value_or(in_force);
  policy.reserved_share = stated.reserved_share.value_or(policy.reserved_share);
  return policy;
}

}  // namespace anvildrum::packetd
