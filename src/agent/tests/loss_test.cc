#include <boost/test/unit_test.hpp>

#include "agent/tests/fixture.h"

namespace anvildrum::agent {
namespace {

constexpr auto kServiceUnavailable = std::uint8_t{0xa3};  // 5.03
constexpr auto kGatewayTimeout = std::uint8_t{0xa4};      // 5.04
constexpr auto kUnauthorized = std::uint8_t{0x81};        // 4.01
constexpr auto kContent = std::uint8_t{0x45};             // 2.05

// Confirmable POST, message ID 2, token bb, payload "x".
const auto kPost = wire::Bytes{0x41, 0x02, 0x00, 0x02, 0xbb, 0xff, 'x'};
// Confirmable GET with Observe 0 (RFC 7641, 2), message ID 3, token cc.
const auto kObserve = wire::Bytes{0x41, 0x01, 0x00, 0x03, 0xcc, 0x60};
const auto kPingFlow = base::FlowKey{base::Endpoint{}, kDesk};

auto CodeOf(const wire::Bytes& datagram) -> int { return datagram.size() < 4 ? 0 : datagram[1]; }

auto HandOnIn(const Effects& effects) -> const SendTunnel* {
  for (const auto& effect : effects) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send != nullptr && send->header.has_hand_on()) return send;
  }
  return nullptr;
}

// A target died, and its agent handed a request on to another agent and ended the flow. The answer
// that came back had no flow, and the client got no answer to its GET.
BOOST_AUTO_TEST_CASE(answer_of_a_request_handed_on_leaves_after_the_flow_has_ended) {
  auto fixture = Fixture{};
  auto delivered = fixture.Deliver(kGet, "b1", 11);
  const auto* sent = Find<SendTarget>(delivered);
  BOOST_REQUIRE(sent != nullptr);
  auto answer = AnswerTo(*sent);
  fixture.Run(TargetRecordChanged{RecordOf("desk-2", 2)});
  auto effects = fixture.Run(TargetUnreachable{kFlow});
  const auto* offer = HandOnIn(effects);
  BOOST_REQUIRE(offer != nullptr);
  BOOST_REQUIRE(Find<CloseTarget>(effects) != nullptr);
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(RecordOf("desk-2", 2).instance.value);
  header.set_incarnation(1);
  auto* message = header.mutable_hand_on_answer();
  wire::WriteFlow(kFlow, *message->mutable_flow());
  message->set_request(offer->header.hand_on().request());
  auto arrived = fixture.Run(TunnelMessage{RecordOf("desk-2", 2).tunnel, &header, answer});
  BOOST_TEST(CodeOf(ReplyIn(arrived)) == kContent);
}

// A target process died, and a client that only listens sent nothing that would have shown it. The
// agent's own ping has to detect the loss and end the stream with an error.
BOOST_AUTO_TEST_CASE(client_of_a_stream_is_told_when_the_target_dies) {
  auto fixture = Fixture{};
  auto delivered = fixture.Deliver(kObserve, "b1", 11);
  const auto* sent = Find<SendTarget>(delivered);
  BOOST_REQUIRE(sent != nullptr);
  auto notification = AnswerTo(*sent);
  notification.insert(notification.end(), {0x61, 0x05});  // Observe 5
  BOOST_REQUIRE(CodeOf(ReplyIn(fixture.Run(TargetDatagram{sent->flow, notification}))) == kContent);
  auto effects = fixture.Run(TargetUnreachable{kPingFlow});
  BOOST_TEST(CodeOf(ReplyIn(effects)) == kServiceUnavailable);
  BOOST_TEST(fixture.agent.counters.target_losses == 1U);
}

// The time limit of a drain passed, and the agent ended with the stream still open and without a
// message to its client. It has to end the stream with an error and to retransmit the error as long
// as it runs.
BOOST_AUTO_TEST_CASE(client_of_a_stream_is_told_at_the_time_limit_of_a_drain) {
  auto fixture = Fixture{};
  fixture.agent.policy.drain_limit = base::seconds(1);
  auto delivered = fixture.Deliver(kObserve, "b1", 11);
  auto notification = AnswerTo(*Find<SendTarget>(delivered));
  notification.insert(notification.end(), {0x61, 0x05});  // Observe 5
  fixture.Run(TargetDatagram{kFlow, notification});
  fixture.Run(DrainRequested{});
  auto effects = fixture.RunTimers(base::milliseconds(1100));
  BOOST_TEST(CodeOf(ReplyIn(effects)) == kServiceUnavailable);
  BOOST_TEST((Find<Drained>(effects) == nullptr));
  effects = fixture.RunTimers(base::seconds(5));
  BOOST_TEST(CodeOf(ReplyIn(effects)) == kServiceUnavailable);
  BOOST_TEST((Find<Drained>(effects) != nullptr));
}

