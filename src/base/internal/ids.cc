#include "base/types/ids.h"

#include <xxhash.h>

#include "base/types/flow_key.h"

namespace anvildrum::base {

auto HashName(std::string_view name) -> std::uint64_t {
  return XXH3_64bits(name.data(), name.size());
}

auto ServiceIdOf(std::string_view name) -> ServiceId { return {HashName(name)}; }
auto TargetIdOf(std::string_view name) -> TargetId { return {HashName(name)}; }
auto InstanceIdOf(std::string_view name) -> InstanceId { return {HashName(name)}; }

auto HashFlow(const FlowKey& flow) -> std::uint64_t {
  auto seed = flow.service.value ^ flow.client.port;
  return XXH3_64bits_withSeed(flow.client.address.data(), flow.client.address.size(), seed);
}

}  // namespace anvildrum::base
