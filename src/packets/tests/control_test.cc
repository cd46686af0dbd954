#include "packets/control.h"

#include <boost/test/unit_test.hpp>

#include "packets/hello.h"
#include "packets/tests/frame.h"

namespace anvildrum::packets {
namespace {

constexpr auto kSender = Address{0x0a010001};

auto RoundTrip(const Control& control) -> std::optional<Control> {
  const auto text = EncodeControl(control);
  return DecodeControl({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()}, kSender);
}

BOOST_AUTO_TEST_CASE(a_hello_comes_back_whole) {
  const auto peers = std::vector<Peer>{{1, base::ServiceId{7}}, {2, base::ServiceId{7}}};
  const auto read = RoundTrip(Hello{base::ServiceId{7}, peers, true, true, 99, 1, 3});
  BOOST_REQUIRE(read);
  BOOST_TEST((std::get<Hello>(*read).peers == peers));
  BOOST_TEST(std::get<Hello>(*read).complete);
  BOOST_TEST(std::get<Hello>(*read).service.value == 7U);
  BOOST_TEST(std::get<Hello>(*read).listed);
  BOOST_TEST(std::get<Hello>(*read).digest == 99U);
  BOOST_TEST(std::get<Hello>(*read).part == 1U);
  BOOST_TEST(std::get<Hello>(*read).parts == 3U);
}

// Hellos and reports carry the domains that an operator has drained. Domains beyond kMaxDrained
// are left out so that the message fits into a frame; balancers rely on the list that they have
// read.
BOOST_AUTO_TEST_CASE(drained_domains_and_confirmations_come_back) {
  constexpr auto frame = std::size_t{1400};
  auto hello = Hello{};
  hello.confirmed_ago = base::milliseconds{0};
  hello.cold_per_second = 80;
  hello.drained.revision = 12;
  for (auto tag = DomainTag{1}; tag <= kMaxDrained + 1; ++tag) {
    hello.drained.domains.push_back((DomainTag{1} << kDomainTagBits) - 200 + tag);
  }
  BOOST_TEST(EncodeControl(hello).size() <= frame);
  const auto read = RoundTrip(hello);
  BOOST_REQUIRE(read);
  const auto& back = std::get<Hello>(*read);
  BOOST_TEST(back.drained.domains.size() == kMaxDrained);
  BOOST_TEST(back.drained.revision == 12U);
  BOOST_TEST(back.cold_per_second == 80U);
  BOOST_TEST((back.confirmed_ago == base::Duration{}));
  BOOST_TEST(!std::get<Hello>(*RoundTrip(Hello{})).confirmed_ago.has_value());
  const auto report = RoundTrip(TargetReport{.agent = kSender, .drained = DrainedOf(5, {7, 9})});
  BOOST_REQUIRE(report);
  BOOST_TEST((std::get<TargetReport>(*report).drained == DrainedOf(5, {7, 9})));
}

// Rounding may make a confirmation look older than it is, never newer.
BOOST_AUTO_TEST_CASE(marks_come_back_and_ages_are_rounded_to_the_older_side) {
  auto hello = Hello{};
  hello.confirmed_ago = base::microseconds{1'001};
  hello.mark = 4'000'000'000U;
  hello.balancers = 4'150;
  hello.platform_silent = true;
  hello.drains_unknown = true;
  hello.holder = 0x0a010007;
  hello.echo = base::Echo{.mark = 7, .held = base::microseconds{2'999}};
  const auto read = RoundTrip(hello);
  BOOST_REQUIRE(read);
  const auto& back = std::get<Hello>(*read);
  BOOST_TEST((back.confirmed_ago == base::milliseconds{2}));
  BOOST_TEST(back.mark == 4'000'000'000U);
  BOOST_TEST(back.balancers == 4'150U);
  BOOST_TEST(back.platform_silent);
  BOOST_TEST(back.drains_unknown);
  BOOST_TEST(back.holder == 0x0a010007U);
  BOOST_TEST((back.echo == base::Echo{.mark = 7, .held = base::milliseconds{2}}));
  BOOST_TEST(!std::get<Hello>(*RoundTrip(Hello{})).echo.has_value());
}

// Guards against a report whose counts are lost on the way, or read from an old build as failures.
BOOST_AUTO_TEST_CASE(a_report_carries_outcomes_and_service_time) {
  const auto read = RoundTrip(TargetReport{.agent = kSender,
                                           .answered = 90,
                                           .failed = 7,
                                           .service_time = base::nanoseconds{30'000'999}});
  BOOST_REQUIRE(read);
  const auto& report = std::get<TargetReport>(*read);
  BOOST_TEST(report.answered == 90U);
  BOOST_TEST(report.failed == 7U);
  BOOST_TEST((report.service_time == base::microseconds{30'000}));
  const auto old = RoundTrip(TargetReport{.agent = kSender});
  BOOST_REQUIRE(old);
  BOOST_TEST(std::get<TargetReport>(*old).answered == 0U);
  BOOST_TEST((std::get<TargetReport>(*old).service_time == base::Duration{}));
}

// Guards against a known service time that is read as unknown, and against an overflow.
BOOST_AUTO_TEST_CASE(extreme_service_times_stay_known) {
  auto report = TargetReport{.agent = kSender, .service_time = base::nanoseconds{1}};
  BOOST_TEST((std::get<TargetReport>(*RoundTrip(report)).service_time == base::microseconds{1}));
  report.service_time = base::hours{24};
  BOOST_TEST((std::get<TargetReport>(*RoundTrip(report)).service_time > base::hours{1}));
}

// Guards against a failure share above 1.
BOOST_AUTO_TEST_CASE(a_report_of_more_failures_than_requests_is_unreadable) {
  BOOST_TEST(!RoundTrip(TargetReport{.agent = kSender, .answered = 3, .failed = 4}));
}

BOOST_AUTO_TEST_CASE(a_domain_that_has_too_many_bits_makes_a_hello_unreadable) {
  auto hello = Hello{};
  hello.drained = DrainedOf(5, {DomainTag{1} << kDomainTagBits});
  BOOST_TEST(!RoundTrip(hello));
}

BOOST_AUTO_TEST_CASE(a_hello_between_balancers_names_the_service_of_each_agent) {
  const auto peers = std::vector<Peer>{{1, base::ServiceId{7}}, {2, base::ServiceId{8}}};
  const auto read = RoundTrip(Hello{base::ServiceId{}, peers});
  BOOST_REQUIRE(read);
  BOOST_TEST((std::get<Hello>(*read).peers == peers));
}

// A service has more agents than one datagram can list. Each part must fit into a frame, and
// together the parts must name every agent, since an agent without a list cannot pass packets on.
BOOST_AUTO_TEST_CASE(a_long_list_is_sent_in_parts_that_fit_into_frames) {
  constexpr auto frame = std::size_t{1400};
  auto hello = Hello{base::ServiceId{7}, {}, true};
  for (auto agent = Address{1}; agent <= 1000; ++agent) {
    hello.peers.push_back({0x0a010000 + agent, base::ServiceId{7}});
  }
  hello.digest = DigestOf(hello);
  const auto parts = SplitHello(hello);
  auto together = std::vector<Peer>{};
  for (const auto& part : parts) {
    BOOST_TEST(EncodeControl(part).size() <= frame);
    BOOST_TEST(part.complete);
    together.insert(together.end(), part.peers.begin(), part.peers.end());
  }
  BOOST_TEST((together == hello.peers));
  BOOST_TEST(SplitHello(Hello{base::ServiceId{7}, {}}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_list_that_is_too_long_to_be_sent_is_not_called_complete) {
  auto hello = Hello{base::ServiceId{7}, {}, true};
  hello.peers.resize(kAgentsInHello * kMaxHelloParts + 1);
  const auto parts = SplitHello(hello);
  BOOST_TEST(parts.size() == kMaxHelloParts);
  BOOST_TEST(!parts.front().complete);
}

// Half of a large service has restarted. A list of restarted agents that does not fit into a
// datagram must not be treated as complete, or flows that the others hold would be reset.
BOOST_AUTO_TEST_CASE(more_restarted_agents_than_can_be_named_leave_a_list_incomplete) {
  constexpr auto service = base::ServiceId{7};
  constexpr auto now = base::TimePoint{base::seconds{1000}};
  for (const auto count : {kMaxRestarted, kMaxRestarted + 1}) {
    auto balancer = Balancer{};
    balancer.records_at = now;
    balancer.drains_unknown = true;
    balancer.view.drained = DrainedOf(1ULL << 32, MostDrained());
    auto routes = Routes{};
    routes.version = 1ULL << 32;
    ApplyRoutes(balancer, routes, now);
    for (auto i = std::size_t{0}; i < count; ++i) {
      const auto agent = static_cast<Address>(0x0a010000 + i);
      AddRecord(balancer.view, agent, service, now);
      TakeReport(balancer.view,
                 {.agent = agent,
                  .service = service,
                  .start = 1,
                  .sequence = 1,
                  .state = TargetState::kReady},
                 now);
      balancer.view.members.at(agent).restarted_at = now;
    }
    const auto hello = MakeHellos(balancer, now).at(service).brief;
    const auto fits = count == kMaxRestarted;
    BOOST_TEST(hello.restarted.size() == (fits ? count : 0U));
    BOOST_TEST(hello.complete == fits);
    BOOST_TEST(EncodeControl(hello).size() <= kFrame);
  }
}

// Both are longer than any datagram that a balancer or agent sends.
BOOST_AUTO_TEST_CASE(questions_and_packets_that_are_too_long_are_refused) {
  auto query = FlowQuery{base::ServiceId{7}, 1, std::vector<FlowId>(kFlowsInQuery)};
  BOOST_TEST(RoundTrip(query).has_value());
  query.flows.emplace_back();
  BOOST_TEST(!RoundTrip(query).has_value());
  const auto given_back = [](std::size_t size) {
    return GivenBack{kSender, true, std::vector<std::uint8_t>(size)};
  };
  BOOST_TEST(RoundTrip(given_back(kMaxGivenBack)).has_value());
  BOOST_TEST(!RoundTrip(given_back(kMaxGivenBack + 1)).has_value());
}

BOOST_AUTO_TEST_CASE(parts_that_cannot_be_are_refused) {
  BOOST_TEST(!RoundTrip(Hello{base::ServiceId{7}, {}, true, true, 99, 3, 3}));
  BOOST_TEST(!RoundTrip(Hello{base::ServiceId{7}, {}, true, true, 99, 0, kMaxHelloParts + 1}));
}

BOOST_AUTO_TEST_CASE(a_report_comes_back_whole_under_its_senders_address) {
  const auto report = TargetReport{.agent = 99,
                                   .service = base::ServiceId{7},
                                   .start = 5,
                                   .sequence = 6,
                                   .state = TargetState::kDraining,
                                   .in_flight = 3,
                                   .held = 4,
                                   .slots = 5,
                                   .cold = true,
                                   .wanted_list = 77,
                                   .wanted_classes = 78};
  const auto read = RoundTrip(report);
  BOOST_REQUIRE(read);
  const auto& got = std::get<TargetReport>(*read);
  BOOST_TEST(got.agent == kSender);
  BOOST_TEST(got.service.value == 7U);
  BOOST_TEST(got.start == 5U);
  BOOST_TEST(got.sequence == 6U);
  BOOST_TEST((got.state == TargetState::kDraining));
  BOOST_TEST(got.in_flight == 3U);
  BOOST_TEST(got.held == 4U);
  BOOST_TEST(got.slots == 5U);
  BOOST_TEST(got.cold);
  BOOST_TEST(got.wanted_list == 77U);
  BOOST_TEST(got.wanted_classes == 78U);
}

BOOST_AUTO_TEST_CASE(a_located_flow_comes_back_whole) {
  const auto flow = FlowId{{0x64400007, 40001}, {0xc6120001, 443}};
  const auto read = RoundTrip(Located{5, flow});
  BOOST_REQUIRE(read);
  BOOST_TEST(std::get<Located>(*read).agent == kSender);
  BOOST_TEST((std::get<Located>(*read).flow == flow));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_and_unknown_states_are_refused) {
  const auto rubbish = std::vector<std::uint8_t>{0xff, 0xff, 0xff};
  BOOST_TEST(!DecodeControl(rubbish, kSender));
  BOOST_TEST(!DecodeControl({}, kSender));
  auto report = TargetReport{};
  report.state = static_cast<TargetState>(9);
  BOOST_TEST(!RoundTrip(report));
}

}  // namespace
}  // namespace anvildrum::packets
