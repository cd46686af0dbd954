#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

#include "agent/tests/fixture.h"

namespace anvildrum::agent {
namespace {

constexpr auto kTickTime = base::milliseconds(20);
constexpr auto kNever = base::TimePoint::max();

// A balancer that monitors the agent and dies at some time; it then answers nothing either.
struct Monitoring {
  std::string name;
  std::uint16_t port = 0;
  base::Duration period{};
  base::TimePoint next{};
  base::TimePoint dies = kNever;
  bool unheard = false;
};

auto HeaderOf(const Monitoring& balancer) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(base::InstanceIdOf(balancer.name).value);
  header.set_incarnation(1);
  return header;
}

// The agent's questions in the tick's effects; those of live balancers are answered at once.
auto AnswerQuestions(Fixture& fixture, std::vector<Monitoring>& balancers, const Effects& effects)
    -> std::size_t {
  auto questions = std::size_t{0};
  for (const auto& effect : effects) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send == nullptr || !send->header.has_probe()) continue;
    ++questions;
    for (const auto& balancer : balancers) {
      auto tunnel = BalancerOf(balancer.name, balancer.port).tunnel;
      if (send->to != tunnel || fixture.now >= balancer.dies || balancer.unheard) continue;
      auto header = HeaderOf(balancer);
      header.mutable_probe_answer()->set_sequence(send->header.probe().sequence());
      fixture.Run(TunnelMessage{tunnel, &header, {}});
    }
  }
  return questions;
}

// One tick of 20 ms with the probes that fall due. Gives the number of the agent's own questions.
auto RunTick(Fixture& fixture, std::vector<Monitoring>& balancers) -> std::size_t {
  for (auto& balancer : balancers) {
    if (balancer.period == base::Duration::zero() || fixture.now < balancer.next) continue;
    balancer.next = fixture.now + balancer.period;
    if (fixture.now >= balancer.dies) continue;
    auto header = HeaderOf(balancer);
    header.mutable_probe()->set_sequence(1);
    header.mutable_probe()->set_unheard(balancer.unheard);
    fixture.Run(TunnelMessage{BalancerOf(balancer.name, balancer.port).tunnel, &header, {}});
  }
  auto questions = AnswerQuestions(fixture, balancers, fixture.Run(Timer{}));
  fixture.now += kTickTime;
  return questions;
}

auto RunTicks(Fixture& fixture, std::vector<Monitoring>& balancers, base::Duration span)
    -> std::size_t {
  auto questions = std::size_t{0};
  for (auto end = fixture.now + span; fixture.now < end;) questions += RunTick(fixture, balancers);
  return questions;
}

// GET with Observe 0 and token aa (RFC 7641, 2).
const auto kObserve = wire::Bytes{0x41, 0x01, 0x00, 0x01, 0xaa, 0x60};

// A stream as its target sees it; the first answer's header and token are those of the request.
struct Stream {
  wire::Bytes answer;
  std::uint16_t number = 1;
};

// The next non-confirmable notification (RFC 7252, 3; Observe is option 6).
auto NextNotification(Stream& stream) -> wire::Bytes {
  ++stream.number;
  auto notification = stream.answer;
  notification[0] = 0x50 | (notification[0] & 0x0f);
  auto high = static_cast<std::uint8_t>(stream.number >> 8U);
  auto low = static_cast<std::uint8_t>(stream.number);
  notification[2] = high;
  notification[3] = low;
  std::copy_n(std::array{high, low}.begin(), 2, notification.end() - 2);
  return notification;
}

// Opens a stream through b2.
auto OpenStream(Fixture& fixture) -> Stream {
  auto effects = fixture.Deliver(kObserve, "b2", 12);
  const auto* sent = Find<SendTarget>(effects);
  BOOST_REQUIRE(sent != nullptr);
  auto stream = Stream{AnswerTo(*sent)};
  stream.answer.insert(stream.answer.end(), {0x62, 0x00, 0x01});
  BOOST_REQUIRE(!ReplyIn(fixture.Run(TargetDatagram{kFlow, stream.answer})).empty());
  return stream;
}

// Where the stream's next notification, whose client is silent, leaves now.
auto RouteOfNotification(Fixture& fixture, Stream& stream) -> base::Endpoint {
  auto notification = NextNotification(stream);
  for (const auto& effect : fixture.Run(TargetDatagram{kFlow, notification})) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send != nullptr && send->header.has_reply()) return send->to;
  }
  BOOST_FAIL("no reply left");
  return {};
}

