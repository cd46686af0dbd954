// A header of the tunnel as an instance that holds the key might send it, correct or not: through
// the agent's and the balancer's own entries.
#include <cstdint>

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "balancer/monitor.h"

namespace {

using namespace anvildrum;  // NOLINT(google-build-using-namespace)

constexpr auto kNow = base::TimePoint{} + base::hours(1);

auto MakeRecord() -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = "desk-1";
  record.id = base::TargetIdOf("desk-1");
  record.service_name = "desk";
  record.service = base::ServiceIdOf("desk");
  record.instance = base::InstanceIdOf("agent-1");
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(1, 1);
  record.slots = 4;
  record.connections = 100;
  record.revision = 1;
  return record;
}

auto MakeAgent() -> agent::Agent {
  auto agent = agent::AgentBuilder{}.WithRecord(MakeRecord()).WithEchoSecret({1}).Build();
  agent::Step(agent, agent::TargetRecordChanged{MakeRecord()}, kNow);
  return agent;
}

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  static auto agent = MakeAgent();
  static auto balancer =
      balancer::BalancerBuilder{}.WithInstance(base::InstanceIdOf("b1"), 1).Build();
  static auto monitor = balancer::Monitor{};
  auto header = wire::pb::TunnelHeader{};
  auto half = size / 2;
  if (!header.ParseFromArray(data, static_cast<int>(half))) return 0;
  auto payload = wire::BytesView(data + half, size - half);
  auto from = base::EndpointFromV4(2, 2);
  agent::Step(agent, agent::TunnelMessage{from, &header, payload}, kNow);
  agent::Step(agent, agent::Timer{}, kNow);
  balancer::Step(balancer, balancer::TunnelMessage{from, &header, payload}, kNow);
  balancer::Step(monitor, balancer::MonitorMessage{from, &header}, kNow);
  return 0;
}
