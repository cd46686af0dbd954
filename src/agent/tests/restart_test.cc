#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "agent/tests/fixture.h"

namespace anvildrum::agent {
namespace {

constexpr auto kRevision = std::uint64_t{1};

// Returns the agent of desk-1 after its second start, while the record of its first one is in
// force.
auto StartedAgain() -> Agent {
  auto record = *RestartOf(RecordOf("desk-1", 1), RecordOf("desk-1", 1), 1);
  return AgentBuilder{}
      .WithRecord(record)
      .WithEchoSecret({8})
      .WithPredecessorLost(true)
      .WithProvisional(true)
      .Build();
}

struct World {
  Agent agent = StartedAgain();
  base::TimePoint now = kStart;

  World() {
    this->Run(TargetRecordChanged{RecordOf("desk-2", 2)});
    this->Run(BalancerRecordChanged{BalancerOf("b1", 11)});
    this->Run(TargetRecordChanged{RecordOf("desk-1", 1)});
  }

  auto Run(const Event& event) -> Effects { return Step(this->agent, event, this->now); }
};

auto NoticesIn(const Effects& effects) -> std::vector<SendTunnel> {
  auto notices = std::vector<SendTunnel>{};
  for (const auto& effect : effects) {
    const auto* send = std::get_if<SendTunnel>(&effect);
    if (send != nullptr && send->header.has_restart_notice()) notices.push_back(*send);
  }
  return notices;
}

auto NoticesOfASecond(World& world) -> std::vector<SendTunnel> {
  auto all = std::vector<SendTunnel>{};
  for (auto i = 0; i < 50; ++i, world.now += base::milliseconds(20)) {
    for (auto& notice : NoticesIn(world.Run(Timer{}))) all.push_back(std::move(notice));
  }
  return all;
}

// A desk is restarted while the platform is down. If it waited for a new record, it would serve
// nobody until the outage ends. It has to serve at once, and to notify peers and balancers until
// the platform knows it.
BOOST_AUTO_TEST_CASE(a_restarted_target_serves_under_its_earlier_record_and_notifies_others) {
  auto world = World{};
  BOOST_CHECK(world.agent.phase == Phase::kServing);
  auto notices = NoticesOfASecond(world);
  auto told = [&](const base::Endpoint& to) {
    return std::ranges::any_of(notices, [&](const auto& notice) { return notice.to == to; });
  };
  BOOST_TEST(told(RecordOf("desk-2", 2).tunnel));
  BOOST_TEST(told(BalancerOf("b1", 11).tunnel));
  BOOST_TEST(notices.size() <= 11U);
  BOOST_TEST(notices[0].header.restart_notice().target().incarnation() == 2U);
  BOOST_TEST(notices[0].header.restart_notice().revision() == kRevision);
  auto taken = world.agent.record;
  taken.revision = 9;
  world.Run(TargetRecordChanged{taken});
  BOOST_TEST(NoticesOfASecond(world).empty());
  BOOST_CHECK(world.agent.phase == Phase::kServing);
}

// A balancer that missed the notice probes the earlier process. It has to receive the notice before
// the answer.
BOOST_AUTO_TEST_CASE(a_prober_is_notified_of_the_restart_first) {
  auto world = World{};
  auto probe = wire::pb::TunnelHeader{};
  probe.mutable_probe()->set_sequence(5);
  auto effects = world.Run(TunnelMessage{BalancerOf("b1", 11).tunnel, &probe, {}});
  BOOST_REQUIRE(effects.size() == 2);
  BOOST_TEST(NoticesIn({effects[0]}).size() == 1U);
  BOOST_TEST(std::get<SendTunnel>(effects[1]).header.has_probe_answer());
}

// A peer learns of the restart. Flows of the dead process may have run requests there, so they have
// to count as lost.
BOOST_AUTO_TEST_CASE(a_peer_accepts_the_notice_and_records_the_loss) {
  auto fixture = Fixture{};
  auto record = RecordOf("desk-2", 2);
  fixture.Run(TargetRecordChanged{record});
  auto header = wire::pb::TunnelHeader{};
  auto& notice = *header.mutable_restart_notice();
  notice.mutable_target()->set_target(record.id.value);
  notice.mutable_target()->set_incarnation(2);
  notice.set_service(record.service.value);
  notice.set_revision(record.revision);
  fixture.Run(TunnelMessage{RecordOf("desk-3", 3).tunnel, &header, {}});
  BOOST_TEST(fixture.agent.lost.empty());
  fixture.Run(TunnelMessage{record.tunnel, &header, {}});
  BOOST_TEST(fixture.agent.lost.size() == 1U);
  BOOST_TEST(membership::FindTarget(fixture.agent.view, record.id)->record.incarnation == 2U);
}

// The record names another machine, or its process is another target. The agent has to wait for the
// platform, or packets for one target would reach the other.
BOOST_AUTO_TEST_CASE(only_the_same_target_at_the_same_address_may_serve_under_a_record) {
  auto own = RecordOf("desk-1", 1);
  BOOST_TEST(RestartOf(own, own, 1)->incarnation == 2U);
  BOOST_TEST(RestartOf(own, own, 7)->incarnation == 7U);
  auto refused = [&](auto change) {
    auto in_force = own;
    change(in_force);
    return !RestartOf(in_force, own, 7);
  };
  BOOST_TEST(refused([](auto& record) { record.tunnel.port = 2; }));
  BOOST_TEST(refused([](auto& record) { record.service = base::ServiceIdOf("mapper"); }));
  BOOST_TEST(refused([](auto& record) { record.failure_domain = "boston-2"; }));
  BOOST_TEST(refused([](auto& record) { record.instance = base::InstanceIdOf("agent-desk-9"); }));
}

}  // namespace
}  // namespace anvildrum::agent
