#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

#include "agent/tests/fixture.h"

namespace anvildrum::agent {
namespace {

constexpr auto kTickTime = base::milliseconds(20);
constexpr auto kNever = base::TimePoint::max();

// A balancer that monitors the agent until it dies at a given time. Afterwards it neither probes
// nor answers.
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

// Answers the agent's probes among the tick's effects for balancers that are alive, and returns the
// number of probes.
auto AnswerProbes(Fixture& fixture, std::vector<Monitoring>& balancers, const Effects& effects)
    -> std::size_t {
  auto probes = std::size_t{0};
  for (const auto& effect : effects) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send == nullptr || !send->header.has_probe()) continue;
    ++probes;
    for (const auto& balancer : balancers) {
      auto tunnel = BalancerOf(balancer.name, balancer.port).tunnel;
      if (send->to != tunnel || fixture.now >= balancer.dies || balancer.unheard) continue;
      auto header = HeaderOf(balancer);
      header.mutable_probe_answer()->set_sequence(send->header.probe().sequence());
      fixture.Run(TunnelMessage{tunnel, &header, {}});
    }
  }
  return probes;
}

// Runs one tick of 20 ms with the balancers' due probes. Returns the number of the agent's own
// probes.
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
  auto probes = AnswerProbes(fixture, balancers, fixture.Run(Timer{}));
  fixture.now += kTickTime;
  return probes;
}

auto RunTicks(Fixture& fixture, std::vector<Monitoring>& balancers, base::Duration span)
    -> std::size_t {
  auto probes = std::size_t{0};
  for (auto end = fixture.now + span; fixture.now < end;) probes += RunTick(fixture, balancers);
  return probes;
}

// GET with Observe 0 and token aa (RFC 7641, 2).
const auto kObserve = wire::Bytes{0x41, 0x01, 0x00, 0x01, 0xaa, 0x60};

// A stream as seen by its target. The header and token of the first answer are those of the
// request.
struct Stream {
  wire::Bytes answer;
  std::uint16_t number = 1;
};

// Returns the next non-confirmable notification (RFC 7252, 3; Observe is option 6).
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

// Returns the route of the stream's next notification while its client is silent.
auto RouteOfNotification(Fixture& fixture, Stream& stream) -> base::Endpoint {
  auto notification = NextNotification(stream);
  for (const auto& effect : fixture.Run(TargetDatagram{kFlow, notification})) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send != nullptr && send->header.has_reply()) return send->to;
  }
  BOOST_FAIL("no reply left");
  return {};
}

// Returns the time from b2's death until no reply is sent through it any more, with one
// notification per tick for `span`.
auto TimeToDetection(Fixture& fixture, std::vector<Monitoring>& balancers, base::Duration span)
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

// Half of a balancer's control bytes were probes by agents whose replies it might carry. An agent
// that its monitors probe in every round must not send probes of its own.
BOOST_AUTO_TEST_CASE(MonitorsThatProbeInEveryRoundAreNotProbed) {
  auto fixture = Fixture{};
  auto balancers = std::vector<Monitoring>{{"b1", 11, base::milliseconds(500)},
                                           {"b2", 12, base::milliseconds(500)}};
  RunTicks(fixture, balancers, base::seconds(2));
  BOOST_TEST(RunTicks(fixture, balancers, base::minutes(1)) == 0u);
}

// If monitors probe rarely, one balancer is probed per round, not each.
BOOST_AUTO_TEST_CASE(WithoutMonitorsOneBalancerIsProbedPerRound) {
  auto fixture = Fixture{};
  auto balancers = std::vector<Monitoring>{{"b1", 11}, {"b2", 12}};
  RunTicks(fixture, balancers, base::seconds(2));
  auto probes = RunTicks(fixture, balancers, base::minutes(1));
  BOOST_TEST(probes >= 50u);
  BOOST_TEST(probes <= 100u);
}

// A feed whose client is silent has to continue within a second of its balancer's death, whether
// monitors probe in every round, at the rate of the largest fleet, or not at all.
BOOST_AUTO_TEST_CASE(AFeedLeavesADeadBalancerWithinASecond) {
  for (auto period : {base::milliseconds(500), base::milliseconds(2000), base::milliseconds(0)}) {
    auto fixture = Fixture{};
    auto balancers = std::vector<Monitoring>{{"b1", 11, period}, {"b2", 12, period}};
    auto noticed = TimeToDetection(fixture, balancers, base::seconds(20));
    BOOST_TEST_MESSAGE("noticed after "
                       << std::chrono::duration_cast<base::milliseconds>(noticed).count() << " ms");
    BOOST_CHECK(noticed <= base::seconds(1));
  }
}

// A feed's client received every second notification only: what the agent sent to b2 was lost,
// while b2's probes arrived. Those probes say that b2 misses the answers, and must not count.
BOOST_AUTO_TEST_CASE(AProbeWhoseProberMissesTheAnswersDoesNotCount) {
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

// The client has just sent a packet through b2, and b2 dies: its probes, which came in every round,
// have stopped. The route must be left before the end of the five seconds for which a packet proves
// it.
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
