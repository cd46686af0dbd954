// A message of the relay from a child or a parent.
#include "relay/relay.h"

#include <cstdint>

namespace {

using namespace anvildrum;  // NOLINT(google-build-using-namespace)

constexpr auto kNow = base::TimePoint{} + base::hours(1);

auto MakeRelay() -> relay::State {
  auto settings = relay::RelaySettings{};
  settings.self = {"b1", base::InstanceIdOf("b1"), 1, base::EndpointFromV4(1, 1), "boston-1"};
  auto state = relay::MakeState(settings);
  relay::Step(state, relay::Started{}, kNow);
  return state;
}

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  static auto state = MakeRelay();
  if (size == 0) return 0;
  auto message = relay::PeerMessage{};
  if (!message.message.ParseFromArray(data + 1, static_cast<int>(size - 1))) return 0;
  message.sender = {message.message.sender()};
  if ((data[0] & 1) != 0) message.endpoint = base::EndpointFromV4(2, 2);
  relay::Step(state, message, kNow);
  relay::Step(state, relay::TimerFired{}, kNow);
  return 0;
}
