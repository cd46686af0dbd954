#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "steering/directory.h"
#include "wire/convert.h"

namespace anvildrum::steering {
inline const auto kDesk = base::ServiceIdOf("desk");
inline const auto kBalancer = base::EndpointFromV4(0x0d000001, 7000);
inline constexpr auto kStart = base::TimePoint{base::seconds(100)};

inline auto MakeRecord(std::uint16_t number) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = "desk-" + std::to_string(number);
  record.id = base::TargetIdOf(record.name);
  record.service = kDesk;
  record.instance = base::InstanceIdOf(record.name);
  record.incarnation = 1;
  record.revision = number;
  record.tunnel = base::EndpointFromV4(0x0c000001, number);
  record.failure_domain = "domain-" + std::to_string(number % 3);
  record.connections = 3;
  return record;
}

inline auto MakeView(std::uint16_t targets) -> membership::View {
  auto view = membership::View{};
  for (auto i = std::uint16_t{1}; i <= targets; ++i) {
    membership::ApplyRecord(view, MakeRecord(i), kStart);
  }
  return view;
}

// Returns the directory of desk-1 with the given view.
inline auto MakeDirectory(const membership::View& view, const DirectoryPolicy& policy = {})
    -> Directory {
  auto directory = DirectoryBuilder{}.WithTarget(MakeRecord(1)).WithPolicy(policy).Build();
  Step(directory, ViewArrived{&view}, kStart);
  return directory;
}

inline auto MakePacket(std::uint32_t client, base::ServiceId service = kDesk)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf("balancer").value);
  auto flow = base::FlowKey{base::EndpointFromV4(0x0b000000 + client, 4000), service};
  wire::WriteFlow(flow, *header.mutable_packet()->mutable_flow());
  wire::WriteEndpoint(kBalancer, *header.mutable_packet()->mutable_balancer());
  header.mutable_packet()->set_may_open(true);
  return header;
}

inline auto Send(Directory& directory, const wire::pb::TunnelHeader& header,
                 base::TimePoint now = kStart) -> DirectoryEffects {
  return Step(directory, TunnelArrived{kBalancer, &header, {}}, now);
}

inline auto FlowOf(const wire::pb::TunnelHeader& header) -> base::FlowKey {
  return wire::ReadFlow(header.packet().flow()).value();
}

// Returns the number of the target that is the home of the client's flow.
inline auto HomeNumber(const membership::View& view, std::uint32_t client) -> std::uint16_t {
  auto set = MakeCandidates(view.services.front());
  auto index = FindFirstHome(set, base::HashFlow(FlowOf(MakePacket(client))));
  auto number = std::uint16_t{1};
  while (set.candidates[index].target != MakeRecord(number).id) ++number;
  return number;
}

// Returns a client whose flow has desk-`number` as its home in `view`.
inline auto ClientOf(const membership::View& view, std::uint16_t number) -> std::uint32_t {
  auto client = 1U;
  while (HomeNumber(view, client) != number) ++client;
  return client;
}

inline auto CountOf(const DirectoryEffects& effects, wire::pb::TunnelHeader::BodyCase body)
    -> std::ptrdiff_t {
  return std::ranges::count_if(
      effects.sends, [&](const SendTunnel& send) { return send.header.body_case() == body; });
}

using wire::pb::TunnelHeader;

}  // namespace anvildrum::steering
