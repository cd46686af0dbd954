#include <array>
#include <string>

#include "measure.h"
#include "relay/internal/delta.h"
#include "relay/store.h"
#include "sample_records.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kRecordCounts = std::array{1000, 4000, 16000};
constexpr auto kServiceCounts = std::array{100, 1000, 3600};
constexpr auto kNow = base::TimePoint{base::seconds(1000)};
constexpr auto kAddedService = 100'000;

auto ObjectOf(int index, std::uint64_t revision) -> relay::PlatformObject {
  return {.key = "targets/scada-gw/scada-gw-" + std::to_string(index),
          .revision = revision,
          .deleted = false,
          .value = TargetRecordJson()};
}

auto StoreSlopes() -> std::vector<Slope> {
  auto bytes = Slope{"relay_record_bytes", "bytes", "record held", {}};
  auto cost = Slope{"relay_change_ns", "ns", "record taken", {}};
  for (auto count : kRecordCounts) {
    auto before = AllocatedBytes();
    auto store = relay::Store{};
    auto revision = std::uint64_t{0};
    auto offer_all = [&] {
      for (auto i = 0; i < count; ++i) relay::Offer(store, ObjectOf(i, ++revision), false, kNow);
    };
    offer_all();
    bytes.points.push_back({static_cast<double>(count), AllocatedBytes() - before});
    cost.points.push_back({static_cast<double>(count), NanosecondsPerCall(offer_all)});
  }
  return {bytes, cost};
}

// One service is changed and one is added; the delta refers to the value before.
auto DeltaSlopes() -> std::vector<Slope> {
  auto bytes = Slope{"config_delta_bytes", "bytes", "service of the configuration", {}};
  auto pack = Slope{"config_pack_ns", "ns", "service of the configuration", {}};
  auto unpack = Slope{"config_unpack_ns", "ns", "service of the configuration", {}};
  for (auto count : kServiceCounts) {
    auto before = ConfigurationJson(count);
    auto after = before;
    after.insert(after.find('[') + 1, ServiceJson(kAddedService).dump() + ",");
    after.replace(after.find("250", after.size() / 2), 3, "350");
    auto delta = relay::Pack(after, before);
    auto size = static_cast<double>(count);
    bytes.points.push_back({size, static_cast<double>(delta.size())});
    pack.points.push_back(
        {size, NanosecondsPerCall([&] { Keep(relay::Pack(after, before).size()); })});
    auto read = [&] { Keep(relay::Unpack(delta, before, relay::kValueMost).has_value()); };
    unpack.points.push_back({size, NanosecondsPerCall(read)});
  }
  return {bytes, pack, unpack};
}

}  // namespace

auto MeasureRelay() -> std::vector<Slope> {
  auto all = StoreSlopes();
  for (auto& slope : DeltaSlopes()) all.push_back(std::move(slope));
  return all;
}

}  // namespace anvildrum::capacity
