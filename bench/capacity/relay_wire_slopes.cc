#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "measure.h"
#include "sample_records.h"
#include "slopes.h"
#include "wire/relay.pb.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kRecordCounts = std::array{1, 10, 100, 1000};
constexpr auto kHops = std::uint32_t{3};
constexpr auto kPeriodMs = std::uint32_t{2700};
constexpr auto kHeartbeatCounts = std::array{1, 10, 100};
constexpr auto kRevision = std::uint64_t{50'000'000};
constexpr auto kInstance = std::uint64_t{0x9e3779b97f4a7c15};

auto UpdateMessage(int records) -> wire::pb::RelayMessage {
  auto message = wire::pb::RelayMessage{};
  message.set_sender(kInstance);
  message.set_incarnation(kInstance);
  auto& update = *message.mutable_update();
  update.set_revision(kRevision);
  for (auto i = 0; i < records; ++i) {
    auto& record = *update.add_records();
    record.set_key("targets/scada-gw/scada-gw-03");
    record.set_revision(kRevision);
    record.set_value(TargetRecordJson());
  }
  return message;
}

auto HeartbeatMessage() -> wire::pb::RelayMessage {
  auto message = wire::pb::RelayMessage{};
  message.set_sender(kInstance);
  message.set_incarnation(kInstance);
  message.mutable_heartbeat()->set_config_number(kConfigNumber);
  message.mutable_heartbeat()->set_revision(kRevision);
  message.mutable_heartbeat()->set_hops(kHops);
  message.mutable_heartbeat()->set_digest(kInstance);
  message.mutable_heartbeat()->set_period_ms(kPeriodMs);
  return message;
}

auto CodecCost(const wire::pb::RelayMessage& message) -> double {
  auto bytes = std::string{};
  auto read = wire::pb::RelayMessage{};
  return NanosecondsPerCall([&] {
    message.SerializeToString(&bytes);
    read.ParseFromString(bytes);
  });
}

auto UpdateSlopes() -> std::vector<Slope> {
  auto bytes = Slope{"update_bytes", "bytes", "target record", {}};
  auto cost = Slope{"update_ns", "ns", "target record", {}};
  for (auto count : kRecordCounts) {
    auto message = UpdateMessage(count);
    auto size = static_cast<double>(message.ByteSizeLong());
    bytes.points.push_back({static_cast<double>(count), size});
    cost.points.push_back({static_cast<double>(count), CodecCost(message)});
  }
  return {bytes, cost};
}

auto HeartbeatSlope() -> Slope {
  auto slope = Slope{"heartbeat_bytes", "bytes", "message", {}};
  auto size = static_cast<double>(HeartbeatMessage().ByteSizeLong());
  for (auto count : kHeartbeatCounts) {
    slope.points.push_back({static_cast<double>(count), size * count});
  }
  return slope;
}

auto ConfigurationSlopes() -> std::vector<Slope> {
  auto bytes = Slope{"config_json_bytes", "bytes", "service", {}};
  auto cost = Slope{"config_json_parse_ns", "ns", "service", {}};
  for (auto count : kRecordCounts) {
    auto text = ConfigurationJson(count);
    bytes.points.push_back({static_cast<double>(count), static_cast<double>(text.size())});
    auto parse = [&] { Keep(nlohmann::json::parse(text).size()); };
    cost.points.push_back({static_cast<double>(count), NanosecondsPerCall(parse)});
  }
  return {bytes, cost};
}

}  // namespace

auto MeasureRelayWire() -> std::vector<Slope> {
  auto all = UpdateSlopes();
  all.push_back(HeartbeatSlope());
  for (auto& slope : ConfigurationSlopes()) all.push_back(std::move(slope));
  return all;
}

}  // namespace anvildrum::capacity
