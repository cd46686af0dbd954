#include <functional>
#include <string>

#include "measure.h"
#include "slopes.h"
#include "wire/convert.h"
#include "wire/datagram.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kPayloadSizes = std::array{0, 64, 256, 1200};
constexpr auto kMessageCounts = std::array{1, 10, 100};
constexpr auto kListSizes = std::array{1, 8, 32, 128};
constexpr auto kIncarnation = std::uint64_t{1'800'000'000'000};
constexpr auto kCount = 1000;

auto Ring() -> wire::KeyRing { return wire::KeyRing{{wire::Key{1, 2, 3}}}; }

auto SampleFlow() -> base::FlowKey {
  return {base::EndpointFromV4(0xcb007107, 40000), base::ServiceIdOf("desk")};
}

auto FillTarget(wire::pb::TargetRef& target) -> void {
  target.set_target(base::TargetIdOf("desk-3").value);
  target.set_incarnation(kIncarnation);
}

auto EmptyHeader() -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf("balancer-17").value);
  header.set_incarnation(kIncarnation);
  return header;
}

auto PacketHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& packet = *header.mutable_packet();
  wire::WriteFlow(SampleFlow(), *packet.mutable_flow());
  wire::WriteEndpoint(base::EndpointFromV4(0x0a000001, 7000), *packet.mutable_balancer());
  packet.set_may_open(true);
  return header;
}

auto ReplyHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  wire::WriteFlow(SampleFlow(), *header.mutable_reply()->mutable_flow());
  return header;
}

auto HintHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  wire::WriteFlow(SampleFlow(), *header.mutable_hint()->mutable_flow());
  FillTarget(*header.mutable_hint()->mutable_owner());
  return header;
}

auto ProbeHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  header.mutable_probe()->set_sequence(kCount);
  return header;
}

auto ProbeAnswerHeader(int loads) -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& answer = *header.mutable_probe_answer();
  answer.set_sequence(kCount);
  for (auto i = 0; i < loads; ++i) {
    auto& load = *answer.add_loads();
    FillTarget(*load.mutable_target());
    load.set_service(base::ServiceIdOf("desk").value);
    load.set_in_flight(4);
    load.set_queued(2);
    load.set_flows(kCount);
    load.set_delay_us(kCount);
  }
  return header;
}

auto RegisterHeader(int clients) -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& message = *header.mutable_register_();
  message.set_service(base::ServiceIdOf("desk").value);
  message.set_view(base::HashName("view"));
  FillTarget(*message.mutable_owner());
  message.set_sequence(1);
  for (auto i = 0; i < clients; ++i) {
    wire::WriteEndpoint(SampleFlow().client, *message.add_clients());
  }
  return header;
}

auto SettledHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& message = *header.mutable_settled();
  message.set_service(base::ServiceIdOf("desk").value);
  message.set_view(base::HashName("view"));
  FillTarget(*message.mutable_owner());
  return header;
}

auto Sealed(const wire::pb::TunnelHeader& header, wire::BytesView payload) -> wire::Bytes {
  auto out = wire::Bytes{};
  wire::Seal(Ring(), header, payload, out).value();
  return out;
}

auto SealCost(const wire::pb::TunnelHeader& header, wire::BytesView payload) -> double {
  auto ring = Ring();
  auto out = wire::Bytes{};
  return NanosecondsPerCall([&] { wire::Seal(ring, header, payload, out).value(); });
}

auto OpenCost(const wire::pb::TunnelHeader& header, wire::BytesView payload) -> double {
  auto ring = Ring();
  auto datagram = Sealed(header, payload);
  auto opened = wire::Opened{};
  return NanosecondsPerCall([&] { wire::Open(ring, datagram, opened).value(); });
}

auto PayloadSlopes() -> std::vector<Slope> {
  auto seal = Slope{"seal_packet_ns", "ns", "payload byte", {}};
  auto open = Slope{"open_packet_ns", "ns", "payload byte", {}};
  auto bytes = Slope{"packet_bytes", "bytes", "payload byte", {}};
  for (auto size : kPayloadSizes) {
    auto payload = wire::Bytes(static_cast<std::size_t>(size), 7);
    auto header = PacketHeader();
    seal.points.push_back({static_cast<double>(size), SealCost(header, payload)});
    open.points.push_back({static_cast<double>(size), OpenCost(header, payload)});
    auto total = static_cast<double>(Sealed(header, payload).size());
    bytes.points.push_back({static_cast<double>(size), total});
  }
  return {seal, open, bytes};
}

// Bytes and processor time (sealing at the sender and opening at the receiver) of `count` datagrams
// of one kind.
auto KindSlopes(const std::string& kind, const wire::pb::TunnelHeader& header)
    -> std::vector<Slope> {
  auto bytes = Slope{kind + "_bytes", "bytes", "message", {}};
  auto cost = Slope{kind + "_ns", "ns", "message", {}};
  auto ring = Ring();
  for (auto count : kMessageCounts) {
    auto out = wire::Bytes{};
    auto opened = wire::Opened{};
    auto size = static_cast<double>(Sealed(header, {}).size() * static_cast<std::size_t>(count));
    bytes.points.push_back({static_cast<double>(count), size});
    auto work = [&] {
      for (auto i = 0; i < count; ++i) {
        wire::Seal(ring, header, {}, out).value();
        wire::Open(ring, out, opened).value();
      }
    };
    cost.points.push_back({static_cast<double>(count), NanosecondsPerCall(work)});
  }
  return {bytes, cost};
}

using HeaderOfSize = std::function<wire::pb::TunnelHeader(int)>;

// Bytes and processor time (both ends) of one datagram by the length of the list it carries.
auto ListSlopes(const std::string& kind, const std::string& per, const HeaderOfSize& make)
    -> std::vector<Slope> {
  auto bytes = Slope{kind + "_bytes", "bytes", per, {}};
  auto cost = Slope{kind + "_ns", "ns", per, {}};
  for (auto count : kListSizes) {
    auto header = make(count);
    auto size = static_cast<double>(Sealed(header, {}).size());
    bytes.points.push_back({static_cast<double>(count), size});
    cost.points.push_back(
        {static_cast<double>(count), SealCost(header, {}) + OpenCost(header, {})});
  }
  return {bytes, cost};
}

auto Append(std::vector<Slope>& all, std::vector<Slope> more) -> void {
  for (auto& slope : more) all.push_back(std::move(slope));
}

}  // namespace

auto MeasureWire() -> std::vector<Slope> {
  auto all = PayloadSlopes();
  Append(all, KindSlopes("reply", ReplyHeader()));
  Append(all, KindSlopes("hint", HintHeader()));
  Append(all, KindSlopes("probe", ProbeHeader()));
  Append(all, KindSlopes("settled", SettledHeader()));
  Append(all, ListSlopes("probe_answer", "load report", ProbeAnswerHeader));
  Append(all, ListSlopes("register", "flow", RegisterHeader));
  return all;
}

}  // namespace anvildrum::capacity