// New clients were refused while six desks were idle, because the agent beside a dead target
// answers probes and has no load. It has to report refusals until its target answers a ping again.
BOOST_AUTO_TEST_CASE(agent_of_a_dead_or_silent_target_reports_refusals) {
  auto fixture = Fixture{};
  auto refused = [&] { return fixture.agent.directory.load.refused_permille; };
  fixture.Run(TargetRecordChanged{RecordOf("desk-2", 2)});
  auto answer_ping = [&] { fixture.Run(TargetDatagram{kPingFlow, wire::Bytes{0x70, 0, 0, 1}}); };
  fixture.RunTimers(base::milliseconds(200));
  answer_ping();
  fixture.RunTimers(base::milliseconds(200));
  BOOST_TEST(refused() == 0U);
  fixture.Run(TargetUnreachable{kPingFlow});
  fixture.RunTimers(base::milliseconds(200));
  BOOST_TEST(refused() == 1000U);
  BOOST_TEST(fixture.agent.directory.load.weight == 0);
  answer_ping();
  fixture.RunTimers(base::milliseconds(200));
  BOOST_TEST(refused() == 0U);
  BOOST_TEST(fixture.agent.directory.load.weight == 1);
  fixture.RunTimers(base::seconds(3));
  BOOST_TEST(refused() == 999U);
}

// Without any target left, a client has to receive an error. If its flow were refused, it would get
// no answer.
BOOST_AUTO_TEST_CASE(agent_of_the_last_target_opens_flows_although_it_is_dead) {
  auto fixture = Fixture{};
  fixture.Run(TargetUnreachable{kPingFlow});
  fixture.RunTimers(base::milliseconds(200));
  BOOST_TEST(Find<SendTarget>(fixture.Deliver(kGet, "b1", 11)) != nullptr);
  BOOST_TEST(CodeOf(ReplyIn(fixture.Run(TargetUnreachable{kFlow}))) == kGatewayTimeout);
}

// A POST ran twice: the agent was killed and restarted after the first run, and a copy of the POST
// from before its challenge arrived late. The new incarnation must not challenge the copy, since
// the client would answer.
BOOST_AUTO_TEST_CASE(post_of_a_flow_from_before_a_crash_is_unknown) {
  auto after_crash = Fixture{true};
  BOOST_TEST(CodeOf(ReplyIn(after_crash.Deliver(kPost, "b1", 11))) == kGatewayTimeout);
  auto first_start = Fixture{false};
  BOOST_TEST(CodeOf(ReplyIn(first_start.Deliver(kPost, "b1", 11))) == kUnauthorized);
}

BOOST_AUTO_TEST_CASE(flow_opened_long_after_a_crash_is_not_adopted) {
  auto fixture = Fixture{true};
  fixture.RunTimers(base::seconds(250));
  BOOST_TEST(CodeOf(ReplyIn(fixture.Deliver(kPost, "b1", 11))) == kUnauthorized);
}

auto RemoveDesk2(Fixture& fixture, bool drained) -> void {
  auto record = RecordOf("desk-2", 2);
  fixture.Run(TargetRecordChanged{record});
  record.draining = drained;
  record.revision = 2;
  fixture.Run(TargetRecordChanged{record});
  fixture.Run(TargetRecordRemoved{record.id, record.incarnation, 3});
}

// As above, at the agent that takes the lost agent's flows. After a drain nothing is adopted;
// otherwise every POST of a new flow would get the outcome "unknown" for minutes.
BOOST_AUTO_TEST_CASE(flows_of_a_lost_target_are_adopted_and_those_of_a_drained_one_are_not) {
  for (auto drained : {false, true}) {
    auto fixture = Fixture{};
    RemoveDesk2(fixture, drained);
    auto adopted = 0;
    auto challenged = 0;
    for (auto port = std::uint16_t{1}; port <= 100; ++port) {
      auto header = wire::pb::TunnelHeader{};
      header.set_sender(base::InstanceIdOf("b1").value);
      header.set_incarnation(1);
      auto flow = base::FlowKey{base::EndpointFromV4(0x7f000009, port), kDesk};
      wire::WriteFlow(flow, *header.mutable_packet()->mutable_flow());
      header.mutable_packet()->set_may_open(true);
      auto from = BalancerOf("b1", 11).tunnel;
      wire::WriteEndpoint(from, *header.mutable_packet()->mutable_balancer());
      auto code = CodeOf(ReplyIn(fixture.Run(TunnelMessage{from, &header, kPost})));
      adopted += code == kGatewayTimeout ? 1 : 0;
      challenged += code == kUnauthorized ? 1 : 0;
    }
    BOOST_TEST(adopted + challenged == 100);
    // desk-2 was the home of about half of the flows.
    if (drained) BOOST_TEST(adopted == 0);
    if (!drained) BOOST_TEST(adopted > 25);
    if (!drained) BOOST_TEST(adopted < 75);
  }
}

}  // namespace
}  // namespace anvildrum::agent
