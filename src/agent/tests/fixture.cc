#include "agent/tests/fixture.h"

namespace anvildrum::agent {

auto RecordOf(const std::string& name, std::uint16_t port) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = name;
  record.id = base::TargetIdOf(name);
  record.service_name = "desk";
  record.service = kDesk;
  record.instance = base::InstanceIdOf("agent-" + name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(0x7f000001, port);
  record.failure_domain = "boston-1";
  record.slots = 4;
  record.connections = 2000;
  record.revision = 1;
  return record;
}

auto BalancerOf(const std::string& name, std::uint16_t port) -> membership::BalancerRecord {
  auto record = membership::BalancerRecord{};
  record.name = name;
  record.instance = base::InstanceIdOf(name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(0x7f000002, port);
  record.failure_domain = "boston-1";
  return record;
}

Fixture::Fixture(bool predecessor_lost)
    : agent(AgentBuilder{}
                .WithRecord(RecordOf("desk-1", 1))
                .WithEchoSecret({7})
                .WithPredecessorLost(predecessor_lost)
                .Build()) {
  this->Run(TargetRecordChanged{RecordOf("desk-1", 1)});
  this->Run(BalancerRecordChanged{BalancerOf("b1", 11)});
  this->Run(BalancerRecordChanged{BalancerOf("b2", 12)});
}

auto Fixture::Run(const Event& event) -> Effects { return Step(this->agent, event, this->now); }

auto Fixture::RunTimers(base::Duration span) -> Effects {
  auto all = Effects{};
  for (auto end = this->now + span; this->now < end; this->now += base::milliseconds(20)) {
    for (auto& effect : this->Run(Timer{})) all.push_back(std::move(effect));
  }
  return all;
}

auto Fixture::Deliver(const wire::Bytes& payload, const std::string& balancer, std::uint16_t port)
    -> Effects {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf(balancer).value);
  header.set_incarnation(1);
  auto* packet = header.mutable_packet();
  wire::WriteFlow(kFlow, *packet->mutable_flow());
  auto from = BalancerOf(balancer, port).tunnel;
  wire::WriteEndpoint(from, *packet->mutable_balancer());
  packet->set_may_open(true);
  return this->Run(TunnelMessage{from, &header, payload});
}

auto AnswerTo(const SendTarget& sent) -> wire::Bytes {
  auto answer = sent.payload;
  answer[0] = 0x60 | (answer[0] & 0x0f);
  answer[1] = 0x45;
  answer.resize(4U + (answer[0] & 0x0fU));
  return answer;
}

auto ReplyIn(const Effects& effects) -> wire::Bytes {
  for (const auto& effect : effects) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send != nullptr && send->header.has_reply()) return send->payload;
  }
  return {};
}

}  // namespace anvildrum::agent
