// Datagrams of a client and of the target, through the request core's entry.
#include <cstdint>

#include "requests/requests.h"

namespace {

using namespace anvildrum;  // NOLINT(google-build-using-namespace)

constexpr auto kStart = base::TimePoint{} + base::hours(1);

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  static auto state = requests::RequestsBuilder{}.WithIncarnation(1).WithEchoSecret({1}).Build();
  static auto now = kStart;
  if (size == 0) return 0;
  now += base::milliseconds(data[0]);
  auto flow = base::FlowKey{base::EndpointFromV4(1, 1), base::ServiceIdOf("desk")};
  auto bytes = requests::BytesView(data + 1, size - 1);
  if ((data[0] & 1) != 0) {
    requests::Step(*state, requests::ClientDatagram{flow, bytes}, now);
  } else {
    requests::Step(*state, requests::TargetDatagram{flow, bytes}, now);
  }
  requests::Step(*state, requests::Timer{}, now);
  return 0;
}
