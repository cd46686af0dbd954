#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "tools/fabric_standin/fabric.h"

namespace anvildrum::fabric {

enum class OptionErrorCode { kMissingName, kBadAddress, kUnknownService, kDuplicateService };

struct OptionError {
  OptionErrorCode code = OptionErrorCode::kMissingName;
  std::string text;  ///< the option's value
};

/// A service as clients address it.
struct Service {
  std::string name;
  base::Endpoint address;
};

/// Reads "NAME=IP:PORT". Errors: OptionError.
auto ParseService(std::string_view text) -> base::Result<Service>;

/// Reads "ID=NAME@IP:PORT" and adds the address to the balancer, which is made when it is new.
/// Errors: OptionError.
auto AddBalancerAddress(std::string_view text, const std::vector<Service>& services,
                        std::vector<Balancer>& balancers) -> base::Result<void>;

}  // namespace anvildrum::fabric
