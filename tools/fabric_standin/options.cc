#include "tools/fabric_standin/options.h"

#include <algorithm>

namespace anvildrum::fabric {
namespace {

auto Fail(OptionErrorCode code, std::string_view text) -> boost::leaf::error_id {
  return boost::leaf::new_error(OptionError{code, std::string(text)});
}

auto BalancerNamed(std::string_view id, std::vector<Balancer>& balancers) -> Balancer& {
  for (auto& balancer : balancers) {
    if (balancer.id == id) return balancer;
  }
  return balancers.emplace_back(Balancer{std::string(id), {}});
}

}  // namespace

auto ParseService(std::string_view text) -> base::Result<Service> {
  auto equals = text.find('=');
  if (equals == 0 || equals == std::string_view::npos) {
    return Fail(OptionErrorCode::kMissingName, text);
  }
  auto address = base::ParseEndpoint(text.substr(equals + 1));
  if (!address) return Fail(OptionErrorCode::kBadAddress, text);
  return Service{std::string(text.substr(0, equals)), *address};
}

auto AddBalancerAddress(std::string_view text, const std::vector<Service>& services,
                        std::vector<Balancer>& balancers) -> base::Result<void> {
  auto equals = text.find('=');
  auto at = text.find('@', equals == std::string_view::npos ? 0 : equals);
  if (equals == 0 || equals == std::string_view::npos || at == std::string_view::npos) {
    return Fail(OptionErrorCode::kMissingName, text);
  }
  auto name = text.substr(equals + 1, at - equals - 1);
  auto known = std::any_of(services.begin(), services.end(),
                           [&](const Service& service) { return service.name == name; });
  if (!known) return Fail(OptionErrorCode::kUnknownService, text);
  auto address = base::ParseEndpoint(text.substr(at + 1));
  if (!address) return Fail(OptionErrorCode::kBadAddress, text);
  auto& balancer = BalancerNamed(text.substr(0, equals), balancers);
  if (!balancer.addresses.emplace(name, *address).second) {
    return Fail(OptionErrorCode::kDuplicateService, text);
  }
  return {};
}

}  // namespace anvildrum::fabric
