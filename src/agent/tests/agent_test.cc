#include "agent/agent.h"

#include <boost/test/unit_test.hpp>

#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

constexpr auto kStart = base::TimePoint{} + base::hours(1);
const auto kDesk = base::ServiceIdOf("desk");
const auto kClient = base::EndpointFromV4(0x7f000009, 7000);

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

// One agent alone in its service, with two balancers.
struct Fixture {
  Agent agent = AgentBuilder{}.WithRecord(RecordOf("desk-1", 1)).WithEchoSecret({7}).Build();
  base::TimePoint now = kStart;

  Fixture() {
    this->Run(TargetRecordChanged{RecordOf("desk-1", 1)});
    this->Run(BalancerRecordChanged{BalancerOf("b1", 11)});
    this->Run(BalancerRecordChanged{BalancerOf("b2", 12)});
  }

  auto Run(const Event& event) -> Effects { return Step(this->agent, event, this->now); }

  auto RunTimers(base::Duration span) -> Effects {
    auto all = Effects{};
    for (auto end = this->now + span; this->now < end; this->now += base::milliseconds(20)) {
      for (auto& effect : this->Run(Timer{})) all.push_back(std::move(effect));
    }
    return all;
  }

  auto Deliver(const wire::Bytes& payload, const std::string& balancer, std::uint16_t port)
      -> Effects {
    auto header = wire::pb::TunnelHeader{};
    header.set_sender(base::InstanceIdOf(balancer).value);
    header.set_incarnation(1);
    auto* packet = header.mutable_packet();
    wire::WriteFlow({kClient, kDesk}, *packet->mutable_flow());
    auto from = BalancerOf(balancer, port).tunnel;
    wire::WriteEndpoint(from, *packet->mutable_balancer());
    packet->set_may_open(true);
    return this->Run(TunnelMessage{from, &header, payload});
  }
};

// Confirmable GET with message ID 1, token aa, no options (RFC 7252, 3).
const auto kGet = wire::Bytes{0x41, 0x01, 0x00, 0x01, 0xaa};

template <typename Kind>
auto Find(const Effects& effects) -> const Kind* {
  for (const auto& effect : effects) {
    if (const auto* found = std::get_if<Kind>(&effect)) return found;
  }
  return nullptr;
}

// 2.05 in answer to what the target was sent: same message ID and token.
auto AnswerTo(const SendTarget& sent) -> wire::Bytes {
  auto answer = sent.payload;
  answer[0] = 0x60 | (answer[0] & 0x0f);
  answer[1] = 0x45;
  answer.resize(4U + (answer[0] & 0x0fU));
  return answer;
}

auto ReplyTo(Fixture& fixture, const Effects& delivered) -> const SendTunnel* {
  static auto effects = Effects{};
  const auto* sent = Find<SendTarget>(delivered);
  BOOST_REQUIRE(sent != nullptr);
  auto answer = AnswerTo(*sent);
  effects = fixture.Run(TargetDatagram{sent->flow, answer});
  return Find<SendTunnel>(effects);
}

BOOST_AUTO_TEST_CASE(request_reaches_the_target_and_its_answer_the_balancer_it_came_through) {
  auto fixture = Fixture{};
  BOOST_CHECK(fixture.agent.phase == Phase::kServing);
  auto delivered = fixture.Deliver(kGet, "b2", 12);
  const auto* reply = ReplyTo(fixture, delivered);
  BOOST_REQUIRE(reply != nullptr);
  BOOST_TEST(reply->header.has_reply());
  BOOST_CHECK(reply->to == BalancerOf("b2", 12).tunnel);
}

// A trader's feed shows no new price although the desk sends them: the balancer that the flow was
// last seen at was killed, and the client, which only listens, sends nothing that would show
// another way. The agent's probes go unanswered, so it must use the other balancer.
BOOST_AUTO_TEST_CASE(silent_stream_leaves_by_another_balancer_after_its_own_died) {
  auto fixture = Fixture{};
  auto delivered = fixture.Deliver(kGet, "b2", 12);
  auto answer_probe = [&](const Effects& effects) {
    for (const auto& effect : effects) {
      const auto* probe = std::get_if<SendTunnel>(&effect);
      if (probe == nullptr || !probe->header.has_probe()) continue;
      if (probe->to != BalancerOf("b1", 11).tunnel) continue;
      auto header = wire::pb::TunnelHeader{};
      header.set_sender(base::InstanceIdOf("b1").value);
      header.set_incarnation(1);
      header.mutable_probe_answer()->set_sequence(probe->header.probe().sequence());
      fixture.Run(TunnelMessage{probe->to, &header, {}});
    }
  };
  for (auto i = 0; i < 500; ++i) answer_probe(fixture.RunTimers(base::milliseconds(20)));
  const auto* sent = Find<SendTarget>(delivered);
  BOOST_REQUIRE(sent != nullptr);
  auto answer = AnswerTo(*sent);
  auto effects = fixture.Run(TargetDatagram{sent->flow, answer});
  const auto* reply = Find<SendTunnel>(effects);
  BOOST_REQUIRE(reply != nullptr);
  BOOST_CHECK(reply->to == BalancerOf("b1", 11).tunnel);
}

BOOST_AUTO_TEST_CASE(drain_tells_balancers_directly_and_ends_when_no_flow_is_left) {
  auto fixture = Fixture{};
  fixture.Deliver(kGet, "b1", 11);
  auto effects = fixture.Run(DrainRequested{});
  BOOST_TEST(Find<AnnounceDraining>(effects) != nullptr);
  BOOST_TEST(Find<Drained>(effects) == nullptr);
  auto later = fixture.RunTimers(base::seconds(1));
  auto told = false;
  for (const auto& effect : later) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send != nullptr && send->header.has_drain_notice()) told = true;
  }
  BOOST_TEST(told);
  BOOST_CHECK(fixture.agent.phase == Phase::kDraining);
}

}  // namespace
}  // namespace anvildrum::agent
