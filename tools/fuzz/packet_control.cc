// A control datagram of packet flows, as a balancer and an agent take it.
#include <cstdint>
#include <span>
#include <variant>

#include "base/overloaded.h"
#include "packets/agent.h"
#include "packets/balancer.h"
#include "packets/control.h"

namespace {

using namespace anvildrum;  // NOLINT(google-build-using-namespace)

constexpr auto kNow = base::TimePoint{} + base::hours(1);
constexpr auto kSender = packets::Address{0x0a010001};
constexpr auto kService = base::ServiceId{7};

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  const auto control = packets::DecodeControl({data, size}, kSender);
  if (!control) return 0;
  auto agent = packets::Agent{};
  agent.service = kService;
  auto balancer = packets::Balancer{};
  std::visit(base::Overloaded{[&](packets::Hello hello) {
                                hello.service = kService;
                                packets::TakeHello(agent, kSender, hello, kNow);
                                packets::MakeReport(agent, kSender, kNow);
                              },
                              [&](const packets::TargetReport& report) {
                                packets::TakeReport(balancer.view, report, kNow);
                              },
                              [&](const packets::Located& located) {
                                packets::TakeLocated(balancer, located.flow, located.agent, kNow);
                              }},
             *control);
  return 0;
}
