#include <array>
#include <functional>
#include <string>

#include "sample.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

constexpr auto kListSizes = std::array{1, 8, 32, 128};
constexpr auto kAgeMs = 3'600'000;  // an hour

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
    load.set_view(base::HashName("view"));
  }
  return header;
}

auto RegisterHeader(int clients) -> wire::pb::TunnelHeader {
  auto header = EmptyHeader();
  auto& message = *header.mutable_register_();
  message.set_service(base::ServiceIdOf("desk").value);
  message.set_view(base::HashName("view"));
  FillTarget(*message.mutable_owner());
  FillTarget(*message.mutable_home());
  message.set_sequence(kCount);
  for (auto i = 0; i < clients; ++i) {
    auto& registration = *message.add_flows();
    wire::WriteEndpoint(SampleFlow().client, *registration.mutable_client());
    registration.set_age_ms(kAgeMs);
    registration.set_idle_ms(kCount);
    registration.set_stamp(kCount);
  }
  return header;
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

auto MeasureLists() -> std::vector<Slope> {
  auto all = ListSlopes("probe_answer", "load report", ProbeAnswerHeader);
  Append(all, ListSlopes("register", "flow", RegisterHeader));
  return all;
}

}  // namespace anvildrum::capacity
