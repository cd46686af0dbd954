// A control datagram of packet flows, as a balancer and an agent take it.
#include <cstdint>
#include <span>
#include <variant>

#include "base/overloaded.h"
#include "packets/agent.h"
#include "packets/balancer.h"
#include "packets/control.h"
#include "packets/route_history.h"
#include "packets/search.h"

namespace {

using namespace anvildrum;  // NOLINT(google-build-using-namespace)

constexpr auto kNow = base::TimePoint{} + base::hours(1);
constexpr auto kSender = packets::Address{0x0a010001};
constexpr auto kService = base::ServiceId{7};

// One flow that an agent has been asked for.
auto BeginSearch(packets::Balancer& balancer) -> void {
  packets::AddRecord(balancer.view, kSender, kService, kNow);
  auto packet = packets::Packet{.source = {1, 2}, .destination = {3, 4}};
  packet.payload = 1;
  const auto services = {kService};
  packets::BeginSearch(balancer, packet, services, false, kNow);
  packets::StepSearches(balancer, kNow);
}

// Lets the agent request the set that the part belongs to.
auto RequestClasses(packets::Agent& agent, const packets::RouteClassesPart& part) -> void {
  auto hello = packets::Hello{};
  hello.service = kService;
  hello.classes_digest = part.digest;
  hello.classes_version = part.version;
  packets::TakeHello(agent, kSender, hello, kNow);
  packets::MakeReport(agent, kSender, kNow);
}

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  const auto control = packets::DecodeControl({data, size}, kSender);
  if (!control) return 0;
  auto agent = packets::Agent{};
  agent.service = kService;
  auto balancer = packets::Balancer{};
  std::visit(base::Overloaded{
                 [&](packets::Hello hello) {
                   hello.service = kService;
                   packets::TakeHello(agent, kSender, hello, kNow);
                   packets::MakeReport(agent, kSender, kNow);
                 },
                 [&](const packets::TargetReport& report) {
                   packets::TakeReport(balancer.view, report, kNow);
                 },
                 [&](const packets::Located& located) {
                   packets::HandleFlowLocated(balancer, located.flow, located.agent, kNow);
                 },
                 [&](const packets::FlowQuery& query) { packets::AnswerQuery(agent, query, kNow); },
                 [&](packets::FlowAnswer answer) {
                   BeginSearch(balancer);
                   answer.token = balancer.searches.last_token;
                   packets::TakeAnswer(balancer, answer, kNow);
                 },
                 [](const packets::GivenBack&) {},
                 [&](packets::RouteClassesPart part) {
                   part.service = kService;
                   RequestClasses(agent, part);
                   packets::TakeRouteClasses(agent, part, kNow);
                 },
                 [&](const packets::RouteQuery& query) {
                   packets::ApplyRoutes(balancer, packets::Routes{}, kNow);
                   packets::AnswerRouteQuery(balancer, query, kNow);
                 },
                 [&](packets::RouteAnswer answer) {
                   answer.service = kService;
                   packets::TakeRouteAnswer(agent, answer, kNow);
                 }},
             *control);
  return 0;
}
