#include "base/types/flow_key.h"
#include "measure.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

auto HashFlows(std::size_t count) -> std::uint64_t {
  auto flow = base::FlowKey{base::EndpointFromV4(0x0a000001, 5683), base::ServiceIdOf("desk")};
  auto sum = std::uint64_t{0};
  for (auto i = std::size_t{0}; i < count; ++i) {
    flow.client.port = static_cast<std::uint16_t>(i);
    sum += base::HashFlow(flow);
  }
  return sum;
}

}  // namespace

auto MeasureBase() -> std::vector<Slope> {
  auto slope = Slope{"hash_flow_ns", "ns", "flow", {}};
  for (auto count : {100, 1000, 10000}) {
    auto cost = NanosecondsPerCall([&] { Keep(HashFlows(count)); });
    slope.points.push_back({static_cast<double>(count), cost});
  }
  return {slope};
}

}  // namespace anvildrum::capacity