// Time from b2's death until nothing leaves by it any more; one notification a tick, for `span`.
auto TimeToNotice(Fixture& fixture, std::vector<Monitoring>& balancers, base::Duration span)
    -> base::Duration {
  auto stream = OpenStream(fixture);
  RunTicks(fixture, balancers, base::seconds(10));
  auto died = fixture.now;
  balancers[1].dies = died;
  auto last = died;
  while (fixture.now < died + span) {
    RunTick(fixture, balancers);
    auto route = RouteOfNotification(fixture, stream);
    if (route == BalancerOf("b2", 12).tunnel) last = fixture.now;
  }
  return last - died;
}

BOOST_AUTO_TEST_SUITE(ReplyLiveness)

// Half of a balancer's control bytes were probes of agents whose replies may leave by it. An agent
// that its monitors probe in every round has no question of its own.
BOOST_AUTO_TEST_CASE(MonitorsThatProbeInEveryRoundAreAskedNothing) {
  auto fixture = Fixture{};
  auto balancers = std::vector<Monitoring>{{"b1", 11, base::milliseconds(500)},
                                           {"b2", 12, base::milliseconds(500)}};
  RunTicks(fixture, balancers, base::seconds(2));
  BOOST_TEST(RunTicks(fixture, balancers, base::minutes(1)) == 0u);
}

// Where probes come seldom one balancer is asked a round, not each.
BOOST_AUTO_TEST_CASE(WithoutMonitorsOneBalancerIsAskedARound) {
  auto fixture = Fixture{};
  auto balancers = std::vector<Monitoring>{{"b1", 11}, {"b2", 12}};
  RunTicks(fixture, balancers, base::seconds(2));
  auto questions = RunTicks(fixture, balancers, base::minutes(1));
  BOOST_TEST(questions >= 50u);
  BOOST_TEST(questions <= 100u);
}

// A feed whose client has been silent goes on within a second of its balancer's death, whether
// monitors probe in every round, at the pace of the largest fleet, or not at all.
BOOST_AUTO_TEST_CASE(AFeedLeavesADeadBalancerWithinASecond) {
  for (auto period : {base::milliseconds(500), base::milliseconds(2000), base::milliseconds(0)}) {
    auto fixture = Fixture{};
    auto balancers = std::vector<Monitoring>{{"b1", 11, period}, {"b2", 12, period}};
    auto noticed = TimeToNotice(fixture, balancers, base::seconds(20));
    BOOST_TEST_MESSAGE("noticed after "
                       << std::chrono::duration_cast<base::milliseconds>(noticed).count() << " ms");
    BOOST_CHECK(noticed <= base::seconds(1));
  }
}

// A feed's client gets every second notification: what the agent sends to b2 is lost, while b2's
// probes arrive. They say that b2 misses the answers, and are no sign.
BOOST_AUTO_TEST_CASE(AProbeWhoseProberMissesTheAnswersIsNoSign) {
  auto fixture = Fixture{};
  auto balancers = std::vector<Monitoring>{{"b1", 11, base::milliseconds(500)},
                                           {"b2", 12, base::milliseconds(500)}};
  auto stream = OpenStream(fixture);
  RunTicks(fixture, balancers, base::seconds(10));
  balancers[1].unheard = true;
  RunTicks(fixture, balancers, base::seconds(2));
  for (auto i = 0; i < 20; ++i) {
    RunTick(fixture, balancers);
    BOOST_CHECK(RouteOfNotification(fixture, stream) == BalancerOf("b1", 11).tunnel);
  }
}

// The client sent a packet through b2 a moment ago and b2 is dead: its probes, which came in every
// round, have stopped. The route is left before the five seconds for which a packet proves it.
BOOST_AUTO_TEST_CASE(AFreshRouteIsLeftWhenItsBalancerStopsProbing) {
  auto fixture = Fixture{};
  auto balancers = std::vector<Monitoring>{{"b1", 11, base::milliseconds(500)},
                                           {"b2", 12, base::milliseconds(500)}};
  RunTicks(fixture, balancers, base::seconds(10));
  auto stream = OpenStream(fixture);
  balancers[1].dies = fixture.now;
  RunTicks(fixture, balancers, base::seconds(1));
  BOOST_CHECK(RouteOfNotification(fixture, stream) == BalancerOf("b1", 11).tunnel);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::agent
