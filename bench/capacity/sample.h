#pragma once

#include "base/types/flow_key.h"
#include "measure.h"
#include "wire/convert.h"
#include "wire/datagram.h"

namespace anvildrum::capacity {

inline constexpr auto kIncarnation = std::uint64_t{1'800'000'000'000};
inline constexpr auto kCount = 1000;  ///< a counter's ordinary value: two bytes as a varint

inline auto Ring() -> wire::KeyRing { return wire::KeyRing{{wire::Key{1, 2, 3}}}; }

inline auto SampleFlow() -> base::FlowKey {
  return {base::EndpointFromV4(0xcb007107, 40000), base::ServiceIdOf("desk")};
}

inline auto FillTarget(wire::pb::TargetRef& target) -> void {
  target.set_target(base::TargetIdOf("desk-3").value);
  target.set_incarnation(kIncarnation);
}

inline auto EmptyHeader() -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf("balancer-17").value);
  header.set_incarnation(kIncarnation);
  return header;
}

inline auto Sealed(const wire::pb::TunnelHeader& header, wire::BytesView payload) -> wire::Bytes {
  auto out = wire::Bytes{};
  wire::Seal(Ring(), header, payload, out).value();
  return out;
}

inline auto SealCost(const wire::pb::TunnelHeader& header, wire::BytesView payload) -> double {
  auto ring = Ring();
  auto out = wire::Bytes{};
  return NanosecondsPerCall([&] { wire::Seal(ring, header, payload, out).value(); });
}

inline auto OpenCost(const wire::pb::TunnelHeader& header, wire::BytesView payload) -> double {
  auto ring = Ring();
  auto datagram = Sealed(header, payload);
  auto opened = wire::Opened{};
  return NanosecondsPerCall([&] { wire::Open(ring, datagram, opened).value(); });
}

}  // namespace anvildrum::capacity
