#include <boost/test/unit_test.hpp>

#include "agent/tests/fixture.h"

namespace anvildrum::agent {
namespace {

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
  BOOST_TEST(fixture.agent.sent.empty());
  BOOST_CHECK(reply->to == BalancerOf("b2", 12).tunnel);
}

BOOST_AUTO_TEST_CASE(time_at_the_target_is_reported) {
  constexpr auto taken = base::milliseconds(30);
  auto fixture = Fixture{};
  auto delivered = fixture.Deliver(kGet, "b2", 12);
  const auto* sent = Find<SendTarget>(delivered);
  BOOST_REQUIRE(sent != nullptr);
  fixture.now += taken;
  auto answer = AnswerTo(*sent);
  auto effects = fixture.Run(TargetDatagram{sent->flow, answer});
  const auto* answered = Find<RequestAnswered>(effects);
  BOOST_REQUIRE(answered != nullptr);
  BOOST_CHECK(answered->taken == taken);
}

// A client receives no notifications although the target sends them: the balancer of the flow's
// last packet was killed, and the client only listens, so no packet of it shows another route. The
// agent's probes of that balancer go unanswered, so it has to use the other one.
BOOST_AUTO_TEST_CASE(silent_stream_uses_another_balancer_after_its_own_died) {
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

BOOST_AUTO_TEST_CASE(drain_notifies_balancers_directly_and_ends_when_no_flow_is_left) {
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

// A balancer or agent of another version sends messages without a meaning to an agent. They are
// counted, and the next client is served.
BOOST_AUTO_TEST_CASE(invalid_tunnel_messages_are_counted) {
  auto fixture = Fixture{};
  auto messages = std::array<wire::pb::TunnelHeader, 4>{};
  messages[0].mutable_reply();  // balancers take replies, agents don't
  messages[1].mutable_hand_on();
  messages[2].mutable_hand_on_answer();
  messages[3].mutable_hand_over();
  for (auto& message : messages) {
    message.set_sender(base::InstanceIdOf("b1").value);
    fixture.Run(TunnelMessage{BalancerOf("b1", 11).tunnel, &message, wire::Bytes{0xff}});
  }
  BOOST_TEST(fixture.agent.counters.malformed == messages.size());
  BOOST_TEST(Find<SendTarget>(fixture.Deliver(kGet, "b2", 12)) != nullptr);
}

// An address has moved from desk to mapper while a balancer was paused, and the balancer still
// sends packets for the address to desk's agents. If they were delivered, a desk would answer a
// mapper client. The agent has the newer configuration and has to drop them; it trusts a balancer
// with the same configuration.
BOOST_AUTO_TEST_CASE(packet_for_a_former_address_is_dropped) {
  auto fixture = Fixture{};
  auto configuration = config::Configuration{};
  configuration.number = 2;
  auto desk = config::Service{};
  desk.name = "desk";
  desk.id = kDesk;
  desk.addresses = {base::EndpointFromV4(0x0a000001, 5683)};
  configuration.services = {desk};
  fixture.Run(ConfigChanged{&configuration});
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf("b1").value);
  header.set_incarnation(1);
  auto& packet = *header.mutable_packet();
  wire::WriteFlow(kFlow, *packet.mutable_flow());
  wire::WriteEndpoint(BalancerOf("b1", 11).tunnel, *packet.mutable_balancer());
  wire::WriteEndpoint(base::EndpointFromV4(0x0a000002, 5683), *packet.mutable_service_address());
  packet.set_may_open(true);
  packet.set_config_number(1);
  auto from = BalancerOf("b1", 11).tunnel;
  auto stale = fixture.Run(TunnelMessage{from, &header, kGet});
  BOOST_TEST(Find<SendTarget>(stale) == nullptr);
  BOOST_TEST(fixture.agent.counters.moved_address == 1u);
  packet.set_config_number(2);
  auto current = fixture.Run(TunnelMessage{from, &header, kGet});
  BOOST_TEST(Find<SendTarget>(current) != nullptr);
}

}  // namespace
}  // namespace anvildrum::agent
