#include "balancer/balancer.h"

#include <boost/test/unit_test.hpp>

#include "wire/convert.h"

namespace anvildrum::balancer {
namespace {

constexpr auto kNow = base::TimePoint{base::seconds(100)};
const auto kDesk = base::ServiceIdOf("desk");
const auto kMapper = base::ServiceIdOf("mapper");
const auto kDeskAddress = base::EndpointFromV4(0x0a000001, 5683);
const auto kMapperAddress = base::EndpointFromV4(0x0a000002, 5683);
const auto kClient = base::EndpointFromV4(0x0b000001, 40000);

auto MakeRecord(const std::string& name, const std::string& service, std::uint16_t port)
    -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = name;
  record.id = base::TargetIdOf(name);
  record.service_name = service;
  record.service = base::ServiceIdOf(service);
  record.instance = base::InstanceIdOf(name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(0x0c000001, port);
  record.failure_domain = "domain-" + std::to_string(port % 3);
  record.revision = port;
  return record;
}

auto MakeConfiguration(std::uint64_t number) -> config::Configuration {
  auto configuration = config::Configuration{};
  configuration.number = number;
  configuration.services.push_back({"desk", kDesk, {kDeskAddress}, {}, {}, {}});
  configuration.services.push_back({"mapper", kMapper, {kMapperAddress}, {}, {}, {}});
  return configuration;
}

auto MakeView() -> membership::View {
  auto view = membership::View{};
  for (auto port : {1, 2, 3}) {
    membership::ApplyRecord(view, MakeRecord("desk-" + std::to_string(port), "desk", port), kNow);
  }
  for (auto port : {11, 12}) {
    membership::ApplyRecord(view, MakeRecord("map-" + std::to_string(port), "mapper", port), kNow);
  }
  return view;
}

auto MakeReady(const BalancerPolicy& policy) -> Balancer {
  auto state = BalancerBuilder{}
                   .WithPolicy(policy)
                   .WithInstance(base::InstanceIdOf("balancer"), 1)
                   .WithTunnel(base::EndpointFromV4(0x0d000001, 7000))
                   .Build();
  auto configuration = MakeConfiguration(1);
  auto view = MakeView();
  Step(state, ConfigChanged{&configuration}, kNow);
  Step(state, ViewChanged{&view}, kNow);
  return state;
}

auto SmallPolicy() -> BalancerPolicy {
  auto policy = BalancerPolicy{};
  policy.flow_table_capacity = 64;
  policy.established_bits = 1 << 12;
  return policy;
}

auto Send(Balancer& state) -> Route { return RoutePacket(state, kDeskAddress, kClient, kNow); }

auto HintFor(const membership::TargetRecord& record) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  wire::WriteFlow({kClient, kDesk}, *header.mutable_hint()->mutable_flow());
  header.mutable_hint()->mutable_owner()->set_target(record.id.value);
  header.mutable_hint()->mutable_owner()->set_incarnation(record.incarnation);
  return header;
}

// Returns a target of the service that is not the flow's home.
auto OtherThanHome(Balancer& state) -> membership::TargetRecord {
  auto home = Send(state).to;
  const auto* service = membership::FindService(state.view, kDesk);
  for (const auto& target : service->targets) {
    if (target.record.tunnel != home) return target.record;
  }
  BOOST_FAIL("one target only");
  return {};
}

BOOST_AUTO_TEST_CASE(a_packet_goes_to_its_home_and_after_a_hint_to_its_owner) {
  auto state = MakeReady(SmallPolicy());
  BOOST_CHECK(Send(state).kind == RouteKind::kHome);
  auto owner = OtherThanHome(state);
  auto hint = HintFor(owner);
  Step(state, TunnelMessage{{}, &hint, {}}, kNow);
  auto route = Send(state);
  BOOST_CHECK(route.kind == RouteKind::kOwner);
  BOOST_CHECK(route.to == owner.tunnel);
}

// A hint names a target of mapper for a flow of desk. If the balancer followed it, it would send a
// desk client's packet to mapper.
BOOST_AUTO_TEST_CASE(a_hint_across_services_is_not_applied) {
  auto state = MakeReady(SmallPolicy());
  auto hint = HintFor(MakeRecord("map-11", "mapper", 11));
  Step(state, TunnelMessage{{}, &hint, {}}, kNow);
  BOOST_CHECK(Send(state).kind == RouteKind::kHome);
  BOOST_TEST(state.counters.stale_hints == 1u);
}

// The owner's process restarts. The hint names the former process, which is gone together with the
// flow.
BOOST_AUTO_TEST_CASE(a_hint_to_an_earlier_incarnation_is_dropped) {
  auto state = MakeReady(SmallPolicy());
  auto owner = OtherThanHome(state);
  auto hint = HintFor(owner);
  Step(state, TunnelMessage{{}, &hint, {}}, kNow);
  auto view = state.view;
  owner.incarnation = 2;
  owner.revision = 99;
  membership::ApplyRecord(view, owner, kNow);
  Step(state, ViewChanged{&view}, kNow);
  BOOST_CHECK(Send(state).kind == RouteKind::kHome);
  BOOST_TEST(state.flows.size == 0u);
}

// The owner drains, hands the flow over and ends within seconds. If the hint that names it were
// followed, packets would go to a process that is gone until its record is removed. The home knows
// the new owner.
BOOST_AUTO_TEST_CASE(a_hint_to_a_draining_target_is_not_followed) {
  auto state = MakeReady(SmallPolicy());
  auto owner = OtherThanHome(state);
  auto hint = HintFor(owner);
  Step(state, TunnelMessage{{}, &hint, {}}, kNow);
  auto view = MakeView();
  membership::ApplyDrain(view, owner.id, owner.incarnation);
  Step(state, ViewChanged{&view}, kNow);
  auto route = Send(state);
  BOOST_CHECK(route.kind == RouteKind::kHome);
  BOOST_CHECK(route.to != owner.tunnel);
}

BOOST_AUTO_TEST_CASE(a_suspect_home_is_replaced_by_the_second) {
  auto state = MakeReady(SmallPolicy());
  auto home = Send(state).to;
  auto view = state.view;
  for (const auto& target : membership::FindService(view, kDesk)->targets) {
    if (target.record.tunnel == home) membership::SetSuspect(view, target.record.id, true);
  }
  Step(state, ViewChanged{&view}, kNow);
  auto route = Send(state);
  BOOST_CHECK(route.kind == RouteKind::kSecond);
  BOOST_CHECK(route.to != home);
}

// A flood of packets with spoofed client addresses. Each packet still goes to its home, because it
// may belong to a flow that another balancer has carried so far. Over the limit none may open a
// flow, and the balancer keeps no state for it. A client that received a reply through this
// balancer is not limited.
BOOST_AUTO_TEST_CASE(a_flood_opens_flows_at_the_limit_and_leaves_established_ones_alone) {
  auto policy = SmallPolicy();
  policy.openings_per_second = 10;
  policy.openings_burst = 10;
  policy.established_bits = 1 << 16;
  auto state = MakeReady(policy);
  auto reply = wire::pb::TunnelHeader{};
  wire::WriteFlow({kClient, kDesk}, *reply.mutable_reply()->mutable_flow());
  Step(state, TunnelMessage{{}, &reply, {}}, kNow);
  auto may_open = 0;
  for (auto i = 0U; i < 1000; ++i) {
    auto spoofed = base::EndpointFromV4(0x0e000000 + i, 1);
    auto route = RoutePacket(state, kDeskAddress, spoofed, kNow);
    BOOST_CHECK(route.kind == RouteKind::kHome);
    may_open += route.may_open ? 1 : 0;
  }
  BOOST_TEST(may_open == 10);
  BOOST_TEST(Send(state).may_open);
  BOOST_TEST(state.flows.size == 0u);
}

// After its agent's notice a draining target must not be the home of any flow, without the
// platform.
BOOST_AUTO_TEST_CASE(a_drain_notice_moves_the_home_at_once) {
  auto state = MakeReady(SmallPolicy());
  auto home = Send(state).to;
  auto notice = wire::pb::TunnelHeader{};
  for (const auto& target : membership::FindService(state.view, kDesk)->targets) {
    if (target.record.tunnel != home) continue;
    notice.mutable_drain_notice()->mutable_target()->set_target(target.record.id.value);
    notice.mutable_drain_notice()->mutable_target()->set_incarnation(1);
  }
  auto effects = Step(state, TunnelMessage{{}, &notice, {}}, kNow);
  BOOST_TEST(effects.view_changed);
  BOOST_CHECK(Send(state).to != home);
}

// A target restarts while the platform is down, and its agent notifies the balancers itself.
// Without the notice, a balancer that suspects the target would send it no new client until the
// outage ends. A notice from another address must not be accepted, since it would mean two agents
// under one name.
BOOST_AUTO_TEST_CASE(a_restart_notice_counts_from_the_targets_own_address_only) {
  auto state = MakeReady(SmallPolicy());
  auto record = MakeRecord("desk-1", "desk", 1);
  membership::SetSuspect(state.view, record.id, true);
  auto notice = wire::pb::TunnelHeader{};
  auto& restart = *notice.mutable_restart_notice();
  restart.mutable_target()->set_target(record.id.value);
  restart.mutable_target()->set_incarnation(2);
  restart.set_service(record.service.value);
  restart.set_revision(record.revision);
  auto elsewhere = MakeRecord("desk-2", "desk", 2).tunnel;
  BOOST_TEST(!Step(state, TunnelMessage{elsewhere, &notice, {}}, kNow).view_changed);
  BOOST_TEST(Step(state, TunnelMessage{record.tunnel, &notice, {}}, kNow).view_changed);
  const auto* target = membership::FindTarget(state.view, record.id);
  BOOST_TEST(target->record.incarnation == 2u);
  BOOST_TEST(!target->suspect);
}

// An operator moves an address from desk to mapper, and a stale peer offers the older configuration
// afterwards. If it were applied, mapper's clients would reach desk.
BOOST_AUTO_TEST_CASE(an_address_moves_between_services_and_never_back) {
  auto state = MakeReady(SmallPolicy());
  auto moved = MakeConfiguration(2);
  moved.services[0].addresses = {};
  moved.services[1].addresses = {kMapperAddress, kDeskAddress};
  Step(state, ConfigChanged{&moved}, kNow);
  BOOST_CHECK(Send(state).flow.service == kMapper);
  auto older = MakeConfiguration(1);
  Step(state, ConfigChanged{&older}, kNow);
  BOOST_CHECK(Send(state).flow.service == kMapper);
  BOOST_TEST(state.config_number == 2u);
}

// A stopping balancer still receives packets until the fabric has withdrawn it, and has to forward
// them.
BOOST_AUTO_TEST_CASE(a_stopping_balancer_forwards_until_the_fabric_withdraws_it) {
  auto state = BalancerBuilder{}.WithPolicy(SmallPolicy()).Build();
  BOOST_CHECK(Send(state).kind == RouteKind::kNotReady);
  state = MakeReady(SmallPolicy());
  BOOST_CHECK(state.phase == Phase::kReady);
  Step(state, StopRequested{}, kNow);
  BOOST_CHECK(state.phase == Phase::kStopping);
  BOOST_CHECK(Send(state).kind == RouteKind::kHome);
  Step(state, FabricWithdrawn{}, kNow);
  BOOST_CHECK(state.phase == Phase::kStopped);
  BOOST_CHECK(Send(state).kind == RouteKind::kNotReady);
}

// An instance of another version or a faulty one sends authentic messages without a meaning to a
// balancer. Each type is counted, nothing is sent, and the next client's packet is forwarded.
BOOST_AUTO_TEST_CASE(invalid_tunnel_messages_are_counted_by_type) {
  auto state = MakeReady(SmallPolicy());
  auto without_flow = wire::pb::TunnelHeader{};
  without_flow.mutable_reply();
  Step(state, TunnelMessage{{}, &without_flow, {}}, kNow);
  auto for_agents = wire::pb::TunnelHeader{};
  for_agents.mutable_owner_query();
  Step(state, TunnelMessage{{}, &for_agents, {}}, kNow);
  auto probe = wire::pb::TunnelHeader{};
  probe.mutable_probe();
  Step(state, TunnelMessage{{}, &probe, {}}, kNow);
  auto unknown = wire::pb::TunnelHeader{};
  wire::WriteFlow({kClient, base::ServiceIdOf("unknown")},
                  *unknown.mutable_reply()->mutable_flow());
  auto effects = Step(state, TunnelMessage{{}, &unknown, {}}, kNow);
  BOOST_TEST(effects.client.empty());
  BOOST_TEST(state.counters.malformed == 1u);
  BOOST_TEST(state.counters.misdirected == 1u);
  BOOST_TEST(state.counters.wrong_service == 1u);
  BOOST_CHECK(Send(state).kind == RouteKind::kHome);
}

// A client's packet is addressed to an address that no service has.
BOOST_AUTO_TEST_CASE(a_packet_for_an_unknown_address_is_counted) {
  auto state = MakeReady(SmallPolicy());
  auto nobodys = base::EndpointFromV4(0x0a000009, 5683);
  BOOST_CHECK(RoutePacket(state, nobodys, kClient, kNow).kind == RouteKind::kUnknownAddress);
  BOOST_TEST(state.counters.unknown_address == 1u);
  BOOST_CHECK(Send(state).kind == RouteKind::kHome);
}

BOOST_AUTO_TEST_CASE(a_reply_leaves_from_the_address_of_its_service) {
  auto state = MakeReady(SmallPolicy());
  auto reply = wire::pb::TunnelHeader{};
  wire::WriteFlow({kClient, kMapper}, *reply.mutable_reply()->mutable_flow());
  auto effects = Step(state, TunnelMessage{{}, &reply, {}}, kNow);
  BOOST_REQUIRE(effects.client.size() == 1);
  BOOST_CHECK(effects.client[0].service_address == kMapperAddress);
  BOOST_CHECK(effects.client[0].client == kClient);
}

}  // namespace
}  // namespace anvildrum::balancer
