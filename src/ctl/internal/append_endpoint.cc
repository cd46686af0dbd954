#include "ctl/internal/append_endpoint.h"

#include "base/result.h"

namespace anvildrum::ctl {

auto AppendEndpoint(const std::string& text, std::vector<base::Endpoint>& out) -> bool {
  const auto refused = base::ErrorOf<base::EndpointError>([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(endpoint, base::ParseEndpoint(text));
    out.push_back(endpoint);
    return {};
  });
  return !refused;
}

}  // namespace anvildrum::ctl
