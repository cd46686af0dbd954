#include <array>
#include <string>

#include "sample.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kPayloadSizes = std::array{0, 64, 256, 1200};
constexpr auto kMessageCounts = std::array{1, 10, 100};
constexpr auto kCopyCounts = std::array{1, 4, 8};
constexpr auto kObserveBytes = std::size_t{40};  // header, token of 8, Observe, path, a query

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

auto RegisterAckHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& message = *header.mutable_register_ack();
  message.set_service(base::ServiceIdOf("desk").value);
  message.set_sequence(kCount);
  FillTarget(*message.mutable_home());
  return header;
}

auto OwnerQueryHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& query = *header.mutable_owner_query();
  wire::WriteFlow(SampleFlow(), *query.mutable_flow());
  FillTarget(*query.mutable_asker());
  query.set_sequence(kCount);
  return header;
}

auto OwnerAnswerHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& answer = *header.mutable_owner_answer();
  wire::WriteFlow(SampleFlow(), *answer.mutable_flow());
  answer.set_owned(true);
  FillTarget(*answer.mutable_owner());
  FillTarget(*answer.mutable_responder());
  answer.set_sequence(kCount);
  return header;
}

// A copy of one flow with one observation, of a feed with a path of two segments.
auto AddCopy(wire::pb::StandBy& batch) -> void {
  auto record = wire::pb::FlowRecord{};
  record.set_next_client_message_id(kCount);
  record.add_streams()->set_request(std::string(kObserveBytes, 'x'));
  record.mutable_streams(0)->set_sequence(kCount);
  auto& flow = *batch.add_flows();
  wire::WriteEndpoint(SampleFlow().client, *flow.mutable_client());
  flow.set_record(record.SerializeAsString());
  FillTarget(*flow.mutable_lineage()->mutable_opener());
  flow.mutable_lineage()->set_stamp(kCount);
}

auto StandBySlope() -> Slope {
  auto slope = Slope{"stand_by_bytes", "bytes", "copy of a flow", {}};
  for (auto count : kCopyCounts) {
    auto header = EmptyHeader();
    auto& batch = *header.mutable_stand_by();
    batch.set_service(base::ServiceIdOf("desk").value);
    FillTarget(*batch.mutable_owner());
    FillTarget(*batch.mutable_keeper());
    batch.set_sequence(kCount);
    for (auto i = 0; i < count; ++i) AddCopy(batch);
    auto bytes = static_cast<double>(Sealed(header, {}).size());
    slope.points.push_back({static_cast<double>(count), bytes});
  }
  return slope;
}

auto StandByAckHeader() -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& message = *header.mutable_stand_by_ack();
  message.set_service(base::ServiceIdOf("desk").value);
  message.set_sequence(kCount);
  FillTarget(*message.mutable_keeper());
  return header;
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

auto Append(std::vector<Slope>& all, std::vector<Slope> more) -> void {
  for (auto& slope : more) all.push_back(std::move(slope));
}

}  // namespace

auto MeasureWire() -> std::vector<Slope> {
  auto all = PayloadSlopes();
  Append(all, KindSlopes("reply", ReplyHeader()));
  Append(all, KindSlopes("hint", HintHeader()));
  Append(all, KindSlopes("probe", ProbeHeader()));
  Append(all, KindSlopes("register_ack", RegisterAckHeader()));
  Append(all, KindSlopes("owner_query", OwnerQueryHeader()));
  Append(all, KindSlopes("owner_answer", OwnerAnswerHeader()));
  all.push_back(StandBySlope());
  Append(all, KindSlopes("stand_by_ack", StandByAckHeader()));
  return all;
}

}  // namespace anvildrum::capacity
